//! Tests that only whole events are passed on, each of them once.

use gateway::events::Splitter;
use proptest::prelude::*;

fn event(id: u64) -> String {
    format!("id: {id}\ndata: d{id}\n\n")
}

/// Pushes `text` in pieces of `size` bytes; returns the events passed on and the last id.
fn push_pieces(last: Option<u64>, text: &str, size: usize) -> (String, Option<u64>) {
    let mut splitter = Splitter::after(last);
    let mut out = Vec::new();
    for piece in text.as_bytes().chunks(size) {
        out.extend(splitter.push(piece));
    }
    (String::from_utf8(out).expect("text"), splitter.last_id())
}

#[test]
fn push_incomplete_event_is_held_back() {
    let text = format!("{}id: 2\nda", event(1));
    assert_eq!(push_pieces(None, &text, 4), (event(1), Some(1)));
}

#[test]
fn push_received_events_are_dropped() {
    let text = [event(1), event(2), event(3)].concat();
    assert_eq!(push_pieces(Some(2), &text, 7), (event(3), Some(3)));
}

#[test]
fn push_other_lines_stay_with_their_event() {
    let text = "x-weight-versions: 3\r\nid: 1\r\ndata: a\r\n\r\n: comment\n\n";
    assert_eq!(push_pieces(None, text, 3), (text.to_owned(), Some(1)));
}

#[test]
fn finish_returns_incomplete_event() {
    let mut splitter = Splitter::after(None);
    assert!(splitter.push(b"id: 1\ndata: a").is_empty());
    assert_eq!(splitter.finish(), b"id: 1\ndata: a");
}

proptest! {
    #[test]
    fn push_piece_size_does_not_matter(count in 0_u64..20, size in 1_usize..60) {
        let text: String = (1..=count).map(event).collect();
        prop_assert_eq!(push_pieces(None, &text, size).0, text);
    }
}
