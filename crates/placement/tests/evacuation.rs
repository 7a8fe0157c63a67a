//! Which data centres count as evacuated, depending on what was read and what other entries sent.

use std::collections::BTreeSet;
use std::time::Duration;

use domain::Moment;
use domain::evacuation::Set;
use domain::position;
use placement::Evacuations;
use placement::evacuation::Change;
use placement::evacuation::Record;
use proptest::prelude::*;
use proptest::test_runner::RngSeed;

/// The time for which a list of a later era ends no evacuation.
const HOLD_TIME: Duration = Duration::from_secs(10);

fn names(names: &[&str]) -> BTreeSet<String> {
    names.iter().map(|it| (*it).to_owned()).collect()
}

fn start(data_centre: &str, next: u64) -> Record {
    Record {
        data_centre: data_centre.to_owned(),
        is_start: true,
        next,
    }
}

fn end(data_centre: &str, next: u64) -> Record {
    Record {
        is_start: false,
        ..start(data_centre, next)
    }
}

/// A copy and the present time.
struct Copy {
    evacuations: Evacuations,
    now: Moment,
}

impl Copy {
    fn new() -> Self {
        Self {
            evacuations: Evacuations::default(),
            now: Moment::from_millis(1_000),
        }
    }

    /// Returns a copy that has read a list.
    fn of(position: u64, listed: &[&str]) -> Self {
        let mut copy = Self::new();
        copy.list(position, listed);
        copy
    }

    fn list(&mut self, position: u64, listed: &[&str]) -> Change {
        self.evacuations
            .apply_list(self.now, position, names(listed))
    }

    fn changes(&mut self, from: u64, to: u64, records: &[Record]) -> Option<Change> {
        self.evacuations.apply_changes(self.now, from, to, records)
    }

    fn receive(&mut self, position: u64, listed: &[&str], held: &[&str]) -> Change {
        let set = Set {
            position,
            listed: names(listed),
            held: names(held),
        };
        self.evacuations.receive(self.now, &set)
    }

    fn wait(&mut self, time: Duration) -> Change {
        self.now = self.now + time;
        self.evacuations.expire(self.now)
    }

    fn check(&self, expected: &[&str]) {
        assert_eq!(self.evacuations.data_centres(), names(expected));
    }
}

/// Guards against an end that affects other data centres, and records applied out of order.
#[test]
fn changes_start_and_end_overlapping_evacuations() {
    let mut copy = Copy::of(5, &[]);
    let change = copy.changes(5, 7, &[start("a", 6), start("b", 7)]);
    assert_eq!(change.expect("complete").started, ["a", "b"]);
    copy.check(&["a", "b"]);
    copy.now = copy.now + Duration::from_millis(700);
    let change = copy.changes(7, 8, &[end("a", 8)]).expect("complete");
    assert_eq!(change.ended, ["a"]);
    assert_eq!(change.delay, Some(Duration::from_millis(700)));
    copy.check(&["b"]);
    copy.changes(8, 10, &[start("a", 9), end("b", 10)]);
    copy.check(&["a"]);
    copy.changes(10, 12, &[start("c", 11), end("c", 12)]);
    copy.check(&["a"]);
}

/// Guards against a position that stays behind, so that later copies of others count as stale.
#[test]
fn changes_of_other_records_advance_the_position() {
    let mut copy = Copy::of(5, &["a"]);
    assert!(copy.changes(5, 9, &[]).expect("complete").is_empty());
    assert_eq!(copy.evacuations.known().map(|it| it.position), Some(9));
    copy.check(&["a"]);
}

/// Guards against an end because of a read that is older than what is known.
#[test]
fn stale_read_ends_no_evacuation() {
    let mut copy = Copy::of(9, &["a"]);
    assert!(copy.list(8, &[]).is_empty());
    let stale = copy.changes(3, 8, &[end("a", 6)]);
    assert!(stale.expect("complete").is_empty());
    copy.check(&["a"]);
}

/// Guards against a late read that starts an evacuation again whose end the log's history lacks.
#[test]
fn changes_before_the_known_position_are_skipped() {
    let mut copy = Copy::of(5, &[]);
    copy.receive(8, &[], &[]);
    copy.changes(5, 9, &[start("a", 6), start("b", 9)]);
    copy.check(&["b"]);
}

/// Guards against a late read that starts an evacuation again whose end a peer knows.
#[test]
fn changes_known_already_are_not_applied_again() {
    let mut copy = Copy::of(5, &[]);
    copy.receive(8, &[], &[]);
    copy.changes(5, 9, &[start("a", 6), end("a", 7), start("b", 9)]);
    copy.check(&["b"]);
    let mut copy = Copy::of(5, &[]);
    copy.receive(8, &[], &[]);
    assert!(
        copy.changes(5, 7, &[start("a", 6)])
            .expect("complete")
            .is_empty()
    );
    copy.check(&[]);
}

/// Guards against a copy that takes changes after a gap for complete.
#[test]
fn changes_after_missing_history_require_the_whole_list() {
    assert_eq!(Copy::new().changes(5, 6, &[start("a", 6)]), None);
    let mut copy = Copy::of(5, &["a"]);
    assert_eq!(copy.changes(7, 8, &[end("b", 8)]), None);
    copy.check(&["a"]);
    copy.list(8, &["a", "c"]);
    copy.check(&["a", "c"]);
}

/// Guards against an evacuation whose record the log's history lacks but the list of latest records has.
#[test]
fn list_of_the_known_position_adds_what_the_history_lacks() {
    let mut copy = Copy::of(5, &[]);
    copy.changes(5, 9, &[]);
    assert_eq!(copy.list(9, &["a"]).started, ["a"]);
    let mut other = Copy::of(9, &[]);
    other.receive(9, &["a"], &[]);
    other.check(&["a"]);
    // A list as of the same position that lacks it does not end it.
    other.list(9, &[]);
    other.check(&["a"]);
}

/// Guards against an evacuation that never ends because its removal was lost.
#[test]
fn lost_removal_is_made_up_by_a_later_list() {
    let mut copy = Copy::of(5, &["a", "b"]);
    let change = copy.list(20, &["b"]);
    assert_eq!(change.ended, ["a"]);
    copy.check(&["b"]);
}

/// Guards against an evacuation that starts again because of a repeated message.
#[test]
fn lost_removal_is_made_up_by_the_next_message() {
    let mut copy = Copy::of(5, &["a"]);
    copy.receive(6, &[], &[]);
    copy.check(&[]);
    copy.receive(5, &["a"], &[]);
    copy.check(&[]);
}

/// Guards against an end because the store came back from an older copy.
#[test]
fn list_of_later_era_ends_no_evacuation_within_the_hold_time() {
    let mut copy = Copy::of(position::encode(0, 9), &["a", "b"]);
    assert_eq!(copy.list(position::encode(1, 3), &["c"]).started, ["c"]);
    copy.check(&["a", "b", "c"]);
    copy.wait(HOLD_TIME / 2);
    let next = position::encode(1, 4);
    copy.changes(position::encode(1, 3), next, &[start("a", next)]);
    assert!(
        copy.wait(HOLD_TIME / 2 - Duration::from_millis(1))
            .is_empty()
    );
    copy.check(&["a", "b", "c"]);
    assert_eq!(copy.wait(Duration::from_millis(1)).ended, ["b"]);
    copy.check(&["a", "c"]);
}

/// Guards against a held evacuation that ignores the operator, or comes back by others' copies.
#[test]
fn removal_in_later_era_ends_a_held_evacuation_for_good() {
    let mut copy = Copy::of(position::encode(0, 9), &["a"]);
    let (from, to) = (position::encode(1, 3), position::encode(1, 4));
    copy.list(from, &[]);
    let change = copy.changes(from, to, &[end("a", to)]).expect("complete");
    assert_eq!(change.ended, ["a"]);
    copy.receive(position::encode(0, 9), &["a"], &[]);
    copy.receive(to, &[], &["a"]);
    copy.check(&[]);
}

/// Guards against an instance that starts after the store's return, whose list lacks the evacuation.
#[test]
fn restarted_copy_learns_of_held_evacuations() {
    let later = position::encode(1, 3);
    for is_peer_ahead in [false, true] {
        let mut copy = Copy::of(later, &[]);
        match is_peer_ahead {
            false => copy.receive(position::encode(0, 9), &["a"], &[]),
            true => copy.receive(later, &[], &["a"]),
        };
        copy.check(&["a"]);
        copy.wait(HOLD_TIME);
        copy.check(&[]);
        // Others hold it a little longer, which must not prolong it here.
        copy.receive(later, &[], &["a"]);
        copy.receive(position::encode(0, 9), &["a"], &[]);
        copy.check(&[]);
    }
}

/// Guards against a hold that a second return of the store cuts short.
#[test]
fn second_return_holds_what_the_first_one_did() {
    let mut copy = Copy::of(position::encode(0, 9), &["a"]);
    copy.list(position::encode(1, 3), &[]);
    copy.wait(HOLD_TIME / 2);
    copy.list(position::encode(2, 1), &[]);
    copy.wait(HOLD_TIME / 2);
    copy.check(&["a"]);
    copy.wait(HOLD_TIME / 2);
    copy.check(&[]);
}

/// One step of several copies, the first of which reads the operator's list.
#[derive(Clone, Debug)]
enum Step {
    /// The operator starts or ends an evacuation.
    Write(u8, bool),
    /// The store comes back from an older copy, and the operator writes again what it lost.
    Return(u64),
    /// The reader reads changes, or the whole list.
    Read(bool),
    /// A copy is sent to another one, by their numbers. The message is lost, kept for later or delivered.
    Send(usize, usize, u8),
    /// Delivers a message that was kept, once more or for the first time.
    Deliver(usize, usize),
    /// Time passes, in milliseconds.
    Wait(u64),
}

const COPIES: usize = 4;

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        4 => (0..4_u8, any::<bool>()).prop_map(|(name, is_start)| Step::Write(name, is_start)),
        1 => (1..6_u64).prop_map(Step::Return),
        4 => any::<bool>().prop_map(Step::Read),
        8 => (0..COPIES, 0..COPIES, 0..4_u8).prop_map(|(from, to, fate)| Step::Send(from, to, fate)),
        4 => (0..64_usize, 0..COPIES).prop_map(|(message, to)| Step::Deliver(message, to)),
        2 => (0..6_000_u64).prop_map(Step::Wait),
    ]
}

/// The operator's list: the records of the present era.
#[derive(Default)]
struct List {
    era: u64,
    records: Vec<(String, bool)>,
}

impl List {
    fn end(&self) -> u64 {
        position::encode(self.era, self.records.len() as u64)
    }

    fn listed(&self) -> BTreeSet<String> {
        let mut listed = BTreeSet::new();
        for (name, is_start) in &self.records {
            match is_start {
                true => listed.insert(name.clone()),
                false => listed.remove(name),
            };
        }
        listed
    }

    fn records_from(&self, from: u64) -> Vec<Record> {
        let first = position::offset(from);
        let all = self.records.iter().enumerate();
        let later = all.filter(|it| it.0 as u64 >= first);
        later
            .map(|(index, (name, is_start))| Record {
                data_centre: name.clone(),
                is_start: *is_start,
                next: position::encode(self.era, index as u64 + 1),
            })
            .collect()
    }
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 2_000,
        rng_seed: RngSeed::Fixed(31),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    /// Copies end with the reader's view however messages are lost, repeated and reordered.
    #[test]
    fn copies_end_with_the_view_of_the_reader(steps in prop::collection::vec(step(), 1..60)) {
        let mut now = Moment::from_millis(1_000);
        let mut list = List::default();
        let mut next = None;
        let mut copies = vec![Evacuations::default(); COPIES];
        let mut kept: Vec<Set> = Vec::new();
        for step in steps {
            match step {
                Step::Write(name, is_start) => {
                    list.records.push((format!("dc-{name}"), is_start));
                }
                Step::Return(lost) => {
                    let listed = list.listed();
                    let length = list.records.len().saturating_sub(lost as usize);
                    list.records.truncate(length);
                    list.era += 1;
                    let missing = listed.difference(&list.listed()).cloned().collect::<Vec<_>>();
                    list.records.extend(missing.into_iter().map(|it| (it, true)));
                }
                Step::Read(is_whole) => read(&mut copies[0], now, &list, &mut next, is_whole),
                Step::Send(from, to, fate) => {
                    let Some(set) = copies[from].known().cloned() else {
                        continue;
                    };
                    match fate {
                        0 => {}
                        1 => kept.push(set),
                        _ => _ = copies[to].receive(now, &set),
                    }
                }
                Step::Deliver(message, to) => {
                    if !kept.is_empty() {
                        let set = kept[message % kept.len()].clone();
                        copies[to].receive(now, &set);
                    }
                }
                Step::Wait(millis) => {
                    now = now + Duration::from_millis(millis);
                    copies.iter_mut().for_each(|it| _ = it.expire(now));
                }
            }
        }
        read(&mut copies[0], now, &list, &mut next, false);
        let set = copies[0].known().cloned().expect("a list was read");
        copies.iter_mut().for_each(|it| _ = it.receive(now, &set));
        now = now + HOLD_TIME;
        copies.iter_mut().for_each(|it| _ = it.expire(now));
        // Messages that arrive late change nothing.
        for set in &kept {
            copies.iter_mut().for_each(|it| _ = it.receive(now, set));
        }
        for copy in &copies {
            prop_assert_eq!(copy.data_centres(), list.listed());
            prop_assert_eq!(copy.known().map(|it| it.position), Some(list.end()));
        }
    }
}

/// Lets the reader read changes if its position is of the present era, otherwise the whole list.
fn read(copy: &mut Evacuations, now: Moment, list: &List, next: &mut Option<u64>, is_whole: bool) {
    let from = next.filter(|it| !is_whole && position::era(*it) == list.era);
    match from {
        Some(from) => {
            let change = copy.apply_changes(now, from, list.end(), &list.records_from(from));
            assert!(change.is_some());
        }
        None => _ = copy.apply_list(now, list.end(), list.listed()),
    }
    *next = Some(list.end());
}
