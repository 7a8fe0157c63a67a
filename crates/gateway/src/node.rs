//! The state of a gateway process, all of which is used on one thread.

use std::cell::Cell;
use std::cell::RefCell;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::net::UdpSocket;
use std::rc::Rc;

use async_channel::Receiver;
use async_channel::Sender;
use async_executor::LocalExecutor;
use async_io::Async;
use domain::Moment;
use domain::key::Incarnation;
use membership::Audience;
use membership::Members;
use membership::member::Member;
use membership::member::Phase;
use placement::Budget;
use placement::Evacuations;
use placement::JobId;
use placement::Reach;
use placement::Servers;
use placement::Workload;
use route::Table;
use routing::Quarantine;

use crate::connections::Pool;
use crate::costs::Costs;
use crate::detours::Detours;
use crate::faults::Faults;
use crate::held;
use crate::held::Kind;
use crate::metrics::Metrics;
use crate::moves::Moves;
use crate::port::Decoder;
use crate::port::Protocol;
use crate::records::Cache;
use crate::settings::Settings;
use crate::signal::Signal;
use crate::stop::Stop;
use crate::turns::Waiting;

/// A gateway process.
pub struct Node {
    settings: RefCell<Rc<Settings>>,
    /// The protocol of callers and backend servers.
    pub protocol: Box<dyn Protocol>,
    /// Decodes the platform's records.
    pub decoder: Box<dyn Decoder>,
    /// Runs all tasks.
    pub executor: Rc<LocalExecutor<'static>>,
    /// The id of this run of the process.
    pub incarnation: Incarnation,
    /// State that changes while the process runs.
    pub state: RefCell<State>,
    /// Idle connections to backend servers.
    pub connections: RefCell<Pool>,
    /// Counters and histograms.
    pub metrics: Metrics,
    /// The socket for datagrams between entries.
    pub datagrams: Async<UdpSocket>,
    /// The number of requests in progress.
    pub running_requests: Cell<usize>,
    /// The memory that callers' bodies, servers' answers and streams use.
    pub memory: held::Memory,
    next_number: Cell<u64>,
    /// The channel for announcements of later configurations by peers.
    pub config_hints: (Sender<Hint>, Receiver<Hint>),
    /// Signals that changes of the list of servers are missing, so that it is read at once.
    pub gaps: (Sender<()>, Receiver<()>),
    /// Signals that the platform's store came back from an older copy, so that what this instance
    /// wrote there is written again.
    pub returns: (Sender<()>, Receiver<()>),
    /// Signals that no entry has read the platform's lists for this one lately, so that it reads the
    /// configuration itself.
    pub unserved: (Sender<()>, Receiver<()>),
    /// The moves of the platform's store to other addresses.
    pub moves: Moves,
    /// Wakes the task that probes servers when an attempt failed.
    pub suspicions: (Sender<()>, Receiver<()>),
    /// Set while this entry reaches no backend server.
    pub isolation: Signal,
    /// Set when the process is about to end, so that requests in progress are answered.
    pub ending: Signal,
    /// Signals that requests wait and that the workload has changed.
    pub turns: (Sender<()>, Receiver<()>),
    /// Closed when callers' idle connections have to be closed.
    close_sender: Sender<()>,
    close_receiver: Receiver<()>,
}

/// A peer that has a later configuration, and the version of that configuration.
pub type Hint = (SocketAddr, u64);

/// State that changes while the process runs.
#[derive(Debug)]
pub struct State {
    /// The configuration in force; absent until one is loaded.
    pub table: Option<Rc<Table>>,
    /// The backend servers.
    pub servers: Servers,
    /// The evacuated data centres, as this entry knows them.
    pub evacuations: Evacuations,
    /// The cached records of the platform's lists.
    pub records: Cache,
    /// Servers' records that name no server to use.
    pub faults: Faults,
    /// The requests that all entries have placed.
    pub workload: Workload,
    /// What requests cost.
    pub costs: Costs,
    /// The entries.
    pub members: Members,
    /// The entries that are told what this one places.
    pub audience: Audience,
    /// Requests that crash backend servers.
    pub quarantine: Quarantine,
    /// Whether this entry reaches backend servers.
    pub reach: Reach,
    /// The entries that lately could not serve a service either.
    pub detours: Detours,
    /// The retry budgets, by service.
    pub retry_budgets: HashMap<String, Budget>,
    /// The requests that wait to be placed.
    pub waiting: Waiting,
    /// Whether few running streams are expected to be on time.
    pub has_few_on_time: bool,
    /// The planned stop of the process, once it has begun.
    pub stop: Option<Stop>,
}

impl Node {
    /// Returns a node without a configuration, servers or peers.
    pub fn new(
        settings: Settings,
        protocol: Box<dyn Protocol>,
        decoder: Box<dyn Decoder>,
        executor: Rc<LocalExecutor<'static>>,
        datagrams: Async<UdpSocket>,
    ) -> Rc<Self> {
        let incarnation = Incarnation::from_random(rand::random());
        let member = Member {
            incarnation,
            name: settings.name.clone(),
            data_centre: settings.data_centre.clone(),
            caller_address: settings.caller_address,
            peer_address: settings.peer_address,
            phase: Phase::Starting,
            version: 0,
            capacity: settings.capacity,
            relay_address: settings.relay_address,
        };
        let (close_sender, close_receiver) = async_channel::bounded(1);
        let memory = held::Memory::default();
        memory.set_limit(settings.buffer_limit());
        let node = Rc::new(Self {
            protocol,
            decoder,
            executor,
            incarnation,
            state: RefCell::new(State {
                table: None,
                servers: Servers::default(),
                evacuations: Evacuations::default(),
                records: Cache::default(),
                faults: Faults::default(),
                workload: Workload::default(),
                costs: Costs::new(incarnation),
                members: Members::new(member),
                audience: Audience::default(),
                quarantine: Quarantine::default(),
                reach: Reach::default(),
                detours: Detours::default(),
                retry_budgets: HashMap::new(),
                waiting: Waiting::default(),
                has_few_on_time: false,
                stop: None,
            }),
            connections: RefCell::default(),
            metrics: Metrics::default(),
            datagrams,
            running_requests: Cell::new(0),
            memory,
            next_number: Cell::new(0),
            config_hints: async_channel::bounded(1),
            gaps: async_channel::bounded(1),
            returns: async_channel::bounded(1),
            unserved: async_channel::bounded(1),
            moves: Moves::default(),
            suspicions: async_channel::bounded(1),
            isolation: Signal::default(),
            ending: Signal::default(),
            turns: async_channel::bounded(1),
            close_sender,
            close_receiver,
            settings: RefCell::new(Rc::new(settings)),
        });
        node.set_regions();
        node
    }

    /// Returns the settings in force.
    pub fn settings(&self) -> Rc<Settings> {
        self.settings.borrow().clone()
    }

    /// Puts changed settings in force, except those that change only with a restart.
    pub fn adopt_settings(&self, settings: Settings) {
        self.memory.set_limit(settings.buffer_limit());
        *self.settings.borrow_mut() = Rc::new(settings);
        self.set_regions();
    }

    fn set_regions(&self) {
        let regions = self.settings().regions.clone();
        let mut state = self.state.borrow_mut();
        state.servers.set_regions(regions.clone());
        state.members.set_regions(regions);
    }

    /// Logs and counts a connection that is closed because it uses the most of the memory for buffers.
    pub fn record_closing(&self, bytes: usize, request: Option<&str>) {
        self.metrics.buffer_closes.inc();
        let used = |kind| self.memory.used(kind);
        log::warn!(
            target: "buffers",
            request = request.unwrap_or("-"),
            bytes,
            limit = self.memory.limit(),
            requests = used(Kind::Request),
            answers = used(Kind::Answer),
            streams = used(Kind::Stream);
            "the memory for buffers is used up; closing the connection that buffers the most"
        );
    }

    /// Returns a unique job id.
    pub fn next_job(&self) -> JobId {
        let number = self.next_number.get();
        self.next_number.set(number + 1);
        JobId {
            entry: self.incarnation,
            number,
        }
    }

    /// Closes the idle connections to a server that can't be reached, and opens its circuit breaker.
    pub fn mark_unreachable(&self, now: Moment, server_key: u64) {
        self.connections.borrow_mut().close(server_key);
        if let Some(server_state) = self.state.borrow_mut().servers.get_mut(server_key) {
            server_state.health.on_unreachable(now);
        }
    }

    /// Returns whether the retry budget of a service permits a retry.
    pub fn has_retry(&self, now: Moment, service: &str) -> bool {
        let policy = self.settings().retry_budget;
        let mut state = self.state.borrow_mut();
        let (budget, entries) = state.retry_budget(now, &policy, service);
        budget.has_left(now, &policy, entries)
    }

    /// Signals that a request waits, or that the workload has changed, so that waiting requests are
    /// planned again soon. Costs little while none waits.
    pub fn notify_waiting(&self) {
        if !self.state.borrow().waiting.is_empty() {
            // The channel holds one signal. If one is already there, this one is not needed.
            let _ = self.turns.0.try_send(());
        }
    }

    /// Closes callers' idle connections at once, and the others after their current request.
    pub fn close_callers(&self) {
        self.close_sender.close();
    }

    /// Completes when callers' connections have to be closed.
    pub async fn wait_for_close(&self) {
        // Nothing is sent on this channel; receiving ends only when it is closed.
        while self.close_receiver.recv().await.is_ok() {}
    }

    /// Returns whether this instance serves callers.
    pub fn is_ready(&self) -> bool {
        let state = self.state.borrow();
        state.can_serve() && state.stop.is_none()
    }
}

impl State {
    /// Returns whether requests can be served: both routes and servers are loaded.
    pub fn can_serve(&self) -> bool {
        self.table.is_some() && self.records.servers_position().is_some()
    }

    /// Returns the version of the configuration in force; 0 if there is none.
    pub fn config_version(&self) -> u64 {
        self.table.as_ref().map_or(0, |it| it.version())
    }

    /// Returns the milliseconds since the platform last answered a read of the configuration; 0 if it never
    /// has.
    pub fn config_age_ms(&self, now: Moment) -> u64 {
        let age = self.records.routes_age(now);
        age.map_or(0, |it| it.as_millis() as u64)
    }

    /// Returns the phase of this entry.
    pub fn phase(&self) -> Phase {
        match (self.can_serve(), self.stop.is_some()) {
            (_, true) => Phase::Leaving,
            (true, false) if self.reach.is_isolated() => Phase::Isolated,
            (true, false) => Phase::Ready,
            (false, false) => Phase::Starting,
        }
    }

    /// Returns this entry's part of a service's retry budget, and the number of entries that share
    /// the budget.
    pub fn retry_budget(
        &mut self,
        now: Moment,
        policy: &placement::budget::Policy,
        service: &str,
    ) -> (&mut Budget, usize) {
        let entries = self.members.sharers();
        let budget = self
            .retry_budgets
            .entry(service.to_owned())
            .or_insert_with(|| Budget::new(now, policy, entries));
        (budget, entries)
    }
}
