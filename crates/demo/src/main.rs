//! The demo: starts a cluster on loopback ports, sends requests and checks every guarantee.

use std::process::ExitCode;
use std::time::Duration;
use std::time::Instant;

use anyhow::Result;
use async_io::block_on;
use domain::Length;
use harness::Cluster;
use harness::Customer;
use harness::cluster::Options;
use harness::cluster::secret;
use harness::customer;
use harness::customer::Prompt;
use harness::customer::Response;
use serde_json::json;

/// The lengths in tokens of the prompts that every caller sends.
const PROMPT_LENGTHS: [u64; 12] = [
    1_000, 2_000, 1_500, 8_000, 1_000, 30_000, 3_000, 100_000, 1_200, 2_500, 180_000, 4_000,
];
/// The length in tokens of the longest prompt, which exceeds the memory of two engines.
const LONGEST_PROMPT: u64 = 1_000_000;
/// The number of callers that send at the same time.
const CALLERS: usize = 4;
/// The number of non-idempotent bookings, each of which is repeated through another entry.
const BOOKINGS: usize = 10;
/// The time within which the engines must have released all their memory.
const MEMORY_LIMIT: Duration = Duration::from_secs(5);

/// A prompt and the response to it.
struct Exchange {
    tokens: u64,
    prompt: Prompt,
    received: Response,
}

fn main() -> Result<ExitCode> {
    let start = Instant::now();
    let options = Options {
        engines: 4,
        engine_options: vec!["--speed=20".into(), "--token-us=3000".into()],
        ..Options::default()
    };
    println!("Starting the platform, 3 entries, 4 engines and a plain service.");
    let cluster = Cluster::start(options)?;
    let limit = Duration::from_millis(cluster.fleet().contracts[0].time_limit_ms);
    println!("Published contracts of two firms with two customers each. Sending prompts.");
    let exchanges = send_prompts(&cluster)?;
    print_table(&exchanges);
    let (bookings, duplicates) = send_bookings(&cluster)?;
    let leaving = &cluster.engines[3];
    let late_placements = count_late_placements(&cluster)?;
    let is_released = || {
        let is_unused = |it: &harness::cluster::Fake| {
            cluster
                .get_json(it.address, "/load")
                .map(|it| it["memory_used"] == 0)
                .unwrap_or(false)
        };
        cluster.engines.iter().all(is_unused)
    };
    let is_memory_released = cluster
        .wait_until(MEMORY_LIMIT, "the memory is released", is_released)
        .is_ok();

    let complete = exchanges
        .iter()
        .filter(|it| it.received.is_complete(&it.prompt))
        .count();
    let in_time = exchanges
        .iter()
        .filter(|it| it.received.elapsed <= limit)
        .count();
    let total = exchanges.len();
    let guarantees = [
        (
            complete == total,
            format!(
                "each caller got the complete answer to its own request: {complete} of {total}"
            ),
        ),
        (
            in_time == total,
            format!("every request ended within its {limit:?}: {in_time} of {total}"),
        ),
        (
            duplicates == 0,
            format!(
                "non-idempotent requests ran at most once: {bookings} bookings, each sent twice, {duplicates} ran more than once"
            ),
        ),
        (
            late_placements == 0,
            format!(
                "{}, which is leaving, got no new requests: {late_placements}",
                leaving.name
            ),
        ),
        (
            is_memory_released,
            "the engines released all memory of the requests".to_owned(),
        ),
    ];
    println!();
    for (is_met, guarantee) in &guarantees {
        println!("{} {guarantee}", if *is_met { "passed" } else { "FAILED" });
    }
    println!("The demo took {:.1} s.", start.elapsed().as_secs_f64());
    let all_met = guarantees.iter().all(|(is_met, _)| *is_met);
    Ok(if all_met {
        ExitCode::SUCCESS
    } else {
        ExitCode::FAILURE
    })
}

/// Sends all prompts from several callers. One engine starts to leave while they are sent.
fn send_prompts(cluster: &Cluster) -> Result<Vec<Exchange>> {
    let entries = block_on(cluster.customer("forum").entries(cluster.entry_address(0)))?.entries;
    let customers = ["forum", "shops", "riders", "clinics"];
    let callers: Vec<_> = (0..CALLERS)
        .map(|caller| {
            let entries = entries.clone();
            std::thread::spawn(move || -> Result<Vec<Exchange>> {
                let customer = Customer::new(secret(customers[caller]));
                let mut exchanges = Vec::new();
                let longest = (caller == 0).then_some(LONGEST_PROMPT);
                for (index, tokens) in PROMPT_LENGTHS.into_iter().chain(longest).enumerate() {
                    let prompt = Prompt::new(tokens, 30, (caller * 1_000 + index) as u64);
                    let entry = entries[(caller + index) % entries.len()].address;
                    let received = block_on(customer.prompt(entry, &prompt))?;
                    exchanges.push(Exchange {
                        tokens,
                        prompt,
                        received,
                    });
                }
                Ok(exchanges)
            })
        })
        .collect();
    block_on(async_io::Timer::after(Duration::from_millis(400)));
    println!("{} is leaving.", cluster.engines[3].name);
    cluster.set_faults(cluster.engines[3].address, &json!({ "leaving": true }))?;
    let mut exchanges = Vec::new();
    for caller in callers {
        let received = caller
            .join()
            .map_err(|_| anyhow::anyhow!("a caller panicked"))?;
        exchanges.extend(received?);
    }
    Ok(exchanges)
}

fn print_table(exchanges: &[Exchange]) {
    println!(
        "\n{:<8} {:>6} {:>16} {:>16}",
        "class", "sent", "first token p50", "slowest"
    );
    for length in Length::ALL {
        let of_class = exchanges
            .iter()
            .filter(|it| Length::of(it.tokens) == length);
        let mut times: Vec<Duration> = of_class.filter_map(|it| it.received.first_token).collect();
        times.sort();
        let (Some(median), Some(slowest)) = (times.get(times.len() / 2), times.last()) else {
            continue;
        };
        println!(
            "{length:<8} {:>6} {:>13.1?} {:>13.1?}",
            times.len(),
            median,
            slowest
        );
    }
}

/// Books with generated keys and with tickets, each through two entries. Returns the number of keys
/// and the number of keys that ran more than once.
fn send_bookings(cluster: &Cluster) -> Result<(usize, usize)> {
    let customer = cluster.customer("riders");
    let mut keys = block_on(customer.tickets(cluster.entry_address(0), BOOKINGS / 2))?;
    keys.extend((0..BOOKINGS / 2).map(|_| customer::generate_key()));
    for (index, key) in keys.iter().enumerate() {
        let key = key.to_string();
        for entry in [index, index + 1] {
            let entry = cluster.entry_address(entry % 3);
            block_on(customer.service(entry, "bookings/seats", Some(&key)))?;
        }
    }
    let runs = cluster.get_json(cluster.services[0].address, "/runs")?;
    let runs = |key: &domain::Key| runs["by_key"][key.to_string()].as_u64().unwrap_or(0);
    Ok((keys.len(), keys.iter().filter(|it| runs(it) > 1).count()))
}

/// Sends prompts while one engine is leaving. Returns the number of prompts placed on it.
fn count_late_placements(cluster: &Cluster) -> Result<usize> {
    let customer = cluster.customer("forum");
    let name = &cluster.engines[3].name;
    let mut count = 0;
    for seed in 0..6 {
        let prompt = Prompt::new(1_000, 5, 50_000 + seed);
        let index = seed as usize % 3;
        let received = block_on(customer.prompt(cluster.entry_address(index), &prompt))?;
        let path = format!("/explain/{}", received.id);
        let trace = cluster.get_json(cluster.entries[index].operator_address, &path)?;
        count += usize::from(
            trace["steps"]
                .to_string()
                .contains(&format!("placed on {name}")),
        );
    }
    Ok(count)
}
