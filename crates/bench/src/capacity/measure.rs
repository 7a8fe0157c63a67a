//! Measures the crates without I/O and the codecs at three sizes or more.

use std::alloc::System;
use std::hint::black_box;
use std::time::Duration;
use std::time::Instant;

use anyhow::Result;
use claim::Record;
use claim::Shard;
use claim::Tickets;
use claim::record::Event;
use claim::record::Kind;
use config::Fold;
use config::Item;
use config::View;
use config::record::Change;
use domain::Contract;
use domain::Key;
use domain::Moment;
use domain::digest;
use domain::key::Incarnation;
use limit::Allotment;
use limit::Home;
use limit::Terms;
use limit::home::Origin;
use rand::SeedableRng;
use rand::rngs::StdRng;
use routing::Engine;
use routing::Job;
use routing::Policy;
use routing::Router;
use routing::job::Tenant;
use routing::router::End;
use serde_json::json;
use stats_alloc::INSTRUMENTED_SYSTEM;
use stats_alloc::Region;
use stats_alloc::StatsAlloc;

use super::fit::Line;

mod gossip;

pub use gossip::Gossip;

#[global_allocator]
static ALLOCATOR: &StatsAlloc<System> = &INSTRUMENTED_SYSTEM;

/// The time at which keys are generated.
const KEY_TIME: Duration = Duration::from_secs(1_800_000_000);
/// The number of runs of each timed operation. The fastest run counts.
const RUNS: usize = 5;

/// All measured slopes and sizes.
pub struct Slopes {
    /// The cost of membership, by number of nodes.
    pub gossip: Gossip,
    /// Bytes of a datagram with load reports, by number of reports.
    pub report_bytes: Line,
    /// Processor seconds of one placement, by number of runners.
    pub placement: Line,
    /// Heap of the routing state, by number of runners.
    pub routing_heap: Line,
    /// Processor seconds of one allotment, by number of accounts.
    pub allotment: Line,
    /// Heap of the accounts, by number of accounts.
    pub accounts_heap: Line,
    /// Bytes of an allotment's request and answer together.
    pub allotment_bytes: f64,
    /// Processor seconds of one claim, by number of keys in the shard.
    pub claim: Line,
    /// Heap of a claim shard, by number of keys.
    pub claims_heap: Line,
    /// Bytes of a record of claims, by number of events.
    pub claim_bytes: Line,
    /// Heap of the tickets, by number of tickets.
    pub tickets_heap: Line,
    /// Processor seconds to apply one configuration change, by number of contracts.
    pub change: Line,
    /// Heap of the fold and the view of the configuration together, by number of contracts.
    pub config_heap: Line,
    /// Bytes of a record with one configuration change.
    pub change_bytes: f64,
    /// Bytes of a snapshot, by number of contracts.
    pub snapshot_bytes: Line,
}

impl Slopes {
    /// Runs all measurements.
    pub fn measure() -> Result<Self> {
        let nodes = [6, 60, 200, 350];
        let runners = [13, 130, 1_300];
        let contracts = [10, 780, 7_800];
        let keys = [1_000, 10_000, 100_000];
        Ok(Self {
            gossip: Gossip::measure(&nodes),
            report_bytes: line(&[1, 4, 16], report_bytes),
            placement: line(&runners, |count| placement(count).0),
            routing_heap: line(&runners, |count| placement(count).1),
            allotment: line(&contracts, |count| allotment(count).0),
            accounts_heap: line(&contracts, |count| allotment(count).1),
            allotment_bytes: gossip::allotment_bytes(),
            claim: line(&keys, |count| claims(count).0),
            claims_heap: line(&keys, |count| claims(count).1),
            claim_bytes: line(&[1, 10, 100], |count| claim_record(0, count).len() as f64),
            tickets_heap: line(&keys, tickets),
            change: line(&contracts, |count| configuration(count).0),
            config_heap: line(&contracts, |count| configuration(count).1),
            change_bytes: change_record(0, 0).len() as f64,
            snapshot_bytes: line(&contracts, snapshot),
        })
    }
}

fn line(sizes: &[usize], measure: impl Fn(usize) -> f64) -> Line {
    let points: Vec<(f64, f64)> = sizes.iter().map(|it| (*it as f64, measure(*it))).collect();
    Line::fit(&points)
}

/// Runs `work`, which consists of `count` operations, [`RUNS`] times. Returns the seconds per
/// operation of the fastest run.
fn time(count: usize, mut work: impl FnMut()) -> f64 {
    let run = |_| {
        let start = Instant::now();
        work();
        start.elapsed().as_secs_f64() / count as f64
    };
    (0..RUNS).map(run).fold(f64::MAX, f64::min)
}

/// Returns the result of `build` and the heap that it uses, in bytes.
fn heap<T>(build: impl FnOnce() -> T) -> (T, f64) {
    let region = Region::new(ALLOCATOR);
    let built = build();
    let change = region.change();
    (
        built,
        change.bytes_allocated as f64 - change.bytes_deallocated as f64,
    )
}

fn report_bytes(count: usize) -> f64 {
    let load = |index: usize| wire::frame::Load {
        server: format!("runner-{index:04}"),
        age: Duration::from_millis(120),
        report: Some(routing::engine::Load {
            incarnation: u64::MAX,
            backlog_micros: [20_000; routing::level::LEVELS],
            running: 20,
            memory_used: 300_000,
            is_leaving: false,
        }),
    };
    wire::Frame::Loads((0..count).map(load).collect())
        .encode()
        .len() as f64
}

/// Returns the seconds per placement and the heap of the router in bytes.
fn placement(runners: usize) -> (f64, f64) {
    /// The number of placements in one run.
    const PLACEMENTS: usize = 2_000;
    let engine = |index: usize| {
        Engine::new(
            format!("runner-{index:04}"),
            "dc-1",
            vec!["assistant".to_owned()],
            400_000,
        )
    };
    let (mut router, heap) = heap(|| {
        let mut router = Router::new(Policy::ByLength, 1);
        router.replace_engines((0..runners).map(engine));
        router
    });
    let mut id = 0;
    let seconds = time(PLACEMENTS, || {
        for _ in 0..PLACEMENTS {
            id += 1;
            let now = Moment::from_millis(id);
            let _ = router.admit(now, job(id, now));
            while let Some(placement) = router.next(now) {
                router.record_prefill(&placement.engine, &placement.job, None);
                router.record_end(now, &placement, &placement.engine, End::Done);
            }
        }
    });
    (seconds, heap)
}

fn job(id: u64, now: Moment) -> Job {
    Job {
        id,
        tenant: Tenant {
            firm: format!("firm-{}", id % 5),
            firm_weight: 1,
            customer: format!("customer-{}", id % 50),
            customer_weight: 1,
        },
        model: "assistant".to_owned(),
        prompt_tokens: 2_000,
        answer_tokens: 200,
        admitted: now,
        deadline: now + Duration::from_secs(30),
        prefix: digest::fast(&id.to_be_bytes()),
        excluded: Vec::new(),
        failures: 0,
        memory_refusals: 0,
    }
}

/// Returns the seconds per allotment and the heap of the accounts in bytes.
fn allotment(accounts: usize) -> (f64, f64) {
    let terms = Terms::from(&contract(0));
    let customers: Vec<String> = (0..accounts)
        .map(|it| format!("organisation-{it}"))
        .collect();
    let now = Moment::from_millis(10);
    let (mut home, heap) = heap(|| {
        let mut home = Home::default();
        for customer in &customers {
            let ask = Allotment::default().ask(Incarnation(1), customer, 1_000);
            home.grant(now, terms, &ask, Origin::First);
        }
        home
    });
    let seconds = time(accounts, || {
        for customer in &customers {
            let ask = Allotment::default().ask(Incarnation(1), customer, 1_000);
            black_box(home.grant(now, terms, &ask, Origin::First));
        }
    });
    (seconds, heap)
}

fn key(number: usize) -> Key {
    Key::generate(KEY_TIME, number as u128)
}

fn claim_record(first: usize, count: usize) -> Vec<u8> {
    let event = |number| Event {
        key: key(number),
        nonce: u64::MAX - number as u64,
        kind: Kind::Claim,
    };
    let record = Record {
        events: (first..first + count).map(event).collect(),
    };
    serde_json::to_vec(&record).unwrap_or_default()
}

/// Returns the seconds per claim and the heap of the shard in bytes.
fn claims(keys: usize) -> (f64, f64) {
    /// The number of claims in one record.
    const BATCH: usize = 10;
    /// The number of records that are timed.
    const TIMED_RECORDS: usize = 200;
    let retention = Duration::from_secs(86_400);
    let (mut shard, heap) = heap(|| {
        let mut shard = Shard::new(retention);
        for batch in 0..keys / BATCH {
            let _ = shard.read(shard.next(), KEY_TIME, &claim_record(batch * BATCH, BATCH));
        }
        shard
    });
    let mut first = keys;
    let seconds = time(TIMED_RECORDS * BATCH, || {
        for _ in 0..TIMED_RECORDS {
            let data = claim_record(first, BATCH);
            let _ = shard.read(shard.next(), KEY_TIME, &data);
            black_box(shard.verdict(key(first), 1));
            first += BATCH;
        }
    });
    (seconds, heap)
}

fn tickets(count: usize) -> f64 {
    let issue = || {
        let mut tickets = Tickets::new(Incarnation(1));
        for _ in 0..count {
            tickets.issue(Moment::default(), KEY_TIME, "organisation-1");
        }
        tickets
    };
    heap(issue).1
}

fn contract(index: usize) -> Contract {
    let customer = format!("organisation-{index}");
    let contract = json!({
        "key_hashes": [digest::sha256_hex(&customer)],
        "customer": customer, "firm": format!("firm-{}", index % 40),
        "tokens_per_second": 20_000, "burst_tokens": 250_000,
        "requests_per_second": 5, "burst_requests": 20, "concurrent_requests": 10,
        "longest_prompt_tokens": 200_000, "time_limit_ms": 60_000, "share": 1,
    });
    serde_json::from_value(contract).expect("the contract is valid")
}

fn change_record(offset: u64, index: usize) -> Vec<u8> {
    let item = Item::Contract(contract(index));
    let change = Change {
        name: item.name(),
        replaces: 0,
        value: Some(item),
    };
    let record = config::Record {
        nonce: offset + 1,
        author: "operator".to_owned(),
        changes: vec![change],
    };
    serde_json::to_vec(&record).unwrap_or_default()
}

fn fold(contracts: usize) -> Fold {
    let mut fold = Fold::default();
    for index in 0..contracts {
        let _ = fold.read(index as u64, &change_record(index as u64, index));
    }
    fold
}

/// Returns the seconds to apply one change, and the heap of the fold and the view in bytes.
fn configuration(contracts: usize) -> (f64, f64) {
    let ((fold, view), heap) = heap(|| {
        let fold = fold(contracts);
        let view = View::new(&fold);
        (fold, view)
    });
    black_box(view);
    let next = fold.next();
    let data = change_record(next, contracts);
    let seconds = time(1, || {
        let mut fold = fold.clone();
        let start = Instant::now();
        let _ = fold.read(next, &data);
        black_box(View::new(&fold));
        black_box(start.elapsed());
    });
    (seconds, heap)
}

fn snapshot(contracts: usize) -> f64 {
    let parts = config::snapshot::split(&fold(contracts), 1);
    let bytes = parts
        .iter()
        .map(|it| serde_json::to_vec(it).unwrap_or_default().len());
    bytes.sum::<usize>() as f64
}

/// Returns a random number generator with a fixed seed.
fn random() -> StdRng {
    StdRng::seed_from_u64(5)
}
