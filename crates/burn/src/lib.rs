//! Burn rates: how fast the requests of each customer use up their error budget.
//!
//! Each entry keeps a [`Ledger`] of good and bad requests. The report adds up the ledgers of all
//! entries over a short and a long window. A burn rate of one uses up the budget exactly in its
//! period.

pub mod ledger;
pub mod picture;
pub mod report;

pub use ledger::Ledger;
pub use report::Report;
