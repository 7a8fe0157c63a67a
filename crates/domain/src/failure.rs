//! Request failures: the kind, a message that names the remedy, whether the work ran, and when to
//! retry.

use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;

/// Whether the work of a failed request was executed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Execution {
    /// Not executed: the request was sent to no backend server, or every one refused it.
    No,
    /// Unknown: the work may have been executed.
    Maybe,
    /// Executed.
    Yes,
}

/// The kind of a failure.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Kind {
    /// The `Authorization` header is missing.
    KeyMissing,
    /// The bearer key belongs to no contract.
    KeyUnknown,
    /// The contract is not valid at this time.
    ContractExpired,
    /// The contract doesn't allow the request.
    Forbidden,
    /// The request can't be parsed or has invalid content.
    Malformed,
    /// The body or the prompt is longer than the contract allows.
    TooLong,
    /// The prompt is longer than the whole fleet can hold.
    TooLongForFleet,
    /// The path, model or service doesn't exist.
    NotFound,
    /// The caller sent the request too slowly.
    SlowCaller,
    /// The contract's rate or concurrency limit is reached.
    LimitReached,
    /// The idempotency key was used before.
    KeyUsed,
    /// The use of the idempotency key can't be decided: it is too old or its issuer has stopped.
    KeyUnsettled,
    /// The request needs the platform's log, which can't be reached.
    LogUnavailable,
    /// No backend server can finish the request by its deadline.
    Overloaded,
    /// The time limit of the request passed.
    TimedOut,
    /// The prompt crashed backend servers and is quarantined.
    Quarantined,
    /// Every attempt on a backend server failed.
    BackendFailed,
    /// The instance is stopping.
    Stopping,
    /// An internal invariant was violated.
    Internal,
}

impl Kind {
    /// Returns the HTTP status code for this kind.
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

    /// Returns the name used in responses, logs and metrics.
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

/// The final response to a request that failed.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize, thiserror::Error)]
#[error("{message}")]
pub struct Failure {
    /// The kind, for use by programs.
    pub kind: Kind,
    /// One sentence for people, which names the remedy.
    pub message: String,
    /// Whether the work was executed.
    pub ran: Execution,
    /// The time after which a retry may help, in milliseconds; `None` if a retry won't help.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub retry_after_ms: Option<u64>,
}

impl Failure {
    /// Returns a failure of work that was certainly not executed.
    pub fn refused(kind: Kind, message: impl Into<String>) -> Self {
        Self {
            kind,
            message: message.into(),
            ran: Execution::No,
            retry_after_ms: None,
        }
    }

    /// Returns a failure of work that may have been executed.
    pub fn uncertain(kind: Kind, message: impl Into<String>) -> Self {
        Self {
            kind,
            message: message.into(),
            ran: Execution::Maybe,
            retry_after_ms: None,
        }
    }

    /// Sets the time after which a retry may help.
    pub fn retry_after(mut self, wait: Duration) -> Self {
        self.retry_after_ms = Some(u64::try_from(wait.as_millis()).unwrap_or(u64::MAX));
        self
    }

    /// Sets whether the work was executed.
    pub fn with_execution(mut self, execution: Execution) -> Self {
        self.ran = execution;
        self
    }
}
