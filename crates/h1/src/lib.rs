//! HTTP/1.1 messages that are passed on byte for byte.
//!
//! A relay must not normalise what it forwards: `async-h1` parses targets into URLs, which changes
//! `%2e` and `//`, and hides how a body was framed. This crate parses heads with `httparse`, keeps
//! targets and values as they came, and refuses every message whose framing two parsers could read
//! differently.

pub mod body;
pub mod error;
pub mod head;
pub mod headers;
pub mod stream;

pub use body::Framing;
pub use error::Error;
pub use head::Request;
pub use head::Response;
pub use headers::Headers;
pub use stream::Stream;
