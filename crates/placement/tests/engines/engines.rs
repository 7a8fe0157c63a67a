//! Engines that work in passes as published, for tests that play loads without a network.

use domain::Moment;
use placement::JobId;
use placement::Server;
use placement::Servers;
use route::Engine;

/// Prefill takes longer by this factor beside decoding requests.
const MIXED_PREFILL_FACTOR: f64 = 1.1;

/// A request at an engine.
pub struct Task {
    pub job: JobId,
    /// Among those that wait, lower ranks go first.
    pub rank: u8,
    pub prefill_ms: f64,
    pub tokens: u64,
    pub passes_left: u32,
    pub is_helper: bool,
}

/// An engine that runs all waiting work in passes.
#[derive(Default)]
pub struct Running {
    pub waiting: Vec<Task>,
    prefilling: Vec<Task>,
    writing: Vec<Task>,
    pass: Option<(u64, u64)>,
}

/// What a pass did that has ended.
#[derive(Default)]
pub struct Pass {
    /// Its length in milliseconds.
    pub length_ms: u64,
    /// Requests whose prefill, or part of it, is done.
    pub read: Vec<JobId>,
    /// Requests that got an event, with those that ended.
    pub wrote: Vec<JobId>,
    /// Requests whose answer is complete.
    pub ended: Vec<JobId>,
}

pub fn at(millis: u64) -> Moment {
    Moment::from_millis(1_000_000 + millis)
}

/// Returns the figures of an engine.
pub fn engine(slots: usize, memory_tokens: u64) -> Engine {
    Engine {
        slots,
        memory_tokens,
        steps_per_pass: 68,
        step_ms: 1.02,
        sequence_ms: 0.002_26,
        context_ms_per_k: 0.004_31,
        prefill_tokens_per_ms: 206.0,
        pairs_ms_per_m: 0.138,
        prefill_chunk: 2_048,
        usual_answer_tokens: 1_500,
    }
}

/// Returns the listed servers of the service `llm`.
pub fn servers(count: usize, slots: usize) -> Servers {
    let mut servers = Servers::default();
    for index in 0..count {
        let server = Server {
            id: format!("i-{index}"),
            started_ms: 1,
            service: "llm".to_owned(),
            address: ([10, 0, 0, index as u8], 80).into(),
            data_centre: "dc".to_owned(),
            sequence: 1,
            slots,
            is_leaving: false,
            cold_left: None,
        };
        servers.add(at(0), server);
    }
    servers
}

impl Running {
    /// Ends the pass that is due and begins the next one with all that waits. Returns what the ended
    /// pass did; `None` if none has ended.
    pub fn run(&mut self, millis: u64, engine: &Engine) -> Option<Pass> {
        if self.pass.is_some_and(|it| millis < it.1) {
            return None;
        }
        let ended = self.pass.take().map(|it| self.end_pass(millis - it.0));
        self.waiting.sort_by_key(|it| it.rank);
        let room = engine.slots.saturating_sub(self.writing.len());
        let count = self.waiting.len().min(room);
        self.prefilling = self.waiting.drain(..count).collect();
        let prefill_ms: f64 = self.prefilling.iter().map(|it| it.prefill_ms).sum();
        let tokens = self.writing.iter().map(|it| it.tokens).sum();
        let decode_ms = match self.writing.len() {
            0 => 0.0,
            writing => engine.pass_ms(writing, tokens),
        };
        if prefill_ms + decode_ms > 0.0 {
            let length = (prefill_ms * MIXED_PREFILL_FACTOR + decode_ms).ceil() as u64;
            self.pass = Some((millis, millis + length));
        }
        ended
    }

    fn end_pass(&mut self, length_ms: u64) -> Pass {
        let mut pass = Pass {
            length_ms,
            ..Pass::default()
        };
        for task in &mut self.writing {
            task.passes_left -= 1;
            pass.wrote.push(task.job);
        }
        let ended = self.writing.extract_if(.., |it| it.passes_left == 0);
        pass.ended = ended.map(|it| it.job).collect();
        for task in std::mem::take(&mut self.prefilling) {
            pass.read.push(task.job);
            if !task.is_helper {
                self.writing.push(task);
            }
        }
        pass
    }

    /// Removes a request whose caller has left.
    pub fn cancel(&mut self, job: JobId) {
        for tasks in [&mut self.waiting, &mut self.prefilling, &mut self.writing] {
            tasks.retain(|it| it.job != job);
        }
    }
}
