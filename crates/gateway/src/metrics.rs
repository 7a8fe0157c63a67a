//! Prometheus metrics.

use prometheus_client::encoding::text;
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::metrics::histogram::Histogram;
use prometheus_client::metrics::histogram::exponential_buckets;
use prometheus_client::registry::Registry;

mod labels;
mod record;

pub use self::labels::Basis;
pub use self::labels::BufferLabels;
pub use self::labels::CallLabels;
pub use self::labels::CallOutcome;
pub use self::labels::DataCentreLabels;
pub use self::labels::DatagramLabels;
pub use self::labels::DeltaLabels;
pub use self::labels::Direction;
pub use self::labels::ForecastLabels;
pub use self::labels::HoldLabels;
pub use self::labels::PeerCallLabels;
pub use self::labels::ProbeLabels;
pub use self::labels::RelayLabels;
pub use self::labels::RequestLabels;
pub use self::labels::RouteLabels;
pub use self::labels::SilenceLabels;
pub use self::labels::StallLabels;
pub use self::labels::StreamLabels;
pub use self::labels::WaitLabels;

/// The upper bound of the first bucket of a duration histogram, in seconds.
const FIRST_BUCKET_SECONDS: f64 = 0.004;
/// The number of buckets of a duration histogram. Each bound is twice the one before.
const BUCKET_COUNT: u16 = 13;
/// The upper bound of the first bucket of a histogram of forecasts, as cost per expected cost. Bounds grow by
/// the square root of two, up to eight.
const FIRST_BUCKET_RATIO: f64 = 0.125;

type ForecastHistograms = Family<ForecastLabels, Histogram, fn() -> Histogram>;
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
    /// Rejected requests that came back as told.
    pub returned: Counter,
    /// The time that they waited.
    pub waited: DurationHistograms,
    /// Streams of servers that ended without an error of the connection.
    pub streams: Family<StreamLabels, Counter>,
    /// Streams of all entries that run at engines.
    pub streams_running: Gauge,
    /// The expected number of these that are still on time.
    pub streams_on_time: Gauge,
    /// Responses by which a server asked for a pause.
    pub pauses: Counter,
    /// Retries sent after the first attempt.
    pub retries: Counter,
    /// Retries that the retry budget did not permit.
    pub retries_denied: Counter,
    /// Attempts that were given up since their engine served other requests but not them.
    pub stalls: Family<StallLabels, Counter>,
    /// Silences of servers that began, ended, or ended with the connection.
    pub silences: Family<SilenceLabels, Counter>,
    /// Requests in progress.
    pub running: Gauge,
    /// The version of the configuration in force.
    pub config_version: Gauge,
    /// The milliseconds since the platform last answered a read of the configuration.
    pub config_age_ms: Gauge,
    /// Backend servers that accept work.
    pub servers: Gauge,
    /// When this entry learned of each evacuation that it acts on, in seconds since the Unix epoch.
    pub evacuated_since: Family<DataCentreLabels, Gauge>,
    /// This entry's requests that still run at servers of evacuated data centres.
    pub evacuated_running: Family<DataCentreLabels, Gauge>,
    /// Attempts that were not sent, since a data centre was evacuated while they were prepared.
    pub evacuation_withdrawals: Counter,
    /// Attempts that were not sent, since a server is not in the request's home regions.
    pub home_withdrawals: Counter,
    /// Backend servers that are cold.
    pub cold_servers: Gauge,
    /// Placements that the bounds of cold servers held back.
    pub cold_holds: Family<HoldLabels, Counter>,
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
    /// The cost of requests, as a multiple of what was expected.
    pub cost_ratio: ForecastHistograms,
    /// Observations of costs, those of other entries included.
    pub cost_observations: Counter,
    /// Observations by this entry that are lower bounds.
    pub cost_bounds: Counter,
    /// Groups of requests whose costs are kept.
    pub cost_groups: Gauge,
    /// Connections opened to backend servers to find out whether they are reached.
    pub probes: Family<ProbeLabels, Counter>,
    /// Decisions that this entry reaches no backend server.
    pub isolations: Counter,
    /// 1 while this entry reaches no backend server, otherwise 0.
    pub isolated: Gauge,
    /// Attempts to have a request served by another entry.
    pub relayed: Family<RelayLabels, Counter>,
    /// Requests that other entries relayed to this one.
    pub relays_received: Counter,
    /// The bytes kept for callers and servers.
    pub buffered_bytes: Family<BufferLabels, Gauge>,
    /// Stops in reading a stream because its caller reads too slowly.
    pub buffer_stops: Counter,
    /// Connections closed because they buffered the most.
    pub buffer_closes: Counter,
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
            returned: Counter::default(),
            waited: Family::new_with_constructor(duration_histogram),
            streams: Family::default(),
            streams_running: Gauge::default(),
            streams_on_time: Gauge::default(),
            pauses: Counter::default(),
            retries: Counter::default(),
            retries_denied: Counter::default(),
            stalls: Family::default(),
            silences: Family::default(),
            running: Gauge::default(),
            config_version: Gauge::default(),
            config_age_ms: Gauge::default(),
            servers: Gauge::default(),
            evacuated_since: Family::default(),
            evacuated_running: Family::default(),
            evacuation_withdrawals: Counter::default(),
            home_withdrawals: Counter::default(),
            cold_servers: Gauge::default(),
            cold_holds: Family::default(),
            platform_calls: Family::default(),
            store_returns: Counter::default(),
            deltas: Family::default(),
            peer_calls: Family::default(),
            entries_alive: Gauge::default(),
            datagrams: Family::default(),
            datagram_bytes: Family::default(),
            cost_ratio: Family::new_with_constructor(ratio_histogram),
            cost_observations: Counter::default(),
            cost_bounds: Counter::default(),
            cost_groups: Gauge::default(),
            probes: Family::default(),
            isolations: Counter::default(),
            isolated: Gauge::default(),
            relayed: Family::default(),
            relays_received: Counter::default(),
            buffered_bytes: Family::default(),
            buffer_stops: Counter::default(),
            buffer_closes: Counter::default(),
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
            "returned",
            "Rejected requests that came back as told",
            self.returned.clone(),
        );
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
            "streams_running",
            "Streams of all entries that run at engines",
            self.streams_running.clone(),
        );
        registry.register(
            "streams_on_time",
            "Expected number of running streams that are on time",
            self.streams_on_time.clone(),
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
        registry.register(
            "stalls",
            "Requests that their engine no longer served",
            self.stalls.clone(),
        );
        registry.register(
            "silences",
            "Silences of servers after which another one was tried",
            self.silences.clone(),
        );
        registry.register("running", "Requests in progress", self.running.clone());
        registry.register(
            "config_version",
            "Version of the configuration in force",
            self.config_version.clone(),
        );
        registry.register(
            "config_age_ms",
            "Milliseconds since the platform last answered a read of the configuration",
            self.config_age_ms.clone(),
        );
        registry.register(
            "servers",
            "Backend servers that accept work",
            self.servers.clone(),
        );
        registry.register(
            "evacuated_since_seconds",
            "Unix time since when this entry acts on an evacuation",
            self.evacuated_since.clone(),
        );
        registry.register(
            "evacuated_running",
            "Requests in progress at servers of evacuated data centres",
            self.evacuated_running.clone(),
        );
        registry.register(
            "evacuation_withdrawals",
            "Attempts not sent because of an evacuation meanwhile",
            self.evacuation_withdrawals.clone(),
        );
        registry.register(
            "home_withdrawals",
            "Attempts not sent because a server is outside the request's home regions",
            self.home_withdrawals.clone(),
        );
        registry.register(
            "cold_servers",
            "Backend servers that are cold",
            self.cold_servers.clone(),
        );
        registry.register(
            "cold_holds",
            "Placements that the bounds of cold servers held back",
            self.cold_holds.clone(),
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
            "cost_ratio",
            "Cost of requests as a multiple of what was expected",
            self.cost_ratio.clone(),
        );
        registry.register(
            "cost_observations",
            "Observations of costs",
            self.cost_observations.clone(),
        );
        registry.register(
            "cost_bounds",
            "Observations of truncated answers",
            self.cost_bounds.clone(),
        );
        registry.register(
            "cost_groups",
            "Groups of requests whose costs are kept",
            self.cost_groups.clone(),
        );
        registry.register(
            "probes",
            "Connections opened to find out whether servers are reached",
            self.probes.clone(),
        );
        registry.register(
            "isolations",
            "Decisions that this entry reaches no backend server",
            self.isolations.clone(),
        );
        registry.register(
            "isolated",
            "Whether this entry reaches no backend server",
            self.isolated.clone(),
        );
        registry.register(
            "relayed",
            "Attempts to have a request served by another entry",
            self.relayed.clone(),
        );
        registry.register(
            "relays_received",
            "Requests that other entries relayed to this one",
            self.relays_received.clone(),
        );
        registry.register(
            "buffered_bytes",
            "Bytes kept for callers and servers",
            self.buffered_bytes.clone(),
        );
        registry.register(
            "buffer_stops",
            "Stops in reading a stream because its caller reads too slowly",
            self.buffer_stops.clone(),
        );
        registry.register(
            "buffer_closes",
            "Connections closed because they buffered the most",
            self.buffer_closes.clone(),
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

fn ratio_histogram() -> Histogram {
    let factor = std::f64::consts::SQRT_2;
    Histogram::new(exponential_buckets(
        FIRST_BUCKET_RATIO,
        factor,
        BUCKET_COUNT,
    ))
}
