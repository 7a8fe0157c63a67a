//! When a server has been quiet for so long that another one is more likely to answer.
//!
//! An engine may go dark, and a plain server may swallow single requests while it looks healthy. A request that may be
//! repeated is then moved, if the allowance of repeats permits; any other one waits to the end, since
//! silence proves nothing.

use std::cell::Cell;
use std::time::Duration;

use async_io::Timer;
use domain::Moment;
use placement::workload::Timeliness;
use route::Kind;

use crate::Node;
use crate::exchange::Exchange;
use crate::target::Target;

/// The silence of an engine beyond what it has to do. Callers leave after 2 s.
const ENGINE_QUIET: Duration = Duration::from_millis(1_100);
/// Engines take up to this many times as long as forecast.
const FORECAST_FACTOR: f64 = 1.5;
/// The silence of a plain server, in multiples of its usual latency.
const LATENCY_FACTOR: u32 = 8;
/// The shortest silence of a plain server that counts: the longest work of the users' sheets.
const PLAIN_QUIET: Duration = Duration::from_millis(250);
/// The time for which a latency counts.
const LATENCY_KEPT: Duration = Duration::from_secs(10);
/// The time between two looks.
const CHECK: Duration = Duration::from_millis(100);

/// The silence that one attempt may meet.
#[derive(Clone, Debug)]
pub struct Quiet {
    server: u64,
    /// The server's id, for logs.
    id: String,
    service: String,
    kind: Watch,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Watch {
    /// Silence proves nothing.
    Never,
    /// A plain server.
    Plain,
    /// An engine, and when its first event is expected.
    Engine(Duration),
}

impl Quiet {
    /// Returns the silence that an attempt may meet.
    pub fn of(exchange: &Exchange, target: &Target) -> Self {
        // This attempt counts already.
        let may_move = exchange.attempts < exchange.route.attempts;
        let kind = match exchange.route.kind {
            Kind::Idempotent if may_move => Watch::Plain,
            Kind::Resumable if may_move => Watch::Engine(target.first_token),
            _ => Watch::Never,
        };
        Self {
            server: target.server.key(),
            id: target.server.id.clone(),
            service: exchange.service.name.clone(),
            kind,
        }
    }

    /// Completes once the server has been quiet for too long since `progress`.
    pub async fn passed(&self, node: &Node, progress: &Cell<Moment>) {
        if self.kind == Watch::Never {
            return std::future::pending().await;
        }
        let began = progress.get();
        loop {
            Timer::after(CHECK).await;
            let now = clock::now();
            let limit = self.limit(node, now, progress.get() == began);
            let quiet = now.since(self.heard(node).max(progress.get()));
            if quiet > limit && self.may_repeat(node, now) {
                log::info!(target: "server", quiet_ms = quiet.as_millis() as u64, limit_ms = limit.as_millis() as u64, server = self.id.as_str(); "quiet for too long, the request moves on");
                return;
            }
        }
    }

    /// Returns when the server was last heard. An engine that writes for others is only busy; a
    /// plain server may swallow single requests while it answers others.
    fn heard(&self, node: &Node) -> Moment {
        match self.kind {
            Watch::Plain | Watch::Never => Moment::default(),
            Watch::Engine(_) => {
                let mut state = node.state.borrow_mut();
                let known = state.servers.get_mut(self.server);
                known.and_then(|it| it.last_activity()).unwrap_or_default()
            }
        }
    }

    fn limit(&self, node: &Node, now: Moment, is_first: bool) -> Duration {
        let mut state = node.state.borrow_mut();
        let first = match self.kind {
            Watch::Engine(first) if is_first => first.mul_f64(FORECAST_FACTOR),
            Watch::Engine(_) => Duration::ZERO,
            Watch::Plain | Watch::Never => {
                let known = state.servers.get_mut(self.server);
                let latency = known.and_then(|it| it.recent_latency(now, LATENCY_KEPT));
                return PLAIN_QUIET.max(latency.unwrap_or_default() * LATENCY_FACTOR);
            }
        };
        let queue = state.board.queue(self.server);
        let backlog_ms = queue.map_or(0.0, |it| it.backlog_ms(now, Timeliness::Late));
        ENGINE_QUIET + first + Duration::from_secs_f64(backlog_ms * FORECAST_FACTOR / 1e3)
    }

    fn may_repeat(&self, node: &Node, now: Moment) -> bool {
        let terms = node.settings().allowance;
        let mut state = node.state.borrow_mut();
        let (allowance, entries) = state.allowance(now, &terms, &self.service);
        allowance.has_left(now, &terms, entries)
    }
}
