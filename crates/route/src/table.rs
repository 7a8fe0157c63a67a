//! The route table: one version of the route configuration.

use std::collections::HashMap;
use std::rc::Rc;
use std::time::Duration;

use domain::Homes;

use crate::Kind;
use crate::Service;

/// Callers of streams disconnect after this time without an event, or after four times the target
/// or eight times the pause target if that is longer, as the platform documents.
const STREAM_SILENCE_LIMIT: Duration = Duration::from_secs(2);

/// One version of the route configuration.
#[derive(Clone, Debug, Default)]
pub struct Table {
    version: u64,
    /// The routes of each host, the longest prefix first.
    hosts: HashMap<String, Vec<Rc<Route>>>,
    services: HashMap<String, Rc<Service>>,
    /// The organisation that each API key belongs to; `None` if no key is needed.
    keys: Option<HashMap<String, Rc<Organisation>>>,
    /// The priority of the most urgent requests of each service.
    most_urgent: HashMap<String, u32>,
    limits: Limits,
}

/// A route: a set of requests, the services that handle them, and the terms that apply.
#[derive(Clone, Debug, PartialEq)]
pub struct Route {
    /// The name used in logs and metrics.
    pub name: String,
    /// The host in the request.
    pub host: String,
    /// The path prefix, which ends with a slash.
    pub prefix: String,
    /// Whether and how requests may be retried.
    pub kind: Kind,
    /// The maximum time until the end of the answer.
    pub time_limit: Duration,
    /// The target time to the answer or, for a stream, to its first event.
    pub latency_target: Duration,
    /// The target for the longest pause between two events of a stream.
    pub pause_target: Option<Duration>,
    /// The priority: 0 is the most urgent.
    pub priority: u32,
    /// The services and their weights.
    pub services: Vec<(String, u32)>,
    /// The maximum number of instances that one request is sent to.
    pub attempts: u32,
    /// Whether the route needs no API key.
    pub is_public: bool,
    /// The regions in which its requests may be served.
    pub homes: Homes,
}

/// An organisation that holds an API key.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Organisation {
    /// The name that is sent to backend servers.
    pub name: String,
    /// The priority that overrides that of the route.
    pub priority: Option<u32>,
    /// The regions in which its requests may be served.
    pub homes: Homes,
}

/// The limits on the size and duration of callers' requests.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Limits {
    /// The maximum size of a request head, in bytes.
    pub head_bytes: usize,
    /// The maximum size of a request body, in bytes.
    pub body_bytes: usize,
    /// The timeout for receiving a request head.
    pub head_timeout: Duration,
    /// The timeout for idle connections.
    pub idle_timeout: Duration,
}

impl Default for Limits {
    /// Returns the limits that apply until the first configuration has been received.
    fn default() -> Self {
        Self {
            head_bytes: 16 * 1024,
            body_bytes: 4 * 1024 * 1024,
            head_timeout: Duration::from_secs(3),
            idle_timeout: Duration::from_secs(15),
        }
    }
}

/// The result of a route lookup.
#[derive(Clone, Debug)]
pub enum Match {
    /// A route matches and the key is valid.
    Found {
        /// The matching route.
        route: Rc<Route>,
        /// The organisation of the key; `None` if no key is needed.
        organisation: Option<Rc<Organisation>>,
    },
    /// No route matches.
    NoRoute,
    /// The key is missing or belongs to no organisation.
    UnknownKey,
}

impl Table {
    /// Returns a version of the configuration. `keys` is `None` if callers need no key.
    pub fn new(
        version: u64,
        routes: Vec<Route>,
        services: Vec<Service>,
        keys: Option<HashMap<String, Rc<Organisation>>>,
        limits: Limits,
    ) -> Self {
        let most_urgent = most_urgent(&routes, keys.as_ref());
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
            most_urgent,
            limits,
        }
    }

    /// Returns the version, which increases with each configuration.
    pub fn version(&self) -> u64 {
        self.version
    }

    /// Returns the limits on callers' requests.
    pub fn limits(&self) -> &Limits {
        &self.limits
    }

    /// Returns the service called `name`.
    pub fn service(&self, name: &str) -> Option<&Rc<Service>> {
        self.services.get(name)
    }

    /// Returns all services.
    pub fn services(&self) -> impl Iterator<Item = &Rc<Service>> {
        self.services.values()
    }

    /// Returns all routes.
    pub fn routes(&self) -> impl Iterator<Item = &Rc<Route>> {
        self.hosts.values().flatten()
    }

    /// Returns by how many levels a request is less urgent than the most urgent ones of its service; 0
    /// if the priorities of all are equal.
    pub fn level(&self, service: &str, route: &Route, organisation: Option<&Organisation>) -> u32 {
        let most_urgent = self.most_urgent.get(service).copied().unwrap_or_default();
        route.priority_of(organisation).saturating_sub(most_urgent)
    }

    /// Returns whether the routes of a service differ in priority.
    pub fn has_priorities(&self, service: &str) -> bool {
        let uses = |it: &&Rc<Route>| it.services.iter().any(|(name, _)| name == service);
        let mut routes = self.hosts.values().flatten().filter(uses);
        let first = routes.next().map(|it| it.priority);
        routes.any(|it| Some(it.priority) != first)
    }

    /// Looks up the route of a request. `host` may include a port; `key` is the caller's API key.
    pub fn find(&self, host: &str, path: &str, key: Option<&str>) -> Match {
        let host_name = host.rsplit_once(':').map_or(host, |it| it.0);
        let routes = self.hosts.get(&host_name.to_ascii_lowercase());
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

/// Returns the priority of the most urgent requests of each service, by the routes and organisations
/// that may use it.
fn most_urgent(
    routes: &[Route],
    keys: Option<&HashMap<String, Rc<Organisation>>>,
) -> HashMap<String, u32> {
    let mut most_urgent = HashMap::new();
    for route in routes {
        let organisations = keys.filter(|_| !route.is_public).into_iter().flatten();
        let priorities = organisations.map(|it| route.priority_of(Some(it.1)));
        let priority = priorities.min().unwrap_or(route.priority);
        for (service, _) in &route.services {
            let known = most_urgent.entry(service.clone()).or_insert(priority);
            *known = priority.min(*known);
        }
    }
    most_urgent
}

impl Route {
    /// Returns the priority of the requests of an organisation, whose own goes first.
    pub fn priority_of(&self, organisation: Option<&Organisation>) -> u32 {
        let own = organisation.and_then(|it| it.priority);
        own.unwrap_or(self.priority)
    }

    /// Returns the regions in which the requests of an organisation may be served. If both the route and the
    /// organisation have home regions, both apply.
    pub fn homes_of(&self, organisation: Option<&Organisation>) -> Homes {
        match organisation {
            Some(organisation) => self.homes.intersection(&organisation.homes),
            None => self.homes.clone(),
        }
    }

    /// Returns how long the caller of a stream waits for an event before it disconnects.
    pub fn silence_limit(&self) -> Duration {
        STREAM_SILENCE_LIMIT
            .max(self.latency_target * 4)
            .max(self.pause_target.unwrap_or_default() * 8)
    }

    /// Selects the service of a request by weight. `point` lies between 0 and 1 and is the same for
    /// all attempts of the request, so they all go to one service.
    pub fn service(&self, point: f64) -> Option<&str> {
        let weights = self.services.iter().map(|it| f64::from(it.1));
        let mut remaining = point * weights.sum::<f64>();
        for (name, weight) in &self.services {
            remaining -= f64::from(*weight);
            if remaining < 0.0 {
                return Some(name);
            }
        }
        self.services.last().map(|it| it.0.as_str())
    }
}
