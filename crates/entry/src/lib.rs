//! The entry instance: the only long-running process of the system.
//!
//! The decision crates (such as `routing` and `limit`) contain the policy and do no I/O. This crate
//! connects them to callers, backend servers, the platform, peers and operators. All state is in
//! [`node::Node`] on one thread, and no borrow of it is held across an await.

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
