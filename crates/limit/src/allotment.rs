//! The allotment: what an entry was granted for one customer, and its static share without a home.

use std::time::Duration;

use domain::Moment;
use domain::key::Incarnation;

use crate::Ask;
use crate::Grant;
use crate::Limit;
use crate::Refusal;
use crate::bucket::Bucket;
use crate::terms::Terms;

/// The time after which an unused allotment is returned.
const ALLOTMENT_LIFETIME: Duration = Duration::from_millis(1_000);
/// An entry asks ahead for the use that it expects in this period, at the recent rate.
const LOOKAHEAD: Duration = Duration::from_millis(250);
/// The time over which the recent rate is averaged.
const RATE_WINDOW: Duration = Duration::from_millis(1_000);
/// The interval at which an entry reports its requests in progress to the home.
pub const REPORT_INTERVAL: Duration = Duration::from_secs(4);
/// The wait that is returned when the limit of concurrent requests is reached.
const CONCURRENCY_WAIT: Duration = Duration::from_millis(200);

/// The tokens and requests that an entry was granted for one customer.
#[derive(Clone, Debug, Default)]
pub struct Allotment {
    tokens: u64,
    requests: u64,
    granted_at: Moment,
    reported_at: Moment,
    is_near_limit: bool,
    running: u64,
    tokens_rate: Rate,
    requests_rate: Rate,
    fallback: Option<Fallback>,
}

#[derive(Clone, Copy, Debug)]
struct Fallback {
    tokens: Bucket,
    requests: Bucket,
}

#[derive(Clone, Copy, Debug, Default)]
struct Rate {
    per_second: f64,
    updated_at: Moment,
}

impl Allotment {
    /// Takes what a request needs. Returns whether the allotment has it, hasn't expired and isn't
    /// near the limit of concurrent requests.
    pub fn take(&mut self, now: Moment, tokens: u64) -> bool {
        self.tokens_rate.add(now, tokens as f64);
        self.requests_rate.add(now, 1.0);
        let is_fresh = now.since(self.granted_at) < ALLOTMENT_LIFETIME;
        if !is_fresh || self.is_near_limit || self.tokens < tokens || self.requests < 1 {
            return false;
        }
        self.spend(tokens);
        true
    }

    /// Returns the [`Ask`] for the home to admit a request of `tokens` tokens. It also returns the
    /// unused rest of the allotment.
    pub fn ask(&mut self, entry: Incarnation, customer: &str, tokens: u64) -> Ask {
        Ask {
            entry,
            customer: customer.to_owned(),
            tokens,
            tokens_ahead: self.tokens_rate.amount_in(LOOKAHEAD),
            requests: 1,
            requests_ahead: self.requests_rate.amount_in(LOOKAHEAD),
            running: self.running + 1,
            tokens_back: std::mem::take(&mut self.tokens),
            requests_back: std::mem::take(&mut self.requests),
        }
    }

    /// Returns an [`Ask`] that only reports the number of requests in progress to the home. It also
    /// returns the unused rest of the allotment.
    pub fn report(&mut self, entry: Incarnation, customer: &str) -> Ask {
        let ask = self.ask(entry, customer, 0);
        Ask {
            requests: 0,
            requests_ahead: 0,
            tokens_ahead: 0,
            running: self.running,
            ..ask
        }
    }

    /// Adds a grant to the allotment and takes what a request of `tokens` tokens needs.
    pub fn receive(&mut self, now: Moment, grant: Grant, tokens: u64) -> Result<(), Refusal> {
        self.granted_at = now;
        self.reported_at = now;
        self.fallback = None;
        self.is_near_limit = grant.is_near_limit;
        self.tokens += grant.tokens;
        self.requests += grant.requests;
        match grant.refusal {
            Some(refusal) => Err(refusal),
            None => {
                self.spend(tokens);
                Ok(())
            }
        }
    }

    /// Applies the grant with which the home answers an [`Allotment::report`].
    pub fn receive_report_grant(&mut self, now: Moment, grant: Grant) {
        self.reported_at = now;
        self.is_near_limit = grant.is_near_limit;
    }

    /// Takes what a request needs from the static share, while the home can't be reached. `entries`
    /// share the terms of the `contract` equally.
    pub fn take_share(
        &mut self,
        now: Moment,
        contract: Terms,
        entries: usize,
        tokens: u64,
    ) -> Result<(), Refusal> {
        let terms = contract.share(1, entries);
        // The home may have granted most of the burst just before it failed.
        let start = terms.share(1, entries);
        let fallback = self.fallback.get_or_insert_with(|| Fallback {
            tokens: Bucket::new(
                now,
                terms.tokens_per_second,
                terms.burst_tokens,
                start.burst_tokens,
            ),
            requests: Bucket::new(
                now,
                terms.requests_per_second,
                terms.burst_requests,
                start.burst_requests,
            ),
        });
        fallback
            .tokens
            .set(now, terms.tokens_per_second, terms.burst_tokens);
        fallback
            .requests
            .set(now, terms.requests_per_second, terms.burst_requests);
        if (self.running + 1) as f64 > terms.concurrent_requests {
            return Err(Refusal {
                limit: Limit::Concurrency,
                wait: CONCURRENCY_WAIT,
            });
        }
        let needed = (tokens as f64).min(terms.burst_tokens);
        if fallback.tokens.level(now) < needed {
            let wait = fallback.tokens.wait(now, needed);
            return Err(Refusal {
                limit: Limit::Tokens,
                wait,
            });
        }
        if fallback.requests.level(now) < 1.0 {
            let wait = fallback.requests.wait(now, 1.0);
            return Err(Refusal {
                limit: Limit::Requests,
                wait,
            });
        }
        fallback.tokens.take(tokens as f64);
        fallback.requests.take(1.0);
        self.running += 1;
        Ok(())
    }

    /// Records the end of a request. Returns whether it must be reported to the home at once.
    pub fn record_end(&mut self) -> bool {
        self.running = self.running.saturating_sub(1);
        self.is_near_limit
    }

    /// Returns whether a report to the home is due: requests are in progress and the last report is
    /// too old, or an unused allotment has expired.
    pub fn is_due(&self, now: Moment) -> bool {
        let is_report_due = now.since(self.reported_at) >= REPORT_INTERVAL;
        let has_unused = self.tokens > 0 || self.requests > 0;
        let is_expired = has_unused && now.since(self.granted_at) >= ALLOTMENT_LIFETIME;
        (self.running > 0 && is_report_due) || is_expired
    }

    /// Returns whether the allotment can be dropped.
    pub fn is_idle(&self, now: Moment) -> bool {
        let is_empty = self.running == 0 && self.tokens == 0 && self.requests == 0;
        is_empty && now.since(self.reported_at) >= REPORT_INTERVAL && self.fallback.is_none()
    }

    /// Returns the number of requests in progress.
    pub fn running(&self) -> u64 {
        self.running
    }

    fn spend(&mut self, tokens: u64) {
        self.tokens = self.tokens.saturating_sub(tokens);
        self.requests = self.requests.saturating_sub(1);
        self.running += 1;
    }
}

impl Rate {
    fn add(&mut self, now: Moment, amount: f64) {
        let passed = now.since(self.updated_at).as_secs_f64() / RATE_WINDOW.as_secs_f64();
        self.per_second = self.per_second * (-passed).exp() + amount / RATE_WINDOW.as_secs_f64();
        self.updated_at = now;
    }

    fn amount_in(&self, time: Duration) -> u64 {
        (self.per_second * time.as_secs_f64()) as u64
    }
}
