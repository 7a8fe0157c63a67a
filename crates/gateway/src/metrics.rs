//! Prometheus metrics.

use std::time::Duration;

use h1::Framing;
use prometheus_client::encoding::EncodeLabelSet;
use prometheus_client::encoding::text;
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::metrics::histogram::Histogram;
use prometheus_client::metrics::histogram::exponential_buckets;
use prometheus_client::registry::Registry;

use crate::port::List;

/// The upper bound of the first bucket of a duration histogram, in seconds.
const FIRST_BUCKET_SECONDS: f64 = 0.004;
/// The number of buckets of a duration histogram. Each bound is twice the one before.
const BUCKET_COUNT: u16 = 13;

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

/// The labels of metrics that are kept by route.
#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct RouteLabels {
    /// The route.
    pub route: String,
}

/// The labels of servers' streams that ended.
#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct StreamLabels {
    /// How the body was delimited.
    pub framing: &'static str,
    /// `event` if the stream ended after a complete event, otherwise `partial_event`.
    pub end: &'static str,
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

/// The labels of datagrams between entries.
#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct DatagramLabels {
    /// `sent` or `received`.
    pub direction: &'static str,
    /// The kind of frame, or `malformed`.
    pub kind: &'static str,
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
    fn name(self) -> &'static str {
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
    const ALL: [Self; 3] = [Self::Done, Self::Refused, Self::Unanswered];

    /// Returns the name used in metrics.
    pub fn name(self) -> &'static str {
        match self {
            Self::Done => "done",
            Self::Refused => "refused",
            Self::Unanswered => "unanswered",
        }
    }
}

type DurationHistograms = Family<RouteLabels, Histogram, fn() -> Histogram>;

/// All metrics of a gateway.
#[derive(Debug)]
pub struct Metrics {
    registry: Registry,
    /// Requests that ended.
    pub requests: Family<RequestLabels, Counter>,
    /// Time to the first event of a stream, or to its end if it has no events.
    pub first_token: DurationHistograms,
    /// Requests that wait at this instance now.
    pub waiting: Gauge,
    /// Requests that have waited at this instance.
    pub waits: Family<WaitLabels, Counter>,
    /// The time that they waited.
    pub waited: DurationHistograms,
    /// Streams of servers that ended without an error of the connection.
    pub streams: Family<StreamLabels, Counter>,
    /// Responses by which a server asked for a pause.
    pub pauses: Counter,
    /// Retries sent after the first attempt.
    pub retries: Counter,
    /// Retries that the retry budget did not permit.
    pub retries_denied: Counter,
    /// Requests in progress.
    pub running: Gauge,
    /// The version of the configuration in force.
    pub config_version: Gauge,
    /// Backend servers that accept work.
    pub servers: Gauge,
    /// Calls to the platform.
    pub platform_calls: Family<CallLabels, Counter>,
    /// Returns of the platform's store from an older copy.
    pub store_returns: Counter,
    /// List changes that other entries broadcast.
    pub deltas: Family<DeltaLabels, Counter>,
    /// Calls of other entries that fetched a list.
    pub peer_calls: Family<PeerCallLabels, Counter>,
    /// Entries that count as alive, this one included.
    pub entries_alive: Gauge,
    /// Datagrams between this entry and others.
    pub datagrams: Family<DatagramLabels, Counter>,
    /// The bytes of these datagrams.
    pub datagram_bytes: Family<DatagramLabels, Counter>,
    /// Log lines dropped over the budget of their part, with a full queue or after a failed write.
    pub log_lines_dropped: Counter,
}

impl Default for Metrics {
    fn default() -> Self {
        let mut metrics = Self {
            registry: Registry::with_prefix("coriander"),
            requests: Family::default(),
            first_token: Family::new_with_constructor(duration_histogram),
            waiting: Gauge::default(),
            waits: Family::default(),
            waited: Family::new_with_constructor(duration_histogram),
            streams: Family::default(),
            pauses: Counter::default(),
            retries: Counter::default(),
            retries_denied: Counter::default(),
            running: Gauge::default(),
            config_version: Gauge::default(),
            servers: Gauge::default(),
            platform_calls: Family::default(),
            store_returns: Counter::default(),
            deltas: Family::default(),
            peer_calls: Family::default(),
            entries_alive: Gauge::default(),
            datagrams: Family::default(),
            datagram_bytes: Family::default(),
            log_lines_dropped: Counter::default(),
        };
        metrics.register();
        metrics
    }
}

impl Metrics {
    /// Returns all metrics in the text format.
    pub fn encode(&self) -> String {
        let mut out = String::new();
        if text::encode(&mut out, &self.registry).is_err() {
            log::error!(target: "metrics", "can't encode the metrics; the page is incomplete");
        }
        out
    }

    /// Counts a request that ended.
    pub fn record_end(&self, route: &str, outcome: &'static str) {
        let labels = RequestLabels {
            route: route.to_owned(),
            outcome,
        };
        self.requests.get_or_create(&labels).inc();
    }

    /// Records the time to the first event of a stream, or to its end if it has no events.
    pub fn record_first_event(&self, route: &str, after: Duration) {
        let labels = RouteLabels {
            route: route.to_owned(),
        };
        let histogram = self.first_token.get_or_create(&labels);
        histogram.observe(after.as_secs_f64());
    }

    /// Records the end of a request's wait at this instance.
    pub fn record_wait(&self, route: &str, outcome: &'static str, waited: Duration) {
        let route = route.to_owned();
        let labels = WaitLabels {
            route: route.clone(),
            outcome,
        };
        self.waits.get_or_create(&labels).inc();
        let histogram = self.waited.get_or_create(&RouteLabels { route });
        histogram.observe(waited.as_secs_f64());
    }

    /// Counts a stream of a server that ended with this number of bytes after its last event.
    pub fn record_stream_end(&self, framing: Framing, partial_event_bytes: usize) {
        let end = match partial_event_bytes {
            0 => "event",
            _ => "partial_event",
        };
        let labels = StreamLabels {
            framing: framing.name(),
            end,
        };
        self.streams.get_or_create(&labels).inc();
    }

    /// Counts a datagram between this entry and another one.
    pub fn record_datagram(&self, direction: Direction, kind: &'static str, bytes: usize) {
        let labels = DatagramLabels {
            direction: direction.name(),
            kind,
        };
        self.datagrams.get_or_create(&labels).inc();
        let total = self.datagram_bytes.get_or_create(&labels);
        total.inc_by(bytes as u64);
    }

    /// Returns the datagrams so far by kind, as `KIND:COUNT/BYTES` separated by spaces.
    pub fn datagram_totals(&self, direction: Direction) -> String {
        let kinds = wire::frame::KINDS.iter().filter_map(|kind| {
            let labels = DatagramLabels {
                direction: direction.name(),
                kind,
            };
            let count = self.datagrams.get(&labels)?.get();
            let bytes = self.datagram_bytes.get(&labels)?.get();
            Some(format!("{kind}:{count}/{bytes}"))
        });
        let kinds: Vec<String> = kinds.collect();
        kinds.join(" ")
    }

    /// Returns the calls to the platform so far by list, as `LIST:COUNT` separated by spaces.
    pub fn call_totals(&self) -> String {
        let lists = List::ALL.iter().map(|list| {
            let calls = CallOutcome::ALL.iter().filter_map(|outcome| {
                let labels = CallLabels {
                    list: list.name(),
                    outcome: outcome.name(),
                };
                Some(self.platform_calls.get(&labels)?.get())
            });
            format!("{}:{}", list.name(), calls.sum::<u64>())
        });
        let lists: Vec<String> = lists.collect();
        lists.join(" ")
    }

    fn register(&mut self) {
        let registry = &mut self.registry;
        registry.register("requests", "Requests that ended", self.requests.clone());
        registry.register(
            "first_token_seconds",
            "Time to the first event or the whole answer",
            self.first_token.clone(),
        );
        registry.register("waiting", "Requests that wait now", self.waiting.clone());
        registry.register("waits", "Requests that have waited", self.waits.clone());
        registry.register(
            "waited_seconds",
            "Time that requests waited",
            self.waited.clone(),
        );
        registry.register(
            "streams",
            "Streams of servers that ended",
            self.streams.clone(),
        );
        registry.register(
            "pauses",
            "Responses by which a server asked for a pause",
            self.pauses.clone(),
        );
        registry.register("retries", "Attempts after the first", self.retries.clone());
        registry.register(
            "retries_denied",
            "Retries that the retry budget did not permit",
            self.retries_denied.clone(),
        );
        registry.register("running", "Requests in progress", self.running.clone());
        registry.register(
            "config_version",
            "Version of the configuration in force",
            self.config_version.clone(),
        );
        registry.register(
            "servers",
            "Backend servers that accept work",
            self.servers.clone(),
        );
        registry.register(
            "platform_calls",
            "Calls to the platform",
            self.platform_calls.clone(),
        );
        registry.register(
            "store_returns",
            "Returns of the platform's store from an older copy",
            self.store_returns.clone(),
        );
        registry.register(
            "deltas",
            "List changes broadcast by other entries",
            self.deltas.clone(),
        );
        registry.register(
            "peer_calls",
            "Calls of other entries that fetched a list",
            self.peer_calls.clone(),
        );
        registry.register(
            "entries_alive",
            "Entries that count as alive",
            self.entries_alive.clone(),
        );
        registry.register(
            "datagrams",
            "Datagrams between entries",
            self.datagrams.clone(),
        );
        registry.register(
            "datagram_bytes",
            "Bytes of datagrams between entries",
            self.datagram_bytes.clone(),
        );
        registry.register(
            "log_lines_dropped",
            "Log lines dropped",
            self.log_lines_dropped.clone(),
        );
    }
}

fn duration_histogram() -> Histogram {
    Histogram::new(exponential_buckets(FIRST_BUCKET_SECONDS, 2.0, BUCKET_COUNT))
}
