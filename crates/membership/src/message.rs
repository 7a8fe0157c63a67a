//! What members say to one another.

use core::net::SocketAddr;

use domain::key::Incarnation;

use crate::member::Member;
use crate::member::State;

/// One datagram.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Message {
    /// The sender, as it describes itself.
    pub from: Member,
    /// The offset of the next configuration record that the sender will read.
    pub config_next: u64,
    /// What it wants.
    pub kind: Kind,
    /// News.
    pub rumours: Vec<Rumour>,
}

/// What a datagram wants.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Kind {
    /// Answer with an acknowledgement.
    Probe {
        /// The number of the probe.
        sequence: u64,
    },
    /// Acknowledges a probe.
    Ack {
        /// The number of the probe.
        sequence: u64,
    },
    /// Probe somebody else and pass the acknowledgement on.
    ProbeFor {
        /// The number of the probe.
        sequence: u64,
        /// Whom to probe.
        target: SocketAddr,
    },
    /// Nothing: the datagram only brings news.
    News,
}

/// A piece of news. It travels on until it has been passed on often enough.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Rumour {
    /// What is held of a member.
    Member {
        /// The member.
        member: Member,
        /// What is held of it.
        state: State,
    },
    /// A prompt is suspected to have brought down an engine.
    Crash {
        /// The prompt's fingerprint.
        fingerprint: u64,
        /// The backend server.
        server: String,
    },
    /// A backend server takes no new work.
    ServerLeaving {
        /// The backend server.
        server: String,
    },
}

/// A datagram to be sent.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Datagram {
    /// Where to.
    pub to: SocketAddr,
    /// What.
    pub message: Message,
}

/// What the rest of the process should know.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Event {
    /// A member appeared, changed or went.
    Changed(Incarnation),
    /// News of something other than a member.
    Rumour(Rumour),
    /// A peer has read further in the configuration stream.
    ConfigAhead {
        /// The peer's address.
        peer: SocketAddr,
        /// The offset that it will read next.
        next: u64,
    },
}
