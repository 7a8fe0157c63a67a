//! The wire: what entries say to one another, as Cap'n Proto encodes it.
//!
//! Datagrams carry membership, news and load reports; see [`Frame`]. Calls over TCP carry claims,
//! allotments and the configuration; see [`peer_capnp::peer`] and the conversions in [`call`].
//!
//! API boundary: no other crate reads or writes the generated types' fields.

pub mod address;
pub mod call;
pub mod frame;
pub mod listing;
mod note;

pub use frame::Frame;
pub use listing::Delta;
pub use listing::Record;

/// Code that `cargo xtask schema` generates from `schema/peer.capnp`.
#[allow(clippy::all, missing_docs, unused, rustdoc::all)]
#[rustfmt::skip]
pub mod peer_capnp;

/// A message that can't be understood.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// The encoding is broken.
    #[error("the message is malformed ({0}): check that all entries run the same release")]
    Malformed(#[from] capnp::Error),
    /// A value is out of range.
    #[error("the field `{0}` has an impossible value: check that all entries run the same release")]
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
