//! Continuous batching: prefills prompts in order of priority, and decodes all prefilled streams
//! concurrently.

use std::time::Duration;

use domain::Moment;
use domain::key::Incarnation;
use web::body::Writer;

use super::Faults;
use super::cache::Cache;
use super::memory;
use crate::answer;

/// The prefill time of one token in a short prompt at speed one, in microseconds.
const TOKEN_MICROS: f64 = 10.0;
/// The growth of that time with each further token of the prompt, in microseconds.
const GROWTH_MICROS: f64 = 1e-4;
/// The number of priorities, starting at zero.
const PRIORITY_COUNT: u8 = 8;
/// The waiting time that raises the priority of a stream by one, to prevent starvation.
const AGEING_INTERVAL: Duration = Duration::from_secs(10);

/// A streamed answer that the engine is asked to generate.
#[derive(Debug)]
pub struct Stream {
    /// The entry that sent the request.
    pub owner: Incarnation,
    /// The request's number.
    pub request: u64,
    /// The number of the attempt.
    pub attempt: u32,
    /// The digest of the prompt.
    pub prompt_digest: u64,
    /// The digests of the prompt up to the end of each whole block.
    pub prefix_digests: Vec<u64>,
    /// The length of the prompt, in tokens.
    pub prompt_tokens: u64,
    /// The priority; a higher one goes first.
    pub priority: u8,
    /// The number of engines that lend memory and prefill time.
    pub lenders: u32,
    /// The index of the next token.
    pub next_token: u64,
    /// The number of tokens in the complete answer.
    pub answer_tokens: u64,
    /// The hold on the stream's memory.
    pub hold: memory::Id,
    /// Receives the chunks of the answer.
    pub writer: Writer,
}

#[derive(Debug)]
struct Running {
    stream: Stream,
    added: Moment,
    /// The total prefill time, in microseconds.
    prefill: f64,
    /// The remaining prefill time, in microseconds.
    prefill_left: f64,
    /// When the next token is due; `None` during prefill.
    token_at: Option<Moment>,
    delayed_chunk: Option<String>,
    is_ended: bool,
    is_disconnected: bool,
}

/// The streams that an engine runs, and its prefix cache.
#[derive(Debug)]
pub struct Batch {
    speed: f64,
    token_time: Duration,
    running: Vec<Running>,
    cache: Cache,
    last_advance: Moment,
}

impl Batch {
    /// Returns an empty batch.
    pub fn new(speed: f64, token_time: Duration) -> Self {
        let cache = Cache::default();
        Self {
            speed,
            token_time,
            running: Vec::new(),
            cache,
            last_advance: Moment::default(),
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
        let micros = prefill_micros(stream.prompt_tokens) - prefill_micros(cached);
        let prefill = micros / self.speed / f64::from(1 + stream.lenders);
        self.running.push(Running {
            stream,
            added: now,
            prefill,
            prefill_left: prefill,
            token_at: None,
            delayed_chunk: None,
            is_ended: false,
            is_disconnected: false,
        });
    }

    /// Cancels an attempt.
    pub fn cancel(&mut self, owner: Incarnation, request: u64, attempt: u32) {
        let is_match = |it: &Running| {
            let it = &it.stream;
            (it.owner, it.request, it.attempt) == (owner, request, attempt)
        };
        self.running.retain(|it| !is_match(it));
    }

    /// Returns the number of streams.
    pub fn len(&self) -> usize {
        self.running.len()
    }

    /// Returns whether there are no streams.
    pub fn is_empty(&self) -> bool {
        self.running.is_empty()
    }

    /// Returns the pending prefill time by priority, the highest first, in microseconds.
    pub fn backlog(&self) -> Vec<u64> {
        let level = |priority: u8| {
            let streams = self
                .running
                .iter()
                .filter(|it| it.stream.priority == priority);
            streams.map(|it| it.prefill_left as u64).sum()
        };
        (0..PRIORITY_COUNT).rev().map(level).collect()
    }

    /// Lets time pass without progress.
    pub fn skip(&mut self, now: Moment) {
        self.last_advance = now;
    }

    /// Makes progress until `now`. Returns the memory holds of the streams that ended.
    pub fn step(&mut self, now: Moment, faults: &Faults) -> Vec<memory::Id> {
        let slowdown = if faults.slow > 1.0 { faults.slow } else { 1.0 };
        self.prefill(
            now,
            now.since(self.last_advance).as_micros() as f64 / slowdown,
        );
        self.last_advance = now;
        let token_time = self.token_time.mul_f64(slowdown);
        for running in &mut self.running {
            running.send_due_tokens(now, token_time, faults);
        }
        let is_finished = |it: &Running| it.is_ended && !it.is_disconnected;
        let finished = self
            .running
            .iter()
            .filter(|it| is_finished(it))
            .map(|it| it.stream.hold)
            .collect();
        self.running.retain(|it| !is_finished(it));
        finished
    }

    fn prefill(&mut self, now: Moment, mut budget: f64) {
        while budget > 0.0 {
            let waiting = self.running.iter_mut().filter(|it| it.token_at.is_none());
            // Among streams of equal priority, the one that was added first goes first.
            let Some(running) = waiting.reduce(|best, it| {
                if it.priority(now) > best.priority(now) {
                    it
                } else {
                    best
                }
            }) else {
                return;
            };
            let done = running.prefill_left.min(budget);
            running.prefill_left -= done;
            budget -= done;
            if running.prefill_left <= 0.0 {
                running.token_at = Some(now);
            }
        }
    }
}

impl Running {
    fn priority(&self, now: Moment) -> u64 {
        let age_bonus = now.since(self.added).as_secs() / AGEING_INTERVAL.as_secs();
        u64::from(self.stream.priority) + age_bonus
    }

    fn send_due_tokens(&mut self, now: Moment, token_time: Duration, faults: &Faults) {
        while let Some(due) = self.token_at.filter(|due| *due <= now) {
            if self.is_ended || self.is_disconnected {
                return;
            }
            if self.stream.next_token >= self.stream.answer_tokens {
                self.end();
                return;
            }
            self.token_at = Some(due + token_time);
            self.send_token(faults);
            self.stream.next_token += 1;
            if self.stream.next_token == self.stream.answer_tokens {
                self.end();
                return;
            }
        }
    }

    fn send_token(&mut self, faults: &Faults) {
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
        match self.delayed_chunk.take() {
            Some(earlier) => {
                self.write(line.clone());
                self.write(earlier);
                self.write(line);
            }
            None => self.delayed_chunk = Some(line),
        }
    }

    fn end(&mut self) {
        self.is_ended = true;
        if let Some(line) = self.delayed_chunk.take() {
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
            // The reader has disconnected or is too slow. The memory is held until the attempt is
            // cancelled.
            self.is_disconnected = true;
        }
    }
}

fn prefill_micros(tokens: u64) -> f64 {
    let tokens = tokens as f64;
    TOKEN_MICROS * tokens + GROWTH_MICROS * tokens * tokens
}
