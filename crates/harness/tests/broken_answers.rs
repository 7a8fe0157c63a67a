//! Servers whose answers are broken: callers get an error and nothing of such an answer.

use std::time::Duration;

use async_io::block_on;
use harness::Cluster;
use harness::cluster::Options;
use harness::customer::Prompt;
use harness::raw;
use harness::raw::Answer;
use harness::raw::Server;

/// The lowest status by which an entry says that a request failed.
const SERVER_ERROR: u16 = 500;
/// A head whose status is in no class of statuses.
const WITHOUT_STATUS: &str = "HTTP/1.1 000 OK\r\nContent-Length: 2\r\n\r\n{}";
/// Heads with a blank or a control byte in the name of a field.
const INVALID_NAMES: [&str; 4] = [
    "HTTP/1.1 200 OK\r\nX A: v\r\nContent-Length: 2\r\n\r\n{}",
    "HTTP/1.1 200 OK\r\nContent-Length : 2\r\n\r\n{}",
    "HTTP/1.1 200 OK\r\nX\0A: v\r\nContent-Length: 2\r\n\r\n{}",
    "HTTP/1.1 200 OK\r\nX\rA: v\r\nContent-Length: 2\r\n\r\n{}",
];

/// Checks that a call and a prompt fail whose only servers answer with these bytes.
fn check(bytes: &'static str) {
    let cluster = Cluster::start(Options {
        entries: 1,
        engines: 0,
        services: 0,
        ..Options::default()
    })
    .unwrap();
    let entry = cluster.entry_address(0);
    let server = Server::start(Answer::Once(bytes)).unwrap();
    server.join(&cluster, raw::service()).unwrap();
    let mut answer = None;
    cluster
        .wait_until(Duration::from_secs(20), "the call", || {
            let customer = cluster.customer("riders");
            let call = customer.service(entry, "bookings/x", None);
            answer = Some(block_on(call).unwrap());
            !server.arrivals().is_empty()
        })
        .unwrap();
    let (status, body) = answer.unwrap();
    assert!(status >= SERVER_ERROR, "{bytes:?}: {status} {body}");
    assert_eq!(body["error"]["ran"], "maybe", "{bytes:?}: {body}");
    let server = Server::start(Answer::Once(bytes)).unwrap();
    server.join(&cluster, raw::engine()).unwrap();
    let mut result = None;
    cluster
        .wait_until(Duration::from_secs(20), "the prompt", || {
            let prompt = Prompt::new(1_000, 2, 1);
            let customer = cluster.customer("forum");
            let response = block_on(customer.prompt(entry, &prompt));
            result = Some(response.unwrap().result);
            !server.arrivals().is_empty()
        })
        .unwrap();
    let result = result.unwrap();
    assert!(result.is_err(), "{bytes:?}: {result:?}");
}

/// A head that ends in the name of a field.
const LINE_FEED: &str = "HTTP/1.1 200 OK\r\nX-A: v\r\n\nontent-Length: 2\r\n\r\n{}";

#[test]
fn answer_with_status_000_is_no_answer() {
    check(WITHOUT_STATUS);
}

#[test]
fn answer_with_blank_or_control_byte_in_field_name_is_no_answer() {
    INVALID_NAMES.into_iter().for_each(check);
}

/// Guards against a head that ends in the name of a field, whose rest is passed on as the body.
#[test]
fn answer_with_line_feed_in_field_name_is_no_answer() {
    check(LINE_FEED);
}
