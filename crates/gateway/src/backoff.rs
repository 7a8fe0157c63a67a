//! Exponential backoff between failed calls to the platform.

use std::time::Duration;

use domain::Moment;
use rand::RngExt;

use crate::Node;
use crate::port::Error;

/// The delay after a first failed call, which doubles up to `MAX_RETRY_DELAY`.
const FIRST_RETRY_DELAY: Duration = Duration::from_millis(100);
/// The maximum delay while requests can be served.
const MAX_RETRY_DELAY: Duration = Duration::from_millis(800);
/// The maximum delay while no requests can be served because the list was never read.
const MAX_RETRY_DELAY_UNSERVED: Duration = Duration::from_millis(160);

/// Exponential backoff between failed calls.
#[derive(Debug, Default)]
pub struct Backoff {
    failures: u32,
}

impl Backoff {
    /// Records a successful call.
    pub fn succeeded(&mut self, list: &'static str) {
        if self.failures > 0 {
            log::info!(target: "platform", list = list, failures = self.failures; "the platform answers again");
        }
        self.failures = 0;
    }

    /// Records a failed call and waits until the next one.
    pub async fn wait(&mut self, node: &Node, list: &'static str, error: &Error) {
        clock::wait_until(self.failed(node, list, error)).await;
    }

    /// Records a failed call and returns when to retry.
    pub fn failed(&mut self, node: &Node, list: &'static str, error: &Error) -> Moment {
        if self.failures == 0 {
            log::warn!(target: "platform", list = list, error:% = error; "can't read from the platform; the current data stays in force");
        }
        let max_delay = if node.state.borrow().can_serve() {
            MAX_RETRY_DELAY
        } else {
            MAX_RETRY_DELAY_UNSERVED
        };
        let delay = (FIRST_RETRY_DELAY * 2_u32.pow(self.failures.min(8))).min(max_delay);
        self.failures += 1;
        let jitter = 0.5 + rand::rng().random::<f64>();
        clock::now() + delay.mul_f64(jitter)
    }
}
