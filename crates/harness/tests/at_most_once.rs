//! A non-idempotent request runs at most once when an entry, a backend server or the log fails.

use std::net::SocketAddr;
use std::thread::JoinHandle;
use std::time::Duration;

use async_io::Timer;
use async_io::block_on;
use domain::Key;
use domain::failure::Execution;
use futures_lite::future::zip;
use harness::Cluster;
use harness::Customer;
use harness::cluster::Options;
use harness::cluster::secret;
use harness::customer;
use harness::customer::Prompt;
use serde_json::Value;
use serde_json::json;

/// The response to a booking.
#[derive(Debug)]
struct Booking {
    status: u16,
    ran: Option<Execution>,
    body: Value,
}

fn book(customer: &Customer, entry: SocketAddr, key: Key) -> Booking {
    block_on(book_async(customer, entry, key))
}

async fn book_async(customer: &Customer, entry: SocketAddr, key: Key) -> Booking {
    let key = key.to_string();
    let sent = customer.service(entry, "bookings/seats", Some(&key)).await;
    let (status, body) = sent.unwrap_or((0, Value::Null));
    let ran = serde_json::from_value(body["error"]["ran"].clone()).ok();
    Booking { status, ran, body }
}

fn book_in_thread(entry: SocketAddr, key: Key) -> JoinHandle<Booking> {
    std::thread::spawn(move || book(&Customer::new(secret("riders")), entry, key))
}

/// Returns how many times a key ran, summed over all servers of the service.
fn runs(cluster: &Cluster, key: Key) -> u64 {
    let counts = cluster
        .services
        .iter()
        .map(|it| cluster.get_json(it.address, "/runs").unwrap());
    counts
        .map(|it| it["by_key"][key.to_string()].as_u64().unwrap_or(0))
        .sum()
}

fn start(call_ms: u64) -> (Cluster, Customer) {
    let options = Options {
        engines: 1,
        services: 2,
        service_options: vec![format!("--call-ms={call_ms}")],
        ..Options::default()
    };
    let cluster = Cluster::start(options).unwrap();
    let customer = cluster.customer("riders");
    (cluster, customer)
}

#[test]
fn claim_same_key_on_two_entries_runs_once() {
    let (cluster, customer) = start(50);
    for _ in 0..10 {
        let key = customer::generate_key();
        let first = book_async(&customer, cluster.entry_address(0), key);
        let second = book_async(&customer, cluster.entry_address(1), key);
        let (first, second) = block_on(zip(first, second));
        assert_eq!(runs(&cluster, key), 1, "{first:?} {second:?}");
        let refused: Vec<_> = [first, second]
            .into_iter()
            .filter(|it| it.status != 200)
            .collect();
        assert!(refused.len() <= 1 && refused.iter().all(|it| it.ran == Some(Execution::Maybe)));
    }
}

#[test]
fn claim_repeat_returns_the_recorded_outcome() {
    let (cluster, customer) = start(5);
    let keys = [
        customer::generate_key(),
        block_on(customer.tickets(cluster.entry_address(0), 1)).unwrap()[0],
    ];
    for key in keys {
        let first = book(&customer, cluster.entry_address(0), key);
        assert_eq!(first.status, 200);
        let is_recorded = || book(&customer, cluster.entry_address(1), key).status == 200;
        cluster
            .wait_until(
                Duration::from_secs(5),
                "the outcome is recorded",
                is_recorded,
            )
            .unwrap();
        let again = book(&customer, cluster.entry_address(2), key);
        assert_eq!((again.status, &again.body), (200, &first.body));
        assert_eq!(runs(&cluster, key), 1);
    }
}

#[test]
fn claim_repeated_prompt_is_answered_from_the_record() {
    let (cluster, customer) = start(5);
    let prompt =
        Prompt::new(1_000, 20, 1).with_idempotency_key(customer::generate_key().to_string());
    let first = block_on(customer.prompt(cluster.entry_address(0), &prompt)).unwrap();
    assert!(first.is_complete(&prompt));
    let is_repeated = || {
        let again = block_on(customer.prompt(cluster.entry_address(1), &prompt)).unwrap();
        again.is_complete(&prompt)
    };
    cluster
        .wait_until(
            Duration::from_secs(5),
            "the answer is recorded",
            is_repeated,
        )
        .unwrap();
}

#[test]
fn ticket_on_two_entries_runs_once() {
    let (cluster, customer) = start(50);
    for key in block_on(customer.tickets(cluster.entry_address(0), 10)).unwrap() {
        let first = book_async(&customer, cluster.entry_address(1), key);
        let second = book_async(&customer, cluster.entry_address(2), key);
        let (first, second) = block_on(zip(first, second));
        assert_eq!(runs(&cluster, key), 1, "{first:?} {second:?}");
    }
}

#[test]
fn ticket_survives_drain_of_issuer_and_successor() {
    let (mut cluster, customer) = start(5);
    let tickets = block_on(customer.tickets(cluster.entry_address(0), 4)).unwrap();
    assert_eq!(
        book(&customer, cluster.entry_address(1), tickets[0]).status,
        200
    );
    for key in &tickets[1..3] {
        cluster.entries[0].process.signal("TERM").unwrap();
        cluster.entries[0]
            .process
            .wait(Duration::from_secs(20))
            .unwrap();
        cluster.entries.remove(0);
        cluster.start_entry().unwrap();
        cluster.update_instances().unwrap();
        cluster.wait_ready().unwrap();
        for index in [0, 1] {
            let booked = book(&customer, cluster.entry_address(index), *key);
            assert_eq!(booked.status, 200, "{booked:?}");
            assert_eq!(runs(&cluster, *key), 1);
        }
    }
    assert_eq!(
        book(&customer, cluster.entry_address(2), tickets[0]).status,
        200
    );
    assert_eq!(runs(&cluster, tickets[0]), 1);
}

#[test]
fn ticket_of_another_customer_is_refused() {
    let (cluster, customer) = start(5);
    let key = block_on(
        cluster
            .customer("clinics")
            .tickets(cluster.entry_address(0), 1),
    )
    .unwrap()[0];
    let refused = book(&customer, cluster.entry_address(1), key);
    assert_eq!((refused.status, refused.ran), (409, Some(Execution::No)));
    assert_eq!(
        book(&cluster.customer("clinics"), cluster.entry_address(1), key).status,
        200
    );
    assert_eq!(runs(&cluster, key), 1);
}

#[test]
fn log_outage_tickets_run_and_generated_keys_are_refused() {
    let (cluster, customer) = start(5);
    let tickets = block_on(customer.tickets(cluster.entry_address(0), 3)).unwrap();
    let completed = customer::generate_key();
    assert_eq!(
        book(&customer, cluster.entry_address(0), completed).status,
        200
    );
    cluster
        .set_faults(cluster.platform.address, &json!({ "outage_ms": 600_000 }))
        .unwrap();
    for (index, key) in tickets.into_iter().enumerate() {
        assert_eq!(
            book(&customer, cluster.entry_address(index), key).status,
            200
        );
        assert_eq!(runs(&cluster, key), 1);
    }
    let generated = customer::generate_key();
    let refused = book(&customer, cluster.entry_address(1), generated);
    assert_eq!((refused.status, refused.ran), (503, Some(Execution::Maybe)));
    assert!(refused.body["error"]["retry_after_ms"].as_u64().is_some());
    // A repeat of a request that ran before the outage must not be reported as not run.
    let repeated = book(&customer, cluster.entry_address(2), completed);
    assert_ne!(repeated.ran, Some(Execution::No));
    cluster
        .set_faults(cluster.platform.address, &json!({}))
        .unwrap();
    let is_done = || book(&customer, cluster.entry_address(1), generated).status == 200;
    cluster
        .wait_until(
            Duration::from_secs(10),
            "the key runs after the outage",
            is_done,
        )
        .unwrap();
    assert_eq!(
        (runs(&cluster, generated), runs(&cluster, completed)),
        (1, 1)
    );
}

#[test]
fn log_lost_answers_run_once() {
    let (cluster, customer) = start(5);
    for index in 0..6 {
        cluster
            .set_faults(cluster.platform.address, &json!({ "lose_answers": 1 }))
            .unwrap();
        let key = customer::generate_key();
        let booked = book(&customer, cluster.entry_address(index % 3), key);
        assert_eq!(booked.status, 200, "{booked:?}");
        assert_eq!(runs(&cluster, key), 1);
    }
}

#[test]
fn log_slow_runs_once_or_fails() {
    let (cluster, customer) = start(5);
    cluster
        .set_faults(cluster.platform.address, &json!({ "delay_ms": 700 }))
        .unwrap();
    for index in 0..3 {
        let key = customer::generate_key();
        let booked = book(&customer, cluster.entry_address(index), key);
        let ran = runs(&cluster, key);
        assert!(
            ran <= 1 && (booked.status == 200) == (ran == 1),
            "{booked:?}"
        );
    }
}

/// Books through entry 0, runs `fail` while the booking runs, and repeats it through other entries.
fn check_entry_failure(use_ticket: bool, fail: impl Fn(&mut Cluster)) {
    let (mut cluster, customer) = start(600);
    let key = match use_ticket {
        true => block_on(customer.tickets(cluster.entry_address(0), 1)).unwrap()[0],
        false => customer::generate_key(),
    };
    let entry = cluster.entry_address(0);
    let first = book_in_thread(entry, key);
    let is_running = || runs(&cluster, key) == 1;
    cluster
        .wait_until(Duration::from_secs(5), "the booking runs", is_running)
        .unwrap();
    fail(&mut cluster);
    for index in [1, 2, 1] {
        let repeated = book(&customer, cluster.entry_address(index), key);
        assert_ne!(repeated.ran, Some(Execution::No), "{repeated:?}");
        assert_eq!(runs(&cluster, key), 1);
    }
    let _ = cluster.entries[0].process.signal("CONT");
    let _ = first.join();
    block_on(Timer::after(Duration::from_millis(300)));
    assert_eq!(runs(&cluster, key), 1);
}

#[test]
fn entry_killed_after_dispatch_claim_runs_once() {
    check_entry_failure(false, |cluster| cluster.entries[0].process.kill());
}

#[test]
fn entry_killed_after_dispatch_ticket_runs_once() {
    check_entry_failure(true, |cluster| cluster.entries[0].process.kill());
}

#[test]
fn entry_frozen_after_dispatch_claim_runs_once() {
    check_entry_failure(false, |cluster| {
        cluster.entries[0].process.signal("STOP").unwrap()
    });
}

#[test]
fn entry_frozen_after_dispatch_ticket_runs_once() {
    check_entry_failure(true, |cluster| {
        cluster.entries[0].process.signal("STOP").unwrap()
    });
}

#[test]
fn server_killed_after_dispatch_runs_once() {
    let (mut cluster, customer) = start(600);
    let key = customer::generate_key();
    let entry = cluster.entry_address(0);
    let first = book_in_thread(entry, key);
    let servers: Vec<SocketAddr> = cluster.services.iter().map(|it| it.address).collect();
    let mut running = None;
    let is_running = || {
        running = servers
            .iter()
            .position(|it| cluster.get_json(*it, "/runs").unwrap()["by_key"][key.to_string()] == 1);
        running.is_some()
    };
    cluster
        .wait_until(Duration::from_secs(5), "the booking runs", is_running)
        .unwrap();
    let mut server = cluster.services.remove(running.unwrap());
    server.process.kill();
    let first = first.join().unwrap();
    assert_eq!((first.status, first.ran), (502, Some(Execution::Maybe)));
    let repeated = book(&customer, cluster.entry_address(1), key);
    assert_eq!(
        (repeated.status, repeated.ran),
        (409, Some(Execution::Maybe))
    );
    assert_eq!(runs(&cluster, key), 0, "the other server never ran it");
}

#[test]
fn records_expired_key_is_not_run_again() {
    // A quarter of the retention is less than the 500 ms from a claim to the record of its outcome,
    // which therefore removes the key from the table of its home.
    let options = Options {
        engines: 1,
        platform_options: vec!["--retention-ms=1800".to_owned()],
        settings: json!({
            "answer_lifetime_ms": 300, "list_lag_ms": 300, "log_level": "error",
            "log_retention_ms": 1800,
        }),
        ..Options::default()
    };
    let cluster = Cluster::start(options).unwrap();
    let customer = cluster.customer("riders");
    let key = customer::generate_key();
    assert_eq!(book(&customer, cluster.entry_address(0), key).status, 200);
    for _ in 0..10 {
        block_on(Timer::after(Duration::from_millis(300)));
        let repeated = book(&customer, cluster.entry_address(1), key);
        assert_ne!(repeated.ran, Some(Execution::No));
        assert_eq!(runs(&cluster, key), 1);
    }
    let last = book(&customer, cluster.entry_address(2), key);
    assert_eq!(
        (last.status, last.ran),
        (409, Some(Execution::Maybe)),
        "{last:?}"
    );
}
