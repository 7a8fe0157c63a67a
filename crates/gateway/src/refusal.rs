//! Reasons for refusing a request, with their statuses and retry times.

use std::time::Duration;

use admission::RetryTime;
use rand::RngExt;

/// The retry time while no configuration is loaded: about the time that the first read takes after
/// a restart.
const UNCONFIGURED_RETRY: Duration = Duration::from_millis(500);
/// The retry time if no server can take the request: the time in which the platform's list and
/// the circuit breakers reflect a change.
const NO_SERVER_RETRY: Duration = Duration::from_millis(600);

/// The retry time while the process stops. Other instances serve the callers, which come back spread over this time.
const STOPPING_RETRY: Duration = Duration::from_millis(100);

/// Why a request was refused, for logs and metrics.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Refusal {
    /// No configuration is loaded yet.
    Unconfigured,
    /// No route matches.
    NoRoute,
    /// The API key is missing or unknown.
    UnknownKey,
    /// Earlier attempts of the request crashed backend servers.
    Quarantined,
    /// No backend server accepts work, or none can be reached.
    NoServer,
    /// The service has backend servers, but none in the home regions of the request.
    NoHomeServer,
    /// Every backend server of the service asked for a pause or has reached the limit that it named; the
    /// first one takes work after this time.
    Paused(Duration),
    /// This entry reaches no backend server that could serve the request, which another entry relayed to it.
    Isolated,
    /// No engines have enough memory for the prompt.
    NoRoom,
    /// The process ends.
    Stopping,
    /// The memory for buffers is used up, and the caller's connection uses the most of it.
    NoMemory,
    /// The caller would disconnect before the first event. A request that arrives after this time is
    /// expected to be in time.
    TooLate(Duration),
    /// Every server that was tried reported that it did not run the request.
    NotRun,
    /// The request may have run, but its answer is lost.
    Failed,
    /// The route's time limit passed.
    TimedOut,
}

impl Refusal {
    /// Returns the HTTP status for the caller.
    pub fn status(self) -> u16 {
        match self {
            // Only other entries see this status. Backend servers' 421 is never passed on.
            Self::Isolated => 421,
            Self::NoRoute => 404,
            Self::UnknownKey => 401,
            Self::Failed => 502,
            Self::TimedOut => 504,
            Self::Unconfigured
            | Self::Quarantined
            | Self::NoServer
            | Self::NoHomeServer
            | Self::Paused(_)
            | Self::NoRoom
            | Self::NoMemory
            | Self::Stopping
            | Self::TooLate(_)
            | Self::NotRun => 503,
        }
    }

    /// Returns the name used in logs and metrics.
    pub fn name(self) -> &'static str {
        match self {
            Self::Unconfigured => "unconfigured",
            Self::NoRoute => "no_route",
            Self::UnknownKey => "unknown_key",
            Self::Quarantined => "quarantined",
            Self::NoServer => "no_server",
            Self::NoHomeServer => "no_home_server",
            Self::Paused(_) => "paused",
            Self::Isolated => "isolated",
            Self::NoRoom => "no_room",
            Self::NoMemory => "no_memory",
            Self::Stopping => "stopping",
            Self::TooLate(_) => "too_late",
            Self::NotRun => "not_run",
            Self::Failed => "failed",
            Self::TimedOut => "timed_out",
        }
    }

    /// Returns when a retry may succeed, if ever.
    pub fn retry_time(self) -> Option<RetryTime> {
        let (earliest, spread) = match self {
            Self::Unconfigured => (UNCONFIGURED_RETRY, UNCONFIGURED_RETRY),
            Self::Stopping => (Duration::ZERO, STOPPING_RETRY),
            Self::Paused(left) => (left, NO_SERVER_RETRY),
            Self::TooLate(room) => (room, Duration::ZERO),
            Self::NoServer | Self::NoHomeServer | Self::NoRoom | Self::NoMemory | Self::NotRun => {
                (NO_SERVER_RETRY, NO_SERVER_RETRY)
            }
            _ => return None,
        };
        Some(RetryTime { earliest, spread })
    }
}

/// Returns whether callers read a status as a promise that the request did not run.
pub fn promises_not_run(status: u16) -> bool {
    matches!(status, 408 | 421 | 429 | 503)
}

/// Draws the delay after which a caller may retry.
pub fn draw_delay(time: Option<RetryTime>) -> Option<Duration> {
    time.map(|it| it.delay(rand::rng().random()))
}
