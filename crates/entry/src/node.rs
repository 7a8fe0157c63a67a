//! The complete state of an entry instance, used on one thread.

use std::cell::Cell;
use std::cell::OnceCell;
use std::cell::RefCell;
use std::collections::HashMap;
use std::collections::HashSet;
use std::net::SocketAddr;
use std::net::UdpSocket;
use std::rc::Rc;
use std::time::Duration;

use async_channel::Sender;
use async_executor::LocalExecutor;
use async_io::Async;
use burn::Ledger;
use claim::Tickets;
use config::Fold;
use config::View;
use domain::Moment;
use domain::fleet::BackendServer;
use domain::key::Incarnation;
use limit::Allotment;
use limit::Home;
use membership::Member;
use membership::Members;
use membership::member::Phase;
use platform::Platform;
use routing::Budget;
use routing::Engine;
use routing::Quarantine;
use routing::Router;
use routing::job;
use settings::Entry as Settings;
use web::Client;
use web::server::Handle;

use crate::calls::Pool;
use crate::claims::shards::Streams;
use crate::metrics::Metrics;
use crate::notice::Notice;
use crate::servers::Servers;
use crate::trace;
use crate::trace::Traces;

/// The largest number of entries at which each entry sends load reports to all others.
const SMALL_FLEET_ENTRIES: usize = 32;
/// The largest number of backend servers at which every instance routes to all of them.
const SMALL_FLEET_SERVERS: usize = 128;

/// The addresses that the instance listens on.
#[derive(Clone, Copy, Debug)]
pub struct Addresses {
    /// The address for callers.
    pub callers: SocketAddr,
    /// The address for peers (other entries).
    pub peers: SocketAddr,
    /// The address for operators.
    pub operators: SocketAddr,
}

/// All state of an entry instance.
pub struct Node {
    /// The settings of the instance.
    pub settings: Settings,
    /// The addresses that the instance listens on.
    pub addresses: Addresses,
    /// Identifies this run of the process; a restart gets a new incarnation.
    pub incarnation: Incarnation,
    /// The executor of all tasks of the process.
    pub executor: Rc<LocalExecutor<'static>>,
    /// The HTTP client for calls to backend servers.
    pub client: Client,
    /// The client of the platform.
    pub platform: Platform,
    /// RPC connections to other entries.
    pub pool: Pool,
    /// The socket for datagrams to other entries, set once it is bound.
    pub datagrams: OnceCell<Rc<Async<UdpSocket>>>,
    /// The claim streams of the log that this entry reads and appends to.
    pub claim_streams: Streams,
    /// The Prometheus metrics.
    pub metrics: Metrics,
    /// Closes callers' connections on a graceful shutdown.
    pub server_handle: Handle,
    /// The state of the decision crates.
    pub core: RefCell<Core>,
    /// Whether the last read of the log failed.
    pub is_log_failing: Cell<bool>,
    /// Whether the configuration is being fetched from a peer.
    pub is_fetching_configuration: Cell<bool>,
    next_request_number: Cell<u64>,
}

/// The state of the decision crates.
pub struct Core {
    /// The configuration folded from the records of the log.
    pub fold: Fold,
    /// The configuration indexed for lookups.
    pub view: Rc<View>,
    /// Whether the configuration has been synchronised with the log or a peer at least once.
    pub is_configured: bool,
    /// Whether a graceful shutdown has begun.
    pub is_stopping: bool,
    /// The members of the fleet, this entry included.
    pub members: Members,
    /// The tickets for which this entry is the authority, by issuing incarnation: its own and those
    /// handed over by entries that have stopped.
    pub tickets: HashMap<Incarnation, Tickets>,
    /// The incarnations whose tickets this entry has ever managed, its own included. This detects
    /// late duplicates of a handover.
    pub tickets_seen: HashSet<Incarnation>,
    /// The capacity of the contracts for which this entry is the home.
    pub contract_home: Home,
    /// The capacity that this entry was granted, by customer.
    pub allotments: HashMap<String, Allotment>,
    /// Chooses an engine for each prompt.
    pub router: Router,
    /// The requests that wait for a decision of the router.
    pub waiters: HashMap<job::Id, Sender<Notice>>,
    /// The retry budget.
    pub budget: Budget,
    /// Prompts that are refused because they crashed engines.
    pub quarantine: Quarantine,
    /// The backend servers of plain services.
    pub servers: Servers,
    /// Good and bad requests by customer, from which burn rates are computed.
    pub ledger: Ledger,
    /// The decisions about recent requests.
    pub traces: Traces,
}

impl Core {
    /// Returns the lifecycle phase of the instance.
    pub fn phase(&self) -> Phase {
        match (self.is_stopping, self.is_configured) {
            (true, _) => Phase::Leaving,
            (false, true) => Phase::Ready,
            (false, false) => Phase::Starting,
        }
    }

    /// Marks a backend server as leaving. Returns whether it was not marked before.
    pub fn mark_leaving(&mut self, server: &str) -> bool {
        self.router.mark_leaving(server) | self.servers.mark_leaving(server)
    }

    /// Records that a backend server asked for a pause of this length.
    pub fn record_pause(&mut self, now: Moment, server: &str, length: Duration) {
        self.router.record_pause(now, server, length);
        self.servers.record_pause(now, server, length);
    }
}

impl Node {
    /// Returns a node without a configuration or peers.
    pub fn new(
        settings: Settings,
        addresses: Addresses,
        executor: Rc<LocalExecutor<'static>>,
    ) -> Rc<Self> {
        let client = Client::default();
        let policy = match settings.routing {
            settings::Routing::ByLength => routing::Policy::ByLength,
            settings::Routing::RoundRobin => routing::Policy::RoundRobin,
            settings::Routing::LeastLoaded => routing::Policy::LeastLoaded,
        };
        let incarnation = Incarnation::from_random(rand::random());
        let local_member = Member {
            incarnation,
            name: settings.name.clone(),
            data_centre: settings.data_centre.clone(),
            caller_address: addresses.callers,
            peer_address: addresses.peers,
            phase: Phase::Starting,
            version: 0,
            capacity: 0,
            relay_address: None,
        };
        Rc::new(Self {
            addresses,
            incarnation,
            pool: Pool::default(),
            datagrams: OnceCell::new(),
            claim_streams: Streams::default(),
            executor,
            platform: Platform::new(settings.platform, client.clone()),
            client,
            metrics: Metrics::default(),
            server_handle: Handle::default(),
            core: RefCell::new(Core {
                fold: Fold::default(),
                view: Rc::default(),
                is_configured: false,
                is_stopping: false,
                members: Members::new(local_member),
                tickets: HashMap::from([(incarnation, Tickets::new(incarnation))]),
                tickets_seen: HashSet::from([incarnation]),
                contract_home: Home::default(),
                allotments: HashMap::new(),
                router: Router::new(policy, rand::random()),
                waiters: HashMap::new(),
                budget: Budget::default(),
                quarantine: Quarantine::default(),
                servers: Servers::default(),
                ledger: Ledger::default(),
                traces: Traces::default(),
            }),
            settings,
            is_log_failing: Cell::new(false),
            is_fetching_configuration: Cell::new(false),
            next_request_number: Cell::new(1),
        })
    }

    /// Allocates the ID of a new request.
    pub fn next_request_id(&self) -> trace::RequestId {
        let number = self.next_request_number.get();
        self.next_request_number.set(number + 1);
        trace::RequestId {
            owner: self.incarnation,
            number,
        }
    }

    /// Returns the number of requests that have arrived so far.
    pub fn request_count(&self) -> u64 {
        self.next_request_number.get() - 1
    }

    /// Returns whether there are too many entries for full-mesh load reports.
    pub fn is_large_fleet(&self) -> bool {
        self.core.borrow().members.alive().count() > SMALL_FLEET_ENTRIES
    }

    /// Returns `small` or `large`, depending on the size of the fleet.
    pub fn scaled_interval(&self, small: Duration, large: Duration) -> Duration {
        if self.is_large_fleet() { large } else { small }
    }

    /// Returns whether the instance can serve callers.
    pub fn is_ready(&self) -> bool {
        let core = self.core.borrow();
        core.is_configured && !core.is_stopping
    }

    /// Rebuilds the view, the engines and the servers from the folded configuration.
    pub fn apply_configuration(&self) {
        let mut core = self.core.borrow_mut();
        let view = Rc::new(View::new(&core.fold));
        let engines = view
            .backend_servers
            .values()
            .filter(|it| self.routes_to(&view, it));
        let engines = engines.filter_map(|server| {
            let engine = server.engine()?;
            let models = engine.models.clone();
            Some(Engine::new(
                &server.name,
                &server.data_centre,
                models,
                engine.memory_tokens,
            ))
        });
        core.router.replace_engines(engines);
        core.servers.replace(view.backend_servers.values());
        self.metrics.config_offset.set(view.next as i64);
        core.view = view;
        core.is_configured = true;
    }

    /// Returns whether this instance routes to a backend server. In a large fleet it routes only to
    /// its own data centre, because it receives no load reports from others. Without any server
    /// there, it routes to all.
    fn routes_to(&self, view: &View, server: &BackendServer) -> bool {
        let is_local = |it: &BackendServer| it.data_centre == self.settings.data_centre;
        let is_large = view.backend_servers.len() > SMALL_FLEET_SERVERS;
        !is_large || is_local(server) || !view.backend_servers.values().any(|it| is_local(it))
    }

    /// Appends a decision to the trace of a request.
    pub fn record_step(&self, number: u64, what: impl Into<String>) {
        self.core
            .borrow_mut()
            .traces
            .add_step(clock::now(), number, what);
    }
}
