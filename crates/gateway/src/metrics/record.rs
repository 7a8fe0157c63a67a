//! Records what happened, and sums it up for logs.

use std::time::Duration;

use h1::Framing;

use super::Basis;
use super::CallLabels;
use super::CallOutcome;
use super::DataCentreLabels;
use super::DatagramLabels;
use super::Direction;
use super::ForecastLabels;
use super::Metrics;
use super::ProbeLabels;
use super::RelayLabels;
use super::RequestLabels;
use super::RouteLabels;
use super::SilenceLabels;
use super::StallLabels;
use super::StreamLabels;
use super::WaitLabels;
use crate::port::List;

impl Metrics {
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

    /// Records that this entry acts on the evacuation of a data centre.
    pub fn record_evacuation_start(&self, data_centre: &str) {
        let labels = DataCentreLabels {
            data_centre: data_centre.to_owned(),
        };
        let since = self.evacuated_since.get_or_create(&labels);
        since.set(clock::since_epoch().as_secs() as i64);
        self.evacuated_running.get_or_create(&labels).set(0);
    }

    /// Records that the evacuation of a data centre ended.
    pub fn record_evacuation_end(&self, data_centre: &str) {
        let labels = DataCentreLabels {
            data_centre: data_centre.to_owned(),
        };
        self.evacuated_since.remove(&labels);
        self.evacuated_running.remove(&labels);
    }

    /// Counts a request that its engine no longer served.
    pub fn record_stall(&self, stage: &'static str) {
        self.stalls.get_or_create(&StallLabels { stage }).inc();
    }

    /// Counts a stage of a silence after which another server was tried.
    pub fn record_silence(&self, stage: &'static str) {
        self.silences.get_or_create(&SilenceLabels { stage }).inc();
    }

    /// Counts a probe of a backend server.
    pub fn record_probe(&self, is_open: bool) {
        let outcome = if is_open { "open" } else { "failed" };
        self.probes.get_or_create(&ProbeLabels { outcome }).inc();
    }

    /// Counts an attempt to have a request served by another entry.
    pub fn record_relayed(&self, outcome: &'static str) {
        self.relayed.get_or_create(&RelayLabels { outcome }).inc();
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

    /// Records the cost of a request as a multiple of what was expected.
    pub fn record_forecast(&self, route: &str, basis: Basis, ratio: f64) {
        let labels = ForecastLabels {
            route: route.to_owned(),
            basis: match basis {
                Basis::Observed => "observed",
                Basis::Declared => "declared",
            },
        };
        self.cost_ratio.get_or_create(&labels).observe(ratio);
    }

    /// Counts observations of costs, and sets the number of groups.
    pub fn record_costs(&self, count: usize, groups: usize) {
        self.cost_observations.inc_by(count as u64);
        self.cost_groups.set(groups as i64);
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
}
