//! Encoding and decoding of the messages between entries, with Cap'n Proto.
//!
//! Datagrams carry membership, gossip, load reports, updates on placed requests and changes to the
//! list of servers; see [`Frame`]. Calls over TCP carry claims, allotments, tickets, the
//! configuration and records of the platform's lists; see [`peer_capnp::peer`] and the conversions
//! in [`call`] and [`listing`].
//!
//! API boundary: no other crate reads or writes the fields of the generated types.

pub mod address;
pub mod call;
mod costs;
mod evacuations;
pub mod frame;
pub mod listing;
mod suspects;
mod update;

pub use frame::Frame;
pub use listing::Delta;
pub use listing::Record;

/// Code that `cargo xtask schema` generates from `schema/peer.capnp`.
#[allow(clippy::all, missing_docs, unused, rustdoc::all)]
#[rustfmt::skip]
pub mod peer_capnp;

/// An error in the decoding of a message.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// The encoding is malformed.
    #[error("the message is malformed ({0}): check that all entries run the same release")]
    Malformed(#[from] capnp::Error),
    /// A field has a value outside its range.
    #[error("the field `{0}` has an invalid value: check that all entries run the same release")]
    Field(&'static str),
}

impl From<capnp::NotInSchema> for Error {
    fn from(_: capnp::NotInSchema) -> Self {
        Self::Field("enum")
    }
}

impl From<std::str::Utf8Error> for Error {
    fn from(_: std::str::Utf8Error) -> Self {
        Self::Field("text")
    }
}
