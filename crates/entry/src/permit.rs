//! Held claims: the right of one request to run, from the grant to its end.

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

/// When to come back while an earlier request with the same key may be in progress.
const IN_PROGRESS_WAIT: Duration = Duration::from_secs(1);
/// When to come back while the authority can't be reached.
const UNAVAILABLE_WAIT: Duration = Duration::from_secs(2);

/// The right to run a request with a key. Whoever drops it without a word leaves the outcome open.
pub struct Permit {
    node: Rc<Node>,
    key: Key,
    nonce: Nonce,
    is_sent: bool,
    is_told: bool,
}

/// Why a request with a key may not run.
#[derive(Debug)]
pub enum Denial {
    /// It ran before, and this was the answer.
    Completed(Answer),
    /// It is refused.
    Refused(Failure),
}

impl Permit {
    /// Claims the key of a request, if it has one.
    pub async fn claim(node: &Rc<Node>, head: &Head) -> Result<Option<Self>, Denial> {
        let Some(key) = head.key else { return Ok(None) };
        let customer = head.contract.customer.clone();
        let (sender, receiver) = async_channel::bounded(1);
        // The claim is settled even if the request is dropped meanwhile: what nobody takes over is
        // released.
        let settle = Self::settle(node.clone(), key, customer, sender);
        node.executor.spawn(settle).detach();
        let settled = receiver.recv().await;
        settled
            .unwrap_or_else(|_| Err(Denial::Refused(internal())))
            .map(Some)
    }

    async fn settle(
        node: Rc<Node>,
        key: Key,
        customer: String,
        sender: Sender<Result<Self, Denial>>,
    ) {
        let nonce = rand::random();
        let settled = match claims::claim(&node, key, nonce, &customer).await {
            Decision::Verdict(Verdict::Granted) => Ok(Self {
                node,
                key,
                nonce,
                is_sent: false,
                is_told: false,
            }),
            Decision::Verdict(verdict) => Err(denied(verdict)),
            Decision::Unavailable(reason) => {
                // The claim may still take effect; releasing it lets the caller come back.
                let executor = node.executor.clone();
                let release = async move { claims::release(&node, key, nonce).await };
                executor.spawn(release).detach();
                Err(unavailable(&reason))
            }
        };
        let _ = sender.send(settled).await;
    }

    /// Notes that a backend server is about to be sent the request.
    pub fn mark_sent(&mut self) {
        self.is_sent = true;
    }

    /// Notes that the backend server certainly did not take the request.
    pub fn mark_not_run(&mut self) {
        self.is_sent = false;
    }

    /// Tells the authority the answer.
    pub fn complete(mut self, answer: Answer) {
        self.tell(Some(Outcome::Done(answer)));
    }

    /// Tells the authority of a failure: a request that certainly did not run is released.
    pub fn fail(mut self, failure: &Failure) {
        match failure.ran {
            Execution::No => self.tell(None),
            Execution::Maybe | Execution::Yes => self.tell(Some(Outcome::Lost)),
        }
    }

    fn tell(&mut self, outcome: Option<Outcome>) {
        self.is_told = true;
        let (node, key, nonce) = (self.node.clone(), self.key, self.nonce);
        let executor = node.executor.clone();
        let tell = async move {
            match outcome {
                Some(outcome) => claims::settle(&node, key, nonce, outcome).await,
                None => claims::release(&node, key, nonce).await,
            }
        };
        executor.spawn(tell).detach();
    }
}

impl Drop for Permit {
    fn drop(&mut self) {
        if self.is_told {
            return;
        }
        // The request was dropped halfway, for example because its caller left.
        let outcome = self.is_sent.then_some(Outcome::Lost);
        self.tell(outcome);
    }
}

fn denied(verdict: Verdict) -> Denial {
    let failure = match verdict {
        Verdict::Granted => return Denial::Refused(internal()),
        Verdict::Used(Outcome::Done(answer)) if answer.body.is_some() => {
            return Denial::Completed(answer);
        }
        Verdict::Used(Outcome::Done(_)) => {
            let message = "a request with this key was done, and its answer was too long to keep";
            Failure::uncertain(Kind::KeyUsed, message).with_execution(Execution::Yes)
        }
        Verdict::Used(Outcome::Open) => {
            let message = "a request with this key is in progress or was lost: ask again with the \
                           same key to learn the outcome";
            Failure::uncertain(Kind::KeyUsed, message).retry_after(IN_PROGRESS_WAIT)
        }
        Verdict::Used(Outcome::Lost) => {
            let message = "a request with this key was sent to a backend server and its answer \
                           was lost: check whether it was done before you use a new key";
            Failure::uncertain(Kind::KeyUsed, message)
        }
        Verdict::TooOld => {
            let message = "the key is too old to be judged: check whether the request was done \
                           before you use a new key";
            Failure::uncertain(Kind::KeyUnsettled, message)
        }
        Verdict::TooNew => {
            let message = "the key's time lies in the future: correct the clock that mints keys";
            Failure::refused(Kind::KeyUnsettled, message)
        }
        Verdict::NotIssued => {
            let message = "this ticket was not issued to you: take one from POST /v1/keys";
            Failure::refused(Kind::KeyUnsettled, message)
        }
    };
    Denial::Refused(failure)
}

/// The request does not run now, but an earlier one with the same key may have.
fn unavailable(reason: &str) -> Denial {
    let message = format!(
        "nobody can tell now whether a request with this key ran before ({reason}): come back \
         with the same key, or use a ticket from POST /v1/keys for new requests"
    );
    let failure = Failure::uncertain(Kind::LogUnavailable, message);
    Denial::Refused(failure.retry_after(UNAVAILABLE_WAIT))
}

fn internal() -> Failure {
    Failure::uncertain(Kind::Internal, "the claim was decided twice: report this")
}
