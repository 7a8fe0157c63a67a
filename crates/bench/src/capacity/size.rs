//! The two-year size, as the users' letter gives it.

/// Entry instances.
pub const NODES: f64 = 350.0;
/// Model runners.
pub const RUNNERS: f64 = 1_300.0;
/// Data centres.
pub const DATA_CENTRES: f64 = 23.0;
/// Customers with a contract.
pub const ORGANISATIONS: f64 = 7_800.0;
/// Requests a second at the peak.
pub const REQUESTS: f64 = 1_600.0;
/// Tokens generated a second at the peak.
pub const TOKENS: f64 = 670_000.0;
/// Changes of configuration a day.
pub const CHANGES: f64 = 950.0;
/// Instances that fail or are replaced in a day.
pub const CHURN: f64 = 14.0 + 270.0;
/// Seconds in a day.
pub const DAY: f64 = 86_400.0;
/// The part of requests that carry an idempotency key, an assumption of ours.
pub const KEYED_PART: f64 = 0.05;
/// The part of keys that callers mint, the others being tickets; an assumption of ours.
pub const MINTED_PART: f64 = 0.5;

/// Processor time for control on one node, as a part of a core.
pub const CPU_TARGET: f64 = 0.038;
/// Memory for control on one node, in bytes.
pub const MEMORY_TARGET: f64 = 64e6;
/// Bytes a second for control from one node.
pub const BYTES_TARGET: f64 = 5e3;
/// Appends a second to the log, all streams together.
pub const APPENDS_TARGET: f64 = 200.0;
/// How much longer a placement among all runners may take than among a hundredth of them.
pub const PLACEMENT_TARGET: f64 = 10.0;
