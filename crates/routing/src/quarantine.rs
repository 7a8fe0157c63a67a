//! Quarantine: refuses requests that crash the backend servers that run them.

use std::collections::HashMap;
use std::time::Duration;

use domain::Moment;

/// The number of crashed backend servers at which a request is refused.
pub const CRASH_LIMIT: usize = 2;
/// The time after the last crash for which a request stays under suspicion.
pub const RETENTION: Duration = Duration::from_secs(3_600);
/// The number of suspects at which those older than half of [`RETENTION`] are removed.
const SUSPECT_LIMIT: usize = 10_000;

/// Requests under suspicion, by their fingerprints.
#[derive(Clone, Debug, Default)]
pub struct Quarantine {
    suspects: HashMap<u64, Suspect>,
}

#[derive(Clone, Debug)]
struct Suspect {
    /// The backend servers that crashed. Each counts once, however many reports name it.
    servers: Vec<String>,
    last_crash: Moment,
}

impl Quarantine {
    /// Records that a backend server crashed while it ran a request. Returns whether the crash is
    /// new.
    pub fn record_crash(&mut self, now: Moment, fingerprint: u64, server: &str) -> bool {
        if self.suspects.len() >= SUSPECT_LIMIT {
            self.suspects
                .retain(|_, it| now.since(it.last_crash) < RETENTION / 2);
        }
        let suspect = self.suspects.entry(fingerprint);
        let suspect = suspect.or_insert_with(|| Suspect {
            servers: Vec::new(),
            last_crash: now,
        });
        suspect.last_crash = now;
        let is_new = !suspect.servers.iter().any(|it| it == server);
        if is_new {
            suspect.servers.push(server.to_owned());
        }
        is_new
    }

    /// Returns the number of backend servers that crashed while they ran a request.
    pub fn crash_count(&self, now: Moment, fingerprint: u64) -> usize {
        let suspect = self.suspects.get(&fingerprint);
        suspect
            .filter(|it| now.since(it.last_crash) < RETENTION)
            .map_or(0, |it| it.servers.len())
    }

    /// Returns whether a request is refused.
    pub fn is_refused(&self, now: Moment, fingerprint: u64) -> bool {
        self.crash_count(now, fingerprint) >= CRASH_LIMIT
    }

    /// Returns the number of requests under suspicion.
    pub fn len(&self) -> usize {
        self.suspects.len()
    }

    /// Returns whether no request is under suspicion.
    pub fn is_empty(&self) -> bool {
        self.suspects.is_empty()
    }
}
