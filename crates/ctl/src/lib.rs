//! Log analysis for `coriander-ctl`, in a library so that tests can call it.

pub mod story;
