//! The home of contracts: hands out allotments.

use std::collections::HashMap;
use std::time::Duration;

use domain::Moment;
use domain::key::Incarnation;

use crate::Ask;
use crate::Grant;
use crate::Limit;
use crate::Refusal;
use crate::bucket::Bucket;
use crate::terms::Terms;

/// The time after which an entry's word on its running requests no longer counts.
pub const REPORT_LIFETIME: Duration = Duration::from_secs(10);
/// The time after which the account of a customer who sends nothing is forgotten.
const ACCOUNT_KEPT: Duration = Duration::from_secs(600);
/// The part of a bucket that is handed out ahead of need.
const AHEAD_PART: f64 = 0.5;
/// The part of the slots in use from which entries tell at once when a request ends.
const TIGHT_PART: f64 = 0.5;
/// The wait that is named when all slots are in use.
const SLOT_WAIT: Duration = Duration::from_millis(200);

/// The accounts of the contracts that this entry is home to.
#[derive(Clone, Debug, Default)]
pub struct Home {
    accounts: HashMap<String, Account>,
    swept: Moment,
}

#[derive(Clone, Debug)]
struct Account {
    tokens: Bucket,
    requests: Bucket,
    running: HashMap<Incarnation, Running>,
    used: Moment,
}

#[derive(Clone, Copy, Debug)]
struct Running {
    count: u64,
    at: Moment,
}

/// How a home came by a contract.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Origin {
    /// It has always been the home: the customer has used nothing yet.
    First,
    /// It follows another home, of whose allotments it knows nothing. It starts with the burst of
    /// one entry, so that light customers notice nothing and heavy ones gain little.
    Successor {
        /// The number of entries that there should be.
        entries: usize,
    },
}

impl Home {
    /// Answers an entry. `terms` is the part of the contract that this home may hand out.
    pub fn grant(&mut self, now: Moment, terms: Terms, ask: &Ask, start: Origin) -> Grant {
        self.sweep(now);
        let account = self.accounts.entry(ask.customer.clone());
        let account = account.or_insert_with(|| Account::new(now, terms, start));
        account.grant(now, terms, ask)
    }

    /// Returns the number of accounts.
    pub fn len(&self) -> usize {
        self.accounts.len()
    }

    /// Tells whether there are no accounts.
    pub fn is_empty(&self) -> bool {
        self.accounts.is_empty()
    }

    fn sweep(&mut self, now: Moment) {
        if now.since(self.swept) >= ACCOUNT_KEPT {
            self.swept = now;
            self.accounts
                .retain(|_, it| now.since(it.used) < ACCOUNT_KEPT);
        }
    }
}

impl Account {
    fn new(now: Moment, terms: Terms, start: Origin) -> Self {
        let part = match start {
            Origin::First => 1.0,
            Origin::Successor { entries } => 1.0 / entries.max(1) as f64,
        };
        let (tokens, requests) = (terms.burst_tokens * part, terms.burst_requests * part);
        Self {
            tokens: Bucket::new(now, terms.tokens_per_second, terms.burst_tokens, tokens),
            requests: Bucket::new(
                now,
                terms.requests_per_second,
                terms.burst_requests,
                requests,
            ),
            running: HashMap::new(),
            used: now,
        }
    }

    fn grant(&mut self, now: Moment, terms: Terms, ask: &Ask) -> Grant {
        self.used = now;
        self.tokens
            .set(now, terms.tokens_per_second, terms.burst_tokens);
        self.requests
            .set(now, terms.requests_per_second, terms.burst_requests);
        self.tokens.put(ask.tokens_back as f64);
        self.requests.put(ask.requests_back as f64);
        self.running
            .retain(|_, it| now.since(it.at) < REPORT_LIFETIME);
        let others = self
            .running
            .iter()
            .filter(|(entry, _)| **entry != ask.entry);
        let others: u64 = others.map(|(_, it)| it.count).sum();
        let total = (others + ask.running) as f64;
        let is_near_limit = total >= terms.concurrent_requests * TIGHT_PART;
        let refusal = self.refusal(now, terms, ask, total);
        let count = ask.running
            - if refusal.is_some() {
                ask.requests.min(ask.running)
            } else {
                0
            };
        self.running.insert(ask.entry, Running { count, at: now });
        if refusal.is_some() {
            return Grant {
                is_near_limit,
                refusal,
                ..Grant::default()
            };
        }
        let tokens = hand_out(&mut self.tokens, now, ask.tokens, ask.tokens_ahead);
        let requests = hand_out(&mut self.requests, now, ask.requests, ask.requests_ahead);
        Grant {
            tokens,
            requests,
            is_near_limit,
            refusal: None,
        }
    }

    fn refusal(&mut self, now: Moment, terms: Terms, ask: &Ask, total: f64) -> Option<Refusal> {
        if ask.requests > 0 && total > terms.concurrent_requests {
            return Some(Refusal {
                limit: Limit::Concurrency,
                wait: SLOT_WAIT,
            });
        }
        if ask.requests as f64 > self.requests.level(now) {
            let wait = self.requests.wait(now, ask.requests as f64);
            return Some(Refusal {
                limit: Limit::Requests,
                wait,
            });
        }
        // A prompt longer than a share's burst passes once the bucket is full.
        let needed = (ask.tokens as f64).min(terms.burst_tokens);
        if needed > self.tokens.level(now) {
            let wait = self.tokens.wait(now, needed);
            return Some(Refusal {
                limit: Limit::Tokens,
                wait,
            });
        }
        None
    }
}

/// Takes what is needed and, while there is plenty, what is needed soon.
fn hand_out(bucket: &mut Bucket, now: Moment, needed: u64, ahead: u64) -> u64 {
    bucket.take(needed as f64);
    let plenty = (bucket.level(now) * AHEAD_PART).max(0.0) as u64;
    let ahead = ahead.min(plenty);
    bucket.take(ahead as f64);
    needed + ahead
}
