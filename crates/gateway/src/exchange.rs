//! One request of a caller, from admission to its answer.

use std::rc::Rc;
use std::time::Duration;

use admission::Decision;
use admission::RetryTime;
use admission::decision::Bounds;
use admission::decision::Call;
use admission::decision::Slot;
use admission::queue::Ahead;
use admission::queue::Reason;
use domain::Moment;
use domain::digest;
use h1::Framing;
use h1::Request;
use placement::plain;
use placement::plan;
use placement::plan::Need;
use placement::workload::Timeliness;
use route::Engine;
use route::Match;
use route::Organisation;
use route::Route;
use route::Service;
use route::Table;
use routing::quarantine;
use routing::quarantine::Fingerprint;

use crate::Node;
use crate::node::State;
use crate::port::Metadata;
use crate::port::Prompt;
use crate::refusal::Refusal;
use crate::target::Target;
use crate::turns::Standing;
use crate::turns::Turn;

/// Prompt tokens that add the value of one short request. As the users specify, the value grows by
/// about one for each 10,000 tokens.
const TOKENS_PER_VALUE: f64 = 10_000.0;
/// Callers of streams disconnect after this time without an event, or after four times the target
/// or eight times the pause target if that is longer, as the platform documents.
const STREAM_SILENCE_LIMIT: Duration = Duration::from_secs(2);
/// The interval between two checks for free engine memory. Several requests end within it.
const ROOM_CHECK_INTERVAL: Duration = Duration::from_millis(80);
/// The time for which the latency of a plain server's answers counts.
const LATENCY_LIFETIME: Duration = Duration::from_secs(3);
/// The latency that is assumed of plain servers that have not answered yet, as a share of the target.
const ASSUMED_LATENCY_SHARE: f64 = 0.25;

/// A request that was admitted.
pub struct Exchange {
    /// The head as the caller sent it.
    pub request: Request,
    /// The body.
    pub body: Vec<u8>,
    /// The request's metadata, read from its head.
    pub metadata: Metadata,
    /// The route that the request matched.
    pub route: Rc<Route>,
    /// The service that the route chose.
    pub service: Rc<Service>,
    /// The organisation that sends it, if the key names one.
    pub organisation: Option<Rc<Organisation>>,
    /// When it arrived.
    pub arrived: Moment,
    /// When the caller stops waiting.
    pub caller_deadline: Moment,
    /// When the route's time limit ends.
    pub route_deadline: Moment,
    /// Keys of the servers that were already tried.
    pub tried: Vec<u64>,
    /// The id of the last event that the caller received.
    pub last_event: Option<u64>,
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
    /// Whether a server may have run the request.
    pub may_have_run: bool,
    /// Describes the work for the quarantine.
    pub fingerprint: Fingerprint,
    /// The levels by which it is less urgent than the most urgent requests of its service.
    pub level: u32,
    /// Whether it comes back as a rejection told it to.
    pub is_returned: bool,
}

/// How a server's answer is delimited, and what was left at its end.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Ending {
    /// How the body is delimited; `None` before the head of the answer.
    pub framing: Option<Framing>,
    /// The number of whole events that the server sent.
    pub event_count: u64,
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
    body: Vec<u8>,
    metadata: Metadata,
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
    let request_hash = digest::seeded(&body, digest::fast(request.target.as_bytes()));
    let route_deadline = arrived + route.time_limit;
    let timeout = metadata.timeout.unwrap_or(route.time_limit);
    Ok(Exchange {
        level: table.level(&service.name, &route, organisation.as_deref()),
        is_returned: false,
        fingerprint: Fingerprint {
            request: digest::seeded(name.as_bytes(), request_hash),
            parts: metadata.shared_parts.clone(),
        },
        caller_deadline: arrived + timeout,
        route_deadline,
        last_event: metadata.last_event,
        tried: Vec::new(),
        attempts: 0,
        sent_at: None,
        server: String::new(),
        timing: Timing::default(),
        ending: Ending::default(),
        may_have_run: false,
        request,
        body,
        metadata,
        route,
        service,
        organisation,
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

    /// Returns whether the request may be retried, and takes one retry from the budget if so.
    pub fn take_retry(&self, node: &Node) -> bool {
        if self.attempts >= self.route.attempts {
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

    /// Chooses the server, or the servers, for the next attempt, unless the request should wait.
    pub fn place(&self, node: &Node, standing: Standing) -> Result<Turn, Refusal> {
        let now = clock::now();
        let mut state = node.state.borrow_mut();
        let state = &mut *state;
        let members = &state.members;
        let decision = state
            .quarantine
            .admit(now, &self.fingerprint, |it| members.is_owner(it));
        let mut standing = standing;
        if let quarantine::Decision::Test(digest) = decision {
            log::info!(target: "quarantine", digest; "a request tests whether it still crashes servers");
            // A test that waits would not be admitted a second time.
            standing = Standing::Exempt;
        }
        if decision == quarantine::Decision::Refuse {
            return Err(Refusal::Quarantined);
        }
        let (Some(_), Some(prompt)) = (&self.service.engine, self.metadata.prompt) else {
            return self.place_call(now, state, standing);
        };
        self.place_prompt(now, state, prompt, standing)
    }

    /// Chooses the server for a call to a plain service.
    fn place_call(
        &self,
        now: Moment,
        state: &mut State,
        standing: Standing,
    ) -> Result<Turn, Refusal> {
        let servers = state.servers.usable(now, &self.service.name);
        let mut random = rand::rng();
        let chosen = plain::choose(now, servers, &state.workload, &self.tried, &mut random);
        let chosen = chosen.ok_or_else(|| self.refusal_in_pause(now, state, Refusal::NoServer))?;
        let assumed = self.route.latency_target.mul_f64(ASSUMED_LATENCY_SHARE);
        let latency = chosen.recent_latency(now, LATENCY_LIFETIME);
        let latency = latency.unwrap_or(assumed);
        let server = chosen.server.clone();
        // A free server goes before full ones, so if this one is full, all are.
        let running = state.workload.queue(server.key()).map_or(0, |it| it.len());
        let slot = match running {
            _ if server.slots == 0 => Slot::Free,
            running if running < usable_slots(state, server.slots) => Slot::Free,
            running if running < server.slots => Slot::BeyondShare,
            _ => Slot::Taken,
        };
        let call = Call {
            target: now.until(self.arrived + self.route.latency_target),
            deadline: now.until(self.deadline()),
            latency,
            slot,
        };
        let queue = state.waiting.queue(&self.service.name);
        if standing != Standing::Exempt {
            // Any call can use any slot, so one that became free while this call was woken belongs to
            // those ahead, which are woken again.
            let ahead = if call.is_late() {
                queue.ahead_of_late()
            } else {
                queue.ahead(now, &self.rank())
            };
            if let Decision::Wait { until, reason } = admission::decide_call(now, &call, ahead) {
                return Ok(Turn::Wait(until, reason));
            }
        }
        queue.record_placed(now, self.rank().organisation, latency.as_secs_f64() * 1e3);
        Ok(Turn::Place(Target::plain(server)))
    }

    /// Chooses the engines for a prompt.
    fn place_prompt(
        &self,
        now: Moment,
        state: &mut State,
        prompt: Prompt,
        standing: Standing,
    ) -> Result<Turn, Refusal> {
        let Some(engine) = &self.service.engine else {
            return Err(Refusal::NoServer);
        };
        let need = self.need(
            now,
            prompt.tokens,
            prompt.max_answer_tokens,
            prompt.expected_answer_tokens,
        );
        let plan = plan::choose(
            now,
            engine,
            state.servers.usable(now, &self.service.name),
            &state.workload,
            &need,
            &self.tried,
            &mut rand::rng(),
        );
        let plan = plan.ok_or_else(|| self.refusal_in_pause(now, state, Refusal::NoServer))?;
        if !plan.has_room && prompt.tokens + prompt.max_answer_tokens > engine.memory_tokens {
            if self.may_wait_for_room() && standing != Standing::Exempt {
                return Ok(Turn::Wait(now + ROOM_CHECK_INTERVAL, Reason::Room));
            }
            return Err(Refusal::NoRoom);
        }
        let bounds = Bounds {
            first_event: now.until(self.first_event_deadline()),
            slots: usable_slots(state, engine.slots),
            all_slots: engine.slots,
            weight: admission::weight(self.level),
        };
        let queue = state.waiting.queue(&self.service.name);
        let ahead = match (plan.timeliness, standing) {
            (Timeliness::Late, _) => queue.ahead_of_late(),
            (Timeliness::OnTime, Standing::New) => queue.ahead(now, &self.rank()),
            (Timeliness::OnTime, _) => Ahead::default(),
        };
        match admission::decide(now, &need, &plan, ahead, bounds) {
            Decision::Reject { room } if self.attempts == 0 => {
                return Err(Refusal::TooLate(room));
            }
            Decision::Wait { until, reason } if standing != Standing::Exempt => {
                return Ok(Turn::Wait(until, reason));
            }
            _ => {}
        }
        queue.record_placed(now, self.rank().organisation, engine_ms(engine, &need));
        let part_servers = plan.parts.iter().map(|it| {
            let server_state = state.servers.get_mut(it.server)?;
            Some(server_state.server.clone())
        });
        let part_servers: Option<Vec<_>> = part_servers.collect();
        let target = Target::planned(plan, part_servers.unwrap_or_default());
        target.map(Turn::Place).ok_or(Refusal::NoServer)
    }

    /// Returns when a caller that gets this refusal should come back.
    pub fn retry_time(&self, node: &Node, refusal: Refusal) -> Option<RetryTime> {
        let room = match refusal {
            Refusal::TooLate(room) => room,
            Refusal::NoServer | Refusal::NoRoom | Refusal::NotRun => Duration::ZERO,
            _ => return refusal.retry_time(),
        };
        let usual = refusal.retry_time()?;
        let drain = {
            let mut state = node.state.borrow_mut();
            state.waiting.queue(&self.service.name).drain_time()
        };
        let left = clock::now().until(self.caller_deadline);
        Some(RetryTime::new(
            room.max(usual.earliest),
            drain.max(usual.spread),
            left,
        ))
    }

    /// Returns the refusal if every server of the service asked for a pause or has reached its limit,
    /// otherwise `refusal`.
    pub fn refusal_in_pause(&self, now: Moment, state: &State, refusal: Refusal) -> Refusal {
        let rates = state.workload.rates();
        let left = state.servers.pause_of_all(now, &self.service.name, rates);
        left.map_or(refusal, Refusal::Paused)
    }

    /// Returns whether the request should wait for engine memory rather than be refused.
    pub fn may_wait_for_room(&self) -> bool {
        clock::now() < self.arrived + self.route.latency_target
    }

    fn need(
        &self,
        now: Moment,
        tokens: u64,
        max_answer_tokens: u64,
        expected_answer_tokens: Option<u64>,
    ) -> Need {
        let usual_answer_tokens = self
            .service
            .engine
            .as_ref()
            .map_or(0, |it| it.usual_answer_tokens);
        Need {
            prompt_tokens: tokens,
            expected_answer_tokens: expected_answer_tokens
                .unwrap_or(usual_answer_tokens)
                .min(max_answer_tokens),
            target: now.until(self.arrived + self.route.latency_target),
            initial_target: self.route.latency_target,
            pause: self.route.pause_target,
            value: self.value(),
        }
    }

    /// Returns the value that plans weigh, which each level of priority halves.
    pub fn value(&self) -> f64 {
        let tokens = self.metadata.prompt.map_or(0, |it| it.tokens);
        prompt_value(tokens) * admission::weight(self.level)
    }

    /// Returns when the caller of a stream disconnects if it has received no event.
    fn first_event_deadline(&self) -> Moment {
        let pause = self.route.pause_target.unwrap_or_default();
        let silence = STREAM_SILENCE_LIMIT
            .max(self.route.latency_target * 4)
            .max(pause * 8);
        (self.arrived + silence).min(self.deadline())
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
            config = node.state.borrow().table.as_ref().map_or(0, |it| it.version()),
            attempt = self.attempts,
            tokens = self.metadata.prompt.map_or(0, |it| it.tokens),
            loss = target.loss,
            writers = target.load.decoding,
            placed = target.load.placed,
            pass_ms = target.load.pass_ms,
            backlog_ms = target.load.backlog_ms,
            first_event_ms = self.timing.first.map_or(0, |it| it.since(self.arrived).as_millis() as u64),
            longest_pause_ms = self.timing.longest_pause.as_millis() as u64,
            elapsed_ms = clock::now().since(self.arrived).as_millis() as u64,
            framing = self.ending.framing.map_or("-", Framing::name),
            events = self.ending.event_count,
            partial_event_bytes = self.ending.partial_event_bytes,
            last_event = self.last_event.unwrap_or_default(),
            outcome;
            "attempt ended"
        );
    }

    /// Logs and counts a request whose caller did not get the whole answer.
    pub fn record_end(&self, node: &Node, outcome: &'static str) {
        node.metrics.record_end(&self.route.name, outcome);
        log::info!(
            target: "request",
            request = self.metadata.id.as_deref().unwrap_or("-"),
            route = self.route.name.as_str(),
            server = self.server.as_str(),
            attempts = self.attempts,
            longest_pause_ms = self.timing.longest_pause.as_millis() as u64,
            elapsed_ms = clock::now().since(self.arrived).as_millis() as u64,
            outcome;
            "request ended without a whole answer"
        );
    }
}

/// Returns the slots of a server that this instance may count on. One that is cut off from others can't see
/// their work, and counts on its share.
fn usable_slots(state: &State, slots: usize) -> usize {
    let alive = state.members.alive().count();
    (slots * alive).div_ceil(state.members.expected().max(1))
}

/// Returns the engine time that a prompt and its answer are expected to take, in milliseconds.
fn engine_ms(engine: &Engine, need: &Need) -> f64 {
    let passes = need.expected_answer_tokens as f64 / f64::from(engine.steps_per_pass.max(1));
    let slots = engine.slots.max(1);
    engine.prefill_ms(need.prompt_tokens) + passes * engine.pass_ms(slots, 0) / slots as f64
}

/// Returns the value of a request to its caller; a short request has the value 1.
fn prompt_value(tokens: u64) -> f64 {
    1.0 + tokens as f64 / TOKENS_PER_VALUE
}
