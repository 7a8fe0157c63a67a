//! Errors in reading and writing messages.

use std::io;

/// An error in reading or writing a message.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// The peer closed the connection before the first byte of a message.
    #[error("the connection was closed between messages: open a new one")]
    Closed,
    /// The peer closed the connection in the middle of a message.
    #[error("the connection was closed in the middle of a message: discard the incomplete message")]
    Truncated,
    /// The message is not HTTP/1.1, or its framing is ambiguous.
    #[error("the message is malformed ({0}): correct the sender")]
    Malformed(&'static str),
    /// The head is longer than the limit.
    #[error("the head is longer than {0} bytes: send fewer or shorter headers")]
    HeadTooLong(usize),
    /// The body is longer than the limit.
    #[error("the body is longer than {0} bytes: send a shorter one")]
    BodyTooLong(usize),
    /// The bodies in memory together are longer than the limit.
    #[error("the bodies in memory are longer than {0} bytes together: retry later")]
    NoMemory(usize),
    /// The server serves other requests but not this one.
    #[error("the server serves other requests but not this one: send it to another server")]
    Stalled,
    /// The connection failed.
    #[error("the connection failed ({0}): open a new one")]
    Io(#[from] io::Error),
}
