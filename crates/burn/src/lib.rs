//! Service-level burn: how fast each customer's error budget is used up.
//!
//! An entry keeps a [`Ledger`] of good and bad requests. The report sums the ledgers of all entries
//! up over a short and a long window: a burn of one uses the budget up exactly in its period.

pub mod ledger;
pub mod picture;
pub mod report;

pub use ledger::Ledger;
pub use report::Report;
