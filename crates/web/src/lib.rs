//! HTTP/1.1 for every part of the project: a server and a client over `async-h1`, on one thread.
//!
//! What this crate adds to the library: limits on the size and the time of requests, a clear answer
//! to malformed ones, word of callers that have gone, streamed bodies, and a pool of connections.

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
