//! All state of a gateway process, on one thread.

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
use membership::Members;
use membership::member::Member;
use membership::member::Phase;
use placement::Budget;
use placement::JobId;
use placement::Servers;
use placement::Workload;
use route::Table;
use routing::Quarantine;

use crate::connections::Connections;
use crate::knowledge::Knowledge;
use crate::metrics::Metrics;
use crate::port::Decoder;
use crate::port::Dialect;
use crate::settings::Settings;

/// A gateway process.
pub struct Node {
    settings: RefCell<Rc<Settings>>,
    /// The dialect of callers and backend servers.
    pub dialect: Box<dyn Dialect>,
    /// Reads the platform's records.
    pub decoder: Box<dyn Decoder>,
    /// Runs all tasks.
    pub executor: Rc<LocalExecutor<'static>>,
    /// This life of the process.
    pub incarnation: Incarnation,
    /// What changes.
    pub state: RefCell<State>,
    /// Kept connections to backend servers.
    pub connections: RefCell<Connections>,
    /// Counters and histograms.
    pub metrics: Metrics,
    /// The socket for datagrams between entries.
    pub datagrams: Async<UdpSocket>,
    /// Requests in progress.
    pub busy: Cell<usize>,
    /// Bytes of callers' bodies in memory.
    pub body_bytes: Cell<usize>,
    numbers: Cell<u64>,
    /// Peers that know a later configuration, and its version.
    pub config_hints: (Sender<Hint>, Receiver<Hint>),
    /// Closed once idle connections of callers are to be closed.
    close: Sender<()>,
    closed: Receiver<()>,
}

/// A peer that knows a later configuration, and its version.
pub type Hint = (SocketAddr, u64);

/// What changes.
#[derive(Debug)]
pub struct State {
    /// The configuration in force; absent until one is known.
    pub table: Option<Rc<Table>>,
    /// The backend servers.
    pub servers: Servers,
    /// What the platform's lists say, as it was written.
    pub knowledge: Knowledge,
    /// The work of all entries.
    pub board: Workload,
    /// The entries.
    pub members: Members,
    /// Requests that bring backend servers down.
    pub quarantine: Quarantine,
    /// Repeats that may still be sent, by service.
    pub allowances: HashMap<String, Budget>,
    /// Whether the process was told to stop.
    pub is_stopping: bool,
}

impl Node {
    /// Returns a node that knows nothing yet.
    pub fn new(
        settings: Settings,
        dialect: Box<dyn Dialect>,
        decoder: Box<dyn Decoder>,
        executor: Rc<LocalExecutor<'static>>,
        datagrams: Async<UdpSocket>,
    ) -> Rc<Self> {
        let incarnation = Incarnation::from_random(rand::random());
        let me = Member {
            incarnation,
            name: settings.name.clone(),
            data_centre: settings.data_centre.clone(),
            callers: settings.callers,
            peers: settings.peers,
            phase: Phase::Starting,
            beat: 0,
        };
        let (close, closed) = async_channel::bounded(1);
        Rc::new(Self {
            dialect,
            decoder,
            executor,
            incarnation,
            state: RefCell::new(State {
                table: None,
                servers: Servers::default(),
                knowledge: Knowledge::default(),
                board: Workload::default(),
                members: Members::new(me),
                quarantine: Quarantine::default(),
                allowances: HashMap::new(),
                is_stopping: false,
            }),
            connections: RefCell::default(),
            metrics: Metrics::default(),
            datagrams,
            busy: Cell::new(0),
            body_bytes: Cell::new(0),
            numbers: Cell::new(0),
            config_hints: async_channel::bounded(1),
            close,
            closed,
            settings: RefCell::new(Rc::new(settings)),
        })
    }

    /// Returns the settings in force.
    pub fn settings(&self) -> Rc<Settings> {
        self.settings.borrow().clone()
    }

    /// Puts changed settings in force. Addresses that are bound stay as they are until a restart.
    pub fn adopt_settings(&self, settings: Settings) {
        *self.settings.borrow_mut() = Rc::new(settings);
    }

    /// Returns a job that no other has.
    pub fn next_job(&self) -> JobId {
        let number = self.numbers.get();
        self.numbers.set(number + 1);
        JobId {
            entry: self.incarnation,
            number,
        }
    }

    /// Closes callers' connections that are idle, and the others after their present request.
    pub fn close(&self) {
        self.close.close();
    }

    /// Completes once callers' connections are to be closed.
    pub async fn closing(&self) {
        // Nothing is ever sent: the only way to end is the close.
        while self.closed.recv().await.is_ok() {}
    }

    /// Tells whether this instance serves callers.
    pub fn is_ready(&self) -> bool {
        let state = self.state.borrow();
        state.can_serve() && !state.is_stopping
    }
}

impl State {
    /// Tells whether enough is known to serve: the routes and the servers.
    pub fn can_serve(&self) -> bool {
        self.table.is_some() && self.knowledge.servers_next().is_some()
    }

    /// Returns what this entry is ready for.
    pub fn phase(&self) -> Phase {
        match (self.can_serve(), self.is_stopping) {
            (_, true) => Phase::Leaving,
            (true, false) => Phase::Ready,
            (false, false) => Phase::Starting,
        }
    }

    /// Returns this entry's allowance for a service, and the number of entries that share it.
    pub fn allowance(
        &mut self,
        now: Moment,
        terms: &placement::budget::Policy,
        service: &str,
    ) -> (&mut Budget, usize) {
        let entries = self.members.expected();
        let allowance = self
            .allowances
            .entry(service.to_owned())
            .or_insert_with(|| Budget::new(now, terms, entries));
        (allowance, entries)
    }
}
