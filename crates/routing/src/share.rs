//! The share of the engines that takes long prompts. It breathes with demand.

use std::time::Duration;

use domain::Length;
use domain::Moment;

/// The time over which demand is averaged.
const HALF_LIFE: Duration = Duration::from_secs(10);
/// The change of demand, in engines, that the share ignores.
const HYSTERESIS: f64 = 0.6;

/// How many engines take long prompts.
#[derive(Clone, Debug, Default)]
pub struct Share {
    short: f64,
    long: f64,
    at: Moment,
    engines: usize,
}

impl Share {
    /// Notes the arrival of a prompt that costs `cost` of engine time.
    pub fn record_arrival(&mut self, now: Moment, length: Length, cost: Duration) {
        self.decay(now);
        let cost = cost.as_secs_f64();
        if length >= Length::Long {
            self.long += cost
        } else {
            self.short += cost
        }
    }

    /// Returns how many of `total` engines take long prompts: at least one and, with two engines
    /// or more, not all of them.
    pub fn long_engines(&mut self, now: Moment, total: usize) -> usize {
        self.decay(now);
        if total < 2 {
            return total;
        }
        let demand = self.short + self.long;
        let wanted = if demand > 0.0 {
            total as f64 * self.long / demand
        } else {
            0.0
        };
        let is_settled = (wanted - self.engines as f64).abs() <= HYSTERESIS;
        if !is_settled || self.engines == 0 || self.engines >= total {
            self.engines = (wanted.round() as usize).clamp(1, total - 1);
        }
        self.engines
    }

    fn decay(&mut self, now: Moment) {
        let halvings = now.since(self.at).as_secs_f64() / HALF_LIFE.as_secs_f64();
        let factor = 0.5_f64.powf(halvings);
        self.short *= factor;
        self.long *= factor;
        self.at = now;
    }
}
