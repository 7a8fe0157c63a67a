//! Chooses the servers for a request, or the time at which it is planned again.

use std::time::Duration;

use admission::Decision;
use admission::RetryTime;
use admission::decision::Bounds;
use admission::decision::Call;
use admission::decision::Slot;
use admission::queue::Ahead;
use admission::queue::Reason;
use cost::Estimate;
use domain::Moment;
use placement::Expectation;
use placement::plain;
use placement::plan;
use placement::plan::Need;
use placement::workload::Timeliness;
use route::Engine;
use routing::quarantine;

use crate::Node;
use crate::cold;
use crate::exchange::Exchange;
use crate::exchange::expectation;
use crate::node::State;
use crate::port::Prompt;
use crate::refusal::Refusal;
use crate::target::Target;
use crate::turns::Standing;
use crate::turns::Turn;

/// The interval between two checks for free engine memory. Several requests end within it.
const ROOM_CHECK_INTERVAL: Duration = Duration::from_millis(80);
/// The time for which the latency of a plain server's answers counts.
const LATENCY_LIFETIME: Duration = Duration::from_secs(3);
/// The latency that is assumed of plain servers that have not answered yet, as a share of the target.
const ASSUMED_LATENCY_SHARE: f64 = 0.25;

impl Exchange {
    /// Chooses the server, or the servers, for the next attempt, unless the request should wait.
    pub fn place(&self, node: &Node, standing: Standing) -> Result<Turn, Refusal> {
        let now = clock::now();
        let mut state = node.state.borrow_mut();
        let state = &mut *state;
        self.check_stop(now, state, Duration::ZERO)?;
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
        cold::refresh_share(state, now);
        cold::count_held(node, state, now, &self.service.name);
        let request = self.cost_request();
        let estimate = request.and_then(|it| state.costs.estimator.estimate(&it));
        let turn = match (&self.service.engine, self.metadata.prompt) {
            (Some(_), Some(prompt)) => self.place_prompt(now, state, prompt, standing, estimate),
            _ => self.place_call(now, state, standing, estimate),
        }?;
        if let Turn::Place(target) = &turn {
            self.check_stop(now, state, self.forecast(target))?;
        }
        Ok(turn)
    }

    /// Fails if no server has run the request and a planned stop of this instance could cut its answer, which is
    /// expected after this time.
    pub fn check_stop(
        &self,
        now: Moment,
        state: &State,
        expected: Duration,
    ) -> Result<(), Refusal> {
        let stop = state.stop.filter(|_| !self.may_have_run);
        match stop.is_none_or(|it| it.permits(now, self.deadline(), expected)) {
            true => Ok(()),
            false => Err(Refusal::Stopping),
        }
    }

    /// Returns the time after which the whole answer of a target is expected, which few answers exceed.
    fn forecast(&self, target: &Target) -> Duration {
        let upper_cost = target.estimate.map(|it| it.upper);
        let answer_ms = match (&self.service.engine, self.metadata.prompt) {
            (Some(engine), Some(prompt)) => {
                let declared = self.declared_answer_tokens().unwrap_or_default();
                let passes =
                    upper_cost.unwrap_or(declared as f64) / f64::from(engine.steps_per_pass.max(1));
                // An engine without other work has no measured pass.
                let own_pass_ms = engine.pass_ms(1, prompt.tokens);
                passes * target.load.pass_ms.max(own_pass_ms)
            }
            _ => upper_cost.unwrap_or_default(),
        };
        let answer_time = Duration::try_from_secs_f64(answer_ms / 1e3);
        target
            .first_token
            .saturating_add(answer_time.unwrap_or(Duration::MAX))
    }

    /// Chooses the server for a call to a plain service.
    fn place_call(
        &self,
        now: Moment,
        state: &mut State,
        standing: Standing,
        estimate: Option<Estimate>,
    ) -> Result<Turn, Refusal> {
        let servers = state.servers.usable(now, self.scope(state));
        let expected = estimate.map_or(Expectation::default(), |it| expectation(&it, 1.0));
        let chosen = plain::choose(
            now,
            servers,
            &state.workload,
            expected,
            &self.tried,
            &mut rand::rng(),
        );
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
        let mut target = Target::plain(server);
        target.load.placed = running;
        target.estimate = estimate;
        Ok(Turn::Place(target))
    }

    /// Chooses the engines for a prompt.
    fn place_prompt(
        &self,
        now: Moment,
        state: &mut State,
        prompt: Prompt,
        standing: Standing,
        estimate: Option<Estimate>,
    ) -> Result<Turn, Refusal> {
        let Some(engine) = &self.service.engine else {
            return Err(Refusal::NoServer);
        };
        let need = self.need(
            now,
            prompt.tokens,
            prompt.max_answer_tokens,
            estimate.map_or(prompt.expected_answer_tokens, |it| Some(it.mean as u64)),
        );
        let plan = plan::choose(
            now,
            engine,
            state.servers.usable(now, self.scope(state)),
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
            is_last_chance: self.is_returned || standing == Standing::Exempt,
            harm_loss: self.harm_loss.get(),
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
                if reason == Reason::Harm && self.harm_loss.get().is_none() {
                    self.harm_loss.set(Some(plan.loss));
                }
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
        let mut target = target.ok_or(Refusal::NoServer)?;
        target.estimate = estimate;
        Ok(Turn::Place(target))
    }

    /// Returns when a caller that gets this refusal should come back.
    pub fn retry_time(&self, node: &Node, refusal: Refusal) -> Option<RetryTime> {
        let room = match refusal {
            Refusal::TooLate(room) => room,
            Refusal::NoServer | Refusal::NoHomeServer | Refusal::NoRoom | Refusal::NotRun => {
                Duration::ZERO
            }
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

    /// Returns when the caller of a stream disconnects if it has received no event.
    fn first_event_deadline(&self) -> Moment {
        (self.arrived + self.route.silence_limit()).min(self.deadline())
    }
}

/// Returns the slots of a server that this instance may count on. One that is cut off from others can't see
/// their work, and counts on its share.
fn usable_slots(state: &State, slots: usize) -> usize {
    let alive = state.members.alive().count();
    // Other programs state the slots, so they may be any number.
    let reachable = slots.saturating_mul(alive);
    reachable.div_ceil(state.members.expected().max(1))
}

/// Returns the engine time that a prompt and its answer are expected to take, in milliseconds.
fn engine_ms(engine: &Engine, need: &Need) -> f64 {
    let passes = need.expected_answer_tokens as f64 / f64::from(engine.steps_per_pass.max(1));
    let slots = engine.slots.max(1);
    engine.prefill_ms(need.prompt_tokens) + passes * engine.pass_ms(slots, 0) / slots as f64
}
