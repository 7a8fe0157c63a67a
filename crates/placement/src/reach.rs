//! Whether this entry reaches the backend servers at all.
//!
//! The evidence is what the entry's own attempts meet: connections that open or fail, answers, and
//! attempts that were given up without one. Failures raise a suspicion, and only then connections are
//! opened to further servers as probes. They are spread over services and data centres, so that the death
//! of a few servers, or of all servers of one small service, is not taken for isolation.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::time::Duration;

use domain::Moment;
use rand::Rng;
use rand::RngExt;

/// The time in which failures at different servers count together.
const FAILURE_WINDOW: Duration = Duration::from_millis(1_500);
/// The time without any data from servers, while attempts are in progress, that raises a suspicion.
const SILENCE_LIMIT: Duration = Duration::from_millis(500);
/// The number of servers at which failures raise a suspicion. A single server often dies.
const SUSPICIOUS_COUNT: usize = 2;
/// The number of servers at which failures prove the isolation if no server has sent anything since.
const PROOF_COUNT: usize = 3;
/// The same if servers still answer over connections that were opened earlier.
const PROOF_COUNT_ANSWERED: usize = 6;
/// The time for which failures raise no suspicion if all of them are at servers at which there were failures
/// when the last suspicion proved unfounded: these servers are dead, and others are reached.
const EXCUSE_TIME: Duration = Duration::from_secs(8);
/// The number of probes in a round during a suspicion.
const PROBE_COUNT: usize = 3;
/// The time from the end of an unfounded suspicion to the next probes.
const UNFOUNDED_PAUSE: Duration = Duration::from_millis(1_000);
/// The longest such time for a suspicion that rests on silence alone. A long prompt may run for seconds
/// before its first token, so the time doubles until something is received or another attempt begins.
const LONGEST_SILENT_PAUSE: Duration = Duration::from_secs(8);
/// The number of probes in a round during the isolation.
const RETURN_PROBE_COUNT: usize = 2;
/// The interval between the rounds of probes during the isolation.
const RETURN_PROBE_INTERVAL: Duration = Duration::from_millis(500);
/// The number of successes in a row that end the isolation.
const RETURN_COUNT: u32 = 2;

/// A backend server that can be probed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Candidate<'a> {
    /// The key of the server.
    pub key: u64,
    /// The service of the server.
    pub service: &'a str,
    /// The data centre of the server.
    pub data_centre: &'a str,
}

/// How an attempt at a server failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Failure {
    /// No connection could be opened.
    Unconnected,
    /// A connection failed, or was given up because the server acknowledged or sent nothing.
    Unanswered,
}

/// A change of whether servers are reached.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Transition {
    /// A suspicion arose, and probes are due.
    Suspected(Evidence),
    /// The entry reaches no server.
    Isolated(Evidence),
    /// A suspicion proved unfounded, or the isolation ended after this time.
    Connected(Duration),
}

/// What the entry met before a change.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Evidence {
    /// The number of different servers at which attempts or probes failed.
    pub failed_servers: usize,
    /// The number of attempts in progress.
    pub attempts: usize,
    /// The time since a server last sent anything or accepted a connection; since the first of the
    /// attempts in progress began, if that was later.
    pub silence: Duration,
    /// Whether servers have sent anything since the first failure.
    pub is_answered: bool,
}

/// Whether this entry reaches the backend servers.
#[derive(Clone, Debug, Default)]
pub struct Reach {
    phase: Phase,
    /// The number of attempts in progress.
    attempts: usize,
    /// When a server last sent anything or accepted a connection, or when the first of the attempts in
    /// progress began.
    quiet_since: Moment,
    /// When a server last sent anything.
    heard_at: Option<Moment>,
    /// The servers at which attempts or probes failed since a connection was last opened.
    failures: BTreeMap<u64, (Moment, Failure)>,
    /// When the next round of probes may begin.
    next_round: Moment,
    /// The servers at which there were failures when the last suspicion proved unfounded, and when that was.
    excused: (BTreeSet<u64>, Moment),
    /// When silence may raise the next suspicion.
    next_silent_round: Moment,
    /// The number of unfounded suspicions since something was received or an attempt began.
    unfounded: u32,
    /// Whether a round of probes is in progress.
    is_probing: bool,
    /// The changes that were not taken yet.
    transitions: Vec<Transition>,
}

#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
enum Phase {
    #[default]
    Connected,
    Suspected {
        since: Moment,
    },
    Isolated {
        since: Moment,
        /// Whether no server had sent anything since the first failure.
        is_silent: bool,
        /// The server that last accepted a connection; absent after a round without success.
        open: Option<u64>,
        /// The number of successful probes since the last round without success.
        successes: u32,
        /// Whether a probe of the current round was successful.
        has_success: bool,
    },
}

impl Reach {
    /// Returns whether this entry reaches no server.
    pub fn is_isolated(&self) -> bool {
        matches!(self.phase, Phase::Isolated { .. })
    }

    /// Returns whether this entry is isolated, and connections opened earlier carry nothing either.
    pub fn is_silent(&self) -> bool {
        matches!(
            self.phase,
            Phase::Isolated {
                is_silent: true,
                ..
            }
        )
    }

    /// Returns whether there are reasons for a suspicion that is not decided yet.
    pub fn is_doubtful(&self, now: Moment) -> bool {
        match self.phase {
            Phase::Connected => self.has_suspicious_failures(now, SUSPICIOUS_COUNT),
            Phase::Suspected { .. } => true,
            Phase::Isolated { .. } => false,
        }
    }

    /// Records that an attempt began.
    pub fn record_begin(&mut self, now: Moment) {
        if self.attempts == 0 {
            self.quiet_since = now;
        }
        self.unfounded = 0;
        self.next_silent_round = self.next_silent_round.min(now + SILENCE_LIMIT);
        self.attempts += 1;
    }

    /// Records that an attempt ended.
    pub fn record_end(&mut self) {
        self.attempts = self.attempts.saturating_sub(1);
    }

    /// Records that a server sent data.
    pub fn record_answer(&mut self, now: Moment) {
        self.quiet_since = now;
        self.unfounded = 0;
        self.next_silent_round = now;
        self.heard_at = Some(now);
        self.failures.retain(|_, it| it.1 == Failure::Unconnected);
    }

    /// Records that a server accepted a connection for an attempt.
    pub fn record_connection(&mut self, now: Moment) {
        self.quiet_since = now;
        let failures = std::mem::take(&mut self.failures);
        if let Phase::Suspected { since } = self.phase {
            self.excused = (failures.into_keys().collect(), now);
            self.phase = Phase::Connected;
            self.next_round = now + UNFOUNDED_PAUSE;
            let pause = UNFOUNDED_PAUSE * 2_u32.pow(self.unfounded.min(8));
            self.next_silent_round = now + pause.min(LONGEST_SILENT_PAUSE);
            self.unfounded += 1;
            self.transitions
                .push(Transition::Connected(now.since(since)));
        }
    }

    /// Records that an attempt at a server failed.
    pub fn record_failure(&mut self, now: Moment, server: u64, failure: Failure) {
        if self.is_isolated() {
            return;
        }
        let known = self.failures.entry(server).or_insert((now, failure));
        known.0 = now;
        if failure == Failure::Unconnected {
            known.1 = failure;
        }
    }

    /// Records the result of a probe.
    pub fn record_probe(&mut self, now: Moment, server: u64, is_open: bool) {
        let Phase::Isolated {
            since,
            open,
            successes,
            has_success,
            ..
        } = &mut self.phase
        else {
            if is_open {
                self.record_connection(now);
            } else if self.phase != Phase::Connected {
                // After a success in the same round, its failures show nothing.
                self.record_failure(now, server, Failure::Unconnected);
            }
            return;
        };
        if !is_open {
            return;
        }
        *open = Some(server);
        *has_success = true;
        *successes += 1;
        if *successes >= RETURN_COUNT {
            let since = *since;
            self.phase = Phase::Connected;
            self.quiet_since = now;
            self.next_round = now;
            self.transitions
                .push(Transition::Connected(now.since(since)));
        }
    }

    /// Returns the servers to probe now, if any. The caller passes each result to
    /// [`Reach::record_probe`] and then calls [`Reach::finish_round`].
    pub fn probe(
        &mut self,
        now: Moment,
        servers: &[Candidate<'_>],
        random: &mut impl Rng,
    ) -> Vec<u64> {
        self.forget(now, servers);
        if self.is_probing || now < self.next_round || servers.is_empty() {
            return Vec::new();
        }
        let targets = match self.phase {
            Phase::Connected if !self.is_suspicious(now, servers) => return Vec::new(),
            Phase::Connected => {
                self.phase = Phase::Suspected { since: now };
                let evidence = self.evidence(now);
                self.transitions.push(Transition::Suspected(evidence));
                self.untried(servers, random)
            }
            Phase::Suspected { .. } => self.untried(servers, random),
            Phase::Isolated { open, .. } => {
                self.next_round = now + RETURN_PROBE_INTERVAL;
                let is_listed = |it: &u64| servers.iter().any(|server| server.key == *it);
                let open = open.filter(is_listed);
                let others = servers.iter().filter(|it| Some(it.key) != open);
                let count = RETURN_PROBE_COUNT - usize::from(open.is_some());
                let mut targets = spread(others.copied().collect(), count, random);
                targets.extend(open);
                targets
            }
        };
        self.is_probing = true;
        if targets.is_empty() {
            // All servers have failed.
            self.finish_round(now, servers);
        }
        targets
    }

    /// Ends a round of probes and decides by its results.
    pub fn finish_round(&mut self, now: Moment, servers: &[Candidate<'_>]) {
        if !std::mem::replace(&mut self.is_probing, false) {
            return;
        }
        self.forget(now, servers);
        match &mut self.phase {
            Phase::Connected => {}
            Phase::Suspected { since } => {
                let since = *since;
                let evidence = self.evidence(now);
                let count = match evidence.is_answered {
                    true => PROOF_COUNT_ANSWERED,
                    false => PROOF_COUNT,
                };
                if evidence.failed_servers > 0
                    && evidence.failed_servers >= count.min(servers.len())
                {
                    self.isolate(now, evidence);
                } else if now.since(since) >= FAILURE_WINDOW {
                    self.phase = Phase::Connected;
                    self.next_round = now + SILENCE_LIMIT;
                    self.transitions
                        .push(Transition::Connected(now.since(since)));
                }
            }
            Phase::Isolated {
                open,
                successes,
                has_success,
                ..
            } => {
                if !std::mem::take(has_success) {
                    *open = None;
                    *successes = 0;
                }
            }
        }
    }

    /// Returns the changes since the last call, in order.
    pub fn take_transitions(&mut self) -> Vec<Transition> {
        std::mem::take(&mut self.transitions)
    }

    fn isolate(&mut self, now: Moment, evidence: Evidence) {
        self.phase = Phase::Isolated {
            since: now,
            is_silent: !evidence.is_answered,
            open: None,
            successes: 0,
            has_success: false,
        };
        self.failures.clear();
        self.next_round = now + RETURN_PROBE_INTERVAL;
        self.transitions.push(Transition::Isolated(evidence));
    }

    fn is_suspicious(&self, now: Moment, servers: &[Candidate<'_>]) -> bool {
        let is_silent = self.attempts > 0
            && now >= self.next_silent_round
            && now.since(self.quiet_since) >= SILENCE_LIMIT;
        is_silent || self.has_suspicious_failures(now, SUSPICIOUS_COUNT.min(servers.len()))
    }

    fn has_suspicious_failures(&self, now: Moment, count: usize) -> bool {
        let (excused, since) = &self.excused;
        let is_expired = now.since(*since) >= EXCUSE_TIME;
        let is_new = |it: &u64| is_expired || !excused.contains(it);
        self.failures.len() >= count && self.failures.keys().any(is_new)
    }

    /// Forgets failures that are too old, and those at servers that are not listed any more.
    fn forget(&mut self, now: Moment, servers: &[Candidate<'_>]) {
        self.failures.retain(|key, it| {
            now.since(it.0) <= FAILURE_WINDOW && servers.iter().any(|server| server.key == *key)
        });
    }

    /// Returns servers to probe: those to which no connection has failed yet.
    fn untried(&self, servers: &[Candidate<'_>], random: &mut impl Rng) -> Vec<u64> {
        let is_unconnected = |it: &(Moment, Failure)| it.1 == Failure::Unconnected;
        let untried = servers
            .iter()
            .filter(|it| !self.failures.get(&it.key).is_some_and(is_unconnected));
        spread(untried.copied().collect(), PROBE_COUNT, random)
    }

    fn evidence(&self, now: Moment) -> Evidence {
        let first = self.failures.values().map(|it| it.0).min();
        Evidence {
            failed_servers: self.failures.len(),
            attempts: self.attempts,
            silence: now.since(self.quiet_since),
            is_answered: first.zip(self.heard_at).is_some_and(|it| it.1 >= it.0),
        }
    }
}

/// Returns up to `count` random servers, of as many services and data centres as possible.
fn spread(mut servers: Vec<Candidate<'_>>, count: usize, random: &mut impl Rng) -> Vec<u64> {
    let mut chosen: Vec<Candidate<'_>> = Vec::new();
    while chosen.len() < count && !servers.is_empty() {
        let rank = |it: &Candidate<'_>| {
            let of_service = chosen.iter().filter(|other| other.service == it.service);
            let near = chosen
                .iter()
                .filter(|other| other.data_centre == it.data_centre);
            (of_service.count(), near.count())
        };
        let ranks = servers
            .iter()
            .map(|it| (rank(it), random.random::<u64>()))
            .enumerate();
        let Some((index, _)) = ranks.min_by_key(|it| it.1) else {
            break;
        };
        chosen.push(servers.swap_remove(index));
    }
    chosen.iter().map(|it| it.key).collect()
}
