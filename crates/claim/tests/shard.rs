//! Tests that a request runs at most once, in whatever order its claims reach the log.

use std::collections::BTreeSet;
use std::time::Duration;

use claim::Outcome;
use claim::Record;
use claim::Shard;
use claim::Tickets;
use claim::Verdict;
use claim::record::Event;
use claim::record::Kind;
use domain::Key;
use domain::Moment;
use domain::key::Incarnation;
use proptest::prelude::*;
use proptest::test_runner::Config;
use proptest::test_runner::RngSeed;

const RETENTION: Duration = Duration::from_secs(4_000);
const NOW: Duration = Duration::from_secs(1_000_000);

fn record(key: Key, nonce: u64, kind: Kind) -> Vec<u8> {
    serde_json::to_vec(&Record {
        events: vec![Event { key, nonce, kind }],
    })
    .unwrap()
}

/// An event of one holder, by nonce, in the order of the log.
#[derive(Clone, Copy, Debug)]
enum Step {
    Claim(u64),
    Release(u64),
}

fn step() -> impl Strategy<Value = Step> {
    (0..4_u64, prop::bool::weighted(0.7)).prop_map(|(nonce, is_claim)| match is_claim {
        true => Step::Claim(nonce),
        false => Step::Release(nonce),
    })
}

proptest! {
    #![proptest_config(Config {
        rng_seed: RngSeed::Fixed(2), failure_persistence: None, cases: 1_000, ..Config::default()
    })]

    /// A holder may run at any time after a grant, and never after its own release.
    #[test]
    fn shard_at_most_one_holder_runs(
        steps in prop::collection::vec(step(), 1..20),
        gaps in prop::collection::vec(0..1_500_u64, 20),
        run_at in 0_usize..20,
    ) {
        let key = Key::generate(NOW, 7);
        let mut shard = Shard::new(RETENTION);
        let mut released = BTreeSet::new();
        let mut ran_by = None;
        let mut appended_at = NOW - Duration::from_secs(1_200);
        for (number, (step, gap)) in steps.iter().zip(&gaps).enumerate() {
            appended_at += Duration::from_millis(*gap);
            let (nonce, kind) = match step {
                Step::Claim(nonce) => (*nonce, Kind::Claim),
                Step::Release(nonce) => (*nonce, Kind::Release),
            };
            // A holder that ran the request does not release its claim.
            if kind == Kind::Release && ran_by == Some(nonce) {
                continue;
            }
            if kind == Kind::Release {
                released.insert(nonce);
            }
            let offset = shard.next();
            shard.read(offset, appended_at, &record(key, nonce, kind)).unwrap();
            let granted: Vec<u64> =
                (0..4).filter(|it| shard.verdict(key, *it) == Some(Verdict::Granted)).collect();
            prop_assert!(granted.len() <= 1);
            prop_assert!(granted.iter().all(|it| !released.contains(it)));
            if let Some(ran) = ran_by {
                prop_assert!(granted.is_empty() || granted == [ran]);
            } else if number >= run_at {
                ran_by = granted.first().copied();
            }
        }
    }

    #[test]
    fn shard_claims_outside_the_window_never_count(seconds in 0..4_000_u64, is_early: bool) {
        let mut shard = Shard::new(RETENTION);
        let key = Key::generate(NOW, 7);
        let distance = Duration::from_secs(seconds);
        let appended_at = if is_early { NOW - distance } else { NOW + distance };
        shard.read(0, appended_at, &record(key, 1, Kind::Claim)).unwrap();
        let counts = shard.verdict(key, 1) == Some(Verdict::Granted);
        prop_assert_eq!(counts, distance <= RETENTION / 4);
        prop_assert_eq!(counts, shard.window_violation(key, appended_at).is_none());
    }

    #[test]
    fn tickets_at_most_one_holder(
        steps in prop::collection::vec((step(), 0..400_u64), 1..30),
    ) {
        let mut tickets = Tickets::new(Incarnation(5));
        let mut now = Moment::default();
        let key = tickets.issue(now, NOW, "riders").unwrap();
        let mut granted = BTreeSet::new();
        for (step, seconds) in steps {
            now = now + Duration::from_secs(seconds);
            match step {
                Step::Claim(nonce) => {
                    if tickets.claim(now, key, nonce, "riders") == Verdict::Granted {
                        granted.insert(nonce);
                    }
                }
                Step::Release(nonce) => {
                    tickets.release(key, nonce);
                    granted.remove(&nonce);
                }
            }
            prop_assert!(granted.len() <= 1, "{granted:?}");
        }
    }
}

#[test]
fn shard_missed_records_are_detected() {
    let mut shard = Shard::new(RETENTION);
    assert!(shard.read(3, NOW, b"{}").is_err());
    assert!(shard.check(1).is_err());
    shard.restart(3);
    assert!(shard.read(3, NOW, b"{}").is_ok());
}

#[test]
fn shard_late_duplicate_of_a_released_claim_has_no_effect() {
    let mut shard = Shard::new(RETENTION);
    let key = Key::generate(NOW, 7);
    let kinds = [Kind::Claim, Kind::Release, Kind::Claim];
    for (offset, kind) in kinds.into_iter().enumerate() {
        shard
            .read(offset as u64, NOW, &record(key, 1, kind))
            .unwrap();
    }
    assert_eq!(shard.verdict(key, 1), None);
    shard.read(3, NOW, &record(key, 2, Kind::Claim)).unwrap();
    assert_eq!(shard.verdict(key, 2), Some(Verdict::Granted));
}

#[test]
fn shard_repeated_claim_returns_the_outcome() {
    let mut shard = Shard::new(RETENTION);
    let key = Key::generate(NOW, 7);
    shard.read(0, NOW, &record(key, 1, Kind::Claim)).unwrap();
    assert_eq!(shard.verdict(key, 2), Some(Verdict::Used(Outcome::Open)));
    shard
        .read(1, NOW, &record(key, 1, Kind::Settle(Outcome::Lost)))
        .unwrap();
    assert_eq!(shard.verdict(key, 2), Some(Verdict::Used(Outcome::Lost)));
}

#[test]
fn tickets_of_other_customers_and_forged_ones_are_rejected() {
    let mut tickets = Tickets::new(Incarnation(5));
    let now = Moment::default();
    let key = tickets.issue(now, NOW, "riders").unwrap();
    assert_eq!(tickets.claim(now, key, 1, "clinics"), Verdict::NotIssued);
    let forged = Key::ticket(NOW, Incarnation(5), 99);
    assert_eq!(tickets.claim(now, forged, 1, "riders"), Verdict::NotIssued);
    let late = now + claim::tickets::LIFETIME;
    assert_eq!(tickets.claim(late, key, 1, "riders"), Verdict::TooOld);
}

#[test]
fn tickets_handover_preserves_holders_and_ages() {
    let mut tickets = Tickets::new(Incarnation(5));
    let now = Moment::from_millis(1_000_000);
    let keys: Vec<Key> = (0..2)
        .filter_map(|_| tickets.issue(now, NOW, "riders"))
        .collect();
    assert_eq!(tickets.claim(now, keys[0], 1, "riders"), Verdict::Granted);
    let later = now + claim::tickets::LIFETIME / 2;
    let handover = serde_json::to_vec(&tickets.into_handover(later)).unwrap();
    // The clock of the receiving entry has another origin.
    let restored_at = Moment::from_millis(5_000_000);
    let mut tickets =
        Tickets::from_handover(restored_at, serde_json::from_slice(&handover).unwrap());
    assert_eq!(
        tickets.claim(restored_at, keys[0], 2, "riders"),
        Verdict::Used(Outcome::Open)
    );
    assert_eq!(
        tickets.claim(restored_at, keys[1], 2, "riders"),
        Verdict::Granted
    );
    let mut tickets =
        Tickets::from_handover(restored_at, serde_json::from_slice(&handover).unwrap());
    let late = restored_at + claim::tickets::LIFETIME / 2;
    assert_eq!(tickets.claim(late, keys[1], 2, "riders"), Verdict::TooOld);
}
