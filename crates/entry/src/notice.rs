//! Notifications to requests that wait for an engine.

use routing::router::Placement;

/// The router's decision about a waiting request.
#[derive(Clone, Debug)]
pub enum Notice {
    /// The request was placed on an engine.
    Placed(Box<Placement>),
    /// The deadline passed before an engine had capacity.
    Expired,
}
