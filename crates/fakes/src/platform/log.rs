//! An append-only log with streams, offsets, retention and a rate limit.

use std::collections::HashMap;
use std::collections::VecDeque;
use std::time::Duration;

use domain::Moment;
use platform::Appended;
use platform::Batch;
use platform::Record;

/// The most records in one answer.
const BATCH_LIMIT: usize = 1_000;

/// A log.
#[derive(Debug)]
pub struct Log {
    streams: HashMap<String, Stream>,
    retention: Duration,
    rate: RateLimiter,
}

#[derive(Debug, Default)]
struct Stream {
    head: u64,
    records: VecDeque<Record>,
}

/// A rate limit with a burst of one second.
#[derive(Debug)]
pub struct RateLimiter {
    per_second: f64,
    level: f64,
    at: Moment,
}

impl Log {
    /// Returns an empty log.
    pub fn new(retention: Duration, appends_per_second: u32) -> Self {
        Self {
            streams: HashMap::new(),
            retention,
            rate: RateLimiter::new(appends_per_second),
        }
    }

    /// Appends a record, unless there are too many appends.
    pub fn append(
        &mut self,
        now: Moment,
        since_epoch: Duration,
        stream: &str,
        data: String,
    ) -> Option<Appended> {
        if !self.rate.try_acquire(now) {
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

    /// Reads a stream from an offset on.
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
    /// Returns a full limit.
    pub fn new(per_second: u32) -> Self {
        let per_second = f64::from(per_second);
        Self {
            per_second,
            level: per_second,
            at: Moment::default(),
        }
    }

    /// Takes one, if the limit allows.
    pub fn try_acquire(&mut self, now: Moment) -> bool {
        let grown = now.since(self.at).as_secs_f64() * self.per_second;
        self.level = (self.level + grown).min(self.per_second);
        self.at = now;
        if self.level < 1.0 {
            return false;
        }
        self.level -= 1.0;
        true
    }
}
