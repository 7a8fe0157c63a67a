//! HTTP/1.1 messages for a proxy that forwards them byte for byte.
//!
//! A proxy must not normalise the messages that it forwards. `async-h1` parses targets into URLs,
//! which changes `%2e` and `//`, and does not expose the framing of a body. This crate parses heads
//! with `httparse`, preserves targets and values, and rejects every message whose framing two
//! parsers could interpret differently.

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
