//! How a request fails: a kind, a sentence that names the remedy, whether the work ran, and when
//! to come back.

use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;

/// Whether the work of a failed request was done.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Execution {
    /// Certainly not: no backend server was ever sent the request, or each one refused it.
    No,
    /// Nobody can tell.
    Maybe,
    /// Certainly.
    Yes,
}

/// What kind of failure a request met.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Kind {
    /// No `Authorization` header.
    KeyMissing,
    /// The bearer key belongs to no contract.
    KeyUnknown,
    /// The contract is not valid at this time.
    ContractExpired,
    /// The contract does not allow this.
    Forbidden,
    /// The request can't be understood.
    Malformed,
    /// The body or the prompt is longer than the contract allows.
    TooLong,
    /// The prompt is longer than the whole fleet can hold.
    TooLongForFleet,
    /// The path, model or service does not exist.
    NotFound,
    /// The caller took too long to send the request.
    SlowCaller,
    /// The contract's rate or concurrency is used up.
    LimitReached,
    /// The key was used before.
    KeyUsed,
    /// The key can't be judged: it is too old or its issuer is gone.
    KeyUnsettled,
    /// The platform's log is needed and can't be reached.
    LogUnavailable,
    /// No backend server can take the request in its time.
    Overloaded,
    /// The time limit passed.
    TimedOut,
    /// The prompt brought down backend servers and is quarantined.
    Quarantined,
    /// Every attempt on a backend server failed.
    BackendFailed,
    /// The instance is stopping.
    Stopping,
    /// An invariant of the system itself was broken.
    Internal,
}

impl Kind {
    /// Returns the HTTP status code that tells a caller of this kind.
    pub fn status(self) -> u16 {
        match self {
            Self::KeyMissing | Self::KeyUnknown => 401,
            Self::ContractExpired | Self::Forbidden => 403,
            Self::Malformed => 400,
            Self::TooLong | Self::TooLongForFleet => 413,
            Self::NotFound => 404,
            Self::SlowCaller => 408,
            Self::LimitReached => 429,
            Self::KeyUsed | Self::KeyUnsettled => 409,
            Self::Quarantined => 422,
            Self::LogUnavailable | Self::Overloaded | Self::Stopping => 503,
            Self::TimedOut => 504,
            Self::BackendFailed => 502,
            Self::Internal => 500,
        }
    }

    /// Returns the name that callers, logs and metrics use.
    pub fn name(self) -> &'static str {
        match self {
            Self::KeyMissing => "key_missing",
            Self::KeyUnknown => "key_unknown",
            Self::ContractExpired => "contract_expired",
            Self::Forbidden => "forbidden",
            Self::Malformed => "malformed",
            Self::TooLong => "too_long",
            Self::TooLongForFleet => "too_long_for_fleet",
            Self::NotFound => "not_found",
            Self::SlowCaller => "slow_caller",
            Self::LimitReached => "limit_reached",
            Self::KeyUsed => "key_used",
            Self::KeyUnsettled => "key_unsettled",
            Self::LogUnavailable => "log_unavailable",
            Self::Overloaded => "overloaded",
            Self::TimedOut => "timed_out",
            Self::Quarantined => "quarantined",
            Self::BackendFailed => "backend_failed",
            Self::Stopping => "stopping",
            Self::Internal => "internal",
        }
    }
}

/// The final answer to a request that did not succeed.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize, thiserror::Error)]
#[error("{message}")]
pub struct Failure {
    /// The kind, for programs.
    pub kind: Kind,
    /// One sentence for people; it names the remedy.
    pub message: String,
    /// Whether the work was done.
    pub ran: Execution,
    /// When coming back may help, in milliseconds from now; absent where it won't.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub retry_after_ms: Option<u64>,
}

impl Failure {
    /// Returns a failure of work that certainly did not run.
    pub fn refused(kind: Kind, message: impl Into<String>) -> Self {
        Self {
            kind,
            message: message.into(),
            ran: Execution::No,
            retry_after_ms: None,
        }
    }

    /// Returns a failure of work that may have run.
    pub fn uncertain(kind: Kind, message: impl Into<String>) -> Self {
        Self {
            kind,
            message: message.into(),
            ran: Execution::Maybe,
            retry_after_ms: None,
        }
    }

    /// Says when to come back.
    pub fn retry_after(mut self, wait: Duration) -> Self {
        self.retry_after_ms = Some(u64::try_from(wait.as_millis()).unwrap_or(u64::MAX));
        self
    }

    /// Replaces the statement on whether the work was done.
    pub fn with_execution(mut self, ran: Execution) -> Self {
        self.ran = ran;
        self
    }
}
