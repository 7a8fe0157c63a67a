//! Why a request was refused, and when its caller may come back.

use std::time::Duration;

/// When to come back if no configuration is known: about the time of a restart's first reading.
const UNCONFIGURED_RETRY: Duration = Duration::from_millis(500);
/// When to come back if no server can take the request: the time in which the platform's list and
/// the breakers show what changed.
const NO_SERVER_RETRY: Duration = Duration::from_millis(600);

/// Why a request was refused, for logs and metrics.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Refusal {
    /// No configuration is known yet.
    Unconfigured,
    /// No route matches.
    NoRoute,
    /// The key is missing or held by nobody.
    UnknownKey,
    /// The request brought backend servers down.
    Quarantined,
    /// No backend server takes work, or none can be reached.
    NoServer,
    /// No engines have memory for the prompt.
    NoRoom,
    /// The caller would leave before the first event.
    TooLate,
    /// Every server that was asked said that it did not run the request.
    NotRun,
    /// The request may have run, and its answer is lost.
    Failed,
    /// The time limit passed.
    TimedOut,
}

impl Refusal {
    /// Returns the status that tells the caller.
    pub fn status(self) -> u16 {
        match self {
            Self::NoRoute => 404,
            Self::UnknownKey => 401,
            Self::Failed => 502,
            Self::TimedOut => 504,
            Self::Unconfigured
            | Self::Quarantined
            | Self::NoServer
            | Self::NoRoom
            | Self::TooLate
            | Self::NotRun => 503,
        }
    }

    /// Returns the name for logs and metrics.
    pub fn name(self) -> &'static str {
        match self {
            Self::Unconfigured => "unconfigured",
            Self::NoRoute => "no_route",
            Self::UnknownKey => "unknown_key",
            Self::Quarantined => "quarantined",
            Self::NoServer => "no_server",
            Self::NoRoom => "no_room",
            Self::TooLate => "too_late",
            Self::NotRun => "not_run",
            Self::Failed => "failed",
            Self::TimedOut => "timed_out",
        }
    }

    /// Returns when coming back may help.
    pub fn retry_after(self) -> Option<Duration> {
        match self {
            Self::Unconfigured => Some(UNCONFIGURED_RETRY),
            Self::NoServer | Self::NoRoom | Self::NotRun | Self::TooLate => Some(NO_SERVER_RETRY),
            _ => None,
        }
    }
}
