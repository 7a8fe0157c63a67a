//! The gateway: serves routes, between callers that connect to it and backend servers.
//!
//! A request goes one way: [`listener`] reads it, [`exchange`] admits and places it, [`attempt`] sends
//! it to a backend server, [`relay`] passes the answer on. [`follow`] keeps what the platform says,
//! [`peers`] what other entries say. What this crate needs of the platform it states in [`port`];
//! it knows none of the platform's names.
//!
//! Architecture invariant: no borrow of [`node::State`] lasts across an await.

pub mod attempt;
pub mod calls;
pub mod connections;
pub mod datagrams;
pub mod dial;
pub mod endpoints;
pub mod events;
pub mod exchange;
pub mod follow;
pub mod listener;
pub mod logs;
pub mod metrics;
pub mod node;
pub mod peers;
pub mod port;
pub mod records;
pub mod refusal;
pub mod registration;
pub mod relay;
pub mod reserve;
pub mod run;
pub mod serve;
pub mod settings;
pub mod target;
pub mod watchdog;

pub use node::Node;
pub use port::Decoder;
pub use port::Platform;
pub use port::Protocol;
pub use settings::Settings;
