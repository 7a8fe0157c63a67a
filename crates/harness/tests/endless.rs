//! Backend servers whose bytes don't end: their requests end, and the entry serves others meanwhile.

use std::net::SocketAddr;
use std::thread;
use std::time::Duration;

use async_io::block_on;
use domain::fleet::BackendServer;
use domain::fleet::Kind;
use harness::Cluster;
use harness::Customer;
use harness::cluster::Options;
use harness::cluster::secret;
use harness::customer::Prompt;
use harness::raw;
use harness::raw::Answer;
use harness::raw::Server;

/// The number of requests that the faulty server gets at the same time.
const REQUESTS: usize = 8;
/// The time limit of a prompt, in seconds.
const TIME_LIMIT_S: f64 = 4.0;
/// The number of engines whose status does not end.
const FAULTY_ENGINES: usize = 8;
/// The memory of the smallest instance, in bytes.
const MEMORY_LIMIT: u64 = 160_000_000;
const OK: &str = "HTTP/1.1 200 OK\r\n\r\n";
const CHUNKED: &str = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";

fn book(entry: SocketAddr) {
    let customer = Customer::new(secret("riders"));
    block_on(customer.service(entry, "bookings/x", None)).unwrap();
}

fn chat(entry: SocketAddr) {
    let customer = Customer::new(secret("forum"));
    let prompt = Prompt {
        timeout_s: Some(TIME_LIMIT_S),
        ..Prompt::new(1_000, 2, 1)
    };
    block_on(customer.prompt(entry, &prompt)).unwrap();
}

/// Checks that requests to a server which answers without end do end, and that the entry answers
/// others while they run.
fn check(kind: Kind, ask: fn(SocketAddr), first: &'static str, rest: &'static str) {
    let cluster = Cluster::start(Options {
        entries: 1,
        engines: 0,
        services: 0,
        ..Options::default()
    })
    .unwrap();
    let server = Server::start(Answer::Endless(first, rest)).unwrap();
    server.join(&cluster, kind).unwrap();
    let entry = cluster.entry_address(0);
    cluster
        .wait_until(Duration::from_secs(20), "the first request", || {
            ask(entry);
            !server.arrivals().is_empty()
        })
        .unwrap();
    thread::scope(|scope| {
        for _ in 0..REQUESTS {
            scope.spawn(|| ask(entry));
        }
        let customer = cluster.customer("forum");
        assert!(block_on(customer.entries(entry)).is_ok());
    });
}

/// Guards against status reports that fill the memory: engines are asked for them several times a second.
#[test]
fn endless_status_of_engines_stays_within_memory() {
    let cluster = Cluster::start(Options {
        entries: 1,
        engines: 1,
        services: 0,
        ..Options::default()
    })
    .unwrap();
    let mut fleet = cluster.fleet();
    let servers: Vec<Server> = (0..FAULTY_ENGINES)
        .map(|_| Server::start(Answer::EndlessStatus(OK, "a")).unwrap())
        .collect();
    for (index, server) in servers.iter().enumerate() {
        fleet.backend_servers.push(BackendServer {
            name: format!("raw-{index}"),
            address: server.address,
            data_centre: "dc-0".to_owned(),
            kind: raw::engine(),
        });
    }
    cluster.publish(&fleet).unwrap();
    thread::sleep(Duration::from_secs(5));
    let peak = cluster.entries[0].process.peak_memory().unwrap();
    assert!(peak < MEMORY_LIMIT, "{peak} bytes");
    let customer = cluster.customer("forum");
    assert!(block_on(customer.entries(cluster.entry_address(0))).is_ok());
}

#[test]
fn endless_head_of_service_ends() {
    check(raw::service(), book, "HTTP/1.1 200 OK\r\nX-A: ", "a");
    check(raw::service(), book, "", "HTTP/1.1 100 Continue\r\n\r\n");
}

#[test]
fn endless_body_of_service_ends() {
    check(raw::service(), book, OK, "a");
    check(raw::service(), book, CHUNKED, "8\r\naaaaaaaa\r\n");
}

#[test]
fn endless_head_of_engine_ends() {
    check(raw::engine(), chat, "HTTP/1.1 200 OK\r\nX-A: ", "a");
}

#[test]
fn endless_line_of_engine_ends() {
    check(raw::engine(), chat, OK, "a");
}

#[test]
fn endless_repeated_token_of_engine_ends() {
    let token = "{\"type\":\"chunk\",\"attempt\":1,\"index\":0,\"text\":\"a\"}\n";
    check(raw::engine(), chat, OK, token);
}
