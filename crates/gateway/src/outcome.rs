//! How an attempt at a server or another entry ended.

use h1::Response;

use crate::held;

/// How an attempt ended.
#[derive(Debug)]
pub enum Outcome {
    /// The caller received the whole answer.
    Delivered,
    /// The server answered; nothing was sent to the caller yet.
    Answered(Response, held::Body),
    /// Writing to the caller failed.
    CallerLeft,
    /// The server could not be connected to; nothing was sent.
    Unreached,
    /// The server asked for a pause, left, started again or reached its bound while cold, its data centre or
    /// that of a helper was evacuated or is not in a home region, or the request came under quarantine, while the attempt was prepared;
    /// nothing was sent.
    Withdrawn,
    /// Memory could not be reserved at a helper; nothing was sent.
    NoRoom,
    /// The server reported that it did not run the request.
    NotRun,
    /// Another server listens at the address, and did not run the request.
    OtherServer,
    /// The response is missing or incomplete; the request may have run.
    Broken,
}

impl Outcome {
    /// Returns the name used in logs.
    pub fn name(&self) -> &'static str {
        match self {
            Self::Delivered => "delivered",
            Self::Answered(..) => "answered",
            Self::CallerLeft => "caller_left",
            Self::Unreached => "unreached",
            Self::Withdrawn => "withdrawn",
            Self::NoRoom => "no_room",
            Self::NotRun => "not_run",
            Self::OtherServer => "other_server",
            Self::Broken => "broken",
        }
    }
}
