//! Routing: selects which request goes next, and to which engine.
//!
//! Requests wait in fair queues, called lanes, one for each model and length class. They leave a
//! lane when an engine is estimated to have room. Costs are estimated engine time, not request
//! counts. [`Router`] combines the modules. The baselines of [`Policy`] choose engines more simply, for
//! comparison.
//!
//! Architecture invariant: this crate does no I/O and never reads a clock. Random numbers come from
//! a generator that the caller seeds.

pub mod budget;
pub mod curve;
pub mod engine;
pub mod health;
pub mod job;
pub mod leaving;
pub mod level;
pub mod pause;
pub mod pool;
pub mod quarantine;
pub mod queue;
pub mod router;
pub mod share;
pub mod usage;

pub use budget::Budget;
pub use curve::Curve;
pub use engine::Engine;
pub use job::Job;
pub use level::Level;
pub use pause::Pause;
pub use quarantine::Quarantine;
pub use router::Policy;
pub use router::Router;
