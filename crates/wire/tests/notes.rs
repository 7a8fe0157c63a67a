//! Notes and rosters come back as they were written.

use domain::key::Incarnation;
use placement::JobId;
use placement::Snapshot;
use placement::Update;
use placement::workload::Change;
use placement::workload::Part;
use placement::workload::Placement;
use placement::workload::Timeliness;
use wire::Delta;
use wire::Frame;
use wire::Record;

fn note(number: u64, change: Change) -> Update {
    let entry = Incarnation(9);
    Update {
        job: JobId { entry, number },
        change,
    }
}

fn placed(timeliness: Timeliness) -> Change {
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
    })
}

fn check(frame: Frame) {
    assert_eq!(Frame::decode(&frame.encode()).expect("a frame"), frame);
}

#[test]
fn work_comes_back() {
    check(Frame::Updates(vec![
        note(1, placed(Timeliness::OnTime)),
        note(2, placed(Timeliness::Late)),
        note(1, Change::Started),
        note(1, Change::Slowed(4.5)),
        note(2, Change::Ended),
    ]));
}

#[test]
fn roster_comes_back() {
    check(Frame::Snapshot(Snapshot {
        entry: Incarnation(9),
        placed: vec![note(7, placed(Timeliness::OnTime))],
        started: vec![7],
    }));
}

#[test]
fn listing_comes_back() {
    let record = |key: &str, value: Option<&[u8]>| Record {
        key: key.to_owned(),
        value: value.map(<[u8]>::to_owned),
    };
    check(Frame::Delta(Delta {
        from: 3,
        to: 9,
        records: vec![
            record("a", Some(b"{}")),
            record("b", None),
            record("c", Some(b"")),
        ],
    }));
}

#[test]
fn decode_anything_else_is_an_error() {
    for bytes in [&b""[..], b"x", &[0xff; 64]] {
        assert!(Frame::decode(bytes).is_err());
    }
}
