//! The home of contracts, which grants allotments to entries.

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

/// The time after which an entry's report on its requests in progress expires.
pub const REPORT_LIFETIME: Duration = Duration::from_secs(10);
/// The time without requests after which a customer's account is removed.
const ACCOUNT_LIFETIME: Duration = Duration::from_secs(600);
/// The share of a bucket that may be granted ahead of need.
const AHEAD_SHARE: f64 = 0.5;
/// The share of the concurrency limit from which entries report the end of a request at once.
const NEAR_LIMIT_SHARE: f64 = 0.5;
/// The wait that is returned when the limit of concurrent requests is reached.
const CONCURRENCY_WAIT: Duration = Duration::from_millis(200);

/// The accounts of the contracts whose home is this entry.
#[derive(Clone, Debug, Default)]
pub struct Home {
    accounts: HashMap<String, Account>,
    last_sweep: Moment,
}

#[derive(Clone, Debug)]
struct Account {
    tokens: Bucket,
    requests: Bucket,
    running: HashMap<Incarnation, Running>,
    last_used: Moment,
}

#[derive(Clone, Copy, Debug)]
struct Running {
    count: u64,
    reported_at: Moment,
}

/// How an entry became the home of a contract.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Origin {
    /// It is the first home: the customer has used nothing yet.
    First,
    /// It replaces another home without a record of the grants made there. It starts with the burst
    /// of one entry, which doesn't affect light customers and gives heavy ones little extra.
    Successor {
        /// The expected number of entries.
        entries: usize,
    },
}

impl Home {
    /// Answers an [`Ask`]. `terms` is the share of the contract that this home may grant.
    pub fn grant(&mut self, now: Moment, terms: Terms, ask: &Ask, origin: Origin) -> Grant {
        self.sweep(now);
        let account = self.accounts.entry(ask.customer.clone());
        let account = account.or_insert_with(|| Account::new(now, terms, origin));
        account.grant(now, terms, ask)
    }

    /// Returns the number of accounts.
    pub fn len(&self) -> usize {
        self.accounts.len()
    }

    /// Returns whether there are no accounts.
    pub fn is_empty(&self) -> bool {
        self.accounts.is_empty()
    }

    fn sweep(&mut self, now: Moment) {
        if now.since(self.last_sweep) >= ACCOUNT_LIFETIME {
            self.last_sweep = now;
            self.accounts
                .retain(|_, it| now.since(it.last_used) < ACCOUNT_LIFETIME);
        }
    }
}

impl Account {
    fn new(now: Moment, terms: Terms, origin: Origin) -> Self {
        let share = match origin {
            Origin::First => 1.0,
            Origin::Successor { entries } => 1.0 / entries.max(1) as f64,
        };
        let (tokens, requests) = (terms.burst_tokens * share, terms.burst_requests * share);
        Self {
            tokens: Bucket::new(now, terms.tokens_per_second, terms.burst_tokens, tokens),
            requests: Bucket::new(
                now,
                terms.requests_per_second,
                terms.burst_requests,
                requests,
            ),
            running: HashMap::new(),
            last_used: now,
        }
    }

    fn grant(&mut self, now: Moment, terms: Terms, ask: &Ask) -> Grant {
        self.last_used = now;
        self.tokens
            .set(now, terms.tokens_per_second, terms.burst_tokens);
        self.requests
            .set(now, terms.requests_per_second, terms.burst_requests);
        self.tokens.put(ask.tokens_back as f64);
        self.requests.put(ask.requests_back as f64);
        self.running
            .retain(|_, it| now.since(it.reported_at) < REPORT_LIFETIME);
        let others = self
            .running
            .iter()
            .filter(|(entry, _)| **entry != ask.entry);
        let others: u64 = others.map(|(_, it)| it.count).sum();
        let total = (others + ask.running) as f64;
        let is_near_limit = total >= terms.concurrent_requests * NEAR_LIMIT_SHARE;
        let refusal = self.refusal(now, terms, ask, total);
        let count = ask.running
            - if refusal.is_some() {
                ask.requests.min(ask.running)
            } else {
                0
            };
        self.running.insert(
            ask.entry,
            Running {
                count,
                reported_at: now,
            },
        );
        if refusal.is_some() {
            return Grant {
                is_near_limit,
                refusal,
                ..Grant::default()
            };
        }
        let tokens = take_granted(&mut self.tokens, now, ask.tokens, ask.tokens_ahead);
        let requests = take_granted(&mut self.requests, now, ask.requests, ask.requests_ahead);
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
                wait: CONCURRENCY_WAIT,
            });
        }
        if ask.requests as f64 > self.requests.level(now) {
            let wait = self.requests.wait(now, ask.requests as f64);
            return Some(Refusal {
                limit: Limit::Requests,
                wait,
            });
        }
        // A prompt longer than the burst of a share is admitted once the bucket is full.
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

/// Takes the tokens needed now and, as far as the bucket allows, those needed soon.
fn take_granted(bucket: &mut Bucket, now: Moment, needed: u64, ahead: u64) -> u64 {
    bucket.take(needed as f64);
    let spare = (bucket.level(now) * AHEAD_SHARE).max(0.0) as u64;
    let ahead = ahead.min(spare);
    bucket.take(ahead as f64);
    needed + ahead
}
