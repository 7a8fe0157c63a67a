//! Why a message can't be read or written.

use std::io;

/// A message that can't be read or written.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// The other side closed the connection before the first byte of a message.
    #[error("the connection was closed between messages: open another one")]
    Closed,
    /// The other side closed the connection in the middle of a message.
    #[error("the connection was closed inside a message: discard what was read")]
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
    /// The connection failed.
    #[error("the connection failed ({0}): open another one")]
    Io(#[from] io::Error),
}
