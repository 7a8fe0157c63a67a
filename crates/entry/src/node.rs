//! The node: all state of an entry instance, on one thread.

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
use claim::Book;
use config::Fold;
use config::View;
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
use web::server::Switch;

use crate::calls::Pool;
use crate::claims::shards::Claims;
use crate::metrics::Metrics;
use crate::notice::Notice;
use crate::servers::Servers;
use crate::trail;
use crate::trail::Trails;

/// The most entries of a fleet in which each tells all others of load.
const SMALL_FLEET: usize = 32;
/// The most backend servers of a fleet that every instance routes to all of.
const SIGHT_LIMIT: usize = 128;

/// Where the instance listens.
#[derive(Clone, Copy, Debug)]
pub struct Addresses {
    /// For callers.
    pub callers: SocketAddr,
    /// For other entries.
    pub peers: SocketAddr,
    /// For operators.
    pub operators: SocketAddr,
}

/// All state of an entry instance.
pub struct Node {
    /// The settings.
    pub settings: Settings,
    /// Where the instance listens.
    pub addresses: Addresses,
    /// This life of the process.
    pub incarnation: Incarnation,
    /// Runs the tasks of the process.
    pub executor: Rc<LocalExecutor<'static>>,
    /// For calls to backend servers.
    pub client: Client,
    /// The platform.
    pub platform: Platform,
    /// Connections to other entries.
    pub pool: Pool,
    /// For datagrams to other entries, once it is bound.
    pub datagrams: OnceCell<Rc<Async<UdpSocket>>>,
    /// Claim streams of the log.
    pub claims: Claims,
    /// Metrics.
    pub metrics: Metrics,
    /// Closes callers' connections on a planned stop.
    pub switch: Switch,
    /// What the decision crates hold.
    pub core: RefCell<Core>,
    /// Whether the log did not answer the last time.
    pub is_log_failing: Cell<bool>,
    /// Whether the state of a peer is being taken over.
    pub is_fetching: Cell<bool>,
    next_request: Cell<u64>,
}

/// The state of the decision crates.
pub struct Core {
    /// The configuration as folded.
    pub fold: Fold,
    /// The configuration arranged for look-up.
    pub view: Rc<View>,
    /// Whether the configuration was in step with the log or a peer once.
    pub is_configured: bool,
    /// Whether a planned stop has begun.
    pub is_stopping: bool,
    /// The other entries.
    pub members: Members,
    /// The tickets that this entry decides on, by the incarnation that issued them: its own and
    /// those of entries that have stopped.
    pub books: HashMap<Incarnation, Book>,
    /// The incarnations whose books this entry has had, its own included.
    pub books_seen: HashSet<Incarnation>,
    /// The contracts that this entry is home to.
    pub home: Home,
    /// What this entry was given for each customer.
    pub purses: HashMap<String, Allotment>,
    /// Which request goes where.
    pub router: Router,
    /// Who waits for a decision of the router.
    pub waiting: HashMap<job::Id, Sender<Notice>>,
    /// Retries that may still be made.
    pub budget: Budget,
    /// Prompts that crash engines.
    pub quarantine: Quarantine,
    /// The servers of plain services.
    pub servers: Servers,
    /// Good and bad requests by customer.
    pub ledger: Ledger,
    /// What was decided about requests.
    pub trails: Trails,
}

impl Core {
    /// Returns what the instance is ready for.
    pub fn phase(&self) -> Phase {
        match (self.is_stopping, self.is_configured) {
            (true, _) => Phase::Leaving,
            (false, true) => Phase::Ready,
            (false, false) => Phase::Starting,
        }
    }

    /// Marks a backend server as leaving. Returns whether that is news.
    pub fn mark_leaving(&mut self, server: &str) -> bool {
        self.router.mark_leaving(server) | self.servers.mark_leaving(server)
    }
}

impl Node {
    /// Returns a node that knows nothing yet.
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
        let me = Member {
            incarnation,
            name: settings.name.clone(),
            data_centre: settings.data_centre.clone(),
            callers: addresses.callers,
            peers: addresses.peers,
            phase: Phase::Starting,
            beat: 0,
        };
        Rc::new(Self {
            addresses,
            incarnation,
            pool: Pool::default(),
            datagrams: OnceCell::new(),
            claims: Claims::default(),
            executor,
            platform: Platform::new(settings.platform, client.clone()),
            client,
            metrics: Metrics::default(),
            switch: Switch::default(),
            core: RefCell::new(Core {
                fold: Fold::default(),
                view: Rc::default(),
                is_configured: false,
                is_stopping: false,
                members: Members::new(me),
                books: HashMap::from([(incarnation, Book::new(incarnation))]),
                books_seen: HashSet::from([incarnation]),
                home: Home::default(),
                purses: HashMap::new(),
                router: Router::new(policy, rand::random()),
                waiting: HashMap::new(),
                budget: Budget::default(),
                quarantine: Quarantine::default(),
                servers: Servers::default(),
                ledger: Ledger::default(),
                trails: Trails::default(),
            }),
            settings,
            is_log_failing: Cell::new(false),
            is_fetching: Cell::new(false),
            next_request: Cell::new(1),
        })
    }

    /// Returns a number for a new request.
    pub fn next_request(&self) -> trail::Id {
        let number = self.next_request.get();
        self.next_request.set(number + 1);
        trail::Id {
            owner: self.incarnation,
            number,
        }
    }

    /// Returns the number of requests so far.
    pub fn requests(&self) -> u64 {
        self.next_request.get() - 1
    }

    /// Tells whether there are too many entries for each to tell all others everything.
    pub fn is_large_fleet(&self) -> bool {
        self.core.borrow().members.alive().count() > SMALL_FLEET
    }

    /// Returns the interval that suits the size of the fleet.
    pub fn pace(&self, small: Duration, large: Duration) -> Duration {
        if self.is_large_fleet() { large } else { small }
    }

    /// Tells whether the instance can serve callers.
    pub fn is_ready(&self) -> bool {
        let core = self.core.borrow();
        core.is_configured && !core.is_stopping
    }

    /// Arranges everything for the configuration as it is folded now.
    pub fn apply_configuration(&self) {
        let mut core = self.core.borrow_mut();
        let view = Rc::new(View::new(&core.fold));
        let engines = view
            .backend_servers
            .values()
            .filter(|it| self.is_in_sight(&view, it));
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

    /// Tells whether this instance routes to a backend server: to all of a small fleet, and to
    /// those of its own data centre in a large one, as it hears the load of no others.
    fn is_in_sight(&self, view: &View, server: &BackendServer) -> bool {
        let near = |it: &BackendServer| it.data_centre == self.settings.data_centre;
        let is_large = view.backend_servers.len() > SIGHT_LIMIT;
        !is_large || near(server) || !view.backend_servers.values().any(|it| near(it))
    }

    /// Adds a decision to the trail of a request.
    pub fn step(&self, number: u64, what: impl Into<String>) {
        self.core
            .borrow_mut()
            .trails
            .step(clock::now(), number, what);
    }
}
