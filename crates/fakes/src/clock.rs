//! The clocks of the stand-ins.

use std::sync::LazyLock;
use std::time::Duration;
use std::time::Instant;
use std::time::SystemTime;

use domain::Moment;

static ORIGIN: LazyLock<Instant> = LazyLock::new(Instant::now);

/// Returns the present moment of this process.
pub fn now() -> Moment {
    let origin = *ORIGIN;
    Moment::default() + origin.elapsed()
}

/// Returns the time since the Unix epoch.
pub fn since_epoch() -> Duration {
    SystemTime::now()
        .duration_since(SystemTime::UNIX_EPOCH)
        .unwrap_or_default()
}
