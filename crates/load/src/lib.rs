//! Load generator: customers send a mix of prompts in an open loop, reproducible from a seed.

pub mod customer;
pub mod mix;
pub mod report;
pub mod run;

pub use customer::Customer;
pub use mix::Mix;
pub use report::Report;
