//! Measures one entry: its overhead over a direct call to an engine, its throughput and its memory.

use std::net::SocketAddr;
use std::time::Duration;
use std::time::Instant;

use anyhow::Context;
use anyhow::Result;
use async_io::block_on;
use domain::Length;
use domain::digest;
use harness::Cluster;
use harness::cluster::Options;
use harness::customer::Prompt;
use load::Mix;
use load::mix::Stream;
use load::report::Percentiles;
use load::run;
use serde_json::json;
use web::client::Call;

/// The number of prompts on each side of a comparison.
const PROMPTS: u64 = 400;
/// The length of each prompt, in tokens.
const PROMPT_TOKENS: u64 = 1_000;
/// The number of contracts at the planned size in two years.
const CONTRACTS: usize = 7_800;
/// The timeout of a call and of the wait for all contracts.
const TIMEOUT: Duration = Duration::from_secs(10);

/// Runs all measurements of one entry.
pub fn run() -> Result<()> {
    // A prompt of 1,000 tokens takes 10.1 ms of engine time at speed 1, so 100 ms at speed 0.101.
    for (name, speed) in [("100 ms", "0.101"), ("none", "100000")] {
        measure_overhead(name, speed)?;
    }
    measure_throughput()?;
    measure_memory()
}

fn options(speed: &str) -> Options {
    Options {
        entries: 1,
        engines: 1,
        services: 0,
        engine_options: vec![format!("--speed={speed}"), "--token-us=1000".into()],
        contract_overrides: json!({
            "tokens_per_second": 1_000_000_000, "burst_tokens": 1_000_000_000,
            "requests_per_second": 1_000_000, "burst_requests": 1_000_000,
            "concurrent_requests": 1_000_000,
        }),
        ..Options::default()
    }
}

/// Compares the time to first token through the entry with that of direct calls to the engine. The
/// two kinds of calls alternate.
fn measure_overhead(name: &str, speed: &str) -> Result<()> {
    let cluster = Cluster::start(options(speed))?;
    let customer = cluster.customer("forum");
    let (mut via_entry, mut direct) = (Vec::new(), Vec::new());
    let prompts = if name == "none" { PROMPTS * 5 } else { PROMPTS };
    for seed in 0..prompts {
        // Each call sends a new prompt, so that no prefix cache has it.
        let prompt = Prompt::new(PROMPT_TOKENS, 1, seed * 2);
        let received = block_on(customer.prompt(cluster.entry_address(0), &prompt))?;
        via_entry.push(received.first_token.context("the answer has no token")?);
        let prompt = Prompt::new(PROMPT_TOKENS, 1, seed * 2 + 1);
        direct.push(block_on(call_engine(&cluster, &prompt, seed))?);
    }
    let (via_entry, direct) = (Percentiles::new(via_entry), Percentiles::new(direct));
    println!(
        "engine time {name}: through the entry p50 {:.2} p99 {:.2} ms, direct p50 {:.2} p99 {:.2} \
         ms, ratio p50 {:.3} p99 {:.3}",
        via_entry.p50_ms,
        via_entry.p99_ms,
        direct.p50_ms,
        direct.p99_ms,
        via_entry.p50_ms / direct.p50_ms,
        via_entry.p99_ms / direct.p99_ms
    );
    Ok(())
}

async fn call_engine(cluster: &Cluster, prompt: &Prompt, request: u64) -> Result<Duration> {
    let body = json!({
        "request": request, "attempt": 1, "owner": 1, "prompt": prompt.text,
        "answer_tokens": prompt.answer_tokens, "time_left_ms": 10_000,
    });
    let call = Call::json(cluster.engines[0].address, "/generate", &body);
    let start = Instant::now();
    let mut answer = cluster.client.send_unpooled(&call, TIMEOUT).await?;
    answer.line().await?;
    let first_token = start.elapsed();
    while answer.line().await?.is_some() {}
    Ok(first_token)
}

/// Measures throughput, times to first token and processor time at increasing request rates.
fn measure_throughput() -> Result<()> {
    let cluster = Cluster::start(Options {
        engines: 4,
        ..options("1000")
    })?;
    let entries: Vec<SocketAddr> = vec![cluster.entry_address(0)];
    let customers = [cluster.customer("forum")];
    for per_second in [200.0, 500.0, 1_000.0, 1_500.0, 2_000.0, 3_000.0] {
        let stream = Stream {
            customer: 0,
            length: Length::Short,
            per_second,
            answer_tokens: 1,
        };
        let mix = Mix {
            seed: 3,
            duration: Duration::from_secs(4),
            streams: vec![stream],
        };
        let before = cpu_seconds(cluster.entries[0].process.id())?;
        let start = Instant::now();
        let report = run::run(&entries, &customers, &mix)?;
        let elapsed = start.elapsed().as_secs_f64();
        let used = cpu_seconds(cluster.entries[0].process.id())? - before;
        let class = &report.classes[&Length::Short];
        println!(
            "offered {per_second:>5}/s: complete {}/{} at {:.0}/s, p50 {:.1} p95 {:.1} p99 {:.1} ms, \
             entry {:.0}% of a core",
            class.complete,
            class.sent,
            class.complete as f64 / elapsed,
            class.first_token.p50_ms,
            class.first_token.p95_ms,
            class.first_token.p99_ms,
            used / elapsed * 100.0
        );
    }
    Ok(())
}

/// Measures the resident memory with all [`CONTRACTS`] in effect.
fn measure_memory() -> Result<()> {
    let cluster = Cluster::start(options("1000"))?;
    let id = cluster.entries[0].process.id();
    let before = resident_kb(id)?;
    let mut fleet = cluster.fleet();
    let template = fleet.contracts[0].clone();
    for index in 0..CONTRACTS - fleet.contracts.len() {
        let mut contract = template.clone();
        contract.customer = format!("organisation-{index}");
        contract.key_hashes = vec![digest::sha256_hex(&contract.customer)];
        fleet.contracts.push(contract);
    }
    let start = Instant::now();
    // Publishes in steps, since the number of changes in one record of the log is limited.
    for part in 1..=(CONTRACTS / 1_000 + 1) {
        let mut partial = fleet.clone();
        partial.contracts.truncate(part * 1_000);
        cluster.publish(&partial)?;
    }
    let expected = CONTRACTS as u64;
    cluster.wait_until(TIMEOUT, "all contracts are in effect", || {
        let status = cluster.get_json(cluster.entries[0].operator_address, "/status");
        status.is_ok_and(|it| it["contracts"] == expected)
    })?;
    println!(
        "memory: {before} kB with 4 contracts, {} kB with {CONTRACTS}; published in {:.1} s",
        resident_kb(id)?,
        start.elapsed().as_secs_f64()
    );
    Ok(())
}

/// Returns the resident memory of a process in kB.
pub fn resident_kb(id: u32) -> Result<u64> {
    let status = std::fs::read_to_string(format!("/proc/{id}/status"))?;
    let line = status
        .lines()
        .find_map(|it| it.strip_prefix("VmRSS:"))
        .context("the status of the process has no VmRSS")?;
    Ok(line.trim().trim_end_matches(" kB").parse()?)
}

/// Returns the processor time that a process has used so far, in seconds.
pub fn cpu_seconds(id: u32) -> Result<f64> {
    /// Clock ticks in one second, the unit in which the kernel reports processor time.
    const TICKS_PER_SECOND: f64 = 100.0;
    let stat = std::fs::read_to_string(format!("/proc/{id}/stat"))?;
    let fields = stat
        .rsplit(')')
        .next()
        .context("the stat of the process has no fields")?;
    let ticks = fields
        .split_whitespace()
        .skip(11)
        .take(2)
        .map(str::parse::<f64>);
    Ok(ticks.sum::<Result<f64, _>>()? / TICKS_PER_SECOND)
}
