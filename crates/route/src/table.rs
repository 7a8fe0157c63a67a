//! One version of the configuration of routes.

use std::collections::HashMap;
use std::rc::Rc;
use std::time::Duration;

use crate::Kind;
use crate::Service;

/// One version of the configuration of routes.
#[derive(Clone, Debug, Default)]
pub struct Table {
    version: u64,
    /// The routes of each host, the longest prefix first.
    hosts: HashMap<String, Vec<Rc<Route>>>,
    services: HashMap<String, Rc<Service>>,
    /// The organisation that holds each API key; absent if no key is needed.
    keys: Option<HashMap<String, Rc<Organisation>>>,
    limits: Limits,
}

/// Which requests go to which service, and under which terms.
#[derive(Clone, Debug, PartialEq)]
pub struct Route {
    /// The name, for logs and metrics.
    pub name: String,
    /// The host that callers name.
    pub host: String,
    /// The start of the paths; it ends with a slash.
    pub prefix: String,
    /// What may be repeated.
    pub kind: Kind,
    /// The longest time that a caller is kept waiting for the end of the answer.
    pub time_limit: Duration,
    /// The time within which the answer, or its first event, should come.
    pub latency_target: Duration,
    /// The longest pause between two events that a caller should see.
    pub pause_target: Option<Duration>,
    /// The rank: 0 is the most urgent.
    pub priority: u32,
    /// The services and their weights.
    pub services: Vec<(String, u32)>,
    /// The instances that one request may be sent to at most.
    pub attempts: u32,
    /// Whether callers need no key.
    pub is_public: bool,
}

/// Who holds an API key.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Organisation {
    /// The name, as backend servers are told it.
    pub name: String,
    /// The rank that goes before that of the route.
    pub priority: Option<u32>,
}

/// What callers may send, and how long they may take.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Limits {
    /// Bytes of a head.
    pub head_bytes: usize,
    /// Bytes of a body.
    pub body_bytes: usize,
    /// The time for a head.
    pub head_timeout: Duration,
    /// The time that a connection may stay idle.
    pub idle_timeout: Duration,
}

impl Default for Limits {
    /// What holds until the first configuration is known.
    fn default() -> Self {
        Self {
            head_bytes: 16 * 1024,
            body_bytes: 4 * 1024 * 1024,
            head_timeout: Duration::from_secs(3),
            idle_timeout: Duration::from_secs(15),
        }
    }
}

/// What the configuration says of a request.
#[derive(Clone, Debug)]
pub enum Match {
    /// The request may go on.
    Found {
        /// Its route.
        route: Rc<Route>,
        /// Who sends it; absent on public routes.
        organisation: Option<Rc<Organisation>>,
    },
    /// No route matches.
    NoRoute,
    /// The key is missing or held by nobody.
    UnknownKey,
}

impl Table {
    /// Returns a version of the configuration. `keys` is absent if callers need none.
    pub fn new(
        version: u64,
        routes: Vec<Route>,
        services: Vec<Service>,
        keys: Option<HashMap<String, Rc<Organisation>>>,
        limits: Limits,
    ) -> Self {
        let mut hosts: HashMap<String, Vec<Rc<Route>>> = HashMap::new();
        for route in routes {
            let host = route.host.to_ascii_lowercase();
            hosts.entry(host).or_default().push(Rc::new(route));
        }
        for routes in hosts.values_mut() {
            routes.sort_by_key(|it| std::cmp::Reverse(it.prefix.len()));
        }
        let services = services
            .into_iter()
            .map(|it| (it.name.clone(), Rc::new(it)));
        Self {
            version,
            hosts,
            services: services.collect(),
            keys,
            limits,
        }
    }

    /// Returns the version. Later ones are greater.
    pub fn version(&self) -> u64 {
        self.version
    }

    /// Returns the limits on callers.
    pub fn limits(&self) -> &Limits {
        &self.limits
    }

    /// Returns a service.
    pub fn service(&self, name: &str) -> Option<&Rc<Service>> {
        self.services.get(name)
    }

    /// Returns all services.
    pub fn services(&self) -> impl Iterator<Item = &Rc<Service>> {
        self.services.values()
    }

    /// Finds what holds for a request. `host` may have a port; `key` is the caller's API key.
    pub fn find(&self, host: &str, path: &str, key: Option<&str>) -> Match {
        let name = host.rsplit_once(':').map_or(host, |it| it.0);
        let routes = self.hosts.get(&name.to_ascii_lowercase());
        let mut routes = routes.into_iter().flatten();
        let Some(route) = routes.find(|it| path.starts_with(&it.prefix)) else {
            return Match::NoRoute;
        };
        let route = route.clone();
        let Some(keys) = self.keys.as_ref().filter(|_| !route.is_public) else {
            return Match::Found {
                route,
                organisation: None,
            };
        };
        match key.and_then(|it| keys.get(it)) {
            Some(organisation) => Match::Found {
                route,
                organisation: Some(organisation.clone()),
            },
            None => Match::UnknownKey,
        }
    }
}

impl Route {
    /// Returns the service of a request. `point` lies between 0 and 1 and stays the same for all
    /// attempts of one request.
    pub fn service(&self, point: f64) -> Option<&str> {
        let total: u32 = self.services.iter().map(|it| it.1).sum();
        let mut left = point * f64::from(total);
        for (name, weight) in &self.services {
            left -= f64::from(*weight);
            if left < 0.0 {
                return Some(name);
            }
        }
        self.services.last().map(|it| it.0.as_str())
    }
}
