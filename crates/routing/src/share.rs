//! The share of the engines that takes long prompts. It follows demand.

use std::time::Duration;

use domain::Length;
use domain::Moment;

/// The half-life of recorded demand.
const HALF_LIFE: Duration = Duration::from_secs(10);
/// The largest difference between the desired and the current number of engines that is ignored.
const HYSTERESIS: f64 = 0.6;

/// The number of engines that take long prompts, by the recent demand of short and long ones.
#[derive(Clone, Debug, Default)]
pub struct Share {
    /// The demand of short and medium prompts, in seconds of engine time as of `updated`.
    short_demand: f64,
    /// The demand of long and huge prompts, in seconds of engine time as of `updated`.
    long_demand: f64,
    updated: Moment,
    engines: usize,
}

impl Share {
    /// Records the arrival of a prompt that costs `cost` of engine time.
    pub fn record_arrival(&mut self, now: Moment, length: Length, cost: Duration) {
        self.decay(now);
        let cost = cost.as_secs_f64();
        if length >= Length::Long {
            self.long_demand += cost
        } else {
            self.short_demand += cost
        }
    }

    /// Returns the number of engines, out of `total`, that take long prompts: at least one and,
    /// with two or more engines, not all of them.
    pub fn long_engines(&mut self, now: Moment, total: usize) -> usize {
        self.decay(now);
        if total < 2 {
            return total;
        }
        let demand = self.short_demand + self.long_demand;
        let desired = if demand > 0.0 {
            total as f64 * self.long_demand / demand
        } else {
            0.0
        };
        let is_within_hysteresis = (desired - self.engines as f64).abs() <= HYSTERESIS;
        if !is_within_hysteresis || self.engines == 0 || self.engines >= total {
            self.engines = (desired.round() as usize).clamp(1, total - 1);
        }
        self.engines
    }

    fn decay(&mut self, now: Moment) {
        let halvings = now.since(self.updated).as_secs_f64() / HALF_LIFE.as_secs_f64();
        let factor = 0.5_f64.powf(halvings);
        self.short_demand *= factor;
        self.long_demand *= factor;
        self.updated = now;
    }
}
