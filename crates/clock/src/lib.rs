//! The clocks of a process, read here and nowhere else. The decision crates do without this one.

use std::sync::LazyLock;
use std::time::Duration;
use std::time::Instant;
use std::time::SystemTime;

use async_io::Timer;
use domain::Moment;

static ORIGIN: LazyLock<Instant> = LazyLock::new(Instant::now);

/// Returns the present moment of this process.
pub fn now() -> Moment {
    let origin = *ORIGIN;
    Moment::default() + origin.elapsed()
}

/// Returns the time since the Unix epoch. Other machines' clocks may differ.
pub fn since_epoch() -> Duration {
    SystemTime::now()
        .duration_since(SystemTime::UNIX_EPOCH)
        .unwrap_or_default()
}

/// Waits until `deadline`.
pub async fn wait_until(deadline: Moment) {
    Timer::after(now().until(deadline)).await;
}
