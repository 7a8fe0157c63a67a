//! Whom an answer comes from, and what its arrival says about them.

use std::cell::Cell;

use domain::Moment;
use h1::Response;
use placement::Server;

use crate::Node;
use crate::exchange::Exchange;
use crate::notice;
use crate::reachability;
use crate::registration::Registration;

/// The last activity of a server that is not read.
const NEVER_SILENT: Moment = Moment::from_micros(u64::MAX);

/// Whom an answer comes from.
#[derive(Clone, Copy)]
pub enum Source<'a> {
    /// A backend server, with the registration of the attempt.
    Server(&'a Server, &'a Registration<'a>),
    /// Another entry, which registers its attempts itself, with the moment of the last event.
    Peer(&'a Cell<Moment>),
}

impl Source<'_> {
    /// Records that the head of a response arrived.
    pub fn record_response(self, node: &Node, response: &Response, sent_at: Option<Moment>) {
        if let Self::Server(server, _) = self {
            reachability::record_answer(node);
            notice::record(node, server, response, sent_at);
        }
    }

    /// Records that events arrived.
    pub fn record_events(self, node: &Node, exchange: &Exchange, is_first: bool) {
        let now = clock::now();
        match self {
            Self::Server(_, registration) => {
                if is_first {
                    registration.started();
                }
                reachability::record_answer(node);
                registration.progressed(now, exchange.service.engine.as_ref());
            }
            Self::Peer(progress) => progress.set(now),
        }
    }

    /// Returns whether this entry counts the passes of an answer that is about to begin. Another entry that
    /// serves it from its first event observes it itself.
    pub fn counts_first_pass(self, exchange: &Exchange) -> bool {
        matches!(self, Self::Server(..)) && exchange.last_event.is_none()
    }

    /// Returns whether it is another entry.
    pub fn is_peer(self) -> bool {
        matches!(self, Self::Peer(_))
    }

    /// Records that the server is not read until the caller reads, so that its silence shows nothing.
    pub fn stopped(self) {
        self.progress().set(NEVER_SILENT);
    }

    /// Records that the server is read again.
    pub fn resumed(self) {
        self.progress().set(clock::now());
    }

    fn progress(&self) -> &Cell<Moment> {
        match self {
            Self::Server(_, registration) => &registration.progress,
            Self::Peer(progress) => progress,
        }
    }

    /// Records that events were passed on to the caller.
    pub fn passed_on(self) {
        if let Self::Server(_, registration) = self {
            registration.passed_on();
        }
    }
}
