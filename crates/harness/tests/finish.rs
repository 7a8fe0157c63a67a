//! Every admitted request gets its own complete answer or fails by its deadline.

use std::time::Duration;
use std::time::Instant;

use async_io::Timer;
use async_io::block_on;
use domain::failure::Execution;
use domain::failure::Kind;
use futures_lite::future::zip;
use harness::Cluster;
use harness::cluster::Options;
use harness::customer;
use harness::customer::Prompt;
use serde_json::json;
use web::client::Call;

/// The tolerance beyond the time limit, for the transfer of the answer.
const MARGIN: Duration = Duration::from_millis(500);

/// The number of engines that may crash under messages of prompts that are never alike.
const CRASH_LIMIT: usize = 5;

fn start(engines: usize) -> Cluster {
    Cluster::start(Options {
        engines,
        services: 1,
        ..Options::default()
    })
    .unwrap()
}

/// Starts engines that crash under each prompt with the word poison.
fn start_poisonable(engines: usize, services: usize) -> Cluster {
    let cluster = Cluster::start(Options {
        engines,
        services,
        ..Options::default()
    })
    .unwrap();
    for engine in &cluster.engines {
        cluster
            .set_faults(engine.address, &json!({ "crash_on": "poison" }))
            .unwrap();
    }
    cluster
}

/// Returns the number of engines that have not crashed.
fn remaining_engines(cluster: &Cluster) -> usize {
    let loads = cluster.engines.iter();
    loads
        .filter(|it| cluster.get_json(it.address, "/load").is_ok())
        .count()
}

fn memory_used(cluster: &Cluster) -> u64 {
    let loads = cluster
        .engines
        .iter()
        .filter_map(|it| cluster.get_json(it.address, "/load").ok());
    loads.map(|it| it["memory_used"].as_u64().unwrap()).sum()
}

#[test]
fn chunks_reordered_and_duplicated_answer_is_complete() {
    let cluster = start(2);
    for engine in &cluster.engines {
        cluster
            .set_faults(engine.address, &json!({ "shuffle": true }))
            .unwrap();
    }
    for seed in 0..5 {
        let prompt = Prompt::new(1_000, 41, seed);
        let received = block_on(
            cluster
                .customer("forum")
                .prompt(cluster.entry_address(0), &prompt),
        );
        let received = received.unwrap();
        assert!(received.is_complete(&prompt), "{:?}", received.result);
    }
}

#[test]
fn chunks_lost_answer_is_resumed_and_complete() {
    let cluster = start(2);
    for engine in &cluster.engines {
        cluster
            .set_faults(engine.address, &json!({ "drop_every": 7 }))
            .unwrap();
    }
    let prompt = Prompt::new(1_000, 40, 1);
    let received = block_on(
        cluster
            .customer("forum")
            .prompt(cluster.entry_address(0), &prompt),
    )
    .unwrap();
    assert!(received.is_complete(&prompt), "{:?}", received.result);
}

#[test]
fn engine_killed_answer_is_resumed_and_complete() {
    let mut cluster = start(3);
    let prompt = Prompt::new(1_000, 600, 1);
    let customer = cluster.customer("forum");
    let entry = cluster.entry_address(0);
    let engines: Vec<_> = cluster.engines.iter().map(|it| it.address).collect();
    let client = cluster.client.clone();
    let find_running = async {
        loop {
            for (index, address) in engines.iter().enumerate() {
                let call = Call::get(*address, "/load");
                let load = client.fetch::<serde_json::Value>(&call, MARGIN).await;
                if load.is_ok_and(|it| it["running"] == 1) {
                    return index;
                }
            }
            Timer::after(Duration::from_millis(5)).await;
        }
    };
    let kill = async {
        let index = find_running.await;
        cluster.engines[index].process.kill();
    };
    let (received, ()) = block_on(zip(customer.prompt(entry, &prompt), kill));
    let received = received.unwrap();
    assert!(received.is_complete(&prompt), "{:?}", received.result);
}

#[test]
fn deadline_passed_request_fails_in_time() {
    let cluster = start(1);
    cluster
        .set_faults(cluster.engines[0].address, &json!({ "freeze_ms": 20_000 }))
        .unwrap();
    let prompt = Prompt {
        timeout_s: Some(0.6),
        ..Prompt::new(1_000, 40, 1)
    };
    let start = Instant::now();
    let received = block_on(
        cluster
            .customer("forum")
            .prompt(cluster.entry_address(0), &prompt),
    )
    .unwrap();
    let failure = received.result.unwrap_err();
    assert_eq!(failure.kind, Kind::TimedOut);
    assert!(failure.retry_after_ms.is_some());
    assert!(start.elapsed() < Duration::from_millis(600) + MARGIN);
}

#[test]
fn log_slower_than_the_deadline_request_fails_in_time() {
    let cluster = start(1);
    cluster
        .set_faults(cluster.platform.address, &json!({ "delay_ms": 5_000 }))
        .unwrap();
    let mut prompt =
        Prompt::new(1_000, 10, 1).with_idempotency_key(customer::generate_key().to_string());
    prompt.timeout_s = Some(0.5);
    let start = Instant::now();
    let received = block_on(
        cluster
            .customer("forum")
            .prompt(cluster.entry_address(0), &prompt),
    )
    .unwrap();
    let failure = received.result.unwrap_err();
    assert_eq!(
        (failure.kind, failure.ran),
        (Kind::TimedOut, Execution::Maybe)
    );
    assert!(start.elapsed() < Duration::from_millis(500) + MARGIN);
}

#[test]
fn infeasible_request_is_refused_at_once() {
    let cluster = start(1);
    let customer = cluster.customer("forum");
    // From the first prompt, the entry measures the cost of prompts of this length.
    let first = Prompt::new(300_000, 5, 1);
    assert!(
        block_on(customer.prompt(cluster.entry_address(0), &first))
            .unwrap()
            .is_complete(&first)
    );
    let prompt = Prompt {
        timeout_s: Some(0.1),
        ..Prompt::new(300_000, 5, 2)
    };
    let received = block_on(customer.prompt(cluster.entry_address(0), &prompt)).unwrap();
    let failure = received.result.unwrap_err();
    assert_eq!(
        (failure.kind, failure.ran),
        (Kind::Overloaded, Execution::No)
    );
    assert!(failure.retry_after_ms.is_some());
}

#[test]
fn infeasible_request_is_refused_while_homes_are_silent() {
    let cluster = start(1);
    let entry = cluster.entry_address(0);
    let first = Prompt::new(300_000, 5, 1);
    assert!(
        block_on(cluster.customer("forum").prompt(entry, &first))
            .unwrap()
            .is_complete(&first)
    );
    for other in &cluster.entries[1..] {
        other.process.signal("STOP").unwrap();
    }
    let prompt = Prompt {
        timeout_s: Some(0.1),
        ..Prompt::new(300_000, 5, 2)
    };
    // The home of a contract is random. That this entry is the home of all four is unlikely.
    for customer in ["forum", "shops", "riders", "clinics"] {
        let received = block_on(cluster.customer(customer).prompt(entry, &prompt)).unwrap();
        let failure = received.result.unwrap_err();
        assert_eq!(
            (failure.kind, failure.ran),
            (Kind::Overloaded, Execution::No)
        );
    }
}

/// Kills both engines, the second one `pause` after the first, and checks that a prompt fails in time.
fn check_engines_down(pause: Duration) {
    let mut cluster = start(2);
    cluster.engines[0].process.kill();
    std::thread::sleep(pause);
    cluster.engines[1].process.kill();
    let start = Instant::now();
    let prompt = Prompt::new(1_000, 10, 1);
    let received = block_on(
        cluster
            .customer("forum")
            .prompt(cluster.entry_address(0), &prompt),
    )
    .unwrap();
    let failure = received.result.unwrap_err();
    assert!(
        failure.retry_after_ms.is_some() && failure.ran == Execution::No,
        "{failure:?}"
    );
    // The time limit of the contract is 30 s.
    assert!(start.elapsed() < Duration::from_secs(5));
}

#[test]
fn all_engines_down_failure_comes_at_once() {
    check_engines_down(Duration::ZERO);
}

#[test]
fn engines_down_one_after_the_other_failure_comes_at_once() {
    check_engines_down(Duration::from_millis(300));
}

#[test]
fn keyed_prompt_is_not_retried_after_a_crash() {
    let cluster = start_poisonable(3, 1);
    let mut prompt =
        Prompt::new(1_000, 10, 1).with_idempotency_key(customer::generate_key().to_string());
    prompt.text.push_str("poison");
    let received = block_on(
        cluster
            .customer("forum")
            .prompt(cluster.entry_address(0), &prompt),
    )
    .unwrap();
    let failure = received.result.unwrap_err();
    assert_eq!(
        (failure.kind, failure.ran),
        (Kind::BackendFailed, Execution::Maybe)
    );
    assert_eq!(remaining_engines(&cluster), 2);
}

#[test]
fn poison_prompt_crashes_two_engines_at_most() {
    let cluster = start_poisonable(5, 0);
    let mut prompt = Prompt::new(1_000, 10, 1);
    prompt.text.push_str("poison");
    for index in [0, 1, 2, 0, 1, 2] {
        let entry = cluster.entry_address(index);
        let received = block_on(cluster.customer("forum").prompt(entry, &prompt)).unwrap();
        assert_eq!(received.result.unwrap_err().kind, Kind::Quarantined);
    }
    assert_eq!(remaining_engines(&cluster), 3);
    let good = Prompt::new(1_000, 10, 2);
    let received = block_on(
        cluster
            .customer("forum")
            .prompt(cluster.entry_address(1), &good),
    )
    .unwrap();
    assert!(received.is_complete(&good), "{:?}", received.result);
}

#[test]
fn poison_message_of_prompts_that_are_never_alike_crashes_few_engines() {
    let cluster = start_poisonable(8, 0);
    let ask = |context: &str, number: usize| {
        let mut prompt = Prompt::new(100, 10, 1);
        prompt.text = format!("rules\n{context}\nquestion {number}");
        let entry = cluster.entry_address(number % 3);
        let received = block_on(cluster.customer("forum").prompt(entry, &prompt)).unwrap();
        (received.is_complete(&prompt), received.result)
    };
    for number in 0..9 {
        assert!(ask("poison", number).1.is_err());
    }
    assert!(remaining_engines(&cluster) >= cluster.engines.len() - CRASH_LIMIT);
    for number in 10..13 {
        let (is_complete, result) = ask("context", number);
        assert!(is_complete, "{result:?}");
    }
}

#[test]
fn caller_disconnected_memory_is_released() {
    let cluster = start(1);
    let customer = cluster.customer("forum");
    let prompt = Prompt::new(1_000, 10_000, 1);
    let call = customer.prompt(cluster.entry_address(0), &prompt);
    let disconnect = async {
        Timer::after(Duration::from_millis(300)).await;
        Err(anyhow::anyhow!("the caller disconnected"))
    };
    assert!(block_on(futures_lite::future::or(call, disconnect)).is_err());
    cluster
        .wait_until(Duration::from_secs(3), "the memory is released", || {
            memory_used(&cluster) == 0
        })
        .unwrap();
}

#[test]
fn entry_killed_memory_is_released() {
    let options = Options {
        engines: 3,
        services: 0,
        ..Options::default()
    };
    let mut cluster = Cluster::start(options).unwrap();
    let deadline = Duration::from_secs(2);
    let entry = cluster.entry_address(0);
    let threads: Vec<_> = (0..6)
        .map(|seed| {
            let tokens = [1_000, 50_000, 1_000_000][seed as usize % 3];
            let prompt = Prompt {
                timeout_s: Some(deadline.as_secs_f64()),
                ..Prompt::new(tokens, 2_000, seed)
            };
            std::thread::spawn(move || {
                let secret = harness::cluster::secret("forum");
                let _ = block_on(harness::Customer::new(secret).prompt(entry, &prompt));
            })
        })
        .collect();
    let is_in_use = || memory_used(&cluster) > 0;
    cluster
        .wait_until(Duration::from_secs(5), "memory is in use", is_in_use)
        .unwrap();
    cluster.entries[0].process.kill();
    cluster
        .wait_until(
            deadline + Duration::from_secs(5),
            "the memory is released",
            || memory_used(&cluster) == 0,
        )
        .unwrap();
    for thread in threads {
        thread.join().unwrap();
    }
}

#[test]
fn two_gangs_do_not_block_each_other() {
    let cluster = Cluster::start(Options {
        engines: 4,
        services: 0,
        // Even the smallest share of the contract admits all prompts, whatever the entries know of its home.
        contract_overrides: json!({ "tokens_per_second": 10_000_000, "burst_tokens": 40_000_000 }),
        ..Options::default()
    })
    .unwrap();
    let threads: Vec<_> = (0..4)
        .map(|seed| {
            let entry = cluster.entry_address(seed as usize % 3);
            std::thread::spawn(move || {
                let prompt = Prompt::new(800_000, 5, seed);
                let secret = harness::cluster::secret("forum");
                let received = block_on(harness::Customer::new(secret).prompt(entry, &prompt));
                let received = received.unwrap();
                (received.is_complete(&prompt), received.id)
            })
        })
        .collect();
    let results: Vec<_> = threads.into_iter().map(|it| it.join().unwrap()).collect();
    let failed = results.iter().enumerate().filter(|(_, it)| !it.0);
    let traces: Vec<_> = failed
        .map(|(seed, (_, id))| {
            let entry = &cluster.entries[seed % 3];
            cluster.get_json(entry.operator_address, &format!("/explain/{id}"))
        })
        .collect();
    assert!(traces.is_empty(), "{traces:#?}");
    cluster
        .wait_until(Duration::from_secs(5), "the memory is released", || {
            memory_used(&cluster) == 0
        })
        .unwrap();
}
