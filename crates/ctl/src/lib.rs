//! What operators ask, as functions that a test can call.

pub mod story;
