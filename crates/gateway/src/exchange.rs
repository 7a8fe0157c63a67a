//! One request of a caller, from admission to its answer.

use std::rc::Rc;
use std::time::Duration;

use domain::Moment;
use domain::digest;
use h1::Request;
use placement::plain;
use placement::plan;
use placement::plan::Need;
use route::Match;
use route::Organisation;
use route::Route;
use route::Service;
use route::Table;

use crate::Node;
use crate::port::Ask;
use crate::refusal::Refusal;
use crate::target::Target;

/// Tokens that make a prompt worth as much again as a short request; from the users' sheets, where
/// worth grows by about one for each 10,000 tokens.
const TOKENS_OF_VALUE: f64 = 10_000.0;
/// Callers of streams leave after this silence, or after four times the target or eight times the
/// pause target if that is longer; from the platform's pages.
const STREAM_PATIENCE: Duration = Duration::from_secs(2);

/// A request that was admitted.
pub struct Exchange {
    /// The head as the caller sent it.
    pub request: Request,
    /// The body.
    pub body: Vec<u8>,
    /// What the head says beside.
    pub ask: Ask,
    /// Its route.
    pub route: Rc<Route>,
    /// Its service.
    pub service: Rc<Service>,
    /// Who sends it.
    pub organisation: Option<Rc<Organisation>>,
    /// When it arrived.
    pub arrived: Moment,
    /// When the caller stops waiting.
    pub deadline: Moment,
    /// When it has to be answered at the latest.
    pub time_limit: Moment,
    /// Servers that it was sent to.
    pub tried: Vec<u64>,
    /// The last event that the caller has.
    pub last_event: Option<u64>,
    /// Attempts that were sent.
    pub attempts: u32,
    /// The id of the server that has it, or had it last; for logs.
    pub server: String,
    /// When its events came.
    pub pace: Pace,
    /// Whether a server may have run it.
    pub may_have_run: bool,
    /// What names the same work when the caller sends it again.
    pub fingerprint: u64,
}

/// When the events of a stream came.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Pace {
    first: Option<Moment>,
    last: Option<Moment>,
    longest_pause: Duration,
}

impl Pace {
    /// Notes that events came.
    pub fn note(&mut self, now: Moment) {
        self.first = self.first.or(Some(now));
        if let Some(last) = self.last {
            self.longest_pause = self.longest_pause.max(now.since(last));
        }
        self.last = Some(now);
    }
}

/// Why a request was not admitted, and what it asked.
pub type Refused = Box<(Refusal, Ask)>;

/// Finds the terms under which a request is served.
pub fn admit(
    table: &Table,
    request: Request,
    body: Vec<u8>,
    ask: Ask,
    arrived: Moment,
) -> Result<Exchange, Refused> {
    let (route, organisation) = match table.find(&ask.host, request.path(), ask.key.as_deref()) {
        Match::Found {
            route,
            organisation,
        } => (route, organisation),
        Match::NoRoute => return Err(Box::new((Refusal::NoRoute, ask))),
        Match::UnknownKey => return Err(Box::new((Refusal::UnknownKey, ask))),
    };
    let id = ask.id.as_deref().unwrap_or_default();
    let point = digest::fast(id.as_bytes()) as f64 / u64::MAX as f64;
    let service = route.service(point).and_then(|it| table.service(it));
    let Some(service) = service.cloned() else {
        return Err(Box::new((Refusal::NoServer, ask)));
    };
    let name = organisation.as_ref().map_or("", |it| it.name.as_str());
    let work = digest::seeded(&body, digest::fast(request.target.as_bytes()));
    let time_limit = arrived + route.time_limit;
    let patience = ask.patience.unwrap_or(route.time_limit);
    Ok(Exchange {
        fingerprint: digest::seeded(name.as_bytes(), work),
        deadline: arrived + patience,
        time_limit,
        last_event: ask.last_event,
        tried: Vec::new(),
        attempts: 0,
        server: String::new(),
        pace: Pace::default(),
        may_have_run: false,
        request,
        body,
        ask,
        route,
        service,
        organisation,
        arrived,
    })
}

impl Exchange {
    /// Returns when the work has to end.
    pub fn end(&self) -> Moment {
        self.deadline.min(self.time_limit)
    }

    /// Adds this request to the allowance of its service.
    pub fn earn(&self, node: &Node) {
        let terms = node.settings().allowance;
        let mut state = node.state.borrow_mut();
        let (allowance, entries) = state.allowance(clock::now(), &terms, &self.service.name);
        allowance.earn(&terms, entries);
    }

    /// Tells whether the request may be sent once more, and takes that from the allowance.
    pub fn may_repeat(&self, node: &Node) -> bool {
        if self.attempts >= self.route.attempts {
            return false;
        }
        let terms = node.settings().allowance;
        let now = clock::now();
        let mut state = node.state.borrow_mut();
        let (allowance, entries) = state.allowance(now, &terms, &self.service.name);
        let may = allowance.spend(now, &terms, entries);
        if may {
            node.metrics.retries.inc();
        } else {
            node.metrics.retries_denied.inc();
        }
        may
    }

    /// Chooses where the request goes.
    pub fn place(&self, node: &Node) -> Result<Target, Refusal> {
        let now = clock::now();
        let mut state = node.state.borrow_mut();
        let state = &mut *state;
        if state.quarantine.is_refused(now, self.fingerprint) {
            return Err(Refusal::Quarantined);
        }
        let mut random = rand::rng();
        let servers = state.servers.usable(now, &self.service.name);
        let (Some(engine), Some(prompt)) = (&self.service.engine, self.ask.prompt) else {
            let chosen = plain::choose(now, servers, &state.board, &self.tried, &mut random);
            let known = chosen.ok_or(Refusal::NoServer)?;
            return Ok(Target::plain(known.server.clone()));
        };
        let need = self.need(now, prompt.tokens, prompt.output, prompt.expected_output);
        let plan = plan::choose(
            now,
            engine,
            servers,
            &state.board,
            &need,
            &self.tried,
            &mut random,
        );
        let plan = plan.ok_or(Refusal::NoServer)?;
        if !plan.has_room && prompt.tokens + prompt.output > engine.memory_tokens {
            return Err(Refusal::NoRoom);
        }
        if now + plan.first_token > self.patience() && self.attempts == 0 {
            return Err(Refusal::TooLate);
        }
        let addressed = plan.parts.iter().map(|it| {
            let known = state.servers.get_mut(it.server)?;
            Some(known.server.clone())
        });
        let addressed: Option<Vec<_>> = addressed.collect();
        Target::planned(plan, addressed.unwrap_or_default()).ok_or(Refusal::NoServer)
    }

    /// Tells whether the request is better off waiting for memory than coming back later.
    pub fn may_wait_for_room(&self) -> bool {
        clock::now() < self.arrived + self.route.latency_target
    }

    fn need(&self, now: Moment, tokens: u64, output: u64, expected: Option<u64>) -> Need {
        let usual = self
            .service
            .engine
            .as_ref()
            .map_or(0, |it| it.usual_answer_tokens);
        Need {
            prompt_tokens: tokens,
            output_tokens: expected.unwrap_or(usual).min(output),
            target: now.until(self.arrived + self.route.latency_target),
            initial_target: self.route.latency_target,
            pause: self.route.pause_target,
            value: value(tokens),
        }
    }

    /// Returns when the caller of a stream leaves if no event has come.
    fn patience(&self) -> Moment {
        let pause = self.route.pause_target.unwrap_or_default();
        let silence = STREAM_PATIENCE
            .max(self.route.latency_target * 4)
            .max(pause * 8);
        (self.arrived + silence).min(self.end())
    }

    /// Logs how an attempt ended, and what it rested on.
    pub fn note_attempt(&self, node: &Node, target: &Target, outcome: &str) {
        log::info!(
            target: "attempt",
            request = self.ask.id.as_deref().unwrap_or("-"),
            route = self.route.name.as_str(),
            server = target.server.id.as_str(),
            helpers = target.helper_names(),
            parts = target.parts.len(),
            forecast_ms = target.first_token.as_millis() as u64,
            config = node.state.borrow().table.as_ref().map_or(0, |it| it.version()),
            attempt = self.attempts,
            tokens = self.ask.prompt.map_or(0, |it| it.tokens),
            loss = target.loss,
            writers = target.basis.decoding,
            placed = target.basis.placed,
            pass_ms = target.basis.pass_ms,
            backlog_ms = target.basis.backlog_ms,
            first_event_ms = self.pace.first.map_or(0, |it| it.since(self.arrived).as_millis() as u64),
            longest_pause_ms = self.pace.longest_pause.as_millis() as u64,
            elapsed_ms = clock::now().since(self.arrived).as_millis() as u64,
            outcome;
            "attempt ended"
        );
    }

    /// Logs that the caller has no whole answer.
    pub fn note_end(&self, node: &Node, outcome: &'static str) {
        node.metrics.ended(&self.route.name, outcome);
        log::info!(
            target: "request",
            request = self.ask.id.as_deref().unwrap_or("-"),
            route = self.route.name.as_str(),
            server = self.server.as_str(),
            attempts = self.attempts,
            longest_pause_ms = self.pace.longest_pause.as_millis() as u64,
            elapsed_ms = clock::now().since(self.arrived).as_millis() as u64,
            outcome;
            "request ended without a whole answer"
        );
    }
}

/// Returns what a prompt is worth to its caller, a short request being worth 1.
pub fn value(tokens: u64) -> f64 {
    1.0 + tokens as f64 / TOKENS_OF_VALUE
}
