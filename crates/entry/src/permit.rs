//! Permits: the right of one request to run under its idempotency key, from the granted claim to
//! the end of the request.

use std::rc::Rc;
use std::time::Duration;

use async_channel::Sender;
use claim::Answer;
use claim::Nonce;
use claim::Outcome;
use claim::Verdict;
use domain::Failure;
use domain::Key;
use domain::failure::Execution;
use domain::failure::Kind;
use wire::call::Decision;

use crate::claims;
use crate::node::Node;
use crate::request::Head;

/// The `Retry-After` while an earlier request with the same key may be in progress.
const IN_PROGRESS_RETRY_AFTER: Duration = Duration::from_secs(1);
/// The `Retry-After` while the authority of the key is unavailable.
const UNAVAILABLE_RETRY_AFTER: Duration = Duration::from_secs(2);

/// The right to run a request with a key. If it is dropped without an outcome, a request that was
/// sent to a backend server counts as lost, and the claim of any other is released.
pub struct Permit {
    node: Rc<Node>,
    key: Key,
    nonce: Nonce,
    is_sent: bool,
    is_reported: bool,
}

/// Why a request with a key is not run.
#[derive(Debug)]
pub enum Denial {
    /// It ran before, and this is the recorded answer.
    Completed(Answer),
    /// It is rejected with this failure.
    Refused(Failure),
}

impl Permit {
    /// Claims the key of a request, if it has one.
    pub async fn claim(node: &Rc<Node>, head: &Head) -> Result<Option<Self>, Denial> {
        let Some(key) = head.key else { return Ok(None) };
        let customer = head.contract.customer.clone();
        let (sender, receiver) = async_channel::bounded(1);
        // The claim runs in a task of its own, so that it is decided even if the request is dropped
        // meanwhile. An undelivered permit is dropped, which releases its claim.
        let acquire = Self::acquire(node.clone(), key, customer, sender);
        node.executor.spawn(acquire).detach();
        let result = receiver.recv().await;
        result
            .unwrap_or_else(|_| Err(Denial::Refused(internal())))
            .map(Some)
    }

    async fn acquire(
        node: Rc<Node>,
        key: Key,
        customer: String,
        sender: Sender<Result<Self, Denial>>,
    ) {
        let nonce = rand::random();
        let result = match claims::claim(&node, key, nonce, &customer).await {
            Decision::Verdict(Verdict::Granted) => Ok(Self {
                node,
                key,
                nonce,
                is_sent: false,
                is_reported: false,
            }),
            Decision::Verdict(verdict) => Err(denial(verdict)),
            Decision::Unavailable(reason) => {
                // The claim may still take effect, so it is released to let the caller retry.
                let executor = node.executor.clone();
                let release = async move { claims::release(&node, key, nonce).await };
                executor.spawn(release).detach();
                Err(unavailable(&reason))
            }
        };
        let _ = sender.send(result).await;
    }

    /// Records that the request is about to be sent to a backend server.
    pub fn mark_sent(&mut self) {
        self.is_sent = true;
    }

    /// Records that the backend server certainly did not run the request.
    pub fn mark_not_run(&mut self) {
        self.is_sent = false;
    }

    /// Reports the answer to the authority.
    pub fn complete(mut self, answer: Answer) {
        self.report(Some(Outcome::Done(answer)));
    }

    /// Reports a failure to the authority. The claim of a request that certainly did not run is
    /// released.
    pub fn fail(mut self, failure: &Failure) {
        match failure.ran {
            Execution::No => self.report(None),
            Execution::Maybe | Execution::Yes => self.report(Some(Outcome::Lost)),
        }
    }

    fn report(&mut self, outcome: Option<Outcome>) {
        self.is_reported = true;
        let (node, key, nonce) = (self.node.clone(), self.key, self.nonce);
        let executor = node.executor.clone();
        let report = async move {
            match outcome {
                Some(outcome) => claims::settle(&node, key, nonce, outcome).await,
                None => claims::release(&node, key, nonce).await,
            }
        };
        executor.spawn(report).detach();
    }
}

impl Drop for Permit {
    fn drop(&mut self) {
        if self.is_reported {
            return;
        }
        // The request was dropped before its end, for example because the caller disconnected.
        let outcome = self.is_sent.then_some(Outcome::Lost);
        self.report(outcome);
    }
}

fn denial(verdict: Verdict) -> Denial {
    let failure = match verdict {
        Verdict::Granted => return Denial::Refused(internal()),
        Verdict::Used(Outcome::Done(answer)) if answer.body.is_some() => {
            return Denial::Completed(answer);
        }
        Verdict::Used(Outcome::Done(_)) => {
            let message = "a request with this key has run, and its answer was too long to keep";
            Failure::uncertain(Kind::KeyUsed, message).with_execution(Execution::Yes)
        }
        Verdict::Used(Outcome::Open) => {
            let message = "a request with this key is in progress or was lost: retry with the same \
                           key to get the outcome";
            Failure::uncertain(Kind::KeyUsed, message).retry_after(IN_PROGRESS_RETRY_AFTER)
        }
        Verdict::Used(Outcome::Lost) => {
            let message = "a request with this key was sent to a backend server and its answer \
                           was lost: check whether it was executed before you use a new key";
            Failure::uncertain(Kind::KeyUsed, message)
        }
        Verdict::TooOld => {
            let message = "the key is too old to be checked: check whether the request was \
                           executed before you use a new key";
            Failure::uncertain(Kind::KeyUnsettled, message)
        }
        Verdict::TooNew => {
            let message = "the key's time is in the future: correct the clock that generates keys";
            Failure::refused(Kind::KeyUnsettled, message)
        }
        Verdict::NotIssued => {
            let message = "this ticket was not issued to you: get one from POST /v1/keys";
            Failure::refused(Kind::KeyUnsettled, message)
        }
    };
    Denial::Refused(failure)
}

/// Returns the denial while the claim can't be decided: this request is not run, but an earlier one
/// with the same key may have been.
fn unavailable(reason: &str) -> Denial {
    let message = format!(
        "it can't be determined now whether a request with this key ran before ({reason}): retry \
         with the same key, or use a ticket from POST /v1/keys for new requests"
    );
    let failure = Failure::uncertain(Kind::LogUnavailable, message);
    Denial::Refused(failure.retry_after(UNAVAILABLE_RETRY_AFTER))
}

fn internal() -> Failure {
    Failure::uncertain(Kind::Internal, "the claim has no decision: report this")
}
