//! Small stand-ins for what the system meets: the platform, model engines and plain services.
//!
//! Each is a state machine with a thin HTTP server, and each has faults on command. They stand in
//! until the users' own bench does.

pub mod answer;
pub mod clock;
pub mod engine;
pub mod platform;
pub mod service;
