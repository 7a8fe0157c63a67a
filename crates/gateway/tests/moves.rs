//! Tests that a move of the store interrupts what began before it.

use std::future;

use futures_lite::future::block_on;
use futures_lite::future::zip;
use gateway::moves::Moves;

#[test]
fn interrupt_without_a_move_completes() {
    let moves = Moves::default();
    let count = moves.count();
    assert_eq!(block_on(moves.interrupt(count, future::ready(7))), Some(7));
}

#[test]
fn interrupt_during_a_move_ends_all_work() {
    let moves = Moves::default();
    let count = moves.count();
    let work = || moves.interrupt(count, future::pending::<()>());
    let both = zip(work(), work());
    assert_eq!(
        block_on(zip(both, async { moves.record() })),
        ((None, None), ())
    );
}

/// Guards against an answer of the earlier store that is taken for one of the new store.
#[test]
fn interrupt_after_a_move_drops_the_result() {
    let moves = Moves::default();
    let count = moves.count();
    moves.record();
    assert_eq!(block_on(moves.interrupt(count, future::ready(7))), None);
    let count = moves.count();
    assert_eq!(block_on(moves.interrupt(count, future::ready(7))), Some(7));
}
