//! The other entries that lately could not serve requests of a service either.

use std::collections::HashMap;
use std::time::Duration;

use domain::Moment;
use domain::key::Incarnation;

/// The time for which an entry that reached no server of a service is not asked again.
const LIFETIME: Duration = Duration::from_millis(1_000);

/// By service, the entries that reached none of its servers, and when they said so.
#[derive(Clone, Debug, Default)]
pub struct Detours {
    fruitless: HashMap<String, Vec<(Incarnation, Moment)>>,
}

impl Detours {
    /// Records that an entry reached no server of a service.
    pub fn record_fruitless(&mut self, now: Moment, service: &str, entry: Incarnation) {
        self.fruitless
            .retain(|_, it| it.iter().any(|it| is_recent(now, it)));
        let entries = self.fruitless.entry(service.to_owned()).or_default();
        entries.retain(|it| is_recent(now, it) && it.0 != entry);
        entries.push((entry, now));
    }

    /// Returns the entries that lately reached no server of a service.
    pub fn fruitless(&self, now: Moment, service: &str) -> Vec<Incarnation> {
        let entries = self.fruitless.get(service).into_iter().flatten();
        let recent = entries.filter(|it| is_recent(now, it));
        recent.map(|it| it.0).collect()
    }
}

fn is_recent(now: Moment, entry: &(Incarnation, Moment)) -> bool {
    now.since(entry.1) < LIFETIME
}
