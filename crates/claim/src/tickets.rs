//! The tickets that one entry incarnation issued.

use std::collections::HashMap;
use std::collections::VecDeque;
use std::time::Duration;

use domain::Key;
use domain::Moment;
use domain::key::Incarnation;
use serde::Deserialize;
use serde::Serialize;

use crate::Nonce;
use crate::Outcome;
use crate::Verdict;
use crate::hold::Hold;

/// The time for which a ticket can be claimed.
pub const LIFETIME: Duration = Duration::from_secs(15 * 60);
/// The maximum number of tickets in memory.
const TICKET_LIMIT: usize = 100_000;

/// The tickets of one incarnation. The process that has this value is their only authority.
#[derive(Clone, Debug)]
pub struct Tickets {
    issuer: Incarnation,
    issued: u64,
    tickets: HashMap<Key, Ticket>,
    /// The keys in order of issue.
    order: VecDeque<Key>,
}

#[derive(Clone, Debug)]
struct Ticket {
    customer: String,
    issued_at: Moment,
    hold: Hold,
}

/// The tickets of one incarnation in the form in which they are transferred to another entry.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Handover {
    /// The incarnation that issued the tickets.
    pub issuer: Incarnation,
    issued: u64,
    tickets: Vec<TicketRecord>,
}

#[derive(Clone, Debug, Serialize, Deserialize)]
struct TicketRecord {
    key: Key,
    customer: String,
    age_ms: u64,
    hold: Hold,
}

impl Tickets {
    /// Returns an empty set of tickets.
    pub fn new(issuer: Incarnation) -> Self {
        Self {
            issuer,
            issued: 0,
            tickets: HashMap::new(),
            order: VecDeque::new(),
        }
    }

    /// Issues a ticket to a customer, or returns `None` while the maximum number is in memory.
    /// `since_epoch` only makes the age of the ticket readable for people.
    pub fn issue(&mut self, now: Moment, since_epoch: Duration, customer: &str) -> Option<Key> {
        self.remove_expired(now);
        if self.tickets.len() >= TICKET_LIMIT {
            return None;
        }
        self.issued += 1;
        let key = Key::ticket(since_epoch, self.issuer, self.issued);
        self.tickets.insert(
            key,
            Ticket {
                customer: customer.to_owned(),
                issued_at: now,
                hold: Hold::default(),
            },
        );
        self.order.push_back(key);
        Some(key)
    }

    /// Decides on a claim.
    pub fn claim(&mut self, now: Moment, key: Key, nonce: Nonce, customer: &str) -> Verdict {
        let Some(ticket) = self.tickets.get_mut(&key) else {
            return if self.was_issued(key) {
                Verdict::TooOld
            } else {
                Verdict::NotIssued
            };
        };
        if ticket.customer != customer {
            return Verdict::NotIssued;
        }
        if now.since(ticket.issued_at) < LIFETIME {
            ticket.hold.claim(nonce);
        }
        ticket.hold.verdict(nonce).unwrap_or(Verdict::TooOld)
    }

    /// Releases a claim whose holder did not run the request and never will.
    pub fn release(&mut self, key: Key, nonce: Nonce) {
        if let Some(ticket) = self.tickets.get_mut(&key) {
            ticket.hold.release(nonce);
        }
    }

    /// Records the outcome of a request.
    pub fn settle(&mut self, key: Key, nonce: Nonce, outcome: Outcome) {
        if let Some(ticket) = self.tickets.get_mut(&key) {
            ticket.hold.settle(nonce, outcome);
        }
    }

    /// Converts the tickets for transfer to one other entry, which becomes their only authority.
    pub fn into_handover(self, now: Moment) -> Handover {
        let Self {
            issuer,
            issued,
            mut tickets,
            order,
        } = self;
        let tickets = order.into_iter().filter_map(|key| {
            let Ticket {
                customer,
                issued_at,
                hold,
            } = tickets.remove(&key)?;
            let age_ms = now.since(issued_at).as_millis() as u64;
            Some(TicketRecord {
                key,
                customer,
                age_ms,
                hold,
            })
        });
        Handover {
            issuer,
            issued,
            tickets: tickets.collect(),
        }
    }

    /// Restores tickets that another entry handed over.
    pub fn from_handover(now: Moment, handover: Handover) -> Self {
        let mut restored = Self::new(handover.issuer);
        restored.issued = handover.issued;
        for TicketRecord {
            key,
            customer,
            age_ms,
            hold,
        } in handover.tickets
        {
            let since_origin = now.since(Moment::from_millis(age_ms));
            let issued_at = Moment::default() + since_origin;
            restored.tickets.insert(
                key,
                Ticket {
                    customer,
                    issued_at,
                    hold,
                },
            );
            restored.order.push_back(key);
        }
        restored
    }

    /// Returns the incarnation that issued the tickets.
    pub fn issuer(&self) -> Incarnation {
        self.issuer
    }

    /// Returns the number of tickets in memory.
    pub fn len(&self) -> usize {
        self.tickets.len()
    }

    /// Returns whether no tickets are in memory.
    pub fn is_empty(&self) -> bool {
        self.tickets.is_empty()
    }

    /// Removes expired tickets. A ticket is kept for twice its lifetime, so that retries
    /// still get its outcome.
    fn remove_expired(&mut self, now: Moment) {
        while let Some(key) = self.order.front() {
            let is_old = |it: &Ticket| now.since(it.issued_at) >= LIFETIME * 2;
            if !self.tickets.get(key).is_none_or(is_old) {
                return;
            }
            self.tickets.remove(key);
            self.order.pop_front();
        }
    }

    fn was_issued(&self, key: Key) -> bool {
        let time = key.created();
        (1..=self.issued).contains(&key.sequence())
            && key == Key::ticket(time, self.issuer, key.sequence())
    }
}
