//! The messages that members exchange.

use core::net::SocketAddr;
use std::rc::Rc;

use domain::evacuation;
use domain::key::Incarnation;

use crate::member::Member;
use crate::member::State;

/// The contents of one datagram.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Message {
    /// The sender's description of itself.
    pub from: Member,
    /// The sender's position in the configuration, which only grows: the offset of the next record
    /// that it will read, or the version in force.
    pub config_next: u64,
    /// The purpose of the message.
    pub kind: Kind,
    /// Gossip that is sent along with the message.
    pub rumours: Vec<Rumour>,
    /// The evacuated data centres as the sender knows them; absent if it does not follow evacuations.
    pub evacuations: Option<Rc<evacuation::Set>>,
}

/// The purpose of a message.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Kind {
    /// Requests an acknowledgement.
    Probe {
        /// The number of the probe.
        sequence: u64,
    },
    /// Acknowledges a probe.
    Ack {
        /// The number of the probe.
        sequence: u64,
    },
    /// Requests that the receiver probe another member and forward the acknowledgement.
    ProbeFor {
        /// The number of the probe.
        sequence: u64,
        /// The address to probe.
        target: SocketAddr,
    },
    /// Requests nothing; the message only carries rumours.
    Gossip,
}

/// An item of gossip. Each member forwards it a limited number of times.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Rumour {
    /// The description and state of a member.
    Member {
        /// The member.
        member: Member,
        /// The state of the member as the sender sees it.
        state: State,
    },
    /// A backend server accepts no new work.
    ServerLeaving {
        /// The backend server.
        server: String,
    },
}

/// An outgoing datagram.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Datagram {
    /// The destination.
    pub to: SocketAddr,
    /// The contents.
    pub message: Message,
}

/// A notification for the rest of the process.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Event {
    /// A member was added, changed or removed.
    Changed(Incarnation),
    /// A rumour that does not concern a member.
    Rumour(Rumour),
    /// A peer is ahead of this entry in the configuration.
    ConfigAhead {
        /// The peer's address.
        peer: SocketAddr,
        /// The peer's position, as in [`Message::config_next`].
        next: u64,
    },
    /// A peer knows other evacuated data centres, or knows them as of another position.
    Evacuations {
        /// The peer's address.
        peer: SocketAddr,
        /// What the peer knows.
        set: Rc<evacuation::Set>,
    },
}
