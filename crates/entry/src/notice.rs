//! What the router decides about a request that waits.

use routing::router::Placement;

/// A decision about a request that waits.
#[derive(Clone, Debug)]
pub enum Notice {
    /// An engine has room.
    Placed(Box<Placement>),
    /// The deadline passed first.
    Expired,
}
