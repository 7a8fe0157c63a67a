//! The labels of metrics.

use prometheus_client::encoding::EncodeLabelSet;

/// The labels of requests that ended.
#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct RequestLabels {
    /// The route.
    pub route: String,
    /// How the request ended.
    pub outcome: &'static str,
}

/// The labels of requests that waited at this instance.
#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct WaitLabels {
    /// The route.
    pub route: String,
    /// `placed`, `refused`, or `abandoned` if the caller left or the time limit passed.
    pub outcome: &'static str,
}

/// The labels of bytes that are kept.
#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct BufferLabels {
    /// `request`, `answer` or `stream`.
    pub kind: &'static str,
}

/// The labels of metrics that are kept by route.
#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct RouteLabels {
    /// The route.
    pub route: String,
}

/// The labels of forecasts of costs.
#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct ForecastLabels {
    /// The route.
    pub route: String,
    /// `observed` or `declared`.
    pub basis: &'static str,
}

/// What a forecast of a cost rests on.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Basis {
    /// Requests that were served before.
    Observed,
    /// What the request or the engine declares.
    Declared,
}

/// The labels of servers' streams that ended.
#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct StreamLabels {
    /// How the body was delimited.
    pub framing: &'static str,
    /// `event` if the stream ended after a complete event, otherwise `partial_event`.
    pub end: &'static str,
}

/// The labels of requests that their engine no longer served.
#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct StallLabels {
    /// `begun` if an event had come, otherwise `not_begun`.
    pub stage: &'static str,
}

/// The labels of silences of servers.
#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct SilenceLabels {
    /// `begun`, `ended` if the server went on before another one answered, `lost` if its connection failed.
    pub stage: &'static str,
}

/// The labels of placements that the bounds of cold servers held back.
#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct HoldLabels {
    /// `placing` if a cold server was left out of a choice, `sending` if an attempt was withdrawn.
    pub stage: &'static str,
}

/// The labels of calls to the platform.
#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct CallLabels {
    /// The list that was read or written.
    pub list: &'static str,
    /// `done`, `refused` or `unanswered`.
    pub outcome: &'static str,
}

/// The labels of list changes that other entries broadcast.
#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct DeltaLabels {
    /// `applied`, or `ignored` if the changes start after or end before the known position.
    pub outcome: &'static str,
}

/// The labels of requests that were relayed to another entry.
#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct RelayLabels {
    /// How the attempt at the other entry ended.
    pub outcome: &'static str,
}

/// The labels of probes of backend servers.
#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct ProbeLabels {
    /// `open` if the server accepted the connection, otherwise `failed`.
    pub outcome: &'static str,
}

/// The labels of datagrams between entries.
#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct DatagramLabels {
    /// `sent` or `received`.
    pub direction: &'static str,
    /// The kind of frame, or `malformed`.
    pub kind: &'static str,
}

/// The labels of metrics about an evacuated data centre.
#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct DataCentreLabels {
    /// The data centre.
    pub data_centre: String,
}

/// The direction of a datagram as seen by this entry.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Direction {
    /// To another entry.
    Sent,
    /// From another entry.
    Received,
}

/// The labels of calls that other entries make to this one.
#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct PeerCallLabels {
    /// The list that was fetched.
    pub list: &'static str,
}

impl Direction {
    pub(super) fn name(self) -> &'static str {
        match self {
            Self::Sent => "sent",
            Self::Received => "received",
        }
    }
}

/// How a call to the platform ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CallOutcome {
    /// It was answered.
    Done,
    /// The platform refused it.
    Refused,
    /// No usable answer came.
    Unanswered,
}

impl CallOutcome {
    pub(super) const ALL: [Self; 3] = [Self::Done, Self::Refused, Self::Unanswered];

    /// Returns the name used in metrics.
    pub fn name(self) -> &'static str {
        match self {
            Self::Done => "done",
            Self::Refused => "refused",
            Self::Unanswered => "unanswered",
        }
    }
}
