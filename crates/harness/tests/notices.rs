//! Backend servers that ask for a pause or announce their leaving in an answer get no work.

use std::time::Duration;
use std::time::Instant;

use async_io::Timer;
use async_io::block_on;
use domain::fleet::Kind;
use harness::Cluster;
use harness::cluster::Options;
use harness::customer::Prompt;
use harness::raw;
use harness::raw::Answer;
use harness::raw::Server;

/// An answer by which a server turns a request away and asks for a pause of three seconds.
const PAUSE: &str = "HTTP/1.1 503 Busy\r\nRetry-After: 3\r\nContent-Length: 0\r\n\r\n";
/// An answer of a server that leaves.
const LEAVING: &str = "HTTP/1.1 200 OK\r\nCoriander-Leaving: yes\r\nContent-Length: 2\r\n\r\n{}";
/// The length of the pause, and the time within which a leaving server gets its last request.
const NOTICE_TIME: Duration = Duration::from_secs(3);
/// Requests that arrive within this time after an answer were sent before it was read.
const IN_FLIGHT_TIME: Duration = Duration::from_millis(500);
const ASK_INTERVAL: Duration = Duration::from_millis(20);

/// Starts a cluster with one entry, one healthy plain server, and a raw server of this kind.
fn start(kind: Kind, answer: Answer) -> (Cluster, Server) {
    let cluster = Cluster::start(Options {
        entries: 1,
        engines: 0,
        ..Options::default()
    })
    .unwrap();
    let server = Server::start(answer).unwrap();
    server.join(&cluster, kind).unwrap();
    (cluster, server)
}

fn book(cluster: &Cluster) {
    let customer = cluster.customer("riders");
    block_on(customer.service(cluster.entry_address(0), "bookings/x", None)).unwrap();
}

fn chat(cluster: &Cluster) {
    let customer = cluster.customer("forum");
    let prompt = Prompt::new(1_000, 2, 1);
    block_on(customer.prompt(cluster.entry_address(0), &prompt)).unwrap();
}

/// Sends requests until the server's first answer is `until` ago. Returns how long after that
/// answer each further request arrived there.
fn arrivals(
    (cluster, server): &(Cluster, Server),
    ask: fn(&Cluster),
    until: Duration,
) -> Vec<Duration> {
    cluster
        .wait_until(Duration::from_secs(20), "the first request", || {
            ask(cluster);
            !server.arrivals().is_empty()
        })
        .unwrap();
    let first = server.arrivals()[0];
    while first.elapsed() < until {
        ask(cluster);
        block_on(Timer::after(ASK_INTERVAL));
    }
    let since = |it: Instant| it.saturating_duration_since(first);
    server.arrivals().into_iter().skip(1).map(since).collect()
}

/// Checks that a server gets no requests in the pause that it asked for, and some after it.
fn check_pause(kind: Kind, ask: fn(&Cluster)) {
    let rig = start(kind, Answer::Once(PAUSE));
    let arrivals = arrivals(&rig, ask, NOTICE_TIME * 2);
    let in_pause = arrivals
        .iter()
        .filter(|it| **it > IN_FLIGHT_TIME && **it < NOTICE_TIME);
    assert_eq!(in_pause.count(), 0, "{arrivals:?}");
    assert!(arrivals.iter().any(|it| *it > NOTICE_TIME), "{arrivals:?}");
}

#[test]
fn paused_service_gets_no_requests_until_its_pause_ends() {
    check_pause(raw::service(), book);
}

#[test]
fn paused_engine_gets_no_requests_until_its_pause_ends() {
    check_pause(raw::engine(), chat);
}

#[test]
fn service_that_leaves_by_an_answer_gets_no_requests() {
    let rig = start(raw::service(), Answer::Once(LEAVING));
    let arrivals = arrivals(&rig, book, NOTICE_TIME * 2);
    let late = arrivals.iter().filter(|it| **it > NOTICE_TIME);
    assert_eq!(late.count(), 0, "{arrivals:?}");
}
