//! Detects a server that has been silent for so long that another one is more likely to answer.
//!
//! An engine may stop responding, or stop serving one request ([`placement::stall`]), and a plain
//! server may drop single requests while it looks healthy. A request that may be retried is then sent
//! to another server, if the retry budget permits. Any other request waits until its deadline, since
//! silence does not prove that the request did not run.

use std::time::Duration;

use async_io::Timer;
use domain::Moment;
use h1::Error;
use placement::stall::Attempt;
use placement::stall::Observer;
use placement::stall::Progress;
use placement::stall::Stall;
use placement::workload::Timeliness;
use route::Engine;
use route::Kind;

use crate::Node;
use crate::exchange::Exchange;
use crate::registration::Registration;
use crate::target::Target;

/// The silence allowed to an engine beyond the time for its backlog. Callers disconnect after 2 s.
const ENGINE_SILENCE: Duration = Duration::from_millis(1_100);
/// Engines take up to this multiple of the forecast time.
const FORECAST_FACTOR: f64 = 1.5;
/// The silence allowed to a plain server, as a multiple of its usual latency.
const LATENCY_FACTOR: u32 = 8;
/// The minimum silence before a plain server counts as stalled: the longest time that a request
/// takes by the users' specification.
const PLAIN_SILENCE: Duration = Duration::from_millis(250);
/// The time after which a measured latency expires.
const LATENCY_LIFETIME: Duration = Duration::from_secs(10);
/// The silence allowed to any server once this entry reaches none and hears from none.
const ISOLATED_SILENCE: Duration = Duration::from_millis(500);
/// The interval between two checks.
const CHECK_INTERVAL: Duration = Duration::from_millis(100);

/// Watches one attempt for a server that stays silent for too long.
#[derive(Clone, Debug)]
pub struct Watchdog {
    /// The server's key.
    server_key: u64,
    /// The server's id, for logs.
    server_id: String,
    service: String,
    mode: Mode,
    /// The request's id, for logs.
    request: String,
    /// The engine's figures.
    engine: Option<Engine>,
    /// When the request was sent.
    sent_at: Moment,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Mode {
    /// The request may not be retried, so silence has no effect.
    Never,
    /// A plain server.
    Plain,
    /// An engine, with the forecast time to its first event.
    Engine(Duration),
}

impl Watchdog {
    /// Returns the watchdog of an attempt.
    pub fn of(exchange: &Exchange, target: &Target, sent_at: Moment) -> Self {
        // `attempts` already includes this attempt.
        let may_retry = exchange.attempts < exchange.route.attempts;
        let mode = match exchange.route.kind {
            Kind::Idempotent if may_retry => Mode::Plain,
            Kind::Resumable if may_retry => Mode::Engine(target.first_token),
            _ => Mode::Never,
        };
        Self {
            server_key: target.server.key(),
            server_id: target.server.id.clone(),
            service: exchange.service.name.clone(),
            mode,
            request: exchange.metadata.id.as_deref().unwrap_or("-").to_owned(),
            engine: exchange.service.engine.clone(),
            sent_at,
        }
    }

    /// Completes with the error of the attempt once the server has been silent for too long, or no
    /// longer serves the request, and the retry budget permits a retry.
    pub async fn expired(&self, node: &Node, registration: &Registration<'_>) -> Error {
        if self.mode == Mode::Never {
            return std::future::pending().await;
        }
        let progress = &registration.progress;
        let started = progress.get();
        let mut observer = self.observer(registration);
        loop {
            Timer::after(CHECK_INTERVAL).await;
            let now = clock::now();
            let hears_nothing = node.state.borrow().reach.is_silent();
            let limit = if hears_nothing {
                ISOLATED_SILENCE
            } else {
                self.limit(node, now, progress.get() == started)
            };
            let silence = now.since(self.last_activity(node).max(progress.get()));
            let observed = observer.as_mut().zip(self.engine.as_ref());
            let stall = observed.and_then(|(observer, engine)| {
                let workload = &node.state.borrow().workload;
                observer.observe(now, engine, workload, registration.stage())
            });
            let is_silent = silence > limit;
            let is_over = is_silent || stall.as_ref().is_some_and(Stall::is_due);
            if !is_over || !node.has_retry(now, &self.service) {
                continue;
            }
            if let Some(stall) = stall.filter(|_| !hears_nothing) {
                if !is_silent {
                    self.record_stall(node, &stall);
                    return Error::Stalled;
                }
                // The engine serves requests of other entries, but this one may not reach it.
                let stall = Stall {
                    silence,
                    limit,
                    ..stall
                };
                self.record_stall(node, &stall);
                return Error::Io(std::io::ErrorKind::TimedOut.into());
            }
            log::info!(target: "server", quiet_ms = silence.as_millis() as u64, limit_ms = limit.as_millis() as u64, server = self.server_id.as_str(); "server silent for too long; sending the request to another server");
            if !node.isolation.is_set() {
                registration.overdue(clock::now());
            }
            return Error::Io(std::io::ErrorKind::TimedOut.into());
        }
    }

    /// Returns the observer for a stall; `None` at a plain service.
    fn observer(&self, registration: &Registration<'_>) -> Option<Observer> {
        let Mode::Engine(forecast) = self.mode else {
            return None;
        };
        Some(Observer::new(Attempt {
            job: registration.job,
            engine_key: self.server_key,
            sent_at: self.sent_at,
            forecast,
        }))
    }

    /// Logs and counts a request that its engine no longer serves.
    fn record_stall(&self, node: &Node, stall: &Stall) {
        let stage = match stall.progress {
            Progress::NotBegun => "not_begun",
            Progress::Awaiting(_) | Progress::PassingOn => "begun",
        };
        node.metrics.record_stall(stage);
        let witnesses = stall.witnesses.iter();
        let witnesses: Vec<String> = witnesses
            .map(|it| format!("{:x}:{}", it.entry.0, it.number))
            .collect();
        log::info!(
            target: "stall",
            request = self.request.as_str(),
            server = self.server_id.as_str(),
            stage,
            quiet_ms = stall.silence.as_millis() as u64,
            limit_ms = stall.limit.as_millis() as u64,
            begun_since = witnesses.join(",");
            "the engine serves later requests but not this one; sending it to another engine"
        );
    }

    /// Returns when the server last sent anything. An engine that sends events of other requests
    /// is only busy, but a plain server may drop one request while it answers others.
    fn last_activity(&self, node: &Node) -> Moment {
        match self.mode {
            Mode::Plain | Mode::Never => Moment::default(),
            Mode::Engine(_) => {
                let mut state = node.state.borrow_mut();
                let server_state = state.servers.get_mut(self.server_key);
                server_state
                    .and_then(|it| it.last_activity())
                    .unwrap_or_default()
            }
        }
    }

    fn limit(&self, node: &Node, now: Moment, is_first: bool) -> Duration {
        let mut state = node.state.borrow_mut();
        let first = match self.mode {
            Mode::Engine(first) if is_first => first.mul_f64(FORECAST_FACTOR),
            Mode::Engine(_) => Duration::ZERO,
            Mode::Plain | Mode::Never => {
                let server_state = state.servers.get_mut(self.server_key);
                let latency = server_state.and_then(|it| it.recent_latency(now, LATENCY_LIFETIME));
                return PLAIN_SILENCE.max(latency.unwrap_or_default() * LATENCY_FACTOR);
            }
        };
        let queue = state.workload.queue(self.server_key);
        let backlog_ms = queue.map_or(0.0, |it| it.backlog_ms(now, Timeliness::Late));
        ENGINE_SILENCE + first + Duration::from_secs_f64(backlog_ms * FORECAST_FACTOR / 1e3)
    }
}
