//! One entry instance as it describes itself, and what others hold of it.

use core::net::SocketAddr;

use domain::key::Incarnation;

/// An entry instance as it describes itself.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Member {
    /// The life of the process: an instance that is restarted is another member.
    pub incarnation: Incarnation,
    /// The instance's name.
    pub name: String,
    /// The data centre that it stands in.
    pub data_centre: String,
    /// Where callers connect.
    pub caller_address: SocketAddr,
    /// Where other entries connect.
    pub peer_address: SocketAddr,
    /// What it is ready for.
    pub phase: Phase,
    /// Grows with each change of the phase and with each objection to a suspicion.
    pub version: u32,
}

/// What an entry instance is ready for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Phase {
    /// It has no configuration yet.
    Starting,
    /// It serves callers.
    Ready,
    /// It serves callers who know it, but takes no new ones.
    Leaving,
}

/// What is held of a member.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum State {
    /// It answers.
    Alive,
    /// It did not answer lately.
    Suspect,
    /// It is gone.
    Dead,
}
