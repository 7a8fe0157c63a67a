//! Quarantine: prompts that bring down the engines that run them are refused.

use std::collections::HashMap;
use std::time::Duration;

use domain::Moment;

/// Suspected crashes after which a prompt is refused.
pub const CRASH_LIMIT: usize = 2;
/// The time for which a suspicion is kept.
pub const RETENTION: Duration = Duration::from_secs(3_600);
/// The number of prompts under suspicion that are kept.
const SUSPECT_LIMIT: usize = 10_000;

/// Prompts under suspicion, by their fingerprints.
#[derive(Clone, Debug, Default)]
pub struct Quarantine {
    suspects: HashMap<u64, Suspect>,
}

#[derive(Clone, Debug)]
struct Suspect {
    /// The engines that went down. Each counts once, by whomever it is reported.
    engines: Vec<String>,
    at: Moment,
}

impl Quarantine {
    /// Notes that an engine went down while it ran a prompt. Returns whether this was news.
    pub fn record_crash(&mut self, now: Moment, fingerprint: u64, engine: &str) -> bool {
        if self.suspects.len() >= SUSPECT_LIMIT {
            self.suspects
                .retain(|_, it| now.since(it.at) < RETENTION / 2);
        }
        let suspect = self.suspects.entry(fingerprint);
        let suspect = suspect.or_insert_with(|| Suspect {
            engines: Vec::new(),
            at: now,
        });
        suspect.at = now;
        let is_news = !suspect.engines.iter().any(|it| it == engine);
        if is_news {
            suspect.engines.push(engine.to_owned());
        }
        is_news
    }

    /// Returns the number of engines that went down with a prompt.
    pub fn crash_count(&self, now: Moment, fingerprint: u64) -> usize {
        let suspect = self.suspects.get(&fingerprint);
        suspect
            .filter(|it| now.since(it.at) < RETENTION)
            .map_or(0, |it| it.engines.len())
    }

    /// Tells whether a prompt is refused.
    pub fn is_refused(&self, now: Moment, fingerprint: u64) -> bool {
        self.crash_count(now, fingerprint) >= CRASH_LIMIT
    }

    /// Returns the number of prompts under suspicion.
    pub fn len(&self) -> usize {
        self.suspects.len()
    }

    /// Tells whether no prompt is under suspicion.
    pub fn is_empty(&self) -> bool {
        self.suspects.is_empty()
    }
}
