//! Frames decode to the value that was encoded.

use std::collections::BTreeSet;
use std::rc::Rc;

use cost::Batch;
use cost::Extent;
use cost::Observation;
use cost::Outbox;
use domain::evacuation::Set;
use domain::key::Incarnation;
use membership::Member;
use membership::Message;
use membership::member::Phase;
use membership::message::Kind;
use placement::Expectation;
use placement::JobId;
use placement::Snapshot;
use placement::Update;
use placement::workload::Change;
use placement::workload::Part;
use placement::workload::Placement;
use placement::workload::Timeliness;
use rand::SeedableRng;
use rand::rngs::StdRng;
use routing::quarantine::Report;
use routing::quarantine::Suspicion;
use wire::Delta;
use wire::Frame;
use wire::Record;

/// The encoded size of `message(None)` before messages could carry evacuations, in bytes.
const MESSAGE_SIZE: usize = 77;

fn update(number: u64, change: Change) -> Update {
    let entry = Incarnation(9);
    Update {
        job: JobId { entry, number },
        change,
    }
}

fn placement(timeliness: Timeliness) -> Change {
    let part = |server| Part {
        server,
        prefill_ms: 12.5,
        tokens: 90_000,
    };
    Change::Placed(Placement {
        target_ms: 300,
        pause_ms: 250,
        value: 1.5,
        timeliness,
        parts: vec![part(u64::MAX), part(0)],
        passes: Expectation {
            mean: 22.5,
            upper: 41.0,
        },
        service_ms: Expectation {
            mean: 60.0,
            upper: 95.5,
        },
    })
}

fn check_round_trip(frame: Frame) {
    assert_eq!(Frame::decode(&frame.encode()).expect("valid frame"), frame);
}

#[test]
fn updates_round_trip() {
    check_round_trip(Frame::Updates(vec![
        update(1, placement(Timeliness::OnTime)),
        update(2, placement(Timeliness::Late)),
        update(1, Change::Started),
        update(1, Change::Slowed(4.5)),
        update(
            3,
            Change::Limited {
                server: u64::MAX,
                per_s: 1.5,
            },
        ),
        update(2, Change::Ended),
        update(
            4,
            Change::Rejected {
                digest: u64::MAX,
                return_ms: 750,
            },
        ),
    ]));
}

#[test]
fn snapshot_round_trip() {
    check_round_trip(Frame::Snapshot(Snapshot {
        entry: Incarnation(9),
        placed: vec![update(7, placement(Timeliness::OnTime))],
        started: vec![7],
    }));
}

#[test]
fn delta_round_trip() {
    let record = |key: &str, value: Option<&[u8]>, next: u64| Record {
        key: key.to_owned(),
        value: value.map(<[u8]>::to_owned),
        next,
    };
    check_round_trip(Frame::Delta(Delta {
        from: 3,
        to: 9,
        records: vec![
            record("a", Some(b"{}"), 4),
            record("b", None, 9),
            record("c", Some(b""), 0),
        ],
    }));
}

/// Returns a message of the membership protocol.
fn message(evacuations: Option<Set>) -> Frame {
    let from = Member {
        incarnation: Incarnation(9),
        name: "entry-1".to_owned(),
        data_centre: "dc-1".to_owned(),
        caller_address: ([10, 0, 0, 1], 1).into(),
        peer_address: ([10, 0, 0, 1], 2).into(),
        phase: Phase::Ready,
        version: 3,
        capacity: 120,
        relay_address: None,
    };
    Frame::Message(Message {
        from,
        config_next: 7,
        kind: Kind::Gossip,
        rumours: Vec::new(),
        evacuations: evacuations.map(Rc::new),
    })
}

fn names(names: &[&str]) -> BTreeSet<String> {
    names.iter().map(|it| (*it).to_owned()).collect()
}

/// Guards against sets that lose data centres, or mix listed with held ones, on the way.
#[test]
fn message_evacuations_round_trip() {
    let set = |listed: &[&str], held: &[&str]| Set {
        position: 1 << 40 | 12,
        listed: names(listed),
        held: names(held),
    };
    check_round_trip(message(None));
    check_round_trip(message(Some(set(&[], &[]))));
    check_round_trip(message(Some(set(&["dc-1", "dc-2"], &[]))));
    check_round_trip(message(Some(set(&["dc-1"], &["dc-2", "dc-3"]))));
    check_round_trip(message(Some(set(&[], &["dc-2"]))));
}

/// Guards against larger messages in deployments that don't follow evacuations.
#[test]
fn message_without_evacuations_has_its_previous_size() {
    assert_eq!(message(None).encode().len(), MESSAGE_SIZE);
}

#[test]
fn decode_malformed_bytes_is_an_error() {
    for bytes in [&b""[..], b"x", &[0xff; 64]] {
        assert!(Frame::decode(bytes).is_err());
    }
}

#[test]
fn quarantine_report_round_trip() {
    let suspicion = |digest, crashes: &[(u64, u8)]| Suspicion {
        digest,
        crashes: crashes.to_vec(),
    };
    check_round_trip(Frame::Quarantine(Report {
        suspects: vec![suspicion(7, &[(u64::MAX, 2), (1, 1)]), suspicion(8, &[])],
        cleared: vec![3, 4],
    }));
    check_round_trip(Frame::Quarantine(Report::default()));
}

#[test]
fn costs_round_trip() {
    let observation = |organisation: &str, prompt_tokens, expected_tokens| Observation {
        service: "llm".to_owned(),
        route: "chat".to_owned(),
        organisation: organisation.to_owned(),
        prompt_tokens,
        expected_tokens,
        limit: 4_000.0,
        cost: 1_360.5,
        extent: Extent::Whole,
    };
    let truncated = Observation {
        extent: Extent::Truncated,
        ..observation("org2", 5_000, 0)
    };
    check_round_trip(Frame::Costs(Batch {
        entry: Incarnation(9),
        next: u64::MAX,
        observations: vec![
            observation("org1", 5_000, 1_300),
            truncated,
            observation("", 0, 0),
        ],
    }));
}

/// A batch must fit into a datagram, also if the names in the configuration are long.
#[test]
fn costs_batches_fit_into_datagrams() {
    let mut random = StdRng::seed_from_u64(1);
    for (name_length, min_count) in [(12, 64), (300, 30), (3_000, 3)] {
        let mut outbox = Outbox::new(Incarnation(u64::MAX));
        for number in 0..1_000 {
            let name = format!("{number}").repeat(name_length)[..name_length].to_owned();
            outbox.push(
                Observation {
                    service: name.clone(),
                    route: name.clone(),
                    organisation: name,
                    prompt_tokens: u32::MAX,
                    expected_tokens: u32::MAX,
                    limit: 1.1,
                    cost: 1.1,
                    extent: Extent::Whole,
                },
                &mut random,
            );
        }
        let batch = outbox.take_batch().expect("a batch");
        assert!(batch.observations.len() >= min_count);
        let recent = outbox.recent().expect("a batch");
        for batch in [batch, recent] {
            let bytes = Frame::Costs(batch).encode().len();
            assert!(bytes < 40_000, "{name_length}: {bytes}");
        }
    }
}

/// Returns how a placement is received whose prefill and estimates have these numbers.
fn received(odd_prefill_ms: f32, odd: f32) -> Option<Placement> {
    let Change::Placed(mut sent) = placement(Timeliness::OnTime) else {
        return None;
    };
    sent.parts[0].prefill_ms = odd_prefill_ms;
    sent.passes.upper = odd;
    sent.service_ms.mean = odd;
    let frame = Frame::Updates(vec![update(1, Change::Placed(sent))]);
    let Ok(Frame::Updates(updates)) = Frame::decode(&frame.encode()) else {
        return None;
    };
    match &updates[0].change {
        Change::Placed(placement) => Some(placement.clone()),
        _ => None,
    }
}

/// Guards against times that fit no duration.
#[test]
fn update_numbers_without_sense_are_not_received() {
    let day_ms = 24.0 * 3_600.0 * 1e3;
    let largest = received(day_ms, day_ms).expect("a placement");
    assert_eq!(
        (largest.parts[0].prefill_ms, largest.passes.upper),
        (day_ms, day_ms)
    );
    for odd in [f32::NAN, f32::INFINITY, f32::MAX, day_ms * 1.01, -1.0] {
        assert_eq!(received(odd, 1.0), None, "{odd}");
        let placement = received(1.0, odd).expect("a placement");
        let unknown = Expectation::default();
        assert_eq!(
            (placement.passes, placement.service_ms),
            (unknown, unknown),
            "{odd}"
        );
    }
    for odd in [f32::NAN, f32::INFINITY] {
        let frame = Frame::Updates(vec![update(1, Change::Slowed(odd))]);
        assert!(Frame::decode(&frame.encode()).is_err(), "{odd}");
    }
}
