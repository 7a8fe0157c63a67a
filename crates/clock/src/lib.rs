//! The clocks of a process. Long-running processes read them only through this crate, and the
//! decision crates don't depend on it.

use std::sync::LazyLock;
use std::time::Duration;
use std::time::Instant;
use std::time::SystemTime;

use async_io::Timer;
use domain::Moment;

static ORIGIN: LazyLock<Instant> = LazyLock::new(Instant::now);

/// Returns the current time of this process's monotonic clock.
pub fn now() -> Moment {
    let origin = *ORIGIN;
    Moment::default() + origin.elapsed()
}

/// Returns the time since the Unix epoch by this machine's clock, which may differ from the clocks of
/// other machines.
pub fn since_epoch() -> Duration {
    SystemTime::now()
        .duration_since(SystemTime::UNIX_EPOCH)
        .unwrap_or_default()
}

/// Waits until `deadline`.
pub async fn wait_until(deadline: Moment) {
    Timer::after(now().until(deadline)).await;
}
