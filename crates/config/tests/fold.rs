//! Tests that all readers reach the same configuration and that versions never decrease.

use std::collections::BTreeMap;

use config::Fold;
use config::Item;
use config::Record;
use config::fold::Outcome;
use config::record::Change;
use config::snapshot;
use config::snapshot::Collector;
use domain::fleet::Firm;
use proptest::prelude::*;
use proptest::test_runner::Config;
use proptest::test_runner::RngSeed;

fn firm(name: u8, share: u64) -> Item {
    Item::Firm(Firm {
        name: format!("firm-{name}"),
        share,
    })
}

/// One publication by an operator. The named version is that of `staleness` records earlier.
#[derive(Clone, Debug)]
struct Attempt {
    name: u8,
    share: u64,
    is_removal: bool,
    staleness: usize,
}

fn attempt() -> impl Strategy<Value = Attempt> {
    (0..3_u8, 1..100_u64, any::<bool>(), 0..3_usize).prop_map(
        |(name, share, is_removal, staleness)| Attempt {
            name,
            share,
            is_removal,
            staleness,
        },
    )
}

/// Appends the attempts to a log. Returns its records and the fold before and after each.
fn log(attempts: &[Attempt]) -> (Vec<Vec<u8>>, Vec<Fold>) {
    let mut folds = vec![Fold::default()];
    let mut records = Vec::new();
    for (offset, it) in attempts.iter().enumerate() {
        let item = firm(it.name, it.share);
        let seen = &folds[folds.len() - 1 - it.staleness.min(folds.len() - 1)];
        let change = Change {
            name: item.name(),
            replaces: seen.version(&item.name()),
            value: (!it.is_removal).then_some(item),
        };
        let record = Record {
            nonce: offset as u64 + 1,
            author: "op".to_owned(),
            changes: vec![change],
        };
        let data = serde_json::to_vec(&record).unwrap();
        let mut fold = folds[folds.len() - 1].clone();
        fold.read(offset as u64, &data).unwrap();
        records.push(data);
        folds.push(fold);
    }
    (records, folds)
}

proptest! {
    #![proptest_config(Config {
        rng_seed: RngSeed::Fixed(3), failure_persistence: None, cases: 300, ..Config::default()
    })]

    /// A reader that starts late, reads records again and loads snapshots of any age always has the
    /// state of the log at its offset, and its versions never decrease.
    #[test]
    fn fold_any_reader_agrees_and_versions_never_decrease(
        attempts in prop::collection::vec(attempt(), 1..30),
        steps in prop::collection::vec((any::<bool>(), 0..31_usize), 1..60),
    ) {
        let (records, folds) = log(&attempts);
        let mut reader = Fold::default();
        for (is_snapshot, position) in steps {
            let before = reader.clone();
            if is_snapshot {
                let source = &folds[position % folds.len()];
                let mut collector = Collector::default();
                let parts = snapshot::split(source, position as u64);
                let parts = parts.iter().map(|it| serde_json::to_vec(it).unwrap());
                let restored = parts.filter_map(|it| collector.read(&it)).next_back();
                reader.merge(restored.unwrap());
            } else {
                let offset = (position % records.len()) as u64;
                let _ = reader.read(offset, &records[offset as usize]);
            }
            prop_assert!(reader.next() >= before.next());
            for (name, entry) in before.entries() {
                prop_assert!(reader.version(name) >= entry.version);
            }
            prop_assert_eq!(&reader, &folds[reader.next() as usize]);
        }
    }

    #[test]
    fn fold_one_of_conflicting_records_wins(shares in prop::collection::vec(1..100_u64, 2..6)) {
        let mut fold = Fold::default();
        for (offset, share) in shares.iter().enumerate() {
            let desired = BTreeMap::from([(firm(0, *share).name(), firm(0, *share))]);
            let record = Record::between(&Fold::default(), &desired, offset as u64 + 1, "op");
            fold.read(offset as u64, &serde_json::to_vec(&record).unwrap()).unwrap();
        }
        let accepted: Vec<u64> = fold
            .verdicts()
            .iter()
            .filter(|it| it.outcome == Outcome::Accepted)
            .map(|it| it.offset)
            .collect();
        prop_assert_eq!(accepted, vec![0]);
        prop_assert_eq!(fold.item(&firm(0, 1).name()), Some(&firm(0, shares[0])));
        let is_lost = |outcome: &Outcome| matches!(outcome, Outcome::Lost { .. });
        let all_others_lost = fold.verdicts().iter().skip(1).all(|it| is_lost(&it.outcome));
        prop_assert!(all_others_lost);
    }
}

#[test]
fn fold_duplicate_record_has_no_effect() {
    let desired = BTreeMap::from([(firm(0, 1).name(), firm(0, 1))]);
    let record = Record::between(&Fold::default(), &desired, 9, "op");
    let data = serde_json::to_vec(&record).unwrap();
    let mut fold = Fold::default();
    fold.read(0, &data).unwrap();
    fold.read(1, &data).unwrap();
    assert_eq!(fold.verdicts().len(), 1);
    assert_eq!(fold.verdict(9).unwrap().outcome, Outcome::Accepted);
}

#[test]
fn fold_malformed_record_is_skipped() {
    let mut fold = Fold::default();
    fold.read(0, b"no json").unwrap();
    assert_eq!(fold.next(), 1);
    assert_eq!(fold.verdicts()[0].outcome, Outcome::Malformed);
}
