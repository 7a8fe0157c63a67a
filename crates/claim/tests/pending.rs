//! Appends are few, and the first ones do not wait.

use std::time::Duration;

use claim::Pending;
use claim::record::Event;
use claim::record::Kind;
use domain::Key;
use domain::Moment;

const START: Moment = Moment::from_millis(10_000);

fn event(number: u128, kind: Kind) -> Event {
    Event {
        key: Key::generate(Duration::from_secs(1), number),
        nonce: 1,
        kind,
    }
}

/// Returns the appends that a claim every millisecond leads to in so many milliseconds.
fn appends(millis: u64) -> usize {
    let mut pending = Pending::default();
    let mut appends = 0;
    for milli in 0..millis {
        let now = START + Duration::from_millis(milli);
        pending.push(event(milli.into(), Kind::Claim));
        if pending.due(now).is_some_and(|due| due <= now) {
            pending.take(now);
            appends += 1;
        }
    }
    appends
}

#[test]
fn pending_first_claims_do_not_wait() {
    assert_eq!(appends(3), 3);
}

#[test]
fn pending_many_claims_share_appends() {
    let allowed = (claim::APPENDS_PER_SECOND / claim::SHARDS * 10) as usize;
    let in_ten_seconds = appends(10_000);
    // A few may follow one another at once at the start.
    assert!(
        (allowed..=allowed + 6).contains(&in_ten_seconds),
        "{in_ten_seconds}"
    );
}

#[test]
fn pending_outcomes_wait_for_company() {
    let mut pending = Pending::default();
    pending.push(event(1, Kind::Claim));
    pending.take(START);
    pending.push(event(1, Kind::Release));
    assert!(pending.due(START).unwrap() >= START + Duration::from_millis(500));
    pending.push(event(2, Kind::Claim));
    assert_eq!(pending.due(START), Some(START));
    assert_eq!(pending.take(START).events.len(), 2);
}
