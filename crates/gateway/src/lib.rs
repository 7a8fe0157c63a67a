//! The gateway: forwards callers' requests to backend servers, according to configured routes.
//!
//! [`listener`] reads a request, [`exchange`] admits and places it, [`attempt`] sends it to a
//! backend server, and [`relay`] writes the answer to the caller. [`configuration`] and [`follow`] read the
//! platform's lists, and [`peers`] receives datagrams of other entries. [`port`] declares the interfaces to
//! the platform; no name of the platform appears in this crate.
//!
//! Architecture invariant: no borrow of [`node::State`] lasts across an await.

pub mod attempt;
pub mod backoff;
pub mod calls;
mod checkup;
pub mod cold;
mod command;
pub mod configuration;
pub mod connections;
pub mod costs;
pub mod crash;
pub mod datagrams;
pub mod detours;
pub mod dial;
pub mod duty;
pub mod endpoints;
pub mod evacuation;
pub mod events;
pub mod exchange;
pub mod faults;
pub mod follow;
pub mod held;
pub mod homes;
pub mod listener;
pub mod lists;
pub mod logs;
pub mod metrics;
pub mod moves;
pub mod node;
pub mod notice;
pub mod numbering;
pub mod observe;
pub mod on_time;
pub mod outbox;
pub mod outcome;
pub mod peers;
pub mod placing;
pub mod port;
pub mod proxy;
pub mod reachability;
pub mod reception;
pub mod records;
pub mod refusal;
pub mod registration;
pub mod rejections;
pub mod relay;
pub mod reserve;
pub mod run;
pub mod serve;
pub mod settings;
pub mod signal;
mod silent;
pub mod source;
pub mod stop;
pub mod target;
pub mod turns;
mod upload;
pub mod waiting;
pub mod watchdog;

pub use domain::position;
pub use node::Node;
pub use port::Decoder;
pub use port::Platform;
pub use port::Protocol;
pub use settings::Settings;
