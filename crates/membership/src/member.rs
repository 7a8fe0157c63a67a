//! The self-description of an entry instance, and its state as others see it.

use core::net::SocketAddr;

use domain::key::Incarnation;

/// The self-description of an entry instance.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Member {
    /// The incarnation of the process: a restarted instance is another member.
    pub incarnation: Incarnation,
    /// The instance's name.
    pub name: String,
    /// The data centre of the instance.
    pub data_centre: String,
    /// The address that callers connect to.
    pub caller_address: SocketAddr,
    /// The address that other entries connect to.
    pub peer_address: SocketAddr,
    /// The phase of the instance.
    pub phase: Phase,
    /// The version of this description. It increases with each change of the phase and each
    /// refutation of a suspicion.
    pub version: u32,
    /// The processor capacity of the instance, in thousandths of a core; 0 if it is not known.
    pub capacity: u32,
    /// The address at which the instance serves requests that other entries relay to it.
    pub relay_address: Option<SocketAddr>,
}

/// Where a caller is, as far as it says so.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Origin {
    /// Its region.
    pub region: Option<String>,
    /// Its data centre.
    pub data_centre: Option<String>,
}

/// The phase in the life cycle of an entry instance.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Phase {
    /// The instance has no configuration yet.
    Starting,
    /// The instance serves callers.
    Ready,
    /// The instance serves its existing callers, but accepts no new ones.
    Leaving,
    /// The instance reaches no backend server, so that callers are not directed to it.
    Isolated,
}

/// The state of a member as others see it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum State {
    /// The member responds.
    Alive,
    /// The member failed to respond recently.
    Suspect,
    /// The member stayed suspect for too long and counts as stopped.
    Dead,
}
