//! Continuous batching: prefill in order of priority, and one token after another for every stream
//! that has been prefilled.

use std::time::Duration;

use domain::Moment;
use domain::key::Incarnation;
use web::body::Writer;

use super::Faults;
use super::cache::Cache;
use super::memory;
use crate::answer;

/// Prefill time of one token in a short prompt at speed one, in microseconds.
const LINEAR_MICROS: f64 = 10.0;
/// Growth of that time with each further token of the prompt, in microseconds.
const GROWTH_MICROS: f64 = 1e-4;
/// Priorities, from zero.
const PRIORITIES: u8 = 8;
/// The wait after which a stream's priority counts as one higher.
const AGEING: Duration = Duration::from_secs(10);

/// A stream before it runs.
#[derive(Debug)]
pub struct Stream {
    /// The entry that asked.
    pub owner: Incarnation,
    /// The request's number.
    pub request: u64,
    /// The attempt.
    pub attempt: u32,
    /// Digest of the prompt.
    pub prompt_digest: u64,
    /// Digests of the prompt up to each block.
    pub prefix_digests: Vec<u64>,
    /// The prompt's length.
    pub prompt_tokens: u64,
    /// Higher goes first.
    pub priority: u8,
    /// The number of engines that lend memory and time.
    pub lenders: u32,
    /// The index of the next token.
    pub next_token: u64,
    /// The number of tokens in the whole answer.
    pub answer_tokens: u64,
    /// The memory that it holds.
    pub hold: memory::Id,
    /// Where the answer goes.
    pub writer: Writer,
}

#[derive(Debug)]
struct Running {
    stream: Stream,
    added: Moment,
    /// All of the prefill, in microseconds.
    prefill: f64,
    /// The part still to be done, in microseconds.
    prefill_left: f64,
    /// When the next token is due; absent during prefill.
    token_at: Option<Moment>,
    held_back: Option<String>,
    is_ended: bool,
    has_left: bool,
}

/// All streams of an engine.
#[derive(Debug)]
pub struct Batch {
    speed: f64,
    token_time: Duration,
    running: Vec<Running>,
    cache: Cache,
    at: Moment,
}

impl Batch {
    /// Returns an engine without streams.
    pub fn new(speed: f64, token_time: Duration) -> Self {
        let cache = Cache::default();
        Self {
            speed,
            token_time,
            running: Vec::new(),
            cache,
            at: Moment::default(),
        }
    }

    /// Returns the prefix cache.
    pub fn cache(&self) -> &Cache {
        &self.cache
    }

    /// Adds a stream.
    pub fn add(&mut self, now: Moment, stream: Stream) {
        let cached = self
            .cache
            .access(now, &stream.prefix_digests)
            .min(stream.prompt_tokens);
        let cost = cost(stream.prompt_tokens) - cost(cached);
        let prefill = cost / self.speed / f64::from(1 + stream.lenders);
        self.running.push(Running {
            stream,
            added: now,
            prefill,
            prefill_left: prefill,
            token_at: None,
            held_back: None,
            is_ended: false,
            has_left: false,
        });
    }

    /// Cancels an attempt.
    pub fn cancel(&mut self, owner: Incarnation, request: u64, attempt: u32) {
        let is_meant = |it: &Running| {
            let it = &it.stream;
            (it.owner, it.request, it.attempt) == (owner, request, attempt)
        };
        self.running.retain(|it| !is_meant(it));
    }

    /// Returns the number of streams.
    pub fn len(&self) -> usize {
        self.running.len()
    }

    /// Tells whether there are no streams.
    pub fn is_empty(&self) -> bool {
        self.running.is_empty()
    }

    /// Returns the prefill time that waits, by priority from the highest, in microseconds.
    pub fn backlog(&self) -> Vec<u64> {
        let level = |priority: u8| {
            let streams = self
                .running
                .iter()
                .filter(|it| it.stream.priority == priority);
            streams.map(|it| it.prefill_left as u64).sum()
        };
        (0..PRIORITIES).rev().map(level).collect()
    }

    /// Lets time pass without work.
    pub fn skip(&mut self, now: Moment) {
        self.at = now;
    }

    /// Works until `now`. Returns the memory holds of the answers that ended.
    pub fn step(&mut self, now: Moment, faults: &Faults) -> Vec<memory::Id> {
        let slow = if faults.slow > 1.0 { faults.slow } else { 1.0 };
        self.prefill(now, now.since(self.at).as_micros() as f64 / slow);
        self.at = now;
        let token_time = self.token_time.mul_f64(slow);
        for running in &mut self.running {
            running.send(now, token_time, faults);
        }
        let is_over = |it: &Running| it.is_ended && !it.has_left;
        let over = self
            .running
            .iter()
            .filter(|it| is_over(it))
            .map(|it| it.stream.hold)
            .collect();
        self.running.retain(|it| !is_over(it));
        over
    }

    fn prefill(&mut self, now: Moment, mut budget: f64) {
        while budget > 0.0 {
            let waiting = self.running.iter_mut().filter(|it| it.token_at.is_none());
            // Among equals, the first in the list came first.
            let Some(running) = waiting.reduce(|best, it| {
                if it.priority(now) > best.priority(now) {
                    it
                } else {
                    best
                }
            }) else {
                return;
            };
            let part = running.prefill_left.min(budget);
            running.prefill_left -= part;
            budget -= part;
            if running.prefill_left <= 0.0 {
                running.token_at = Some(now);
            }
        }
    }
}

impl Running {
    fn priority(&self, now: Moment) -> u64 {
        let aged = now.since(self.added).as_secs() / AGEING.as_secs();
        u64::from(self.stream.priority) + aged
    }

    fn send(&mut self, now: Moment, token_time: Duration, faults: &Faults) {
        while let Some(due) = self.token_at.filter(|due| *due <= now) {
            if self.is_ended || self.has_left {
                return;
            }
            if self.stream.next_token >= self.stream.answer_tokens {
                self.end();
                return;
            }
            self.token_at = Some(due + token_time);
            self.token(faults);
            self.stream.next_token += 1;
            if self.stream.next_token == self.stream.answer_tokens {
                self.end();
                return;
            }
        }
    }

    fn token(&mut self, faults: &Faults) {
        let index = self.stream.next_token;
        if faults.drop_every > 0 && index % faults.drop_every == 1 && self.stream.attempt == 1 {
            return;
        }
        let line = serde_json::json!({
            "type": "chunk",
            "attempt": self.stream.attempt,
            "index": index,
            "text": answer::token(self.stream.prompt_digest, index),
            "prefill_us": self.prefill as u64,
        });
        let line = format!("{line}\n");
        if !faults.shuffle {
            self.write(line);
            return;
        }
        match self.held_back.take() {
            Some(earlier) => {
                self.write(line.clone());
                self.write(earlier);
                self.write(line);
            }
            None => self.held_back = Some(line),
        }
    }

    fn end(&mut self) {
        self.is_ended = true;
        if let Some(line) = self.held_back.take() {
            self.write(line);
        }
        let line = serde_json::json!({
            "type": "end",
            "attempt": self.stream.attempt,
            "count": self.stream.answer_tokens,
        });
        self.write(format!("{line}\n"));
    }

    fn write(&mut self, line: String) {
        if self.stream.writer.try_send(line.into_bytes()).is_err() {
            // The reader has gone or is far behind. The memory stays held until it is cancelled.
            self.has_left = true;
        }
    }
}

fn cost(tokens: u64) -> f64 {
    let tokens = tokens as f64;
    LINEAR_MICROS * tokens + GROWTH_MICROS * tokens * tokens
}
