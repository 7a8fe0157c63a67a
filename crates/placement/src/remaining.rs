//! What a server still has to do for the requests that it runs.

use domain::Moment;
use route::Engine;

use crate::expectation::Work;
use crate::workload::Queue;
use crate::workload::Task;

/// Passes until a slot of a full engine becomes free if nothing is known of the answers: the 32 events of
/// a usual answer over its 16 slots.
const PASSES_PER_FREE_SLOT: f64 = 2.0;
/// The share of an engine's requests up to which their ends are forecast one by one. The last ones would
/// take very long.
const FORECAST_SHARE: f64 = 0.9;
/// The shortest time in which an end is forecast, in passes, and the longest one.
const SHORTEST_PASSES: f64 = 0.5;
const LONGEST_PASSES: f64 = 512.0;

/// Calls that have taken this multiple of their 0.9 quantile are overdue. One of them may just take long; two
/// at one server show that the server is slow, before either is answered.
const OVERDUE_FACTOR: f64 = 1.5;

/// The length of an engine's passes.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Pace {
    /// The length of a pass without prefill by the published figures, in milliseconds.
    pub pass_ms: f64,
    /// The factor by which the engine takes longer than published.
    pub slowdown: f64,
}

/// The work that remains at a server of a plain service, in milliseconds over all its requests.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Remaining {
    /// The mean.
    pub mean_ms: f64,
    /// The 0.9 quantile.
    pub upper_ms: f64,
}

impl Queue {
    /// Returns the passes until so many slots of a full engine are free.
    pub fn passes_until_free(&self, now: Moment, engine: &Engine, pace: Pace, slots: usize) -> f64 {
        let unknown = PASSES_PER_FREE_SLOT * slots as f64;
        let decoding = || self.tasks().iter().filter(|it| it.is_decoding);
        if slots == 0 || decoding().all(|it| it.passes.is_none()) {
            return unknown;
        }
        let answers: Vec<(Option<Work>, f64)> = decoding()
            .map(|it| (it.passes, self.passes_done(now, it, pace)))
            .collect();
        let usual_passes = PASSES_PER_FREE_SLOT * engine.slots as f64;
        let ended = |passes: f64| -> f64 {
            let ends = answers.iter().map(|(work, done)| match work {
                Some(work) => 1.0 - work.survival(*done, passes),
                None => 1.0 - (-passes / usual_passes).exp(),
            });
            ends.sum()
        };
        // So many answers end at first; further ones at the same rate.
        let wanted = (slots as f64).min(FORECAST_SHARE * answers.len() as f64);
        let (mut before, mut ended_before) = (0.0, 0.0);
        let mut passes = SHORTEST_PASSES;
        while passes < LONGEST_PASSES {
            let ended_now = ended(passes);
            if ended_now >= wanted {
                let share = (wanted - ended_before) / (ended_now - ended_before);
                let first = before + share * (passes - before);
                return first * slots as f64 / wanted;
            }
            (before, ended_before) = (passes, ended_now);
            passes *= 2.0;
        }
        unknown.max(LONGEST_PASSES)
    }

    /// Returns the tokens that answers will take beyond what was expected when they were placed, since
    /// they already took longer than most.
    pub fn excess_tokens(&self, now: Moment, engine: &Engine, pace: Pace) -> f64 {
        let answering = self.tasks().iter().filter(|it| !it.is_helper);
        let passes = answering.filter_map(|it| {
            let work = it.passes?;
            let done = self.passes_done(now, it, pace);
            Some(work.total(done) - work.mean())
        });
        passes.sum::<f64>() * f64::from(engine.steps_per_pass)
    }

    /// Returns the service time that remains at a server of a plain service with so many slots. A call
    /// of which nothing is known counts like `usual`. `pace` is the factor by which the server takes
    /// longer than others.
    pub fn remaining(&self, now: Moment, slots: usize, usual: &Work, pace: f64) -> Remaining {
        let mut mean_ms = 0.0;
        let mut square = 0.0;
        for task in self.tasks() {
            let work = task.service_ms.as_ref().unwrap_or(usual);
            let elapsed_ms = |began| now.since(began).as_secs_f64() * 1e3;
            let done = self.began(task, slots).map_or(0.0, elapsed_ms) / pace;
            let mean = work.total(done) - done;
            mean_ms += mean;
            square += (work.upper_remaining(done) - mean).max(0.0).powi(2);
        }
        Remaining {
            mean_ms,
            upper_ms: mean_ms + square.sqrt(),
        }
    }

    /// Returns the factor by which a server of a plain service takes longer than others, as far as calls
    /// that it has not answered yet show; 1 if they show nothing. `usual` is the service time of a call of
    /// which nothing is known.
    pub fn overdue_pace(&self, now: Moment, slots: usize, usual: &Work) -> f64 {
        let factors = self.tasks().iter().filter_map(|it| {
            let elapsed_ms = now.since(self.began(it, slots)?).as_secs_f64() * 1e3;
            let work = it.service_ms.as_ref().unwrap_or(usual);
            Some(elapsed_ms / work.upper_remaining(0.0))
        });
        let highest = factors.fold([0.0_f64; 2], |[first, second], it| {
            [first.max(it), second.max(first.min(it))]
        });
        let second = highest[1];
        if second >= OVERDUE_FACTOR {
            second
        } else {
            1.0
        }
    }

    /// Returns when a call got a slot of its server; `None` if it waits for one.
    fn began(&self, task: &Task, slots: usize) -> Option<Moment> {
        self.ends().began(task.placed_at, task.place, slots)
    }

    /// Returns the passes that an answer has taken since its first token. Prefill of other requests made
    /// some of them longer.
    fn passes_done(&self, now: Moment, task: &Task, pace: Pace) -> f64 {
        let Some(started) = task.started.filter(|_| pace.pass_ms > 0.0) else {
            return 0.0;
        };
        let elapsed_ms = now.since(started.at).as_secs_f64() * 1e3 / pace.slowdown;
        let prefill_ms = self.prefilled_ms() - started.prefilled_ms;
        ((elapsed_ms - prefill_ms) / pace.pass_ms).max(0.0)
    }
}
