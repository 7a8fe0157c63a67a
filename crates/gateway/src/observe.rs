//! Observes what a request has cost once it was served to its end.

use std::time::Duration;

use cost::Observation;
use domain::Moment;
use placement::plain;

use crate::Node;
use crate::exchange::Exchange;
use crate::metrics::Basis;
use crate::target::Target;

/// Records what a request has cost that was sent at `sent_at` and served to its end. Those that failed, were
/// cut off or were resumed must not be recorded: how much the rest would have taken, or did take elsewhere,
/// is not known.
pub fn record(node: &Node, exchange: &Exchange, target: &Target, sent_at: Moment) {
    let now = clock::now();
    let Some(request) = exchange.cost_request() else {
        return;
    };
    let prompt = exchange.metadata.prompt;
    let prompt = prompt.filter(|_| exchange.service.engine.is_some());
    let cost = match &exchange.service.engine {
        // Each pass of an engine sends one event.
        Some(engine) => exchange.ending.event_count as f64 * f64::from(engine.steps_per_pass),
        None => {
            let elapsed = now.since(sent_at);
            let Some(service_time) = service_time(node, now, exchange, target, elapsed) else {
                return;
            };
            service_time.as_secs_f64() * 1e3
        }
    };
    let cost = cost.min(request.limit);
    let forecast = match target.estimate {
        Some(estimate) => Some((Basis::Observed, estimate.mean)),
        None => {
            let declared = exchange.declared_answer_tokens();
            declared.map(|it| (Basis::Declared, it as f64))
        }
    };
    if let Some((basis, expected)) = forecast.filter(|it| it.1 > 0.0) {
        node.metrics
            .record_forecast(&exchange.route.name, basis, cost / expected);
    }
    let small = |it: u64| u32::try_from(it).unwrap_or(u32::MAX);
    let observation = Observation {
        service: request.service.to_owned(),
        route: request.route.to_owned(),
        organisation: request.organisation.to_owned(),
        prompt_tokens: prompt.map_or(0, |it| small(it.tokens)),
        expected_tokens: request.hint.map_or(0, |it| small(it as u64)),
        limit: request.limit as f32,
        cost: cost as f32,
    };
    let mut state = node.state.borrow_mut();
    state.costs.record(observation, &mut rand::rng());
    node.metrics.record_costs(1, state.costs.estimator.len());
}

/// Returns the service time of a call at a server with the usual pace; `None` if it may have waited at the
/// server. Records the server's pace.
fn service_time(
    node: &Node,
    now: Moment,
    exchange: &Exchange,
    target: &Target,
    elapsed: Duration,
) -> Option<Duration> {
    if target.load.placed >= target.server.slots {
        return None;
    }
    let mut state = node.state.borrow_mut();
    let state = &mut *state;
    let fastest = plain::fastest_pace(now, state.servers.usable(now, &exchange.service.name));
    let server_state = state.servers.get_mut(target.server.key())?;
    if let Some(estimate) = target.estimate {
        server_state.record_pace(now, elapsed.as_secs_f64() * 1e3 / estimate.mean);
    }
    Some(elapsed.div_f64(plain::pace(now, server_state, fastest)))
}
