//! Quarantine: refuses requests that crash the backend servers that run them.
//!
//! A crash breaks every request on the server, and only one of them caused it. A request is described
//! by digests: of the request itself, and of the parts of its prompt that other requests share. Each
//! digest of a broken request is a suspect. A suspect is cleared when a request with it runs to its
//! end, and is explained away by another one that was there in its crashes and in more besides.

use std::collections::HashMap;
use std::time::Duration;

use domain::Moment;
use domain::digest;

mod proofs;
pub mod report;

use self::proofs::Proofs;
pub use self::report::Report;
pub use self::report::Suspicion;

/// The weight of the crashes at which a digest is refused: those of two servers that had begun to
/// answer.
const REFUSAL_WEIGHT: u32 = 4;
/// The share of a suspect's crashes in which another one has to be present to explain them.
const EXPLAINED_SHARE: f64 = 0.7;
/// The time after the last crash for which a digest stays under suspicion.
pub const RETENTION: Duration = Duration::from_secs(3_600);
/// The time after the last crash at which one request may test whether a digest is refused in vain.
/// It doubles with each test.
const TEST_DELAY: Duration = Duration::from_secs(60);
/// The time for which a part is no suspect after a request with it ran to its end.
const PROOF_TIME: Duration = Duration::from_secs(10);
/// The maximum number of suspects. Beyond it, those with the least evidence are removed.
pub const SUSPECT_LIMIT: usize = 4_000;
/// The maximum number of parts with a proof. Beyond it, the oldest proofs are removed early.
pub const PROOF_LIMIT: usize = 10_000;
/// The number of newest crashes that are kept of each suspect.
const CRASH_LIMIT: usize = 64;
/// The number of suspects in a summary, the heaviest ones.
const SUMMARY_LIMIT: usize = 8;
/// The number of newest crashes of each suspect in a summary.
const SUMMARY_CRASHES: usize = 16;
/// The number of parts of a prompt that are watched, from the first one.
const PART_LIMIT: usize = 64;

/// The digests that describe a request.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Fingerprint {
    /// The digest of the request, the same each time that it is sent.
    pub request: u64,
    /// The digests of the parts of its prompt that other requests may share.
    pub parts: Vec<u64>,
}

impl Fingerprint {
    /// Returns the digests of the parts in hexadecimal, separated by commas, for logs.
    pub fn part_names(&self) -> String {
        let names: Vec<String> = self.parts.iter().map(|it| format!("{it:016x}")).collect();
        names.join(",")
    }

    fn digests(&self) -> impl Iterator<Item = u64> {
        let parts = self.parts.iter().take(PART_LIMIT).copied();
        std::iter::once(self.request).chain(parts)
    }
}

/// How far a server had come with a request when it crashed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Progress {
    /// Nothing of an answer had come.
    Waiting,
    /// It had begun to answer, or ran the request without a sign of progress.
    Begun,
}

impl Progress {
    /// Returns the weight of a crash as evidence against the request.
    fn weight(self) -> u8 {
        match self {
            Self::Waiting => 1,
            Self::Begun => 2,
        }
    }
}

/// What to do with a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Decision {
    /// It may run.
    Admit,
    /// It may run as the only test of this digest.
    Test(u64),
    /// It is refused.
    Refuse,
}

/// Digests under suspicion, and parts of prompts that were proven to run.
#[derive(Clone, Debug, Default)]
pub struct Quarantine {
    suspects: HashMap<u64, Suspect>,
    /// The parts of requests that ran to their end.
    proofs: Proofs,
}

#[derive(Clone, Debug)]
struct Suspect {
    /// The servers that crashed, each with the weight of its evidence.
    crashes: Vec<(u64, u8)>,
    last_crash: Moment,
    tests: u32,
}

impl Suspect {
    fn weight(&self) -> u32 {
        self.crashes.iter().map(|it| u32::from(it.1)).sum()
    }

    fn is_refused(&self, now: Moment) -> bool {
        self.weight() >= REFUSAL_WEIGHT && now.since(self.last_crash) < RETENTION
    }

    /// Returns whether this suspect was there in enough of the crashes of `other`.
    fn explains(&self, other: &Self) -> bool {
        let is_shared = |it: &&(u64, u8)| self.crashes.iter().any(|own| own.0 == it.0);
        let shared = other.crashes.iter().filter(is_shared).count();
        shared as f64 >= other.crashes.len() as f64 * EXPLAINED_SHARE
    }

    /// Records a crash of a server. Returns whether it is new, or its evidence stronger.
    fn record(&mut self, server: u64, weight: u8) -> bool {
        if let Some(known) = self.crashes.iter_mut().find(|it| it.0 == server) {
            let is_stronger = weight > known.1;
            known.1 = known.1.max(weight);
            return is_stronger;
        }
        if self.crashes.len() == CRASH_LIMIT {
            self.crashes.remove(0);
        }
        self.crashes.push((server, weight));
        true
    }
}

impl Quarantine {
    /// Records that a backend server crashed while it had a request, and returns the report for the
    /// other entries; `None` if it says nothing new.
    pub fn record_crash(
        &mut self,
        now: Moment,
        fingerprint: &Fingerprint,
        server: &str,
        progress: Progress,
    ) -> Option<Report> {
        let crash = (digest::fast(server.as_bytes()), progress.weight());
        let digests = fingerprint.digests().filter(|it| !self.is_proven(now, *it));
        let suspects = digests.map(|digest| Suspicion {
            digest,
            crashes: vec![crash],
        });
        let mut suspects: Vec<Suspicion> = suspects.collect();
        suspects.retain(|it| self.add(now, it));
        (!suspects.is_empty()).then(|| Report {
            suspects,
            cleared: Vec::new(),
        })
    }

    /// Records that a request ran to its end, and returns the report for the other entries; `None` if
    /// it clears nothing.
    pub fn record_success(&mut self, now: Moment, fingerprint: &Fingerprint) -> Option<Report> {
        for part in fingerprint.parts.iter().take(PART_LIMIT) {
            self.proofs.insert(now, *part);
        }
        let cleared = fingerprint
            .digests()
            .filter(|it| self.suspects.remove(it).is_some());
        let cleared: Vec<u64> = cleared.collect();
        (!cleared.is_empty()).then(|| Report {
            suspects: Vec::new(),
            cleared,
        })
    }

    /// Returns whether the end of a request tells anything new: a part of it has no proof, or a digest
    /// is a suspect.
    pub fn is_undecided(&self, now: Moment, fingerprint: &Fingerprint) -> bool {
        let mut parts = fingerprint.parts.iter().take(PART_LIMIT);
        let is_unproven = parts.any(|it| !self.is_proven(now, *it));
        is_unproven
            || fingerprint
                .digests()
                .any(|it| self.suspects.contains_key(&it))
    }

    /// Decides whether a request may run. `is_tester` returns whether this entry is the one that may
    /// test a digest.
    pub fn admit(
        &mut self,
        now: Moment,
        fingerprint: &Fingerprint,
        is_tester: impl Fn(u64) -> bool,
    ) -> Decision {
        let decision = self.decide(now, fingerprint, 0);
        let Decision::Test(digest) = decision else {
            return decision;
        };
        let suspect = self.suspects.get_mut(&digest);
        let Some(suspect) = suspect.filter(|_| is_tester(digest)) else {
            return Decision::Refuse;
        };
        suspect.tests += 1;
        decision
    }

    /// Returns whether a request that was admitted before is refused now.
    pub fn is_refused(&self, now: Moment, fingerprint: &Fingerprint) -> bool {
        // It may be the latest test itself.
        self.decide(now, fingerprint, 1) == Decision::Refuse
    }

    /// Decides whether a request may run, without the latest `ignored_tests` of each digest.
    fn decide(&self, now: Moment, fingerprint: &Fingerprint, ignored_tests: u32) -> Decision {
        let digests: Vec<u64> = fingerprint.digests().collect();
        let mut decision = Decision::Admit;
        for digest in &digests {
            let Some(suspect) = self.suspects.get(digest) else {
                continue;
            };
            let mut rivals = self.rivals(*digest, suspect);
            if !suspect.is_refused(now) || !rivals.all(|it| digests.contains(&it)) {
                continue;
            }
            let test_delay =
                TEST_DELAY * 2_u32.saturating_pow(suspect.tests.saturating_sub(ignored_tests));
            if now.since(suspect.last_crash) < test_delay {
                return Decision::Refuse;
            }
            decision = Decision::Test(*digest);
        }
        decision
    }

    /// Applies the report of another entry. Returns the reply to it if this entry can clear any of the
    /// suspects.
    pub fn apply(&mut self, now: Moment, report: &Report) -> Option<Report> {
        for digest in &report.cleared {
            self.suspects.remove(digest);
        }
        let mut cleared = Vec::new();
        for suspicion in &report.suspects {
            if self.is_proven(now, suspicion.digest) {
                cleared.push(suspicion.digest);
            } else {
                self.add(now, suspicion);
            }
        }
        (!cleared.is_empty()).then(|| Report {
            suspects: Vec::new(),
            cleared,
        })
    }

    /// Returns the heaviest of the suspects that are refused, for entries that missed their reports;
    /// `None` if there is none.
    pub fn summary(&self, now: Moment) -> Option<Report> {
        let refused = self.suspects.iter().filter(|it| it.1.is_refused(now));
        let mut refused: Vec<(u64, &Suspect)> = refused.map(|it| (*it.0, it.1)).collect();
        refused.sort_by_key(|it| std::cmp::Reverse((it.1.weight(), it.0)));
        refused.truncate(SUMMARY_LIMIT);
        let suspects = refused.iter().map(|(digest, suspect)| {
            let oldest = suspect.crashes.len().saturating_sub(SUMMARY_CRASHES);
            Suspicion {
                digest: *digest,
                crashes: suspect.crashes[oldest..].to_vec(),
            }
        });
        let suspects: Vec<Suspicion> = suspects.collect();
        (!suspects.is_empty()).then(|| Report {
            suspects,
            cleared: Vec::new(),
        })
    }

    /// Returns the number of crashes under a request or a part of it that the quarantine holds against
    /// it.
    pub fn crash_count(&self, fingerprint: &Fingerprint) -> usize {
        let suspects = fingerprint
            .digests()
            .filter_map(|it| self.suspects.get(&it));
        suspects.map(|it| it.crashes.len()).max().unwrap_or(0)
    }

    /// Returns the number of digests under suspicion.
    pub fn len(&self) -> usize {
        self.suspects.len()
    }

    /// Returns the number of parts of prompts that are kept as proven.
    pub fn proof_count(&self) -> usize {
        self.proofs.len()
    }

    /// Returns whether nothing is under suspicion.
    pub fn is_empty(&self) -> bool {
        self.suspects.is_empty()
    }

    fn is_proven(&self, now: Moment, digest: u64) -> bool {
        self.proofs.contains(now, digest)
    }

    /// Returns the other suspects that may be the cause of a suspect's crashes instead of it.
    fn rivals<'a>(&'a self, digest: u64, suspect: &'a Suspect) -> impl Iterator<Item = u64> + 'a {
        let weight = suspect.weight();
        let others = self.suspects.iter().filter(move |it| *it.0 != digest);
        let rivals = others.filter(move |it| it.1.weight() >= weight && it.1.explains(suspect));
        rivals.map(|it| *it.0)
    }

    /// Adds the crashes of a suspect. Returns whether any is new.
    fn add(&mut self, now: Moment, suspicion: &Suspicion) -> bool {
        if self.suspects.len() >= SUSPECT_LIMIT && !self.suspects.contains_key(&suspicion.digest) {
            self.remove_lightest(now);
        }
        let suspect = self.suspects.entry(suspicion.digest);
        let suspect = suspect.or_insert_with(|| Suspect {
            crashes: Vec::new(),
            last_crash: now,
            tests: 0,
        });
        let mut is_new = false;
        for (server, weight) in &suspicion.crashes {
            is_new |= suspect.record(*server, *weight);
        }
        if is_new {
            // A peer repeats a report; its delay must not make the last crash later each time.
            suspect.last_crash = now;
        }
        is_new
    }

    /// Removes an eighth of the suspects, those with the least evidence and the oldest among equals.
    fn remove_lightest(&mut self, now: Moment) {
        let evidence = |it: &Suspect| (it.is_refused(now), it.weight(), it.last_crash);
        let mut ranked: Vec<_> = self
            .suspects
            .iter()
            .map(|(digest, it)| (evidence(it), *digest))
            .collect();
        ranked.sort_unstable();
        for (_, digest) in ranked.into_iter().take(SUSPECT_LIMIT / 8) {
            self.suspects.remove(&digest);
        }
    }
}
