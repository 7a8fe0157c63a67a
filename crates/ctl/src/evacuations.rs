//! Summarises the evacuations of data centres from the metrics of several instances, for `evacuations`.

use std::collections::BTreeMap;

/// The metric with the time since when an instance acts on an evacuation, in Unix seconds.
const SINCE: &str = "coriander_evacuated_since_seconds";
/// The metric with the number of an instance's requests in an evacuated data centre.
const RUNNING: &str = "coriander_evacuated_running";
/// The label of both with the name of the data centre.
const LABEL: &str = "{data_centre=\"";

/// An evacuated data centre according to several instances.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Evacuation {
    /// When the first instance began to act on it, in Unix seconds.
    pub since: u64,
    /// The time until the last one did, in seconds.
    pub spread_s: u64,
    /// The names of the instances that act on it.
    pub acting: Vec<String>,
    /// The number of requests that still run there.
    pub running: u64,
}

/// Returns the evacuations by data centre, from pairs of an instance's name and the text of its metrics.
pub fn summarise(pages: &[(String, String)]) -> BTreeMap<String, Evacuation> {
    let mut evacuations: BTreeMap<String, Evacuation> = BTreeMap::new();
    for (instance, page) in pages {
        for (data_centre, since) in values(page, SINCE) {
            let evacuation = evacuations.entry(data_centre).or_default();
            let first = match evacuation.acting.is_empty() {
                true => since,
                false => evacuation.since.min(since),
            };
            let last = since.max(evacuation.since + evacuation.spread_s);
            evacuation.since = first;
            evacuation.spread_s = last - first;
            evacuation.acting.push(instance.clone());
        }
        for (data_centre, running) in values(page, RUNNING) {
            evacuations.entry(data_centre).or_default().running += running;
        }
    }
    evacuations
}

/// Returns the table of all evacuations, and the instances that don't act on each.
pub fn table(pages: &[(String, String)], now_s: u64) -> String {
    let evacuations = summarise(pages);
    if evacuations.is_empty() {
        return "no data centre is evacuated\n".to_owned();
    }
    let mut out = format!(
        "{:<20} {:<12} {:<8} {:<10} {:<9} {}\n",
        "data centre", "since (Unix)", "age", "spread", "acting", "running"
    );
    for (data_centre, it) in &evacuations {
        let age = format!("{} s", now_s.saturating_sub(it.since));
        let spread = format!("{} s", it.spread_s);
        let acting = format!("{} of {}", it.acting.len(), pages.len());
        out += &format!(
            "{data_centre:<20} {:<12} {age:<8} {spread:<10} {acting:<9} {}\n",
            it.since, it.running
        );
        let names = pages.iter().map(|it| &it.0);
        let idle: Vec<&str> = names
            .filter(|name| !it.acting.contains(name))
            .map(String::as_str)
            .collect();
        if !idle.is_empty() {
            out += &format!("  not acting: {}\n", idle.join(" "));
        }
    }
    out
}

/// Returns the values of a metric by data centre.
fn values<'a>(page: &'a str, name: &'a str) -> impl Iterator<Item = (String, u64)> + 'a {
    page.lines().filter_map(move |line| {
        let rest = line.strip_prefix(name)?.strip_prefix(LABEL)?;
        let (data_centre, value) = rest.rsplit_once("\"} ")?;
        Some((data_centre.to_owned(), value.trim().parse().ok()?))
    })
}
