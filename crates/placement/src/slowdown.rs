//! How many times slower than its published figures an engine runs.
//!
//! A slow engine still answers, so that neither health checks nor errors reveal it. The lengths of
//! its passes do: each decoding request gets one event a pass, so that the time between two events
//! of a stream is the length of a pass. The expected length is known except for how much of the
//! pending prefill the pass included.

use std::collections::HashMap;
use std::time::Duration;

use domain::Moment;

/// The number of passes of one stream that are compared. The shortest one counts, since events may
/// be delayed in transit and updates on the prefill of other entries may arrive late.
const PASS_COUNT: usize = 3;
/// Engines count as slow from this factor on; the error of forecasts is smaller.
const SLOW_THRESHOLD: f64 = 1.8;
/// The maximum factor. Beyond it, all requests on the engine are late anyway.
const MAX_FACTOR: f64 = 16.0;
/// The relative change from which a measurement is reported.
const MIN_CHANGE: f64 = 0.25;
/// The time for which a measurement counts. Few requests go to a slow engine, so that its recovery
/// would not be observed; after this time the engine is tried again.
const MEASUREMENT_LIFETIME: Duration = Duration::from_secs(3);
/// The time after which an unchanged measurement is reported again.
const REPORT_INTERVAL: Duration = Duration::from_secs(1);

/// Measures an engine by the events of one stream.
#[derive(Clone, Debug, Default)]
pub struct Meter {
    last: Option<Event>,
    /// The lengths of the last passes, as multiples of their expected maximum.
    passes: Vec<f64>,
}

#[derive(Clone, Copy, Debug)]
struct Event {
    recorded_at: Moment,
    /// The expected maximum length of a pass, in milliseconds.
    pass_ms: f64,
}

/// The slowdowns of engines, as measured by all entries.
#[derive(Clone, Debug, Default)]
pub struct Slowdowns {
    measurements: HashMap<u64, Measurement>,
}

#[derive(Clone, Copy, Debug)]
struct Measurement {
    factor: f64,
    measured_at: Moment,
}

impl Meter {
    /// Records an event of the stream, or the sending of the request. `pass_ms` is the expected
    /// maximum length of a pass, by the published figures and the engine's pending prefill. Returns
    /// a lower bound of the engine's slowdown once enough passes in a row were measured.
    pub fn measure(&mut self, now: Moment, pass_ms: f64) -> Option<f64> {
        let last = self.last.replace(Event {
            recorded_at: now,
            pass_ms,
        })?;
        // The prefill pending at either event may have been part of this pass.
        let longest_ms = last.pass_ms.max(pass_ms).max(1.0);
        let factor = now.since(last.recorded_at).as_secs_f64() * 1e3 / longest_ms;
        if self.passes.len() == PASS_COUNT {
            self.passes.remove(0);
        }
        self.passes.push(factor);
        let lowest_factor = self.passes.iter().copied().fold(f64::INFINITY, f64::min);
        (self.passes.len() == PASS_COUNT).then_some(lowest_factor.clamp(1.0, MAX_FACTOR))
    }

    /// Returns a lower bound of the engine's slowdown if no event has come since the last one.
    pub fn overdue(&self, now: Moment) -> Option<f64> {
        let last = self.last?;
        let factor = now.since(last.recorded_at).as_secs_f64() * 1e3 / last.pass_ms.max(1.0);
        Some(factor.clamp(1.0, MAX_FACTOR))
    }

    /// Records that the event was forwarded. The time that the caller took does not count.
    pub fn resume(&mut self, now: Moment) {
        if let Some(last) = &mut self.last {
            last.recorded_at = now;
        }
    }
}

impl Slowdowns {
    /// Returns the factor by which the work of an engine takes longer than published.
    pub fn factor(&self, now: Moment, engine: u64) -> f64 {
        self.current(now, engine).map_or(1.0, |it| it.factor)
    }

    /// Returns whether a measurement should be reported to the other entries.
    pub fn should_report(&self, now: Moment, engine: u64, factor: f64) -> bool {
        let current = self.current(now, engine);
        if factor < SLOW_THRESHOLD {
            return current.is_some_and(|it| it.factor >= SLOW_THRESHOLD);
        }
        current.is_none_or(|it| {
            (factor - it.factor).abs() > MIN_CHANGE * it.factor
                || now.since(it.measured_at) >= REPORT_INTERVAL
        })
    }

    /// Stores a measurement of this entry or of another one.
    pub fn set(&mut self, now: Moment, engine: u64, factor: f64) {
        let factor = if factor.is_nan() {
            1.0
        } else {
            factor.clamp(1.0, MAX_FACTOR)
        };
        self.measurements.insert(
            engine,
            Measurement {
                factor,
                measured_at: now,
            },
        );
    }

    /// Removes expired measurements. Must be called every few seconds.
    pub fn expire(&mut self, now: Moment) {
        self.measurements
            .retain(|_, it| now.since(it.measured_at) < MEASUREMENT_LIFETIME);
    }

    fn current(&self, now: Moment, engine: u64) -> Option<&Measurement> {
        let latest = self.measurements.get(&engine);
        latest.filter(|it| now.since(it.measured_at) < MEASUREMENT_LIFETIME)
    }
}
