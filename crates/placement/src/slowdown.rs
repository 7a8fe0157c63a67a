//! How many times slower than its published figures an engine runs.
//!
//! An engine that turns slow still answers, so that neither health checks nor broken answers show it.
//! Its passes do: each writer gets one event a pass, so that the time between two events of a stream
//! is the length of a pass, which is known but for how much of what waits was read in it.

use std::collections::HashMap;
use std::time::Duration;

use domain::Moment;

/// Passes of one stream that are compared. The shortest counts, since events may wait on their way
/// and since other entries' reading may be known too late.
const PASSES: usize = 3;
/// Engines count as slow from here on; forecasts are off by less.
const SLOW_FROM: f64 = 1.8;
/// Engines are held to be no slower than this: beyond it, everything there is late anyway.
const SLOWEST: f64 = 16.0;
/// The share by which a measurement must differ from what is known to be told.
const CHANGE: f64 = 0.25;
/// The time for which a measurement counts. Few requests go to a slow engine, so that there is
/// nobody to notice that it has recovered; after this it is tried again.
const KEPT: Duration = Duration::from_secs(3);
/// The time after which the same measurement is told again.
const RENEWED: Duration = Duration::from_secs(1);

/// Measures an engine by the events of one stream.
#[derive(Clone, Debug, Default)]
pub struct Meter {
    last: Option<Event>,
    /// The last passes, as multiples of the longest that they should have been.
    passes: Vec<f64>,
}

#[derive(Clone, Copy, Debug)]
struct Event {
    at: Moment,
    /// How long a pass was to be at most, in milliseconds.
    pass_ms: f64,
}

/// The engines that are known to be slow.
#[derive(Clone, Debug, Default)]
pub struct Slowdowns {
    known: HashMap<u64, Pace>,
}

#[derive(Clone, Copy, Debug)]
struct Pace {
    factor: f64,
    at: Moment,
}

impl Meter {
    /// Takes an event of the stream, or that it was asked for. `pass_ms` is how long a pass is to be at most, by the
    /// published figures and by what the engine has to read now. Returns how many times slower the
    /// engine is at least, once enough passes in a row were measured.
    pub fn measure(&mut self, now: Moment, pass_ms: f64) -> Option<f64> {
        let last = self.last.replace(Event { at: now, pass_ms })?;
        // What was to be read at either end may have been read in between.
        let longest_ms = last.pass_ms.max(pass_ms).max(1.0);
        let factor = now.since(last.at).as_secs_f64() * 1e3 / longest_ms;
        if self.passes.len() == PASSES {
            self.passes.remove(0);
        }
        self.passes.push(factor);
        let least = self.passes.iter().copied().fold(f64::INFINITY, f64::min);
        (self.passes.len() == PASSES).then_some(least.clamp(1.0, SLOWEST))
    }

    /// Returns how many times slower the engine is at least if nothing has come since the last event.
    pub fn overdue(&self, now: Moment) -> Option<f64> {
        let last = self.last?;
        let factor = now.since(last.at).as_secs_f64() * 1e3 / last.pass_ms.max(1.0);
        Some(factor.clamp(1.0, SLOWEST))
    }

    /// Notes that the event was passed on. The time that its caller took does not count.
    pub fn resume(&mut self, now: Moment) {
        if let Some(last) = &mut self.last {
            last.at = now;
        }
    }
}

impl Slowdowns {
    /// Returns how many times longer than published the work of an engine takes.
    pub fn factor(&self, now: Moment, engine: u64) -> f64 {
        self.current(now, engine).map_or(1.0, |it| it.factor)
    }

    /// Tells whether a measurement says anything that should be told.
    pub fn should_report(&self, now: Moment, engine: u64, factor: f64) -> bool {
        let known = self.current(now, engine);
        if factor < SLOW_FROM {
            return known.is_some_and(|it| it.factor >= SLOW_FROM);
        }
        known.is_none_or(|it| {
            (factor - it.factor).abs() > CHANGE * it.factor || now.since(it.at) >= RENEWED
        })
    }

    /// Takes a measurement of this entry or of another one.
    pub fn set(&mut self, now: Moment, engine: u64, factor: f64) {
        let factor = if factor.is_nan() {
            1.0
        } else {
            factor.clamp(1.0, SLOWEST)
        };
        self.known.insert(engine, Pace { factor, at: now });
    }

    /// Forgets old measurements. To be called every few seconds.
    pub fn expire(&mut self, now: Moment) {
        self.known.retain(|_, it| now.since(it.at) < KEPT);
    }

    fn current(&self, now: Moment, engine: u64) -> Option<&Pace> {
        let known = self.known.get(&engine);
        known.filter(|it| now.since(it.at) < KEPT)
    }
}
