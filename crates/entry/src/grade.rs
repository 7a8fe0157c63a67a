//! Classifies requests as good or bad for the service level objective of their customer.

use burn::ledger::Grade;
use burn::ledger::Subject;
use domain::Contract;
use domain::failure::Kind;

use crate::node::Node;
use crate::trace::Outcome;

/// Records how a request ended. Failures that the caller caused do not count.
pub fn record(node: &Node, contract: &Contract, class: &str, outcome: &Outcome, in_time: bool) {
    let grade = match outcome {
        Outcome::Done { .. } if in_time => Grade::Good,
        Outcome::Done { .. } => Grade::Bad,
        Outcome::Left => return,
        Outcome::Failed(failure) => match failure.kind {
            Kind::Overloaded
            | Kind::TimedOut
            | Kind::BackendFailed
            | Kind::LogUnavailable
            | Kind::Stopping
            | Kind::Internal => Grade::Bad,
            _ => return,
        },
    };
    let subject = Subject {
        customer: contract.customer.clone(),
        class: class.to_owned(),
    };
    node.core
        .borrow_mut()
        .ledger
        .record(clock::now(), subject, grade);
}
