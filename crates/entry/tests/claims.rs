//! Tickets have one authority at a time, also if a duplicate of their handover arrives late.

use std::net::SocketAddr;
use std::path::Path;
use std::rc::Rc;
use std::time::Duration;

use async_executor::LocalExecutor;
use async_io::block_on;
use claim::Tickets;
use claim::Verdict;
use claim::tickets::Handover;
use domain::Key;
use domain::Moment;
use domain::key::Incarnation;
use entry::claims;
use entry::node::Addresses;
use entry::node::Node;
use wire::call::Decision;

const ISSUER: Incarnation = Incarnation(77);

fn node() -> Rc<Node> {
    let text = r#"{ "name": "a", "data_centre": "b", "callers": "127.0.0.1:0",
        "peers": "127.0.0.1:0", "operators": "127.0.0.1:0", "platform": "127.0.0.1:1" }"#;
    let settings = settings::entry_from_text(Path::new("test"), text).unwrap();
    let address: SocketAddr = "127.0.0.1:0".parse().unwrap();
    let addresses = Addresses {
        callers: address,
        peers: address,
        operators: address,
    };
    Node::new(settings, addresses, Rc::new(LocalExecutor::new()))
}

fn handover() -> (Handover, Key) {
    let mut tickets = Tickets::new(ISSUER);
    let now = Moment::from_millis(1);
    let key = tickets
        .issue(now, Duration::from_secs(1), "riders")
        .unwrap();
    (tickets.into_handover(now), key)
}

#[test]
fn take_over_makes_the_entry_the_authority() {
    let node = node();
    let (handover, key) = handover();
    claims::take_over(&node, handover);
    let decision = block_on(claims::decide(&node, key, 1, "riders"));
    assert_eq!(decision, Decision::Verdict(Verdict::Granted));
}

#[test]
fn take_over_ignores_duplicate_after_hand_over() {
    let node = node();
    let (handover, key) = handover();
    claims::take_over(&node, handover.clone());
    block_on(claims::hand_over(&node));
    claims::take_over(&node, handover);
    let decision = block_on(claims::decide(&node, key, 1, "riders"));
    assert!(matches!(decision, Decision::Unavailable(_)), "{decision:?}");
}
