//! Where a prompt is read and its answer written.
//!
//! Short prompts need an engine soon; long ones hold up everybody on the engine that reads them,
//! since a pass lasts as long as what is read in it, and each writer gets one event a pass. A plan
//! therefore weighs two losses: that of the request itself, if its first token is late, and that of
//! the requests beside it, whose pauses or first tokens become late. Reading a long prompt in parts
//! on many engines makes every pass a little longer; reading it on few makes some passes much
//! longer. Which loses less depends on who is there, so both are tried.

use std::time::Duration;

use domain::Moment;
use rand::Rng;
use rand::RngExt;
use route::Engine;

use crate::Workload;
use crate::servers::State;
use crate::workload::Part;
use crate::workload::Queue;
use crate::workload::Task;
use crate::workload::Timeliness;

/// The share of a request's value that is lost if it is late; from the users' sheets.
const LATE_LOSS: f64 = 0.75;
/// Forecasts of first tokens are off by about this share of the target: one that is forecast just
/// at its target is late half of the time.
const FIRST_TOKEN_SPREAD: f64 = 0.15;
/// A request counts as one that can be in time up to this part of its target: beyond it, it is late
/// in nine of ten cases.
const STANDING_MARGIN: f64 = 1.3;
/// Forecasts of pauses are off by about this share of the limit.
const PAUSE_SPREAD: f64 = 0.1;
/// Pauses up to this length are tight: a prompt of usual length that is read beside such a writer
/// makes it late.
const TIGHT_PAUSE: Duration = Duration::from_millis(400);
/// The loss in writing for a tight request on an engine that has none yet, in the value of a short
/// request: while the others have them all, nobody is harmed by long reading there. It grows with
/// the share of engines that already have some, up to the sum of both.
const FIRST_OPENING_COST: f64 = 0.05;
const LAST_OPENING_COST: f64 = 0.5;
/// Engines that have less to read than this take a short request in time, in milliseconds.
const OPEN_BACKLOG_MS: f64 = 120.0;
/// The loss in leaving no engine open for a second, in the value of a short request: those that come
/// in it are late.
const SHUT_LOSS_PER_S: f64 = 30.0;
/// What each further engine must gain, in the value of a short request: parts that gain nothing
/// only add messages between engines.
const PART_COST: f64 = 0.01;
/// What a reservation of memory must gain, in the value of a short request: the orders that make,
/// renew and release it.
const RESERVATION_COST: f64 = 0.1;
/// The smallest reservation, in tokens.
const SMALLEST_RESERVATION: f64 = 4_096.0;
/// The loss of a full target's length of waiting, in the value of a short request. It breaks ties
/// in favour of the sooner answer.
const WAIT_COST: f64 = 0.05;
/// The loss in a prompt that the engine's memory can't hold beside the rest, in the value of a
/// short request: the newest request there is thrown out and read again.
const MEMORY_LOSS: f64 = 5.0;
/// Passes after which one of an engine's full slots is free again: the 32 events of a usual answer
/// over its 16 slots.
const SLOT_PASSES: f64 = 2.0;
/// The part of an engine's memory that is planned with; the rest is for answers that are longer
/// than expected.
const MEMORY_PART: f64 = 0.92;
/// Engines beside the first one that read one prompt; from the platform's pages.
const HELPER_LIMIT: usize = 16;
/// Prompts that one engine reads faster than this are not read in parts, in milliseconds: about a
/// pass of an idle engine.
const WHOLE_MS: f64 = 60.0;

/// What a request needs.
#[derive(Clone, Debug, PartialEq)]
pub struct Need {
    /// Tokens of its prompt.
    pub prompt_tokens: u64,
    /// Tokens of its answer, as expected.
    pub output_tokens: u64,
    /// The time left until its first token is late.
    pub target: Duration,
    /// The time that it had for its first token when it arrived.
    pub initial_target: Duration,
    /// The longest pause between two events that is still on time.
    pub pause: Option<Duration>,
    /// What it is worth to its caller, a short request being worth 1.
    pub value: f64,
}

/// Where a request goes.
#[derive(Clone, Debug, PartialEq)]
pub struct Plan {
    /// The engines that read. The first one writes the answer.
    pub parts: Vec<Part>,
    /// The time until the first token, as forecast.
    pub first_token: Duration,
    /// Whether it can still be in time.
    pub timeliness: Timeliness,
    /// What is expected to be lost, in the value of a short request.
    pub loss: f64,
    /// Whether the engines' memory has room for the prompt and its answer.
    pub has_room: bool,
    /// What was known of the first engine.
    pub load: Load,
}

/// What was known of an engine when it was chosen, for logs.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Load {
    /// Requests that it wrote for.
    pub decoding: usize,
    /// Requests placed on it.
    pub placed: usize,
    /// The length of its passes without reading, in milliseconds.
    pub pass_ms: f64,
    /// What it had still to read, in milliseconds.
    pub backlog_ms: f64,
}

/// An engine as a candidate.
#[derive(Clone, Copy, Debug)]
struct Candidate<'a> {
    key: u64,
    queue: Option<&'a Queue>,
    pace: f64,
    /// The time until it would begin to read for a request that can be in time, in milliseconds.
    wait_ms: f64,
    /// The same for one that can't.
    late_wait_ms: f64,
    /// What it has still to read, in milliseconds, without what yields.
    backlog_ms: f64,
    /// The length of a pass without reading, in milliseconds.
    pass_ms: f64,
    decoding: usize,
    /// Whether it writes, or will write, for somebody whose pauses must be short.
    has_tight_decoding: bool,
    free_tokens: f64,
    /// Breaks ties between engines that are alike.
    jitter: f64,
}

/// An engine and what a part would lose on it.
#[derive(Clone, Copy, Debug)]
struct Ranked<'a> {
    engine: &'a Candidate<'a>,
    /// What the requests that are already there lose.
    harm: f64,
    /// What is lost in all.
    rank: f64,
}

/// Chooses the plan that loses least, among engines that `servers` yields. Those in `tried` are
/// left out, unless there are no others.
pub fn choose<'a>(
    now: Moment,
    engine: &Engine,
    servers: impl Iterator<Item = &'a State>,
    workload: &Workload,
    need: &Need,
    tried: &[u64],
    random: &mut impl Rng,
) -> Option<Plan> {
    let usable: Vec<&State> = servers.filter(|it| it.health.is_usable(now)).collect();
    let is_fresh = |it: &&&State| !tried.contains(&it.key());
    let fresh: Vec<&State> = usable.iter().filter(is_fresh).copied().collect();
    let engines = if fresh.is_empty() { &usable } else { &fresh };
    let candidates: Vec<Candidate<'_>> = engines
        .iter()
        .map(|it| Candidate::new(now, engine, it, workload, random))
        .collect();
    let prefill_ms = engine.prefill_ms(need.prompt_tokens);
    let mut best: Option<Plan> = None;
    for parts in part_counts(prefill_ms, candidates.len()) {
        let plan = plan_in_parts(now, engine, &candidates, need, prefill_ms, parts);
        let is_better = |plan: &Plan| best.as_ref().is_none_or(|it| plan.loss < it.loss);
        if let Some(plan) = plan.filter(is_better) {
            best = Some(plan);
        }
    }
    best
}

/// Returns the numbers of parts that are tried.
fn part_counts(prefill_ms: f64, engines: usize) -> impl Iterator<Item = usize> {
    let most = if prefill_ms < WHOLE_MS {
        1
    } else {
        engines.min(HELPER_LIMIT)
    };
    (1..=most).filter(|it| *it <= 4 || it % 2 == 0)
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
    let opening_cost = opening_cost(candidates, need);
    let opening = |it: &Candidate<'_>| {
        if it.has_tight_decoding {
            0.0
        } else {
            opening_cost
        }
    };
    let mut ranked: Vec<Ranked<'_>> = candidates
        .iter()
        .map(|it| {
            let harm = it.harm(now, engine, part_ms, part_tokens, is_split);
            let own = it.own_loss(engine, part_ms, need, is_split);
            Ranked {
                engine: it,
                harm,
                rank: harm + own + opening(it) + it.jitter,
            }
        })
        .collect();
    ranked.sort_by(|a, b| a.rank.total_cmp(&b.rank));
    ranked.truncate(parts);
    let held = (need.prompt_tokens + need.output_tokens) as f64;
    if is_split {
        // The engine that writes is the one that has most room for it.
        let room =
            |it: &Ranked<'_>| (it.engine.free_tokens - held).min(0.0) - it.engine.decoding as f64;
        let writer =
            (0..ranked.len()).max_by(|a, b| room(&ranked[*a]).total_cmp(&room(&ranked[*b])))?;
        ranked.swap(0, writer);
    }
    let first = ranked.first()?.engine;
    let held = holdings(&ranked, held);
    let longest = |it: fn(&Candidate<'_>) -> f64| {
        let times = ranked.iter().map(|ranked| it(ranked.engine));
        times.fold(0.0, f64::max)
    };
    let pass_ms = first.writing_pass_ms(engine, need);
    let working = part_ms * longest(|it| it.pace) + pass_ms;
    let forecast = need.forecast(
        longest(|it| it.wait_ms) + working,
        longest(|it| it.late_wait_ms) + working,
    );
    let harm: f64 = ranked.iter().map(|it| it.harm).sum();
    let parts = ranked.iter().zip(&held.tokens).map(|(it, tokens)| Part {
        server: it.engine.key,
        prefill_ms: part_ms as f32,
        tokens: *tokens as u32,
    });
    let parts: Vec<Part> = parts.collect();
    let reservations = parts.iter().skip(1).filter(|it| it.tokens > 0).count();
    let memory_loss = if held.is_enough { 0.0 } else { MEMORY_LOSS };
    let mut shut = shut_loss(engine, candidates, &ranked, part_ms);
    if need.prompt_tokens + need.output_tokens > engine.memory_tokens {
        // No single engine holds it: having no room at all must stay the worse.
        shut = shut.min(MEMORY_LOSS / 2.0);
    }
    let own = need.loss(forecast.first_token_ms) + need.pause_loss(pass_ms);
    let loss = own + memory_loss + harm + opening(first) + shut;
    let cost = PART_COST * parts.len() as f64 + RESERVATION_COST * reservations as f64;
    Some(Plan {
        has_room: held.is_enough,
        load: first.load(),
        loss: loss + cost,
        parts,
        first_token: Duration::from_secs_f64(forecast.first_token_ms / 1e3),
        timeliness: forecast.timeliness,
    })
}

/// Returns the loss in writing for `need` on an engine that has no tight writer yet.
fn opening_cost(candidates: &[Candidate<'_>], need: &Need) -> f64 {
    if need.pause.is_none_or(|it| it > TIGHT_PAUSE) {
        return 0.0;
    }
    let open = candidates.iter().filter(|it| it.has_tight_decoding).count();
    let share = open as f64 / candidates.len().max(1) as f64;
    FIRST_OPENING_COST + LAST_OPENING_COST * share
}

/// Returns what short requests lose that come while the engines of a plan read, if no other engine
/// is open for them.
fn shut_loss(
    engine: &Engine,
    candidates: &[Candidate<'_>],
    ranked: &[Ranked<'_>],
    part_ms: f64,
) -> f64 {
    let open = candidates.iter().filter(|it| it.is_open(engine)).count();
    let taken = ranked.iter().filter(|it| it.engine.is_open(engine)).count();
    if part_ms < OPEN_BACKLOG_MS || taken == 0 || taken < open {
        return 0.0;
    }
    SHUT_LOSS_PER_S * part_ms / 1e3
}

/// What each engine of a plan holds of a prompt and its answer.
struct Holdings {
    tokens: Vec<f64>,
    /// Whether there is room for everything.
    is_enough: bool,
}

/// Spreads tokens over the memory of engines. The first one holds what it can, and the roomiest of
/// the others the rest, so that few reservations are needed.
fn holdings(ranked: &[Ranked<'_>], total: f64) -> Holdings {
    let mut tokens = vec![0.0; ranked.len()];
    let mut left = total;
    let mut order: Vec<usize> = (1..ranked.len()).collect();
    let free = |it: usize| ranked[it].engine.free_tokens.max(0.0);
    order.sort_by(|a, b| free(*b).total_cmp(&free(*a)));
    for index in std::iter::once(0).chain(order) {
        let taken = left.min(free(index)).floor();
        // Small reservations are not worth their order.
        if index > 0 && taken < SMALLEST_RESERVATION.min(left) {
            continue;
        }
        tokens[index] = taken;
        left -= taken;
    }
    let is_enough = left < 1.0;
    if !is_enough {
        tokens.fill(0.0);
        tokens[0] = total;
    }
    Holdings { tokens, is_enough }
}

/// When the first token is expected.
struct Forecast {
    first_token_ms: f64,
    timeliness: Timeliness,
}

impl Need {
    /// Returns when the first token is expected, given the time that it takes if the request goes
    /// ahead of those that will be late, and if it is one of them.
    fn forecast(&self, ahead_ms: f64, behind_ms: f64) -> Forecast {
        let target_ms = self.target.as_secs_f64() * 1e3;
        if ahead_ms <= target_ms * STANDING_MARGIN {
            return Forecast {
                first_token_ms: ahead_ms,
                timeliness: Timeliness::OnTime,
            };
        }
        Forecast {
            first_token_ms: behind_ms,
            timeliness: Timeliness::Late,
        }
    }

    /// Returns what this request loses by its own pauses on an engine whose passes are this long.
    fn pause_loss(&self, pass_ms: f64) -> f64 {
        let late = self.pause.map_or(0.0, |limit| {
            lateness(pass_ms, limit.as_secs_f64() * 1e3, PAUSE_SPREAD)
        });
        LATE_LOSS * self.value * late
    }

    /// Returns what this request loses if its first token comes after `first_token_ms`.
    fn loss(&self, first_token_ms: f64) -> f64 {
        let target_ms = self.target.as_secs_f64() * 1e3;
        LATE_LOSS * self.value * lateness(first_token_ms, target_ms, FIRST_TOKEN_SPREAD)
            + WAIT_COST * first_token_ms / (self.initial_target.as_secs_f64() * 1e3).max(1.0)
    }
}

impl<'a> Candidate<'a> {
    fn new(
        now: Moment,
        engine: &Engine,
        known: &State,
        workload: &'a Workload,
        random: &mut impl Rng,
    ) -> Self {
        let key = known.key();
        let queue = workload.queue(key);
        let (decoding, _) = queue.map_or((0, 0), Queue::decoding);
        let pace = workload.slowdowns().factor(now, key);
        let pass_ms = queue.map_or(0.0, |it| it.pass_ms(engine)) * pace;
        let memory = engine.memory_tokens as f64 * MEMORY_PART;
        let tight_ms = TIGHT_PAUSE.as_secs_f64() * 1e3;
        let is_tight = |it: &Task| !it.is_helper && it.pause_ms.is_some_and(|it| it <= tight_ms);
        let tasks = queue.map(Queue::tasks).unwrap_or_default();
        let backlog_ms = |timeliness| queue.map_or(0.0, |it| it.backlog_ms(now, timeliness)) * pace;
        let wait_ms = |timeliness| {
            let ahead = queue.map_or(0, |it| it.ahead_of(timeliness).count());
            let over = (ahead + 1).saturating_sub(engine.slots);
            // A request that arrives in a pass waits for its end, half of it on average.
            pass_ms / 2.0 + backlog_ms(timeliness) + pass_ms * SLOT_PASSES * over as f64
        };
        Self {
            key,
            queue,
            pace,
            wait_ms: wait_ms(Timeliness::OnTime),
            late_wait_ms: wait_ms(Timeliness::Late),
            backlog_ms: backlog_ms(Timeliness::OnTime),
            pass_ms,
            decoding,
            has_tight_decoding: tasks.iter().any(is_tight),
            free_tokens: memory - queue.map_or(0, Queue::tokens) as f64,
            jitter: random.random::<f64>() * 1e-3,
        }
    }

    /// Tells whether a short request would be in time here.
    fn is_open(&self, engine: &Engine) -> bool {
        let placed = self.queue.map_or(0, Queue::len);
        self.backlog_ms < OPEN_BACKLOG_MS && placed < engine.slots
    }

    fn load(&self) -> Load {
        Load {
            decoding: self.decoding,
            placed: self.queue.map_or(0, Queue::len),
            pass_ms: self.pass_ms,
            backlog_ms: self.backlog_ms,
        }
    }

    /// Returns what the requests on this engine lose if it reads for `part_ms` more.
    fn harm(
        &self,
        now: Moment,
        engine: &Engine,
        part_ms: f64,
        part_tokens: f64,
        is_split: bool,
    ) -> f64 {
        let part_ms = part_ms * self.pace;
        // One pass reads so many tokens and no more.
        let in_pass =
            (engine.prefill_chunk * u64::from(engine.steps_per_pass)) as f64 / part_tokens.max(1.0);
        let before = self.pass_ms + self.backlog_ms;
        let after = before + part_ms * in_pass.min(1.0);
        let wait = self.wait_ms + self.pass_ms;
        let tasks = self.queue.map(Queue::tasks).unwrap_or_default();
        let losses = tasks.iter().map(|task| {
            let more = match task.pause_ms {
                Some(limit) if task.is_decoding => {
                    lateness(after, limit, PAUSE_SPREAD) - lateness(before, limit, PAUSE_SPREAD)
                }
                // Parts for other engines are read ahead of what waits.
                _ if task.is_prefilling() && is_split => {
                    let limit = now.until(task.target_at).as_secs_f64() * 1e3;
                    lateness(wait + part_ms, limit, FIRST_TOKEN_SPREAD)
                        - lateness(wait, limit, FIRST_TOKEN_SPREAD)
                }
                _ => 0.0,
            };
            LATE_LOSS * task.value * more
        });
        losses.sum()
    }

    /// Returns the milliseconds of a pass once the request writes here too.
    fn writing_pass_ms(&self, engine: &Engine, need: &Need) -> f64 {
        self.pace * engine.pass_ms(self.decoding + 1, need.prompt_tokens)
    }

    /// Returns what the request itself loses on this engine.
    fn own_loss(&self, engine: &Engine, part_ms: f64, need: &Need, is_split: bool) -> f64 {
        let pass_ms = self.writing_pass_ms(engine, need);
        let working = part_ms * self.pace + pass_ms;
        let forecast = need.forecast(self.wait_ms + working, self.late_wait_ms + working);
        let loss = need.loss(forecast.first_token_ms) + need.pause_loss(pass_ms);
        if is_split {
            return loss;
        }
        loss + self.memory_loss((need.prompt_tokens + need.output_tokens) as f64)
    }

    fn memory_loss(&self, tokens: f64) -> f64 {
        if self.free_tokens < tokens {
            MEMORY_LOSS
        } else {
            0.0
        }
    }
}

/// Returns how likely a time that is forecast to be `ms` exceeds `limit_ms`, if forecasts are off by
/// the share `spread` of the limit.
fn lateness(ms: f64, limit_ms: f64, spread: f64) -> f64 {
    let limit_ms = limit_ms.max(1.0);
    let distance = (ms - limit_ms) / (spread * limit_ms);
    1.0 / (1.0 + (-distance).exp())
}
