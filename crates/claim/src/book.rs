//! The tickets that one incarnation of an entry has issued.

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

/// The time for which a ticket may be used.
pub const LIFETIME: Duration = Duration::from_secs(15 * 60);
/// The tickets that are kept at the same time.
const TICKET_LIMIT: usize = 100_000;

/// The tickets of one incarnation. Whoever has the book is their only authority.
#[derive(Clone, Debug)]
pub struct Book {
    issuer: Incarnation,
    issued: u64,
    tickets: HashMap<Key, Ticket>,
    /// The keys in the order in which they were issued.
    order: VecDeque<Key>,
}

#[derive(Clone, Debug)]
struct Ticket {
    customer: String,
    issued: Moment,
    hold: Hold,
}

/// A closed book on its way to another entry.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Parcel {
    /// The incarnation that issued the tickets.
    pub issuer: Incarnation,
    issued: u64,
    tickets: Vec<Packed>,
}

#[derive(Clone, Debug, Serialize, Deserialize)]
struct Packed {
    key: Key,
    customer: String,
    age_ms: u64,
    hold: Hold,
}

impl Book {
    /// Returns an empty book.
    pub fn new(issuer: Incarnation) -> Self {
        Self {
            issuer,
            issued: 0,
            tickets: HashMap::new(),
            order: VecDeque::new(),
        }
    }

    /// Issues a ticket to a customer, or none while too many are in use. `since_epoch` only lets
    /// the ticket tell its age to people.
    pub fn issue(&mut self, now: Moment, since_epoch: Duration, customer: &str) -> Option<Key> {
        self.drop_old(now);
        if self.tickets.len() >= TICKET_LIMIT {
            return None;
        }
        self.issued += 1;
        let key = Key::ticket(since_epoch, self.issuer, self.issued);
        self.tickets.insert(
            key,
            Ticket {
                customer: customer.to_owned(),
                issued: now,
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
        if now.since(ticket.issued) < LIFETIME {
            ticket.hold.claim(nonce);
        }
        ticket.hold.verdict(nonce).unwrap_or(Verdict::TooOld)
    }

    /// Takes a claim back that its holder did not run and never will.
    pub fn release(&mut self, key: Key, nonce: Nonce) {
        if let Some(ticket) = self.tickets.get_mut(&key) {
            ticket.hold.release(nonce);
        }
    }

    /// Notes how a request ended.
    pub fn settle(&mut self, key: Key, nonce: Nonce, outcome: Outcome) {
        if let Some(ticket) = self.tickets.get_mut(&key) {
            ticket.hold.settle(nonce, outcome);
        }
    }

    /// Closes the book for good, so that it can be handed over to one other entry.
    pub fn close(self, now: Moment) -> Parcel {
        let Self {
            issuer,
            issued,
            mut tickets,
            order,
        } = self;
        let tickets = order.into_iter().filter_map(|key| {
            let Ticket {
                customer,
                issued,
                hold,
            } = tickets.remove(&key)?;
            let age_ms = now.since(issued).as_millis() as u64;
            Some(Packed {
                key,
                customer,
                age_ms,
                hold,
            })
        });
        Parcel {
            issuer,
            issued,
            tickets: tickets.collect(),
        }
    }

    /// Opens a book that was handed over.
    pub fn open(now: Moment, parcel: Parcel) -> Self {
        let mut book = Self::new(parcel.issuer);
        book.issued = parcel.issued;
        for Packed {
            key,
            customer,
            age_ms,
            hold,
        } in parcel.tickets
        {
            let age = now.since(Moment::from_millis(age_ms));
            let issued = Moment::default() + age;
            book.tickets.insert(
                key,
                Ticket {
                    customer,
                    issued,
                    hold,
                },
            );
            book.order.push_back(key);
        }
        book
    }

    /// Returns the incarnation that issued the tickets.
    pub fn issuer(&self) -> Incarnation {
        self.issuer
    }

    /// Returns the number of tickets that are kept.
    pub fn len(&self) -> usize {
        self.tickets.len()
    }

    /// Tells whether no tickets are kept.
    pub fn is_empty(&self) -> bool {
        self.tickets.is_empty()
    }

    /// A ticket stays known for twice its lifetime, so that repeats get its outcome.
    fn drop_old(&mut self, now: Moment) {
        while let Some(key) = self.order.front() {
            let is_old = |it: &Ticket| now.since(it.issued) >= LIFETIME * 2;
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
