//! Serves one chat request from its claim to its end, with retries on other engines.

use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;

use async_channel::Sender;
use async_io::Timer;
use domain::Failure;
use domain::Length;
use domain::Moment;
use domain::failure::Execution;
use domain::failure::Kind;
use futures_lite::future;
use routing::Job;
use routing::router::Placement;
use routing::router::Refusal;

use super::answer::Event;
use super::answer::Output;
use super::answer::Record;
use super::internal;
use super::prompt::Prompt;
use crate::attempt;
use crate::attempt::Attempt;
use crate::attempt::Failed;
use crate::crash;
use crate::dispatch::Waiter;
use crate::grade;
use crate::limits;
use crate::metrics;
use crate::node::Node;
use crate::notice::Notice;
use crate::permit::Denial;
use crate::permit::Permit;
use crate::request::Head;
use crate::trace;
use crate::trace::Outcome;

/// The number of failed attempts after which a request fails, not counting refusals for memory.
const FAILURE_LIMIT: u32 = 4;
/// The longest delay before the first retry after engines had too little memory.
const MEMORY_RETRY_DELAY: Duration = Duration::from_millis(20);
/// The delay grows linearly with each retry, up to this multiple of [`MEMORY_RETRY_DELAY`].
const MEMORY_RETRY_FACTOR_LIMIT: u32 = 10;
/// The `Retry-After` of a failure without a better estimate.
const DEFAULT_RETRY_AFTER: Duration = Duration::from_secs(1);

/// A validated chat request.
pub struct Request {
    /// The ID of the request.
    pub id: trace::RequestId,
    /// The evaluated headers.
    pub head: Head,
    /// The prompt.
    pub prompt: Prompt,
    /// When the request arrived.
    pub arrived: Moment,
    /// Whether the request may have been executed, as far as is known.
    pub execution: Cell<Execution>,
}

/// Runs one request to its end, and reports the outcome to the caller, the trace and the metrics.
pub async fn run(node: Rc<Node>, request: Request, events: Sender<Event>) {
    node.metrics.running.inc();
    let output = Output::new(&events, request.head.key.is_some());
    let disconnected = async {
        events.closed().await;
        Outcome::Left
    };
    let serve = async {
        match request.serve_in_time(&node, &output).await {
            Ok(tokens) => {
                let _ = events.send(Event::Done { tokens }).await;
                Outcome::Done { tokens }
            }
            Err(failure) => {
                let _ = events.send(Event::Failed(failure.clone())).await;
                Outcome::Failed(failure)
            }
        }
    };
    let outcome = future::or(serve, disconnected).await;
    node.metrics.running.dec();
    request.record_outcome(&node, outcome, output.first_sent.get());
}

impl Request {
    /// Serves the request, or cancels it at its deadline.
    async fn serve_in_time(&self, node: &Rc<Node>, output: &Output<'_>) -> Result<u64, Failure> {
        let deadline = async {
            clock::wait_until(self.head.deadline).await;
            node.record_step(self.id.number, "the time limit passed");
            Err(timed_out(self.execution.get()))
        };
        future::or(self.serve(node, output), deadline).await
    }

    async fn serve(&self, node: &Rc<Node>, output: &Output<'_>) -> Result<u64, Failure> {
        let mut permit = match Permit::claim(node, &self.head).await {
            Ok(permit) => permit,
            Err(Denial::Refused(failure)) => return Err(failure),
            Err(Denial::Completed(answer)) => return replay(answer, output).await,
        };
        if permit.is_some() {
            node.record_step(self.id.number, "claimed its key");
        }
        self.execution.set(Execution::No);
        let result = self.run(node, output, &mut permit).await;
        if let Some(permit) = permit {
            match &result {
                Ok(tokens) => permit.complete(output.record(*tokens)),
                Err(failure) => permit.fail(failure),
            }
        }
        result
    }

    /// Runs attempts until one completes the answer or no further attempt is allowed.
    async fn run(
        &self,
        node: &Rc<Node>,
        output: &Output<'_>,
        permit: &mut Option<Permit>,
    ) -> Result<u64, Failure> {
        let mut job = self.prompt.job(node, self.id, &self.head, self.arrived);
        // The home of the contract may answer late, and a refused request should not use the contract up.
        check_admission(node, &job)?;
        let _admission = limits::admit(node, &self.head.contract, self.prompt.tokens).await?;
        self.check_quarantine(node, Execution::No)?;
        node.core.borrow_mut().budget.earn();
        node.record_step(self.id.number, "admitted");
        let mut stream = assembly::Stream::new(self.prompt.answer_tokens);
        let mut waiter = Waiter::admit(node, job.clone()).map_err(refusal_failure)?;
        for number in 1.. {
            let placement = match waiter.decision().await {
                Notice::Placed(placement) => *placement,
                Notice::Expired => return Err(timed_out(self.execution.get())),
            };
            let before = self.execution.replace(Execution::Maybe);
            if let Some(permit) = permit {
                permit.mark_sent();
            }
            let run = self.attempt(node, number, &placement, &mut stream, output);
            let Err(failed) = run.await else {
                return Ok(stream.sent());
            };
            if failed.error.is_certainly_not_run() {
                self.execution.set(before);
            }
            self.check_retry(node, permit, failed, &mut job).await?;
            node.metrics.retries.inc();
            waiter = waiter.requeue(job.clone());
        }
        Err(internal())
    }

    async fn attempt(
        &self,
        node: &Rc<Node>,
        number: u32,
        placement: &Placement,
        stream: &mut assembly::Stream,
        output: &Output<'_>,
    ) -> Result<(), Failed> {
        let Placement {
            engine, gang, wait, ..
        } = placement;
        let step = format!("attempt {number}: placed on {engine} {gang:?}, expected wait {wait:?}");
        node.record_step(self.id.number, step);
        let attempt = Attempt {
            id: self.id,
            number,
            prompt: &self.prompt,
            placement,
            arrived: self.arrived,
        };
        let result = attempt.run(node, stream, output).await;
        if result.is_ok() {
            crash::record_success(node, &self.prompt.fingerprint);
        }
        if let Err(Failed { error, server }) = &result {
            node.record_step(
                self.id.number,
                format!("attempt {number} on {server}: {error}"),
            );
        }
        result
    }

    /// Returns a failure if no further attempt is allowed, and otherwise prepares the job for it.
    async fn check_retry(
        &self,
        node: &Node,
        permit: &mut Option<Permit>,
        failed: Failed,
        job: &mut Job,
    ) -> Result<(), Failure> {
        let Failed { error, server } = failed;
        let execution = self.execution.get();
        self.check_quarantine(node, execution)?;
        if execution == Execution::Maybe && permit.is_some() {
            let message = format!(
                "the backend server failed while it ran this request ({error}): check the outcome \
                 before you send it again with a new key"
            );
            return Err(Failure::uncertain(Kind::BackendFailed, message));
        }
        if let Some(permit) = permit {
            permit.mark_not_run();
        }
        if matches!(error, attempt::Error::NoMemory) {
            job.memory_refusals += 1;
            // Load reports lag, so the same engine may have enough memory soon. It isn't excluded.
            Timer::after(memory_retry_delay(job.memory_refusals)).await;
            return Ok(());
        }
        job.failures += 1;
        job.excluded.push(server);
        let is_free = error.is_certainly_not_run();
        if job.failures == FAILURE_LIMIT || !(is_free || node.core.borrow_mut().budget.spend()) {
            let message = format!(
                "{} backend servers failed this request: retry later",
                job.failures
            );
            let failure = Failure::refused(Kind::BackendFailed, message).with_execution(execution);
            return Err(failure.retry_after(DEFAULT_RETRY_AFTER));
        }
        Ok(())
    }

    fn check_quarantine(&self, node: &Node, execution: Execution) -> Result<(), Failure> {
        if crash::admits(node, &self.prompt.fingerprint) {
            return Ok(());
        }
        let message = "backend servers crashed each time they ran this prompt: change it";
        Err(Failure::refused(Kind::Quarantined, message).with_execution(execution))
    }

    fn record_outcome(&self, node: &Node, outcome: Outcome, first_token: Option<Moment>) {
        let length = Length::of(self.prompt.tokens).name();
        let name = match &outcome {
            Outcome::Done { .. } => "done",
            Outcome::Left => "left",
            Outcome::Failed(failure) => failure.kind.name(),
        };
        let labels = metrics::RequestLabels {
            length: length.to_owned(),
            outcome: name.to_owned(),
        };
        node.metrics.requests.get_or_create(&labels).inc();
        let objective = self.prompt.first_token_objective(node);
        let in_time = first_token.is_some_and(|at| at.since(self.arrived) <= objective);
        grade::record(node, &self.head.contract, length, &outcome, in_time);
        node.core.borrow_mut().traces.end(self.id.number, outcome);
    }
}

/// Replays the recorded answer of an earlier request with the same key.
async fn replay(answer: claim::Answer, output: &Output<'_>) -> Result<u64, Failure> {
    let body = answer.body.unwrap_or_default();
    let Ok(record) = serde_json::from_str::<Record>(&body) else {
        let message = "a request with this key has run, but was not a prompt: use another key";
        return Err(Failure::uncertain(Kind::KeyUsed, message).with_execution(Execution::Yes));
    };
    output.send(record.text).await;
    Ok(record.tokens)
}

/// Returns the delay before the next retry after engines had too little memory. It grows with each
/// retry, and its jitter prevents two gangs from colliding again.
fn memory_retry_delay(number: u32) -> Duration {
    let longest = MEMORY_RETRY_DELAY * number.min(MEMORY_RETRY_FACTOR_LIMIT);
    longest.mul_f64(0.5 + 0.5 * rand::random::<f64>())
}

fn timed_out(execution: Execution) -> Failure {
    let message = "the time limit passed: raise Request-Timeout or retry when load is lower";
    let failure = Failure::refused(Kind::TimedOut, message).with_execution(execution);
    failure.retry_after(DEFAULT_RETRY_AFTER)
}

fn check_admission(node: &Node, job: &Job) -> Result<(), Failure> {
    let core = node.core.borrow();
    let checked = core.router.check_admission(clock::now(), job);
    checked.map_err(refusal_failure)
}

fn refusal_failure(refusal: Refusal) -> Failure {
    let message = refusal.to_string();
    match refusal {
        Refusal::NoEngine(_) => {
            Failure::refused(Kind::NotFound, message).retry_after(DEFAULT_RETRY_AFTER)
        }
        Refusal::TooLong { .. } => Failure::refused(Kind::TooLongForFleet, message),
        Refusal::Down(wait)
        | Refusal::Paused(wait)
        | Refusal::Full(wait)
        | Refusal::TooLate(wait) => Failure::refused(Kind::Overloaded, message).retry_after(wait),
    }
}
