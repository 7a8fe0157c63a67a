//! The Prometheus metrics of an entry.

use prometheus_client::encoding::EncodeLabelSet;
use prometheus_client::encoding::text;
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::metrics::histogram::Histogram;
use prometheus_client::metrics::histogram::exponential_buckets;
use prometheus_client::registry::Registry;

/// The upper bound of the first bucket of a duration histogram, in seconds.
const FIRST_BUCKET_SECONDS: f64 = 0.002;
/// The number of buckets of a duration histogram. Each bound is twice the one before.
const BUCKET_COUNT: u16 = 16;

/// Labels of completed requests.
#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct RequestLabels {
    /// The length class of the prompt; `service` for a call to a plain service.
    pub length: String,
    /// `done`, `left` (the caller disconnected) or the kind of the failure.
    pub outcome: String,
}

/// Labels of metrics by length class.
#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct LengthLabels {
    /// The length class of the prompt.
    pub length: String,
}

/// All metrics of an entry.
#[derive(Debug)]
pub struct Metrics {
    registry: Registry,
    /// Requests that ended, by length class and outcome.
    pub requests: Family<RequestLabels, Counter>,
    /// Time to first token, by length class.
    pub first_token: Family<LengthLabels, Histogram, fn() -> Histogram>,
    /// Attempts beyond the first.
    pub retries: Counter,
    /// Requests that wait for an engine.
    pub waiting: Gauge,
    /// Requests in progress.
    pub running: Gauge,
    /// The position in the configuration stream.
    pub config_offset: Gauge,
    /// Failed calls to the platform's log.
    pub log_errors: Counter,
    /// Appends to the platform's log.
    pub appends: Counter,
    /// Overdue holds (streams and reservations) that the sweep cancelled on engines.
    pub swept: Counter,
    /// Entries that are not dead, including suspects and this one.
    pub entries_alive: Gauge,
    /// Bytes of datagrams sent to peers.
    pub control_bytes: Counter,
}

impl Default for Metrics {
    fn default() -> Self {
        let mut metrics = Self {
            registry: Registry::with_prefix("coriander"),
            requests: Family::default(),
            first_token: Family::new_with_constructor(duration_histogram),
            retries: Counter::default(),
            waiting: Gauge::default(),
            running: Gauge::default(),
            config_offset: Gauge::default(),
            log_errors: Counter::default(),
            appends: Counter::default(),
            swept: Counter::default(),
            entries_alive: Gauge::default(),
            control_bytes: Counter::default(),
        };
        metrics.register();
        metrics
    }
}

impl Metrics {
    /// Returns all metrics in the OpenMetrics text format.
    pub fn encode(&self) -> String {
        let mut out = String::new();
        if text::encode(&mut out, &self.registry).is_err() {
            log::error!(target: "metrics", "Encoding the metrics failed. The page is truncated.");
        }
        out
    }

    fn register(&mut self) {
        let registry = &mut self.registry;
        registry.register("requests", "Requests that ended", self.requests.clone());
        registry.register(
            "first_token_seconds",
            "Time from a request to its first token",
            self.first_token.clone(),
        );
        registry.register("retries", "Attempts beyond the first", self.retries.clone());
        registry.register(
            "waiting",
            "Requests that wait for an engine",
            self.waiting.clone(),
        );
        registry.register("running", "Requests in progress", self.running.clone());
        registry.register(
            "config_offset",
            "Position in the configuration stream",
            self.config_offset.clone(),
        );
        registry.register(
            "log_errors",
            "Failed calls to the log",
            self.log_errors.clone(),
        );
        registry.register("appends", "Appends to the log", self.appends.clone());
        registry.register("swept", "Holds swept from engines", self.swept.clone());
        registry.register("entries_alive", "Entries alive", self.entries_alive.clone());
        registry.register(
            "control_bytes",
            "Bytes of control messages sent to peers",
            self.control_bytes.clone(),
        );
    }
}

fn duration_histogram() -> Histogram {
    Histogram::new(exponential_buckets(FIRST_BUCKET_SECONDS, 2.0, BUCKET_COUNT))
}
