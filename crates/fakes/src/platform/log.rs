//! An append-only log with streams, offsets, retention and a rate limit.

use std::collections::HashMap;
use std::collections::VecDeque;
use std::time::Duration;

use domain::Moment;
use platform::Appended;
use platform::Batch;
use platform::Record;

/// The maximum number of records in one response.
const BATCH_LIMIT: usize = 1_000;

/// A log with several streams.
#[derive(Debug)]
pub struct Log {
    streams: HashMap<String, Stream>,
    retention: Duration,
    limiter: RateLimiter,
}

#[derive(Debug, Default)]
struct Stream {
    head: u64,
    records: VecDeque<Record>,
}

/// A rate limiter (token bucket) with a burst of one second.
#[derive(Debug)]
pub struct RateLimiter {
    per_second: f64,
    tokens: f64,
    last_refill: Moment,
}

impl Log {
    /// Returns an empty log.
    pub fn new(retention: Duration, appends_per_second: u32) -> Self {
        Self {
            streams: HashMap::new(),
            retention,
            limiter: RateLimiter::new(appends_per_second),
        }
    }

    /// Appends a record. Returns `None` if the rate limit is exceeded.
    pub fn append(
        &mut self,
        now: Moment,
        since_epoch: Duration,
        stream: &str,
        data: String,
    ) -> Option<Appended> {
        if !self.limiter.try_acquire(now) {
            return None;
        }
        let stream = self.streams.entry(stream.to_owned()).or_default();
        let (offset, at_ms) = (stream.head, since_epoch.as_millis() as u64);
        stream.records.push_back(Record {
            offset,
            at_ms,
            data,
        });
        stream.head += 1;
        Some(Appended { offset, at_ms })
    }

    /// Reads a stream from an offset.
    pub fn read(&mut self, since_epoch: Duration, stream: &str, from: u64) -> Batch {
        let Some(stream) = self.streams.get_mut(stream) else {
            return Batch {
                first: 0,
                head: 0,
                records: Vec::new(),
            };
        };
        let oldest = since_epoch.saturating_sub(self.retention).as_millis() as u64;
        while stream.records.front().is_some_and(|it| it.at_ms < oldest) {
            stream.records.pop_front();
        }
        let first = stream.records.front().map_or(stream.head, |it| it.offset);
        let skip = from.saturating_sub(first) as usize;
        let records = stream
            .records
            .iter()
            .skip(skip)
            .take(BATCH_LIMIT)
            .cloned()
            .collect();
        Batch {
            first,
            head: stream.head,
            records,
        }
    }
}

impl RateLimiter {
    /// Returns a limiter with a full bucket.
    pub fn new(per_second: u32) -> Self {
        let per_second = f64::from(per_second);
        Self {
            per_second,
            tokens: per_second,
            last_refill: Moment::default(),
        }
    }

    /// Takes one token. Returns `false` if the limit is exceeded.
    pub fn try_acquire(&mut self, now: Moment) -> bool {
        let new_tokens = now.since(self.last_refill).as_secs_f64() * self.per_second;
        self.tokens = (self.tokens + new_tokens).min(self.per_second);
        self.last_refill = now;
        if self.tokens < 1.0 {
            return false;
        }
        self.tokens -= 1.0;
        true
    }
}
