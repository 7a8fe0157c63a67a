//! The entry instance: the one long-running process of the system.
//!
//! The decision crates hold the policy. This crate ties them to the outside: callers, backend
//! servers, the platform, peers and operators. All state is in [`node::Node`], on one thread; no
//! borrow of it lasts across an await.

pub mod attempt;
pub mod callers;
pub mod calls;
pub mod chat;
pub mod claims;
pub mod crash;
pub mod datagrams;
pub mod dispatch;
pub mod engines;
pub mod follow;
pub mod grade;
pub mod limits;
pub mod logs;
pub mod metrics;
pub mod node;
pub mod notice;
pub mod operators;
pub mod orders;
pub mod peers;
pub mod permit;
pub mod request;
pub mod run;
pub mod servers;
pub mod services;
pub mod trace;
