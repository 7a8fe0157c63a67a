//! Chooses the engines that prefill a prompt and the one that decodes its answer.
//!
//! Short prompts need an engine soon. Long prompts delay every request on the engine that prefills
//! them, since a pass lasts as long as the prefill in it and each decoding request gets one event a
//! pass. A plan weighs two losses: that of the request itself, if its first token is late, and that
//! of the other requests on its engines, whose pauses or first tokens become late. Splitting the
//! prefill of a long prompt over many engines makes every pass a little longer; using few engines
//! makes some passes much longer. Which loses less depends on the load, so both are evaluated.

use std::time::Duration;

use domain::Moment;
use rand::Rng;
use route::Engine;

use crate::Workload;
use crate::servers::State;
use crate::workload::Part;
use crate::workload::Queue;
use crate::workload::Timeliness;

mod candidate;
mod need;

use self::candidate::Candidate;
use self::candidate::FREE_BACKLOG_MS;
pub use self::candidate::Load;
use self::candidate::MEMORY_LOSS;
use self::candidate::TIGHT_PAUSE;
use self::candidate::TRANSIT_MS;
pub use self::need::Need;

/// The loss in decoding a tight request on an engine that has none yet, in the value of a short
/// request: long prefill harms nobody on engines without tight requests. The loss grows with the
/// share of engines that already have some, up to the sum of both constants.
const TIGHT_ENGINE_BASE_COST: f64 = 0.05;
const TIGHT_ENGINE_SHARE_COST: f64 = 0.5;
/// The loss of a second in which no engine is free for short requests, in the value of a short
/// request: those that arrive meanwhile are late.
const NO_FREE_ENGINE_LOSS_PER_S: f64 = 30.0;
/// The loss of a second for which a slot is taken, in the value of a short request, while all slots are: a
/// short request takes one for two to three seconds. It falls with this power of the share that is taken.
const SLOT_LOSS_PER_S: f64 = 1.0;
const SLOT_LOSS_EXPONENT: i32 = 4;
/// The minimum gain of each further engine, in the value of a short request. Parts without a gain
/// only add messages between engines.
const PART_COST: f64 = 0.01;
/// The minimum gain of a memory reservation, in the value of a short request: the cost of the
/// commands that make, renew and release it.
const RESERVATION_COST: f64 = 0.1;
/// The smallest reservation, in tokens.
const MIN_RESERVATION: f64 = 4_096.0;
/// The platform's limit of engines that prefill one prompt in addition to the first one.
const HELPER_LIMIT: usize = 16;
/// Prompts that one engine prefills faster than this are not split, in milliseconds: about a pass
/// of an idle engine.
const MIN_SPLIT_MS: f64 = 60.0;
/// The longest forecast in milliseconds, a day. Parameters of engines without sense give longer ones.
const LONGEST_FORECAST_MS: f64 = 24.0 * 3_600.0 * 1e3;

/// The engines for a request, and the forecast for it.
#[derive(Clone, Debug, PartialEq)]
pub struct Plan {
    /// The parts of the prefill. The first part's engine decodes the answer.
    pub parts: Vec<Part>,
    /// The forecast time until the first token.
    pub first_token: Duration,
    /// Whether its first token is expected in time.
    pub timeliness: Timeliness,
    /// The expected loss, in the value of a short request.
    pub loss: f64,
    /// The part of the loss that other requests bear.
    pub loss_to_others: f64,
    /// The greatest number of requests that one of its engines has scheduled ahead of this one.
    pub ahead: usize,
    /// The part of the forecast that passes before its engines begin the prefill.
    pub wait: Duration,
    /// Whether the engines' memory has room for the prompt and its answer.
    pub has_room: bool,
    /// The load of the first engine.
    pub load: Load,
}

/// An engine and the expected losses if it takes a part.
#[derive(Clone, Copy, Debug)]
struct Ranked<'a> {
    engine: &'a Candidate<'a>,
    /// The loss of the requests that are already on the engine.
    interference: f64,
    /// The total loss, with the jitter.
    score: f64,
}

/// Chooses the plan with the least loss among the engines in `servers`. Engines in `tried` are left
/// out unless there are no others.
pub fn choose<'a>(
    now: Moment,
    engine: &Engine,
    servers: impl Iterator<Item = &'a State>,
    workload: &Workload,
    need: &Need,
    tried: &[u64],
    random: &mut impl Rng,
) -> Option<Plan> {
    let is_open = |it: &&State| it.health.is_usable(now) && it.hold(now, workload).is_zero();
    let usable: Vec<&State> = servers.filter(is_open).collect();
    let is_untried = |it: &&&State| !tried.contains(&it.key());
    let untried: Vec<&State> = usable.iter().filter(is_untried).copied().collect();
    let engines = if untried.is_empty() {
        &usable
    } else {
        &untried
    };
    let candidates: Vec<Candidate<'_>> = engines
        .iter()
        .map(|it| Candidate::new(now, engine, it, workload, random))
        .collect();
    let prefill_ms = engine.prefill_ms(need.prompt_tokens);
    let mut best: Option<Plan> = None;
    let trusted = candidates.iter().filter(|it| !it.is_on_trial).count();
    for parts in part_counts(prefill_ms, trusted.max(1)) {
        let plan = plan_in_parts(now, engine, &candidates, need, prefill_ms, parts);
        let is_better = |plan: &Plan| best.as_ref().is_none_or(|it| plan.loss < it.loss);
        if let Some(plan) = plan.filter(is_better) {
            best = Some(plan);
        }
    }
    best
}

/// Returns the numbers of parts to evaluate.
fn part_counts(prefill_ms: f64, engines: usize) -> impl Iterator<Item = usize> {
    let max_parts = if prefill_ms < MIN_SPLIT_MS {
        1
    } else {
        engines.min(HELPER_LIMIT)
    };
    (1..=max_parts).filter(|it| *it <= 4 || it % 2 == 0)
}

fn plan_in_parts(
    now: Moment,
    engine: &Engine,
    candidates: &[Candidate<'_>],
    need: &Need,
    prefill_ms: f64,
    parts: usize,
) -> Option<Plan> {
    let part_ms = prefill_ms / parts as f64;
    let is_split = parts > 1;
    let part_tokens = need.prompt_tokens as f64 / parts as f64;
    let tight_engine_cost = tight_engine_cost(candidates, need);
    let slot_loss_per_s = slot_loss_per_s(engine, candidates);
    let tight_cost = |it: &Candidate<'_>| {
        if it.has_tight_decoding {
            0.0
        } else {
            tight_engine_cost
        }
    };
    // Nothing is learned of a helper, so that a server that is gone would get one part after the other.
    let permitted = candidates.iter().filter(|it| !is_split || !it.is_on_trial);
    let mut ranked: Vec<Ranked<'_>> = permitted
        .map(|it| {
            let interference =
                it.interference(now, engine, part_ms, part_tokens, is_split, slot_loss_per_s);
            let own = it.own_loss(engine, part_ms, need, is_split);
            Ranked {
                engine: it,
                interference,
                score: interference + own + tight_cost(it) + it.jitter,
            }
        })
        .collect();
    ranked.sort_by(|a, b| a.score.total_cmp(&b.score));
    ranked.truncate(parts);
    let total = (need.prompt_tokens + need.expected_answer_tokens) as f64;
    if is_split {
        // The engine with the most room for the whole request decodes.
        let room =
            |it: &Ranked<'_>| (it.engine.free_tokens - total).min(0.0) - it.engine.decoding as f64;
        let decoder =
            (0..ranked.len()).max_by(|a, b| room(&ranked[*a]).total_cmp(&room(&ranked[*b])))?;
        ranked.swap(0, decoder);
    }
    let first = ranked.first()?.engine;
    let memory = allocate(&ranked, total);
    let max_of = |field: fn(&Candidate<'_>) -> f64| {
        let times = ranked.iter().map(|it| field(it.engine));
        times.fold(0.0, f64::max)
    };
    let pass_ms = first.decoding_pass_ms(engine, need);
    let work_ms = part_ms * max_of(|it| it.slowdown) + TRANSIT_MS;
    let forecast = need.forecast(
        max_of(|it| it.wait_ms) + work_ms,
        max_of(|it| it.late_wait_ms) + work_ms,
    );
    let interference: f64 = ranked.iter().map(|it| it.interference).sum();
    let ahead = ranked.iter().map(|it| match forecast.timeliness {
        Timeliness::OnTime => it.engine.ahead[0],
        Timeliness::Late => it.engine.ahead[1],
    });
    let ahead = ahead.max().unwrap_or_default();
    let parts = ranked.iter().zip(&memory.tokens).map(|(it, tokens)| Part {
        server: it.engine.key,
        prefill_ms: bounded_ms(part_ms) as f32,
        tokens: *tokens as u32,
    });
    let parts: Vec<Part> = parts.collect();
    let reservations = parts.iter().skip(1).filter(|it| it.tokens > 0).count();
    let memory_loss = if memory.is_enough { 0.0 } else { MEMORY_LOSS };
    let mut free_engine_loss = no_free_engine_loss(engine, candidates, &ranked, part_ms);
    if need.prompt_tokens + need.expected_answer_tokens > engine.memory_tokens {
        // No engine can hold it alone. A plan without any room must still have the greater loss.
        free_engine_loss = free_engine_loss.min(MEMORY_LOSS / 2.0);
    }
    let own = need.first_token_loss(forecast.first_token_ms) + need.pause_loss(pass_ms);
    let loss = own + memory_loss + interference + tight_cost(first) + free_engine_loss;
    let cost = PART_COST * parts.len() as f64 + RESERVATION_COST * reservations as f64;
    Some(Plan {
        has_room: memory.is_enough,
        load: first.load(),
        loss: loss + cost,
        loss_to_others: interference + free_engine_loss,
        ahead,
        wait: bounded_duration(forecast.first_token_ms - work_ms),
        parts,
        first_token: bounded_duration(forecast.first_token_ms),
        timeliness: forecast.timeliness,
    })
}

/// Returns a forecast that lies between zero and the longest one, which stands for what is no number.
fn bounded_ms(ms: f64) -> f64 {
    if ms < LONGEST_FORECAST_MS {
        ms.max(0.0)
    } else {
        LONGEST_FORECAST_MS
    }
}

fn bounded_duration(ms: f64) -> Duration {
    Duration::from_secs_f64(bounded_ms(ms) / 1e3)
}

/// Returns the loss in decoding `need` on an engine that has no tight request yet.
fn tight_engine_cost(candidates: &[Candidate<'_>], need: &Need) -> f64 {
    if need.pause.is_none_or(|it| it > TIGHT_PAUSE) {
        return 0.0;
    }
    let tight = candidates.iter().filter(|it| it.has_tight_decoding).count();
    let share = tight as f64 / candidates.len().max(1) as f64;
    TIGHT_ENGINE_BASE_COST + TIGHT_ENGINE_SHARE_COST * share
}

/// Returns the loss of a second for which a slot is taken longer.
fn slot_loss_per_s(engine: &Engine, candidates: &[Candidate<'_>]) -> f64 {
    let placed = candidates.iter().map(|it| it.queue.map_or(0, Queue::len));
    let taken: usize = placed.map(|it| it.min(engine.slots)).sum();
    let slots = engine.slots.saturating_mul(candidates.len());
    let share = taken as f64 / slots.max(1) as f64;
    SLOT_LOSS_PER_S * share.powi(SLOT_LOSS_EXPONENT)
}

/// Returns the loss of short requests that arrive while the engines of a plan prefill, if no other
/// engine is free for them.
fn no_free_engine_loss(
    engine: &Engine,
    candidates: &[Candidate<'_>],
    ranked: &[Ranked<'_>],
    part_ms: f64,
) -> f64 {
    let free = candidates.iter().filter(|it| it.is_free(engine)).count();
    let used = ranked.iter().filter(|it| it.engine.is_free(engine)).count();
    if part_ms < FREE_BACKLOG_MS || used == 0 || used < free {
        return 0.0;
    }
    NO_FREE_ENGINE_LOSS_PER_S * part_ms / 1e3
}

/// The tokens of a prompt and its answer that each engine of a plan holds.
struct Allocation {
    tokens: Vec<f64>,
    /// Whether all tokens have room.
    is_enough: bool,
}

/// Distributes tokens over the memory of engines. The first engine holds as much as it can, then
/// the others in the order of their free memory, so that few reservations are needed.
fn allocate(ranked: &[Ranked<'_>], total: f64) -> Allocation {
    let mut tokens = vec![0.0; ranked.len()];
    let mut remaining = total;
    let mut order: Vec<usize> = (1..ranked.len()).collect();
    let free = |it: usize| ranked[it].engine.free_tokens.max(0.0);
    order.sort_by(|a, b| free(*b).total_cmp(&free(*a)));
    for index in std::iter::once(0).chain(order) {
        let taken = remaining.min(free(index)).floor();
        // The cost of a small reservation exceeds its gain.
        if index > 0 && taken < MIN_RESERVATION.min(remaining) {
            continue;
        }
        tokens[index] = taken;
        remaining -= taken;
    }
    let is_enough = remaining < 1.0;
    if !is_enough {
        tokens.fill(0.0);
        tokens[0] = total;
    }
    Allocation { tokens, is_enough }
}
