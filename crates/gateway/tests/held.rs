//! Tests of the memory that all connections share.

use std::rc::Rc;

use futures_lite::future;
use gateway::held::Account;
use gateway::held::Charge;
use gateway::held::Kind;
use gateway::held::Memory;
use proptest::prelude::*;
use proptest::test_runner::Config;
use proptest::test_runner::RngSeed;

const LIMIT: usize = 8_000;
/// What connections may use before one is told to close.
const FULL: usize = 7_000;

fn memory() -> Memory {
    let memory = Memory::default();
    memory.set_limit(LIMIT);
    memory
}

/// Returns the number of bytes that the connection used when it was told to close, if it was.
fn closed_at(account: &Account) -> Option<usize> {
    future::block_on(future::poll_once(account.closing()))
}

/// Opens connections that use this many bytes each, one after the other.
fn open(memory: &Memory, sizes: &[usize]) -> Vec<(Rc<Account>, Charge)> {
    let opened = sizes.iter().map(|size| {
        let account = memory.open();
        let charge = account.charge(Kind::Stream);
        charge.set(*size);
        (account, charge)
    });
    opened.collect()
}

/// Checks which connections are told to close when connections use `sizes` bytes.
fn check(sizes: &[usize], expected: &[Option<usize>]) {
    let opened = open(&memory(), sizes);
    let closed: Vec<_> = opened.iter().map(|it| closed_at(&it.0)).collect();
    assert_eq!(closed, expected);
}

/// Guards against connections that are closed although there is room.
#[test]
fn charge_within_limit_closes_nobody() {
    check(&[4_000, 2_000, 1_000], &[None, None, None]);
}

/// Guards against closing the connection that happens to grow, or one that buffers little.
#[test]
fn charge_beyond_limit_closes_the_largest() {
    check(&[2_000, 4_000, 1_001], &[None, Some(4_000), None]);
    check(&[1_000, 1_000, 6_000], &[None, None, Some(6_000)]);
}

/// Guards against closing more connections than needed while those told to close still use memory.
#[test]
fn charge_beyond_limit_closes_no_more_than_needed() {
    check(
        &[3_000, 4_000, 1_000, 3_000],
        &[None, Some(4_000), None, None],
    );
    check(
        &[3_500, 3_400, 600, 3_000],
        &[Some(3_500), None, None, None],
    );
}

/// Guards against a limit that holds only for one kind of use, and against a connection whose uses are not
/// added up.
#[test]
fn charge_all_kinds_share_the_limit() {
    let memory = memory();
    let (first, second) = (memory.open(), memory.open());
    let request = first.charge(Kind::Request);
    let answer = first.charge(Kind::Answer);
    let stream = second.charge(Kind::Stream);
    request.set(2_000);
    answer.set(2_000);
    stream.set(3_000);
    assert_eq!((closed_at(&first), closed_at(&second)), (None, None));
    stream.set(3_001);
    assert_eq!((closed_at(&first), closed_at(&second)), (Some(4_000), None));
    assert_eq!(Kind::ALL.map(|it| memory.used(it)), [2_000, 2_000, 3_001]);
}

/// Guards against memory that stays counted after its use.
#[test]
fn charge_dropped_frees_its_memory() {
    let memory = memory();
    let opened = open(&memory, &[5_000, 4_000, 1_000]);
    assert_eq!(memory.total(), 10_000);
    drop(opened);
    assert_eq!(memory.total(), 0);
    let again = open(&memory, &[4_000, 3_000]);
    assert!(again.iter().all(|it| closed_at(&it.0).is_none()));
}

/// Guards against changed settings that take effect only after a restart.
#[test]
fn set_limit_takes_effect_with_the_next_growth() {
    let memory = memory();
    let opened = open(&memory, &[3_000, 2_000]);
    memory.set_limit(LIMIT / 2);
    opened[1].1.set(2_001);
    assert_eq!(closed_at(&opened[0].0), Some(3_000));
    assert_eq!(closed_at(&opened[1].0), None);
}

proptest! {
    #![proptest_config(Config {
        rng_seed: RngSeed::Fixed(34), failure_persistence: None, ..Config::default()
    })]

    /// Guards against sequences of uses after which the connections that stay open exceed the limit, or one
    /// was closed while a larger one stayed open.
    #[test]
    fn charges_of_open_connections_stay_within_limit(
        changes in prop::collection::vec((0..12_usize, 0..6_000_usize), 1..80),
    ) {
        let memory = memory();
        let opened = open(&memory, &[0; 12]);
        let mut uses = [0; 12];
        for (index, bytes) in changes {
            let was_open: Vec<bool> = opened.iter().map(|it| closed_at(&it.0).is_none()).collect();
            opened[index].1.set(bytes);
            uses[index] = bytes;
            prop_assert_eq!(memory.total(), uses.iter().sum::<usize>());
            let is_open = |at: &usize| closed_at(&opened[*at].0).is_none();
            let (open, closed): (Vec<usize>, Vec<usize>) = (0..12).partition(is_open);
            prop_assert!(open.iter().map(|it| uses[*it]).sum::<usize>() <= FULL);
            let largest_open = open.iter().map(|it| uses[*it]).max().unwrap_or(0);
            let mut newly_closed = closed.iter().filter(|it| was_open[**it]);
            prop_assert!(newly_closed.all(|it| uses[*it] >= largest_open));
        }
    }
}
