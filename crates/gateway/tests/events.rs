//! Tests that only whole events are passed on, each of them once.

use gateway::events::Splitter;
use h1::Framing;
use proptest::prelude::*;

fn event(id: u64) -> String {
    format!("id: {id}\ndata: d{id}\n\n")
}

/// Pushes `text` in pieces of `size` bytes; returns the events passed on and the last id.
fn push_pieces(last: Option<u64>, text: &str, size: usize) -> (String, Option<u64>) {
    let mut splitter = Splitter::after(last);
    let mut out = Vec::new();
    for piece in text.as_bytes().chunks(size) {
        out.extend(splitter.push(piece).expect("short events"));
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

/// Checks that bytes are rejected, whatever the size of the pieces in which they arrive.
fn check_rejected(last: Option<u64>, text: &str) {
    for size in [1, 7, 1_000] {
        let mut splitter = Splitter::after(last);
        let pieces = text.as_bytes().chunks(size);
        let mut passed_on = Vec::new();
        let is_rejected = pieces
            .map(|it| splitter.push(it).map(|it| passed_on.extend(it)))
            .any(|it| it.is_err());
        assert!(is_rejected, "{text:?}");
        assert!(passed_on.is_empty(), "{text:?}");
    }
}

/// Guards against the text or the head of an error that is passed on as an event.
#[test]
fn push_text_is_rejected() {
    for text in [
        "upstream failed\n\n",
        "HTTP/1.1 502 Bad Gateway\r\nContent-Length: 4\r\n\r\n",
        "{\"error\":1}\n\n",
        "<p>data: a</p>\n\n",
        ": comment\nupstream failed\n\n",
    ] {
        check_rejected(None, text);
        check_rejected(Some(3), text);
    }
}

/// Guards against an error event that is taken for the event after the last one.
#[test]
fn push_resumed_event_without_id_is_rejected() {
    for text in [
        "event: error\ndata: overloaded\n\n",
        "data: a\n\n",
        "id: x\ndata: a\n\n",
    ] {
        check_rejected(Some(3), text);
        check_rejected(Some(3), &format!("{}{text}", event(3)));
        assert_eq!(push_pieces(None, text, 4).0, text);
    }
    let text = format!("{}data: [DONE]\n\n", event(4));
    assert_eq!(push_pieces(Some(3), &text, 4), (text, Some(4)));
}

#[test]
fn push_resumed_comments_are_passed_on() {
    let text = format!("\n: comment\r\n\r\n{}", event(4));
    assert_eq!(push_pieces(Some(3), &text, 4), (text, Some(4)));
}

/// Checks whether a stream that ends after `text` is complete.
fn check_finish(text: &str, framing: Framing, is_complete: bool) {
    let mut splitter = Splitter::after(None);
    splitter.push(text.as_bytes()).expect("short events");
    assert_eq!(splitter.finish(framing).is_ok(), is_complete, "{text:?}");
}

#[test]
fn finish_within_event_is_truncated() {
    for framing in [Framing::Chunked, Framing::Length(20), Framing::UntilClose] {
        check_finish("id: 1\ndata: a", framing, false);
        check_finish("id: 1\ndata: a\n", framing, false);
        check_finish("id: 1\ndata: a\n\ni", framing, false);
        check_finish("id: 1\ndata: a\n\n", framing, true);
    }
}

#[test]
fn finish_without_events_is_truncated_at_close() {
    check_finish("", Framing::UntilClose, false);
    check_finish(": comment\n\n", Framing::UntilClose, false);
    check_finish("", Framing::Chunked, true);
    check_finish("data: no id\n\n", Framing::UntilClose, true);
}

/// Guards against a resumed stream that breaks off before its first event and is taken for complete.
#[test]
fn finish_resumed_stream_without_events_needs_last_chunk() {
    for text in ["", "\n", ": comment\n\n"] {
        let mut splitter = Splitter::after(Some(6));
        splitter.push(text.as_bytes()).expect("no events");
        assert!(splitter.finish(Framing::UntilClose).is_err(), "{text:?}");
        assert!(splitter.finish(Framing::Chunked).is_ok(), "{text:?}");
    }
}

/// Guards against a stream that begins again and ends before the events that the caller has.
#[test]
fn finish_restarted_stream_needs_last_event() {
    for (last, is_complete) in [(1, false), (2, false), (3, true), (4, true)] {
        let text: String = (1..=last).map(event).collect();
        for framing in [Framing::Chunked, Framing::Length(20), Framing::UntilClose] {
            let mut splitter = Splitter::after(Some(3));
            splitter.push(text.as_bytes()).expect("events");
            assert_eq!(splitter.finish(framing).is_ok(), is_complete, "{text:?}");
        }
    }
}

/// Guards against a last chunk that hides the rest of a stream which broke off within an event.
#[test]
fn finish_resumed_stream_needs_event_that_has_begun() {
    let mut first = Splitter::after(None);
    first.push(b"id: 1\ndata: a\n\nid: 2").expect("events");
    assert!(first.expects_event());
    for (text, is_complete) in [
        ("", false),
        (": comment\n\n", false),
        ("id: 1\ndata: a\n\n", false),
        ("id: 2\ndata: b\n\n", true),
    ] {
        let mut second = Splitter::after(first.last_id());
        second.expect_event();
        second.push(text.as_bytes()).expect("events");
        assert_eq!(second.finish(Framing::Chunked).is_ok(), is_complete);
        assert_eq!(second.expects_event(), !is_complete, "{text:?}");
    }
    let mut unnumbered = Splitter::after(None);
    unnumbered.expect_event();
    unnumbered.push(b"data: a\n\n").expect("events");
    assert!(unnumbered.finish(Framing::Chunked).is_ok());
    let mut restarted = Splitter::after(Some(3));
    restarted.push(b"id: 1\ndata: a\n\nid: 2").expect("events");
    assert!(!restarted.expects_event());
}

/// Guards against a stream that is sent again from its start after events without ids.
#[test]
fn can_resume_stream_without_ids_is_denied() {
    for (text, can_resume) in [
        ("", true),
        (": comment\n\n", true),
        ("data: a\n\n", false),
        ("data: a\n\nid: 1\ndata: b\n\n", true),
    ] {
        let mut splitter = Splitter::after(None);
        splitter.push(text.as_bytes()).expect("events");
        assert_eq!(splitter.can_resume(), can_resume, "{text:?}");
    }
}

/// Guards against passes that count twice if a server repeats events of a resumed stream.
#[test]
fn new_event_count_leaves_out_events_that_the_caller_has() {
    let mut splitter = Splitter::after(Some(3));
    let text: String = (2..=6).map(event).collect();
    splitter.push(text.as_bytes()).expect("events");
    assert_eq!((splitter.event_count(), splitter.new_event_count()), (5, 3));
}

/// Guards against events that are dropped since an id before them was too high.
#[test]
fn push_events_after_damaged_id_are_passed_on() {
    for (last, first) in [(None, 0), (None, 1), (Some(3), 4)] {
        let ids = [first, first + 1, 90, first + 3, first + 4];
        let text: String = ids.map(event).concat();
        let mut splitter = Splitter::after(last);
        let passed_on = splitter.push(text.as_bytes()).expect("events");
        assert_eq!(String::from_utf8(passed_on).expect("text"), text);
        assert!(splitter.finish(Framing::Chunked).is_ok());
        assert!(splitter.has_damaged_id() && !splitter.can_resume());
    }
}

/// Guards against an event that is dropped since its own id was too low.
#[test]
fn push_event_with_id_of_earlier_one_is_rejected() {
    for id in [0, 1, 3] {
        let mut splitter = Splitter::after(None);
        let text: String = (1..=3).map(event).collect();
        splitter.push(text.as_bytes()).expect("events");
        assert!(splitter.push(event(id).as_bytes()).is_err(), "{id}");
    }
}

/// Guards against a gap in a resumed stream whose first event has the id of one that the caller has.
#[test]
fn push_resumed_stream_with_gap_after_known_event_is_rejected() {
    for first in [0, 12] {
        let text = [event(first), event(14), event(15)].concat();
        let mut splitter = Splitter::after(Some(12));
        assert!(splitter.push(text.as_bytes()).is_err(), "{first}");
    }
}

#[test]
fn push_unresumable_stream_is_passed_on_unchanged() {
    let text = [event(1), event(90), event(3), event(3), event(0)].concat();
    let mut splitter = Splitter::ignoring_ids();
    let passed_on = splitter.push(text.as_bytes()).expect("events");
    assert_eq!(String::from_utf8(passed_on).expect("text"), text);
    assert!(splitter.finish(Framing::Chunked).is_ok());
}

/// Guards against a resumption after an event whose place in the stream is in doubt.
#[test]
fn can_resume_after_gap_needs_next_event() {
    let mut splitter = Splitter::after(None);
    for (id, can_resume) in [
        (1, true),
        (2, true),
        (9, false),
        (10, true),
        (20, false),
        (35, true),
        (50, true),
    ] {
        splitter.push(event(id).as_bytes()).expect("an event");
        assert_eq!(splitter.can_resume(), can_resume, "{id}");
    }
    splitter.push(b"jd: 21\ndata: d\n\n").expect("an event");
    assert!(!splitter.can_resume(), "the last event has no id");
}

#[test]
fn push_event_without_end_is_rejected() {
    let mut splitter = Splitter::after(None);
    let piece = "data: d\n".repeat(1_000);
    let pushed = (0..100).map(|_| splitter.push(piece.as_bytes()));
    assert!(pushed.filter_map(Result::err).next().is_some());
}

proptest! {
    /// Guards against pieces that are lost or come twice, whatever id is damaged and wherever the stream breaks off.
    #[test]
    fn push_damaged_id_loses_no_event(
        (count, resumed, index) in (2_u64..40).prop_flat_map(|count| (Just(count), 0..count, 0..count)),
        damaged in 0_u64..100,
    ) {
        let index = resumed + 1 + index % (count - resumed);
        prop_assume!(damaged != index);
        prop_assume!(damaged != resumed || resumed == 0 || index < count);
        let mut splitter = Splitter::after((resumed > 0).then_some(resumed));
        let mut passed_on = resumed;
        for number in resumed + 1..=count {
            let id = if number == index { damaged } else { number };
            let event = format!("id: {id}\ndata: d{number}\n\n");
            let Ok(bytes) = splitter.push(event.as_bytes()) else {
                return Ok(());
            };
            if bytes.is_empty() {
                prop_assert!(splitter.last_id() == Some(passed_on) && resumed > 0);
                continue;
            }
            prop_assert_eq!(passed_on + 1, number);
            passed_on = number;
            prop_assert!(!splitter.can_resume() || splitter.last_id() == Some(number));
        }
        prop_assert!(passed_on == count || splitter.finish(Framing::Chunked).is_err());
    }

    #[test]
    fn push_piece_size_does_not_matter(count in 0_u64..20, size in 1_usize..60) {
        let text: String = (1..=count).map(event).collect();
        prop_assert_eq!(push_pieces(None, &text, size).0, text);
    }
}
