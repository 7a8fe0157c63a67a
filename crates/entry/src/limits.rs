//! Enforces contract limits: admits requests from the local allotment of their customer, and grants
//! allotments as the home of a contract.

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

/// The timeout of a call to the home of a contract.
const REQUEST_TIMEOUT: Duration = Duration::from_millis(300);
/// The interval at which allotments are checked for reports that are due.
const REPORT_CHECK_INTERVAL: Duration = Duration::from_millis(500);

/// An admitted request. It counts against its contract until this value is dropped.
pub struct Admission {
    node: Rc<Node>,
    customer: String,
}

impl Drop for Admission {
    fn drop(&mut self) {
        let mut core = self.node.core.borrow_mut();
        let is_urgent = core
            .allotments
            .get_mut(&self.customer)
            .is_some_and(|it| it.record_end());
        drop(core);
        if is_urgent {
            let report = report_to_home(self.node.clone(), self.customer.clone());
            self.node.executor.spawn(report).detach();
        }
    }
}

/// Admits a request with `tokens` prompt tokens, or returns the limit that it exceeds.
pub async fn admit(
    node: &Rc<Node>,
    contract: &Contract,
    tokens: u64,
) -> Result<Admission, Failure> {
    let customer = &contract.customer;
    let ask = {
        let mut core = node.core.borrow_mut();
        let allotment = core.allotments.entry(customer.clone()).or_default();
        if allotment.take(clock::now(), tokens) {
            None
        } else {
            Some(allotment.ask(node.incarnation, customer, tokens))
        }
    };
    let admitted = match ask {
        None => Ok(()),
        Some(ask) => match request_grant(node, &ask).await {
            Some(grant) => {
                let mut core = node.core.borrow_mut();
                let allotment = core.allotments.entry(customer.clone()).or_default();
                allotment.receive(clock::now(), grant, tokens)
            }
            None => take_fallback_share(node, contract, tokens),
        },
    };
    match admitted {
        Ok(()) => Ok(Admission {
            node: node.clone(),
            customer: customer.clone(),
        }),
        Err(refusal) => Err(limit_failure(refusal)),
    }
}

/// Grants an allotment as the home of a contract. Returns `None` if there is no such contract.
pub fn grant_locally(node: &Node, ask: &Ask) -> Option<Grant> {
    let now = clock::now();
    let mut core = node.core.borrow_mut();
    let contract = core.view.contract(&ask.customer)?.clone();
    let alive = core.members.alive().count();
    let terms = Terms::from(&*contract).share(alive, core.members.expected());
    let is_successor = core.members.is_successor(ask.customer.as_bytes());
    let entries = core.members.expected();
    let origin = if is_successor {
        Origin::Successor { entries }
    } else {
        Origin::First
    };
    Some(core.contract_home.grant(now, terms, ask, origin))
}

/// Periodically reports running requests to the homes of their contracts and returns unused
/// capacity.
pub async fn report_usage(node: Rc<Node>) {
    loop {
        Timer::after(REPORT_CHECK_INTERVAL).await;
        let now = clock::now();
        let mut core = node.core.borrow_mut();
        core.allotments
            .retain(|_, allotment| !allotment.is_idle(now));
        let due = core
            .allotments
            .iter()
            .filter(|(_, allotment)| allotment.is_due(now));
        let due: Vec<String> = due.map(|(customer, _)| customer.clone()).collect();
        drop(core);
        for customer in due {
            node.executor
                .spawn(report_to_home(node.clone(), customer))
                .detach();
        }
    }
}

async fn report_to_home(node: Rc<Node>, customer: String) {
    let ask = {
        let mut core = node.core.borrow_mut();
        let Some(allotment) = core.allotments.get_mut(&customer) else {
            return;
        };
        allotment.report(node.incarnation, &customer)
    };
    if let Some(grant) = request_grant(&node, &ask).await {
        let mut core = node.core.borrow_mut();
        if let Some(allotment) = core.allotments.get_mut(&customer) {
            allotment.receive_report_grant(clock::now(), grant);
        }
    }
}

/// Requests an allotment from the home of a contract, which may be this entry. Returns `None` if
/// the home does not answer.
async fn request_grant(node: &Node, ask: &Ask) -> Option<Grant> {
    let home = {
        let core = node.core.borrow();
        let home = core.members.home(ask.customer.as_bytes());
        (home.incarnation != node.incarnation).then_some(home.peer_address)
    };
    let Some(peer) = home else {
        return grant_locally(node, ask);
    };
    match node
        .pool
        .allot(&node.executor, peer, ask, REQUEST_TIMEOUT)
        .await
    {
        Ok(grant) => Some(grant),
        Err(error @ (calls::Error::Unreachable | calls::Error::Unanswered(_))) => {
            log::debug!(target: "limits", "No allotment for {}: {error}.", ask.customer);
            None
        }
    }
}

fn take_fallback_share(node: &Node, contract: &Contract, tokens: u64) -> Result<(), Refusal> {
    let mut core = node.core.borrow_mut();
    let entries = core.members.expected();
    let allotment = core
        .allotments
        .entry(contract.customer.clone())
        .or_default();
    allotment.take_share(clock::now(), contract.into(), entries, tokens)
}

fn limit_failure(refusal: Refusal) -> Failure {
    let message = format!(
        "the contract's `{}` is exhausted: retry in {} ms, or ask your firm for a higher limit",
        refusal.limit.field(),
        refusal.wait.as_millis()
    );
    Failure::refused(Kind::LimitReached, message).retry_after(refusal.wait)
}
