//! The tickets that one incarnation of an entry has issued.

use std::collections::HashMap;
use std::collections::VecDeque;
use std::time::Duration;

use domain::Key;
use domain::Moment;
use domain::key::Incarnation;

use crate::Nonce;
use crate::Outcome;
use crate::Verdict;

/// The time for which a ticket may be used.
pub const LIFETIME: Duration = Duration::from_secs(15 * 60);
/// The tickets that are kept at the same time.
const TICKET_LIMIT: usize = 100_000;

/// The tickets of one incarnation. It is their only authority.
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
    holder: Option<Nonce>,
    released: Vec<Nonce>,
    outcome: Outcome,
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
                holder: None,
                released: Vec::new(),
                outcome: Outcome::Open,
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
        match ticket.holder {
            Some(holder) if holder == nonce => Verdict::Granted,
            Some(_) => Verdict::Used(ticket.outcome.clone()),
            None if now.since(ticket.issued) >= LIFETIME => Verdict::TooOld,
            None if ticket.released.contains(&nonce) => Verdict::TooOld,
            None => {
                ticket.holder = Some(nonce);
                Verdict::Granted
            }
        }
    }

    /// Takes a claim back that its holder did not run and never will.
    pub fn release(&mut self, key: Key, nonce: Nonce) {
        if let Some(ticket) = self.tickets.get_mut(&key) {
            ticket.released.push(nonce);
            if ticket.holder == Some(nonce) {
                ticket.holder = None;
            }
        }
    }

    /// Notes how a request ended.
    pub fn settle(&mut self, key: Key, nonce: Nonce, outcome: Outcome) {
        if let Some(ticket) = self
            .tickets
            .get_mut(&key)
            .filter(|it| it.holder == Some(nonce))
        {
            ticket.outcome = outcome;
        }
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
        let time = key.minted();
        (1..=self.issued).contains(&key.sequence())
            && key == Key::ticket(time, self.issuer, key.sequence())
    }
}
