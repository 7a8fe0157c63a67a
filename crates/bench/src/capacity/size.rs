//! The planned size of the deployment in two years, and the resource targets for it.

/// Entry instances.
pub const NODES: f64 = 350.0;
/// Model runners.
pub const RUNNERS: f64 = 1_300.0;
/// Data centres.
pub const DATA_CENTRES: f64 = 23.0;
/// Customers with a contract.
pub const ORGANISATIONS: f64 = 7_800.0;
/// Requests per second at peak load.
pub const REQUESTS_PER_SECOND: f64 = 1_600.0;
/// Generated tokens per second at peak load.
pub const TOKENS_PER_SECOND: f64 = 670_000.0;
/// Configuration changes per day.
pub const CHANGES_PER_DAY: f64 = 950.0;
/// Instances that fail, and instances that are replaced, per day.
pub const MEMBER_CHANGES_PER_DAY: f64 = 14.0 + 270.0;
/// Seconds in a day.
pub const SECONDS_PER_DAY: f64 = 86_400.0;
/// The fraction of requests with an idempotency key.
pub const KEYED_FRACTION: f64 = 0.05;
/// The fraction of keys that callers generate. The other keys are tickets.
pub const GENERATED_FRACTION: f64 = 0.5;

/// The limit of processor time for control tasks on one node, as a fraction of a core.
pub const CPU_TARGET: f64 = 0.038;
/// The limit of memory for control tasks on one node, in bytes.
pub const MEMORY_TARGET: f64 = 64e6;
/// The limit of bytes per second that one node sends for control tasks.
pub const BYTES_TARGET: f64 = 5e3;
/// The limit of appends per second to the log, over all streams.
pub const APPENDS_TARGET: f64 = 200.0;
/// The limit of the ratio between the times of a placement among all runners and among a hundredth
/// of them.
pub const PLACEMENT_TARGET: f64 = 10.0;
