//! Analysis of logs and metrics for `coriander-ctl`, in a library so that tests can call it.

pub mod evacuations;
pub mod story;
