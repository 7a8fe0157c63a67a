//! Limits: admits requests from the purse of their customer, and hands out allotments.

use std::rc::Rc;
use std::time::Duration;

use async_io::Timer;
use domain::Contract;
use domain::Failure;
use domain::failure::Kind;
use limit::Ask;
use limit::Grant;
use limit::Refusal;
use limit::Terms;
use limit::home::Origin;

use crate::calls;
use crate::node::Node;

/// The time for a question to a contract's home.
const ASK_TIMEOUT: Duration = Duration::from_millis(300);
/// The time between two looks at which homes have to be told something.
const RENEW_CHECK: Duration = Duration::from_millis(500);

/// A request that counts against its contract until this is dropped.
pub struct Admission {
    node: Rc<Node>,
    customer: String,
}

impl Drop for Admission {
    fn drop(&mut self) {
        let mut core = self.node.core.borrow_mut();
        let is_urgent = core
            .purses
            .get_mut(&self.customer)
            .is_some_and(|it| it.ended());
        drop(core);
        if is_urgent {
            let tell = tell_home(self.node.clone(), self.customer.clone());
            self.node.executor.spawn(tell).detach();
        }
    }
}

/// Admits a request of `tokens` prompt tokens, or says which limit it is over.
pub async fn admit(
    node: &Rc<Node>,
    contract: &Contract,
    tokens: u64,
) -> Result<Admission, Failure> {
    let customer = &contract.customer;
    let ask = {
        let mut core = node.core.borrow_mut();
        let purse = core.purses.entry(customer.clone()).or_default();
        if purse.take(clock::now(), tokens) {
            None
        } else {
            Some(purse.ask(node.incarnation, customer, tokens))
        }
    };
    let admitted = match ask {
        None => Ok(()),
        Some(ask) => match grant(node, &ask).await {
            Some(grant) => {
                let mut core = node.core.borrow_mut();
                let purse = core.purses.entry(customer.clone()).or_default();
                purse.receive(clock::now(), grant, tokens)
            }
            None => take_share(node, contract, tokens),
        },
    };
    match admitted {
        Ok(()) => Ok(Admission {
            node: node.clone(),
            customer: customer.clone(),
        }),
        Err(refusal) => Err(over(refusal)),
    }
}

/// Answers an entry as the home of a contract. Returns `None` without such a contract.
pub fn grant_here(node: &Node, ask: &Ask) -> Option<Grant> {
    let now = clock::now();
    let mut core = node.core.borrow_mut();
    let contract = core.view.contract(&ask.customer)?.clone();
    let alive = core.members.alive().count();
    let terms = Terms::from(&*contract).share(alive, core.members.expected());
    let is_successor = core.members.is_successor(ask.customer.as_bytes());
    let entries = core.members.expected();
    let start = if is_successor {
        Origin::Successor { entries }
    } else {
        Origin::First
    };
    Some(core.home.grant(now, terms, ask, start))
}

/// Tells homes again and again of running requests and gives back what was not used.
pub async fn renew(node: Rc<Node>) {
    loop {
        Timer::after(RENEW_CHECK).await;
        let now = clock::now();
        let mut core = node.core.borrow_mut();
        core.purses.retain(|_, purse| !purse.is_idle(now));
        let due = core.purses.iter().filter(|(_, purse)| purse.is_due(now));
        let due: Vec<String> = due.map(|(customer, _)| customer.clone()).collect();
        drop(core);
        for customer in due {
            node.executor
                .spawn(tell_home(node.clone(), customer))
                .detach();
        }
    }
}

async fn tell_home(node: Rc<Node>, customer: String) {
    let ask = {
        let mut core = node.core.borrow_mut();
        let Some(purse) = core.purses.get_mut(&customer) else {
            return;
        };
        purse.report(node.incarnation, &customer)
    };
    if let Some(grant) = grant(&node, &ask).await {
        let mut core = node.core.borrow_mut();
        if let Some(purse) = core.purses.get_mut(&customer) {
            purse.reported(clock::now(), grant);
        }
    }
}

/// Asks the home of a contract, which may be this entry. Returns `None` if it does not answer.
async fn grant(node: &Node, ask: &Ask) -> Option<Grant> {
    let home = {
        let core = node.core.borrow();
        let home = core.members.home(ask.customer.as_bytes());
        (home.incarnation != node.incarnation).then_some(home.peers)
    };
    let Some(peer) = home else {
        return grant_here(node, ask);
    };
    match node
        .pool
        .allot(&node.executor, peer, ask, ASK_TIMEOUT)
        .await
    {
        Ok(grant) => Some(grant),
        Err(error @ (calls::Error::Unreachable | calls::Error::Unanswered(_))) => {
            log::debug!(target: "limits", "No allotment for {}: {error}.", ask.customer);
            None
        }
    }
}

fn take_share(node: &Node, contract: &Contract, tokens: u64) -> Result<(), Refusal> {
    let mut core = node.core.borrow_mut();
    let entries = core.members.expected();
    let purse = core.purses.entry(contract.customer.clone()).or_default();
    purse.take_share(clock::now(), contract.into(), entries, tokens)
}

fn over(refusal: Refusal) -> Failure {
    let message = format!(
        "the contract's `{}` is used up: come back in {} ms, or ask your firm for more",
        refusal.limit.field(),
        refusal.wait.as_millis()
    );
    Failure::refused(Kind::LimitReached, message).retry_after(refusal.wait)
}
