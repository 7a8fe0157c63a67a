//! Observes what a request has cost once its answer ended.

use std::time::Duration;

use cost::Extent;
use cost::Observation;
use domain::Moment;
use placement::plain;

use crate::Node;
use crate::exchange::Exchange;
use crate::metrics::Basis;
use crate::target::Target;

/// Records what a request has cost that was sent to its last server at `sent_at` and served to its end. The
/// passes of a resumed answer are those at all its servers.
pub fn record(node: &Node, exchange: &mut Exchange, target: &Target, sent_at: Moment) {
    let now = clock::now();
    let Some(request) = exchange.cost_request() else {
        return;
    };
    let cost = match &exchange.service.engine {
        Some(_) => passes_cost(exchange),
        None => {
            let elapsed = now.since(sent_at);
            let Some(service_time) = service_time(node, now, exchange, target, elapsed) else {
                return;
            };
            service_time.as_secs_f64() * 1e3
        }
    };
    let forecast = match target.estimate {
        Some(estimate) => Some((Basis::Observed, estimate.mean)),
        None => {
            let declared = exchange.declared_answer_tokens();
            declared.map(|it| (Basis::Declared, it as f64))
        }
    };
    if let Some((basis, expected)) = forecast.filter(|it| it.1 > 0.0 && cost > 0.0) {
        let ratio = cost.min(request.limit) / expected;
        node.metrics
            .record_forecast(&exchange.route.name, basis, ratio);
    }
    observe(node, exchange, cost, Extent::Whole);
}

/// Records what the answer of an engine has cost if it has begun and was not recorded: one that was
/// truncated, or whose last part another entry had served. The task of its last attempt may have been dropped.
/// A call to a plain service is not recorded, since its answer begins when it is complete.
pub fn record_rest(node: &Node, exchange: &mut Exchange, extent: Extent) {
    if exchange.is_observed || exchange.service.engine.is_none() || exchange.passes == 0 {
        return;
    }
    observe(node, exchange, passes_cost(exchange), extent);
}

/// Returns the tokens of an engine's answer. Each pass sends one event.
fn passes_cost(exchange: &Exchange) -> f64 {
    let engine = exchange.service.engine.as_ref();
    exchange.passes as f64 * engine.map_or(0.0, |it| f64::from(it.steps_per_pass))
}

fn observe(node: &Node, exchange: &mut Exchange, cost: f64, extent: Extent) {
    let Some(request) = exchange.cost_request() else {
        return;
    };
    let prompt = exchange.metadata.prompt;
    let prompt = prompt.filter(|_| exchange.service.engine.is_some());
    let small = |it: u64| u32::try_from(it).unwrap_or(u32::MAX);
    let observation = Observation {
        service: request.service.to_owned(),
        route: request.route.to_owned(),
        organisation: request.organisation.to_owned(),
        prompt_tokens: prompt.map_or(0, |it| small(it.tokens)),
        expected_tokens: request.hint.map_or(0, |it| small(it as u64)),
        limit: request.limit as f32,
        cost: cost.min(request.limit) as f32,
        extent,
    };
    exchange.is_observed = true;
    let mut state = node.state.borrow_mut();
    if !state.costs.record(observation, &mut rand::rng()) {
        return;
    }
    node.metrics.record_costs(1, state.costs.estimator.len());
    if extent == Extent::Truncated {
        node.metrics.cost_bounds.inc();
    }
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
