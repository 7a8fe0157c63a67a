//! Serves one request: makes attempts, one after the other, until a server answers.

use std::rc::Rc;
use std::time::Duration;

use async_io::Timer;
use cost::Extent;
use domain::Moment;
use futures_lite::future;
use h1::Request;
use h1::Response;
use h1::Stream;
use placement::Server;
use web::stream::within;

use crate::Node;
use crate::attempt::Attempt;
use crate::attempt::Outcome;
use crate::attempt::Start;
use crate::exchange;
use crate::exchange::Exchange;
use crate::exchange::Requester;
use crate::held;
use crate::observe;
use crate::outbox::Outbox;
use crate::port::Metadata;
use crate::proxy;
use crate::reachability;
use crate::refusal;
use crate::refusal::Refusal;
use crate::rejections;
use crate::relay::Answer;
use crate::relay::Disposition;
use crate::relay::State;
use crate::silent::Silent;
use crate::target::Target;

/// Bytes of a pipelined request that are buffered while the current one is being answered.
const PIPELINE_LIMIT: usize = 64 * 1024;
/// The delay before another attempt if none can be made now. Several requests end within it.
const ROOM_CHECK_INTERVAL: Duration = Duration::from_millis(80);
/// The number of servers that a stream which has begun may be sent to before the request fails.
const RESUME_LIMIT: usize = 5;
/// The number of servers to which a request could not be sent before it is refused.
const CONNECT_LIMIT: usize = 4;
/// The number of servers to which a request could not be sent before other entries are asked to serve it.
const DETOUR_LIMIT: usize = 2;

/// How the work on a request ended.
enum End {
    /// No further attempt is made, and the caller's connection has taken the answer.
    Attempted(Result<&'static str, Refusal>),
    /// The caller disconnected.
    CallerLeft,
    /// The caller's connection buffers the most, this number of bytes, and has to be closed.
    Closing(usize),
    /// The process ends.
    Stopping,
}

/// What follows an attempt.
enum Step<'a> {
    /// The caller was answered, or no further attempt is allowed.
    Ended(Result<&'static str, Refusal>),
    /// Another attempt.
    Next,
    /// Another attempt, unless this one goes on before.
    Silent(Box<Attempt<'a>>),
}

/// Returns the step to another attempt, after a pause.
async fn next_after_pause<'a>() -> Step<'a> {
    Timer::after(ROOM_CHECK_INTERVAL).await;
    Step::Next
}

/// Serves one request and returns whether the caller's connection stays open.
pub async fn run(
    node: &Rc<Node>,
    caller: &mut Stream,
    outbox: Outbox,
    request: Request,
    body: held::Body,
    requester: Requester,
    arrived: Moment,
) -> Disposition {
    if requester == Requester::Peer {
        node.metrics.relays_received.inc();
    }
    let meta = node.protocol.metadata(&request);
    let is_persistent = request.is_persistent && node.state.borrow().stop.is_none();
    let answer = Answer::new(Rc::new(outbox), is_persistent);
    let table = {
        let state = node.state.borrow();
        state.table.clone().filter(|_| state.can_serve())
    };
    let admitted = match table {
        Some(table) => {
            exchange::admit(&table, request, body, meta, requester, arrived).map_err(|it| *it)
        }
        None => Err((Refusal::Unconfigured, meta)),
    };
    let mut exchange = match admitted {
        Ok(exchange) => exchange,
        Err((refusal, meta)) => {
            let retry_after = refusal::draw_delay(refusal.retry_time());
            return refuse(node, answer, refusal, retry_after, &meta, "", arrived).await;
        }
    };
    let digest = exchange.fingerprint.request;
    exchange.is_returned = rejections::take(node, arrived, digest);
    exchange.serve(node, caller, answer).await
}

impl Exchange {
    async fn serve(
        mut self,
        node: &Rc<Node>,
        caller: &mut Stream,
        mut answer: Answer,
    ) -> Disposition {
        let deadline = self.route_deadline;
        let outbox = answer.outbox().clone();
        outbox.set_stall_limit(self.route.time_limit);
        let attempts = async {
            let ended = self.attempt_all(node, &mut answer).await;
            outbox.emptied().await;
            outbox.allow_stall();
            End::Attempted(ended)
        };
        let disconnected = async {
            caller.closed(PIPELINE_LIMIT).await;
            End::CallerLeft
        };
        let unwritable = async {
            outbox.flush().await;
            End::CallerLeft
        };
        let closing = async { End::Closing(outbox.account().closing().await) };
        let stopping = async {
            node.ending.wait().await;
            End::Stopping
        };
        let forced = future::or(closing, stopping);
        let left = future::or(disconnected, future::or(unwritable, forced));
        let ended = within(clock::now().until(deadline), future::or(attempts, left)).await;
        let extent = match &ended {
            Some(End::Attempted(Ok("delivered"))) => Extent::Whole,
            _ => Extent::Truncated,
        };
        observe::record_rest(node, &mut self, extent);
        let route = self.route.clone();
        match ended {
            Some(End::Attempted(Ok(outcome))) => {
                node.metrics.record_end(&route.name, outcome);
                answer.disposition()
            }
            Some(End::Closing(bytes)) => {
                node.record_closing(bytes, self.metadata.id.as_deref());
                self.abandon(node, answer, Refusal::NoMemory).await
            }
            Some(End::Stopping) => self.abandon(node, answer, Refusal::Stopping).await,
            Some(End::Attempted(Err(Refusal::Failed)))
                if proxy::should_return(node, &self) && self.attempts < self.route.attempts =>
            {
                // Without an answer, the entry that relayed the request tries another one.
                self.record_end(node, "cut_short", Refusal::Failed.name());
                Disposition::Discard
            }
            Some(End::Attempted(Err(refusal))) => {
                let refusal = proxy::refusal_for(self.requester, refusal);
                if answer.state() == State::NotBegun {
                    let retry_after = refusal::draw_delay(self.retry_time(node, refusal));
                    if let Some(delay) = retry_after {
                        let digest = self.fingerprint.request;
                        rejections::record(node, clock::now(), digest, delay);
                    }
                    return refuse(
                        node,
                        answer,
                        refusal,
                        retry_after,
                        &self.metadata,
                        &route.name,
                        self.arrived,
                    )
                    .await;
                }
                self.record_end(node, "cut_short", refusal.name());
                answer.disposition()
            }
            Some(End::CallerLeft) => {
                self.record_end(node, "caller_left", "-");
                Disposition::Close
            }
            None if answer.state() == State::NotBegun => {
                refuse(
                    node,
                    answer,
                    Refusal::TimedOut,
                    None,
                    &self.metadata,
                    &route.name,
                    self.arrived,
                )
                .await
            }
            None => {
                self.record_end(node, "cut_by_time_limit", "-");
                if outbox.is_empty() {
                    Disposition::Close
                } else {
                    Disposition::Discard
                }
            }
        }
    }

    /// Ends a request whose connection has to be closed. If nothing was sent to the caller, it is told whether
    /// the request may have run; `refusal` says why the request ends if it has not.
    async fn abandon(&self, node: &Node, mut answer: Answer, refusal: Refusal) -> Disposition {
        if answer.state() != State::NotBegun {
            let (outcome, disposition) = match refusal {
                Refusal::NoMemory => ("closed_for_memory", Disposition::Discard),
                _ => ("cut_by_stop", Disposition::Close),
            };
            self.record_end(node, outcome, refusal.name());
            return disposition;
        }
        answer.close_after();
        let refusal = match self.sent_at {
            Some(_) => Refusal::Failed,
            None => proxy::refusal_for(self.requester, refusal),
        };
        let retry_after = refusal::draw_delay(refusal.retry_time());
        let (metadata, route) = (&self.metadata, &self.route.name);
        let arrived = self.arrived;
        refuse(node, answer, refusal, retry_after, metadata, route, arrived).await
    }

    /// Sends the request to one server after the other, until one answers or no further attempt
    /// is allowed. Servers that have fallen silent are heard until another one answers.
    async fn attempt_all(
        &mut self,
        node: &Rc<Node>,
        answer: &mut Answer,
    ) -> Result<&'static str, Refusal> {
        if self.requester == Requester::Caller {
            // The entry that relayed the request has added its credit.
            self.add_retry_credit(node);
        }
        let outbox = answer.outbox().clone();
        let mut failure: Option<(Response, held::Body)> = None;
        let mut silent = Silent::default();
        let mut retried = None;
        let mut heard: Option<Box<Attempt<'_>>> = None;
        loop {
            let step = match heard.take() {
                Some(attempt) => {
                    let follow = self.follow(node, attempt, answer, &mut failure);
                    silent.race(&outbox, Box::pin(follow)).await
                }
                None => {
                    let step = self.step(node, answer, &mut failure, retried.take());
                    silent.race(&outbox, Box::pin(step)).await
                }
            };
            match step {
                Err(attempt) => heard = Some(attempt),
                Ok(Step::Next) => {}
                Ok(Step::Silent(attempt)) => {
                    self.may_have_run = true;
                    retried = Some(attempt.target().server.clone());
                    silent.push(attempt, &outbox);
                }
                Ok(Step::Ended(Err(refusal))) if proxy::should_return(node, self) => {
                    return Err(refusal);
                }
                Ok(Step::Ended(Err(refusal))) => match silent.wait(&outbox).await {
                    Some(attempt) => heard = Some(attempt),
                    None => return Err(refusal),
                },
                Ok(Step::Ended(ended)) => return ended,
            }
        }
    }

    /// Makes one attempt at a server, or has another entry serve the request. `retried` is the server that
    /// has fallen silent and that this attempt replaces.
    async fn step<'a>(
        &mut self,
        node: &'a Rc<Node>,
        answer: &mut Answer,
        failure: &mut Option<(Response, held::Body)>,
        retried: Option<Rc<Server>>,
    ) -> Step<'a> {
        if let Some(server) = retried
            && !self.take_retry_after_break(node, &server).await
        {
            let ended = self.give_up(answer, failure.take(), Refusal::Failed).await;
            return Step::Ended(ended);
        }
        if node.isolation.is_set() {
            match proxy::run(node, self, answer).await {
                proxy::Outcome::Ended(outcome) => return Step::Ended(Ok(outcome)),
                proxy::Outcome::Refused(Refusal::NoServer) if answer.state() == State::Begun => {
                    return next_after_pause().await;
                }
                proxy::Outcome::Refused(refusal) => {
                    return Step::Ended(self.give_up(answer, failure.take(), refusal).await);
                }
                proxy::Outcome::Reconnected => {}
            }
        }
        let target = match self.place_in_turn(node).await {
            Ok(target) => target,
            Err(refusal) => return self.proceed_unplaced(node, refusal, answer, failure).await,
        };
        self.server.clone_from(&target.server.id);
        match Attempt::start(node, self, target).await {
            Start::Sent(attempt) => self.follow(node, attempt, answer, failure).await,
            Start::Ended(outcome, target) => {
                if !matches!(outcome, Outcome::NoRoom) {
                    self.tried.push(target.server.key());
                }
                self.conclude(node, outcome, &target, answer, failure).await
            }
        }
    }

    /// Decides what follows if no server can be chosen.
    async fn proceed_unplaced<'a>(
        &mut self,
        node: &'a Rc<Node>,
        refusal: Refusal,
        answer: &mut Answer,
        failure: &mut Option<(Response, held::Body)>,
    ) -> Step<'a> {
        if matches!(refusal, Refusal::NoServer) {
            if let Some(ended) = proxy::detour(node, self, answer).await {
                return Step::Ended(ended);
            }
            if reachability::is_isolated(node).await {
                return Step::Next;
            }
        }
        let is_waiting = match refusal {
            Refusal::NoRoom if self.may_wait_for_room() => true,
            Refusal::NoServer | Refusal::NoHomeServer | Refusal::NoRoom | Refusal::Paused(_) => {
                answer.state() == State::Begun
            }
            _ => false,
        };
        if is_waiting {
            return next_after_pause().await;
        }
        Step::Ended(self.give_up(answer, failure.take(), refusal).await)
    }

    /// Follows an attempt to its end, or until its server falls silent.
    async fn follow<'a>(
        &mut self,
        node: &'a Rc<Node>,
        mut attempt: Box<Attempt<'a>>,
        answer: &mut Answer,
        failure: &mut Option<(Response, held::Body)>,
    ) -> Step<'a> {
        if !attempt.was_silent {
            self.tried.push(attempt.target().server.key());
        }
        let Some(outcome) = attempt.follow(self, answer).await else {
            self.log_attempt(node, attempt.target(), "silent");
            return Step::Silent(attempt);
        };
        let target = attempt.end();
        self.conclude(node, outcome, &target, answer, failure).await
    }

    /// Decides by the outcome of an attempt whether another one is made.
    async fn conclude<'a>(
        &mut self,
        node: &'a Rc<Node>,
        outcome: Outcome,
        target: &Target,
        answer: &mut Answer,
        failure: &mut Option<(Response, held::Body)>,
    ) -> Step<'a> {
        self.log_attempt(node, target, outcome.name());
        let refusal = match outcome {
            Outcome::Delivered => return Step::Ended(Ok("delivered")),
            Outcome::CallerLeft => return Step::Ended(Ok("caller_left")),
            Outcome::Answered(response, body) => {
                let is_failure = response.status >= 500 && self.route.kind.is_retryable();
                if is_failure && self.take_retry(node) {
                    *failure = Some((response, body));
                    return Step::Next;
                }
                if !self.route.kind.is_retryable() && refusal::promises_not_run(response.status) {
                    // The server ran the request, or can't say. Callers would read this status
                    // as a promise that the request did not run.
                    return Step::Ended(Err(Refusal::Failed));
                }
                let passed_on = answer.send_whole(response, &body.bytes).await;
                return Step::Ended(Ok(passed_on.map_or("caller_left", |()| "answered")));
            }
            Outcome::NoRoom => {
                let is_begun = answer.state() == State::Begun;
                if is_begun || self.may_wait_for_room() || reachability::is_isolated(node).await {
                    return next_after_pause().await;
                }
                Refusal::NoRoom
            }
            outcome @ (Outcome::Unreached | Outcome::Withdrawn) => {
                if matches!(outcome, Outcome::Unreached)
                    && self.tried.len() >= DETOUR_LIMIT
                    && let Some(ended) = proxy::detour(node, self, answer).await
                {
                    return Step::Ended(ended);
                }
                let is_last = self.tried.len() > CONNECT_LIMIT;
                if !is_last || reachability::is_isolated(node).await {
                    return Step::Next;
                }
                if answer.state() == State::Begun {
                    // Nothing can be refused any more. The caller waits as long as it is worth it.
                    return next_after_pause().await;
                }
                Refusal::NoServer
            }
            Outcome::NotRun | Outcome::OtherServer => {
                if answer.state() == State::Begun && self.tried.len() <= RESUME_LIMIT {
                    // A stream that isn't resumed is useless to the caller. This server did not
                    // run it, so the attempt doesn't count.
                    self.attempts = self.attempts.saturating_sub(1);
                }
                if self.take_retry(node) {
                    return Step::Next;
                }
                let state = &node.state.borrow();
                self.refusal_in_pause(clock::now(), state, Refusal::NotRun)
            }
            Outcome::Broken => {
                self.may_have_run = true;
                if self.take_retry_after_break(node, &target.server).await {
                    return Step::Next;
                }
                Refusal::Failed
            }
        };
        Step::Ended(self.give_up(answer, failure.take(), refusal).await)
    }

    /// Ends a request that no server answered in full. Passes on a server's error response if there
    /// is one. Answers "not run" only if no server may have run the request.
    async fn give_up(
        &self,
        answer: &mut Answer,
        failure: Option<(Response, held::Body)>,
        refusal: Refusal,
    ) -> Result<&'static str, Refusal> {
        if let Some((response, body)) = failure
            && answer.state() == State::NotBegun
        {
            let passed_on = answer.send_whole(response, &body.bytes).await;
            return Ok(passed_on.map_or("caller_left", |()| "answered"));
        }
        if self.may_have_run {
            return Err(Refusal::Failed);
        }
        Err(refusal)
    }
}

async fn refuse(
    node: &Node,
    answer: Answer,
    refusal: Refusal,
    retry_after: Option<Duration>,
    metadata: &Metadata,
    route: &str,
    arrived: Moment,
) -> Disposition {
    node.metrics.record_end(route, refusal.name());
    log::info!(
        target: "refuse",
        request = metadata.id.as_deref().unwrap_or("-"),
        route,
        host = metadata.host.as_str(),
        status = refusal.status(),
        elapsed_ms = clock::now().since(arrived).as_millis() as u64,
        retry_after_ms = retry_after.map_or(0, |it| it.as_millis() as u64),
        config = node.state.borrow().config_version(),
        config_age_ms = node.state.borrow().config_age_ms(clock::now()),
        reason = refusal.name();
        "request refused"
    );
    answer
        .refuse(node, refusal.status(), metadata.id.as_deref(), retry_after)
        .await
}
