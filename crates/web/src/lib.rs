//! HTTP/1.1 server, based on `async-h1`, and client, based on `h1`, for all parts of the project.
//! Both run on one thread.
//!
//! This crate adds to the library: limits on the size and the time of requests, a descriptive
//! response to malformed requests, detection of callers that disconnect, streamed bodies, and a
//! connection pool.

pub mod body;
pub mod client;
pub mod reply;
pub mod server;
pub mod stream;

pub use client::Client;
pub use reply::Reply;
pub use server::Exchange;
pub use stream::Stream;

pub use http_types::Method;
