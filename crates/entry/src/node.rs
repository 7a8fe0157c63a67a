//! The node: all state of an entry instance, on one thread.

use std::cell::Cell;
use std::cell::RefCell;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;

use async_channel::Sender;
use async_executor::LocalExecutor;
use config::Fold;
use config::View;
use domain::key::Incarnation;
use platform::Instance;
use platform::Platform;
use routing::Engine;
use routing::Quarantine;
use routing::Router;
use routing::job;
use settings::Entry as Settings;
use web::Client;
use web::server::Switch;

use crate::dispatch::Notice;
use crate::metrics::Metrics;
use crate::services::Servers;
use crate::trail;
use crate::trail::Trails;

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
    /// Metrics.
    pub metrics: Metrics,
    /// Closes callers' connections on a planned stop.
    pub switch: Switch,
    /// What the decision crates hold.
    pub core: RefCell<Core>,
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
    /// Which request goes where.
    pub router: Router,
    /// Who waits for a decision of the router.
    pub waiting: HashMap<job::Id, Sender<Notice>>,
    /// Prompts that crash engines.
    pub quarantine: Quarantine,
    /// The servers of plain services.
    pub servers: Servers,
    /// What was decided about requests.
    pub trails: Trails,
    /// The platform's list of instances, as last read.
    pub instances: Vec<Instance>,
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
        Rc::new(Self {
            addresses,
            incarnation: Incarnation::from_random(rand::random()),
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
                router: Router::new(policy, rand::random()),
                waiting: HashMap::new(),
                quarantine: Quarantine::default(),
                servers: Servers::default(),
                trails: Trails::default(),
                instances: Vec::new(),
            }),
            settings,
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

    /// Tells whether the instance can serve callers.
    pub fn is_ready(&self) -> bool {
        let core = self.core.borrow();
        core.is_configured && !core.is_stopping
    }

    /// Arranges everything for the configuration as it is folded now.
    pub fn apply_configuration(&self) {
        let mut core = self.core.borrow_mut();
        let view = Rc::new(View::new(&core.fold));
        let engines = view.backend_servers.values().filter_map(|server| {
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

    /// Adds a decision to the trail of a request.
    pub fn step(&self, number: u64, what: impl Into<String>) {
        self.core
            .borrow_mut()
            .trails
            .step(crate::clock::now(), number, what);
    }
}
