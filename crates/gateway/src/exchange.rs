//! One request of a caller, from admission to its answer.

use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;

use domain::Homes;
use domain::Moment;
use domain::digest;
use h1::Framing;
use h1::Request;
use placement::Expectation;
use placement::servers::Scope;
use route::Match;
use route::Organisation;
use route::Route;
use route::Service;
use route::Table;
use routing::quarantine::Fingerprint;

use crate::Node;
use crate::held::Body;
use crate::node::State;
use crate::port::Metadata;
use crate::refusal::Refusal;
use crate::target::Target;

/// Prompt tokens that add the value of one short request. As the users specify, the value grows by
/// about one for each 10,000 tokens.
const TOKENS_PER_VALUE: f64 = 10_000.0;

/// Who sent a request to this entry.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Requester {
    /// A caller.
    Caller,
    /// Another entry that reaches no backend server, or none of the service. Its requests are not relayed again.
    Peer,
}

/// A request that was admitted.
pub struct Exchange {
    /// The head as the caller sent it.
    pub request: Request,
    /// The body.
    pub body: Rc<Body>,
    /// The request's metadata, read from its head.
    pub metadata: Metadata,
    /// The route that the request matched.
    pub route: Rc<Route>,
    /// The service that the route chose.
    pub service: Rc<Service>,
    /// The organisation that sends it, if the key names one.
    pub organisation: Option<Rc<Organisation>>,
    /// Who sent it to this entry.
    pub requester: Requester,
    /// When it arrived.
    pub arrived: Moment,
    /// When the caller stops waiting.
    pub caller_deadline: Moment,
    /// When the route's time limit ends.
    pub route_deadline: Moment,
    /// Keys of the servers that were already tried.
    pub tried: Vec<u64>,
    /// Numbers of the connections to servers over which it was sent.
    pub connections: Vec<u64>,
    /// The id of the last event that the caller received.
    pub last_event: Option<u64>,
    /// Whether another server can go on with what the caller received.
    pub can_resume: bool,
    /// Whether a server has begun the event after the last one.
    pub expects_event: bool,
    /// The number of attempts that were sent to a server.
    pub attempts: u32,
    /// When the last one was sent.
    pub sent_at: Option<Moment>,
    /// The id of the server of the current or the last attempt, for logs.
    pub server: String,
    /// When events of its stream arrived.
    pub timing: Timing,
    /// How the answer of the current or the last attempt was delimited, for logs.
    pub ending: Ending,
    /// The passes that servers took for the answer so far, over all attempts. An answer that has begun at
    /// another entry is counted there.
    pub passes: u64,
    /// Whether the cost of the request was observed.
    pub is_observed: bool,
    /// Whether a server may have run the request.
    pub may_have_run: bool,
    /// Describes the work for the quarantine.
    pub fingerprint: Fingerprint,
    /// The levels by which it is less urgent than the most urgent requests of its service.
    pub level: u32,
    /// Whether it comes back as a rejection told it to.
    pub is_returned: bool,
    /// The regions in which it may be served, and the version of the configuration that says so.
    homes: (Homes, u64),
    /// The loss of its plan when it began to wait because others would lose too much.
    pub harm_loss: Cell<Option<f64>>,
}

/// How a server's answer is delimited, and what was left at its end.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Ending {
    /// How the body is delimited; `None` before the head of the answer.
    pub framing: Option<Framing>,
    /// The number of whole events that the server sent.
    pub event_count: u64,
    /// Whether an id of its events was damaged, so that it can't be resumed.
    pub has_damaged_id: bool,
    /// The number of bytes after the last complete event of a stream that ended.
    pub partial_event_bytes: usize,
}

/// When the events of a stream arrived.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Timing {
    first: Option<Moment>,
    last: Option<Moment>,
    longest_pause: Duration,
}

impl Timing {
    /// Records that events arrived.
    pub fn record(&mut self, now: Moment) {
        self.first = self.first.or(Some(now));
        if let Some(last) = self.last {
            self.longest_pause = self.longest_pause.max(now.since(last));
        }
        self.last = Some(now);
    }
}

/// Why a request was not admitted, and its metadata.
pub type Refused = Box<(Refusal, Metadata)>;

/// Finds the route, organisation and service of a request, and sets its deadlines.
pub fn admit(
    table: &Table,
    request: Request,
    body: Body,
    metadata: Metadata,
    requester: Requester,
    arrived: Moment,
) -> Result<Exchange, Refused> {
    let (route, organisation) =
        match table.find(&metadata.host, request.path(), metadata.key.as_deref()) {
            Match::Found {
                route,
                organisation,
            } => (route, organisation),
            Match::NoRoute => return Err(Box::new((Refusal::NoRoute, metadata))),
            Match::UnknownKey => return Err(Box::new((Refusal::UnknownKey, metadata))),
        };
    let id = metadata.id.as_deref().unwrap_or_default();
    let split_point = digest::fast(id.as_bytes()) as f64 / u64::MAX as f64;
    let service = route.service(split_point).and_then(|it| table.service(it));
    let Some(service) = service.cloned() else {
        return Err(Box::new((Refusal::NoServer, metadata)));
    };
    let name = organisation.as_ref().map_or("", |it| it.name.as_str());
    let request_hash = digest::seeded(&body.bytes, digest::fast(request.target.as_bytes()));
    let route_deadline = arrived + route.time_limit;
    let timeout = metadata.timeout.unwrap_or(route.time_limit);
    Ok(Exchange {
        level: table.level(&service.name, &route, organisation.as_deref()),
        is_returned: false,
        homes: (route.homes_of(organisation.as_deref()), table.version()),
        harm_loss: Cell::default(),
        fingerprint: Fingerprint {
            request: digest::seeded(name.as_bytes(), request_hash),
            parts: metadata.shared_parts.clone(),
        },
        caller_deadline: arrived + timeout,
        route_deadline,
        last_event: metadata.last_event,
        can_resume: true,
        expects_event: false,
        tried: Vec::new(),
        connections: Vec::new(),
        attempts: 0,
        sent_at: None,
        server: String::new(),
        timing: Timing::default(),
        ending: Ending::default(),
        passes: 0,
        is_observed: false,
        may_have_run: false,
        request,
        body: Rc::new(body),
        metadata,
        route,
        service,
        organisation,
        requester,
        arrived,
    })
}

impl Exchange {
    /// Returns the deadline for servers: the caller's or the route's, whichever is earlier.
    pub fn deadline(&self) -> Moment {
        self.caller_deadline.min(self.route_deadline)
    }

    /// Adds this request's credit to the retry budget of its service.
    pub fn add_retry_credit(&self, node: &Node) {
        let policy = node.settings().retry_budget;
        let mut state = node.state.borrow_mut();
        let (budget, entries) = state.retry_budget(clock::now(), &policy, &self.service.name);
        budget.earn(&policy, entries);
    }

    /// Returns whether the request may be retried, without taking a retry from the budget.
    pub fn may_retry(&self, node: &Node) -> bool {
        self.has_attempt_left() && node.has_retry(clock::now(), &self.service.name)
    }

    /// Returns whether the request may be retried, and takes one retry from the budget if so.
    pub fn take_retry(&self, node: &Node) -> bool {
        if !self.has_attempt_left() {
            return false;
        }
        let policy = node.settings().retry_budget;
        let now = clock::now();
        let mut state = node.state.borrow_mut();
        let (budget, entries) = state.retry_budget(now, &policy, &self.service.name);
        let is_allowed = budget.spend(now, &policy, entries);
        if is_allowed {
            node.metrics.retries.inc();
        } else {
            node.metrics.retries_denied.inc();
        }
        is_allowed
    }

    /// Returns whether its route and what the caller has received allow another attempt.
    fn has_attempt_left(&self) -> bool {
        self.attempts < self.route.attempts && self.can_resume
    }

    /// Returns what decides on the cost of the request; `None` if that can't be told: a request without a
    /// prompt on an engine.
    pub fn cost_request(&self) -> Option<cost::Request<'_>> {
        if self.service.engine.is_some() && self.metadata.prompt.is_none() {
            return None;
        }
        let prompt = self
            .metadata
            .prompt
            .filter(|_| self.service.engine.is_some());
        let time_limit_ms = self.deadline().since(self.arrived).as_secs_f64() * 1e3;
        Some(cost::Request {
            service: &self.service.name,
            route: &self.route.name,
            organisation: self.organisation.as_ref().map_or("", |it| it.name.as_str()),
            hint: prompt.and_then(|it| Some(it.expected_answer_tokens? as f64)),
            limit: prompt.map_or(time_limit_ms, |it| it.max_answer_tokens as f64),
        })
    }

    /// Returns the number of answer tokens to expect by what the request and the engine declare.
    pub fn declared_answer_tokens(&self) -> Option<u64> {
        let (engine, prompt) = (self.service.engine.as_ref()?, self.metadata.prompt?);
        let expected = prompt.expected_answer_tokens;
        let expected = expected.unwrap_or(engine.usual_answer_tokens);
        Some(expected.min(prompt.max_answer_tokens))
    }

    /// Returns the regions in which the request may be served by the configuration in force. A request whose
    /// route or key is no longer there keeps those that it had.
    pub fn homes(&self, state: &State) -> Homes {
        let (homes, version) = &self.homes;
        let table = state.table.as_ref().filter(|it| it.version() != *version);
        let found = table.map(|it| {
            let meta = &self.metadata;
            it.find(&meta.host, self.request.path(), meta.key.as_deref())
        });
        match found {
            Some(Match::Found {
                route,
                organisation,
            }) => route.homes_of(organisation.as_deref()),
            _ => homes.clone(),
        }
    }

    /// Returns the servers that may be chosen.
    pub fn scope(&self, state: &State) -> Scope<'_> {
        Scope {
            service: &self.service.name,
            homes: self.homes(state),
        }
    }

    /// Returns the refusal if every server of the service asked for a pause or has reached its limit
    /// or its bound while cold, or if there are servers, but none in the home regions; otherwise `refusal`.
    pub fn refusal_in_pause(&self, now: Moment, state: &State, refusal: Refusal) -> Refusal {
        let scope = self.scope(state);
        let servers = &state.servers;
        if let Some(left) = servers.pause_of_all(now, scope.clone(), &state.workload) {
            return Refusal::Paused(left);
        }
        if refusal == Refusal::NoServer
            && !scope.homes.is_any()
            && servers.usable(now, scope).next().is_none()
            && servers.usable(now, &self.service.name).next().is_some()
        {
            return Refusal::NoHomeServer;
        }
        refusal
    }

    /// Returns the value that plans weigh, which each level of priority halves.
    pub fn value(&self) -> f64 {
        let tokens = self.metadata.prompt.map_or(0, |it| it.tokens);
        prompt_value(tokens) * admission::weight(self.level)
    }

    /// Logs how an attempt ended, and the forecast on which its placement was based.
    pub fn log_attempt(&self, node: &Node, target: &Target, outcome: &str) {
        log::info!(
            target: "attempt",
            request = self.metadata.id.as_deref().unwrap_or("-"),
            route = self.route.name.as_str(),
            server = target.server.id.as_str(),
            helpers = target.helper_ids(),
            parts = target.parts.len(),
            forecast_ms = target.first_token.as_millis() as u64,
            config = node.state.borrow().config_version(),
            attempt = self.attempts,
            tokens = self.metadata.prompt.map_or(0, |it| it.tokens),
            loss = target.loss,
            writers = target.load.decoding,
            placed = target.load.placed,
            pass_ms = target.load.pass_ms,
            backlog_ms = target.load.backlog_ms,
            expected_cost = target.estimate.map_or(0.0, |it| it.mean),
            upper_cost = target.estimate.map_or(0.0, |it| it.upper),
            first_event_ms = self.timing.first.map_or(0, |it| it.since(self.arrived).as_millis() as u64),
            longest_pause_ms = self.timing.longest_pause.as_millis() as u64,
            elapsed_ms = clock::now().since(self.arrived).as_millis() as u64,
            framing = self.ending.framing.map_or("-", Framing::name),
            events = self.ending.event_count,
            damaged_id = self.ending.has_damaged_id,
            partial_event_bytes = self.ending.partial_event_bytes,
            last_event = self.last_event.unwrap_or_default(),
            outcome;
            "attempt ended"
        );
    }

    /// Logs and counts a request whose caller did not get the whole answer. `reason` says why no further attempt
    /// was made.
    pub fn record_end(&self, node: &Node, outcome: &'static str, reason: &'static str) {
        node.metrics.record_end(&self.route.name, outcome);
        log::info!(
            target: "request",
            request = self.metadata.id.as_deref().unwrap_or("-"),
            route = self.route.name.as_str(),
            server = self.server.as_str(),
            attempts = self.attempts,
            longest_pause_ms = self.timing.longest_pause.as_millis() as u64,
            elapsed_ms = clock::now().since(self.arrived).as_millis() as u64,
            reason,
            outcome;
            "request ended without a whole answer"
        );
    }
}

/// Returns an estimate in units of `unit`.
pub fn expectation(estimate: &cost::Estimate, unit: f64) -> Expectation {
    Expectation {
        mean: (estimate.mean / unit) as f32,
        upper: (estimate.upper / unit) as f32,
    }
}

/// Returns the value of a request to its caller; a short request has the value 1.
fn prompt_value(tokens: u64) -> f64 {
    1.0 + tokens as f64 / TOKENS_PER_VALUE
}
