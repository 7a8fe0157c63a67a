//! Answers are complete and in order, even if chunks are lost, repeated or reordered.

use assembly::Chunk;
use assembly::End;
use assembly::Stream;
use proptest::prelude::*;
use proptest::test_runner::Config;
use proptest::test_runner::RngSeed;

/// The number of tokens that are asked for.
const LIMIT: u64 = 10_000;

/// The delivery of one attempt: the chunks that arrive, in order, stale chunks of other attempts, and
/// whether the end arrives.
#[derive(Clone, Debug)]
struct Delivery {
    chunks: Vec<usize>,
    has_end: bool,
    stale: Vec<(u32, usize)>,
}

fn delivery(length: usize) -> impl Strategy<Value = Delivery> {
    let chunk = 0..length;
    let chunks = prop::collection::vec(chunk.clone(), 0..length * 2);
    let stale = prop::collection::vec((0..8_u32, chunk), 0..4);
    (chunks, any::<bool>(), stale).prop_map(|(chunks, has_end, stale)| Delivery {
        chunks,
        has_end,
        stale,
    })
}

fn text(index: usize) -> String {
    format!("token {index} ")
}

fn push(stream: &mut Stream, attempt: u32, index: usize, text: String, received: &mut String) {
    let ready = stream.push(Chunk {
        attempt,
        index: index as u64,
        text,
    });
    received.push_str(&ready.unwrap().concat());
}

proptest! {
    #![proptest_config(Config {
        rng_seed: RngSeed::Fixed(1), failure_persistence: None, cases: 500, ..Config::default()
    })]

    #[test]
    fn stream_reordered_attempts_are_complete(
        length in 1_usize..20,
        deliveries in prop::collection::vec(delivery(20), 1..6),
    ) {
        let complete: String = (0..length).map(text).collect();
        let mut stream = Stream::new(LIMIT);
        let mut received = String::new();
        for (number, delivery) in deliveries.iter().enumerate() {
            // Current attempts start at 10, so that they differ from stale ones, which are below 8.
            let attempt = 10 + number as u32;
            let offset = stream.resume(attempt);
            prop_assert_eq!(offset, stream.sent());
            for (stale, index) in &delivery.stale {
                push(&mut stream, *stale, *index, "stale ".to_owned(), &mut received);
            }
            for index in delivery.chunks.iter().filter(|it| **it < length) {
                push(&mut stream, attempt, *index, text(*index), &mut received);
            }
            if delivery.has_end {
                stream.end(End { attempt, count: length as u64 }).unwrap();
            }
            prop_assert!(complete.starts_with(&received), "{received:?} is not a prefix of {complete:?}");
            prop_assert_eq!(stream.is_complete(), delivery.has_end && received == complete);
        }
        let attempt = 100;
        for index in stream.resume(attempt) as usize..length {
            push(&mut stream, attempt, index, text(index), &mut received);
        }
        stream.end(End { attempt, count: length as u64 }).unwrap();
        prop_assert!(stream.is_complete());
        prop_assert_eq!(received, complete);
    }
}

#[test]
fn stream_short_count_is_rejected() {
    let mut stream = Stream::new(LIMIT);
    stream.resume(1);
    stream
        .push(Chunk {
            attempt: 1,
            index: 0,
            text: "a".to_owned(),
        })
        .unwrap();
    assert!(
        stream
            .end(End {
                attempt: 1,
                count: 0
            })
            .is_err()
    );
    assert!(!stream.is_complete());
}

#[test]
fn stream_missing_chunk_is_an_error() {
    let mut stream = Stream::new(LIMIT);
    stream.resume(1);
    let mut chunks = (1..LIMIT).map(|index| Chunk {
        attempt: 1,
        index,
        text: String::new(),
    });
    assert!(chunks.any(|chunk| stream.push(chunk).is_err()));
}

/// Guards against an engine that fills the memory with more than it was asked for.
#[test]
fn stream_longer_than_asked_for_is_rejected() {
    let push = |index, length| {
        let mut stream = Stream::new(3);
        stream.resume(1);
        let text = "a".repeat(length);
        let attempt = 1;
        stream.push(Chunk {
            attempt,
            index,
            text,
        })
    };
    assert!(push(2, 1).is_ok());
    assert!(push(3, 1).is_err());
    assert!(push(u64::MAX, 1).is_err());
    assert!(push(2, assembly::TEXT_LIMIT + 1).is_err());
    let mut stream = Stream::new(3);
    stream.resume(1);
    let end = |count| End { attempt: 1, count };
    assert!(stream.end(end(4)).is_err());
    assert!(stream.end(end(3)).is_ok());
}
