//! A book of tickets has one authority at a time, also when copies of it come late.

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

fn parcel() -> (Handover, Key) {
    let mut book = Tickets::new(ISSUER);
    let now = Moment::from_millis(1);
    let key = book.issue(now, Duration::from_secs(1), "riders").unwrap();
    (book.into_handover(now), key)
}

#[test]
fn book_taken_over_decides() {
    let node = node();
    let (parcel, key) = parcel();
    claims::take_over(&node, parcel);
    let decision = block_on(claims::decide(&node, key, 1, "riders"));
    assert_eq!(decision, Decision::Verdict(Verdict::Granted));
}

#[test]
fn book_copy_after_it_went_on_does_not_decide() {
    let node = node();
    let (parcel, key) = parcel();
    claims::take_over(&node, parcel.clone());
    block_on(claims::hand_over(&node));
    claims::take_over(&node, parcel);
    let decision = block_on(claims::decide(&node, key, 1, "riders"));
    assert!(matches!(decision, Decision::Unavailable(_)), "{decision:?}");
}
