//! Load and experiments: callers that send mixes of prompts, open loop, from a seed.

pub mod customer;
pub mod mix;
pub mod report;
pub mod run;

pub use customer::Customer;
pub use mix::Mix;
pub use report::Report;
