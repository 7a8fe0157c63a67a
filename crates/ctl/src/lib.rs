//! Analysis of logs, metrics and configurations for `coriander-ctl`, in a library so that tests can call it.

pub mod check;
pub mod evacuations;
pub mod story;
