//! The board follows notes, makes up for lost ones, and forgets who is gone.

use std::collections::BTreeSet;
use std::time::Duration;

use domain::Moment;
use domain::key::Incarnation;
use placement::Board;
use placement::JobId;
use placement::Note;
use placement::board::Change;
use placement::board::Part;
use placement::board::Placed;
use placement::board::Standing;
use proptest::prelude::*;

const ENGINE: u64 = 1;
const HELPER: u64 = 2;

fn job(number: u64) -> JobId {
    JobId {
        entry: Incarnation(7),
        number,
    }
}

fn placed(tokens_at_helper: u32) -> Change {
    let part = |server, tokens| Part {
        server,
        read_ms: 100.0,
        tokens,
    };
    Change::Placed(Placed {
        target_ms: 300,
        pause_ms: 250,
        value: 1.0,
        standing: Standing::OnTime,
        parts: vec![part(ENGINE, 5_000), part(HELPER, tokens_at_helper)],
    })
}

fn take(board: &mut Board, millis: u64, number: u64, change: Change) {
    let note = Note {
        job: job(number),
        change,
    };
    board.take(Moment::from_millis(millis), &note);
}

/// Checks the number of requests on the engine and on the helper.
fn check(board: &Board, expected: (usize, usize)) {
    let count = |server| board.queue(server).map_or(0, |it| it.len());
    assert_eq!((count(ENGINE), count(HELPER)), expected);
}

#[test]
fn take_helper_is_done_once_the_first_token_comes() {
    let mut board = Board::default();
    take(&mut board, 0, 1, placed(0));
    check(&board, (1, 1));
    take(&mut board, 200, 1, Change::Started);
    check(&board, (1, 0));
    take(&mut board, 900, 1, Change::Ended);
    check(&board, (0, 0));
}

#[test]
fn take_helper_that_holds_memory_stays_to_the_end() {
    let mut board = Board::default();
    take(&mut board, 0, 1, placed(90_000));
    take(&mut board, 200, 1, Change::Started);
    check(&board, (1, 1));
    take(&mut board, 900, 1, Change::Ended);
    check(&board, (0, 0));
}

#[test]
fn backlog_shrinks_with_time_and_yields_to_those_in_time() {
    let mut board = Board::default();
    take(&mut board, 0, 1, placed(0));
    let Change::Placed(late) = placed(0) else {
        return;
    };
    let standing = Standing::Late;
    take(
        &mut board,
        0,
        2,
        Change::Placed(Placed { standing, ..late }),
    );
    let backlog = |millis, standing| {
        let queue = board.queue(ENGINE).expect("work");
        queue
            .backlog_ms(Moment::from_millis(millis), standing)
            .round()
    };
    assert_eq!(backlog(0, Standing::OnTime), 110.0);
    assert_eq!(backlog(0, Standing::Late), 220.0);
    assert_eq!(backlog(60, Standing::OnTime), 50.0);
    assert_eq!(backlog(500, Standing::Late), 0.0);
}

#[test]
fn forget_entry_that_is_gone() {
    let mut board = Board::default();
    take(&mut board, 0, 1, placed(9));
    board.forget_entry(Moment::from_millis(10), Incarnation(8));
    check(&board, (1, 1));
    board.forget_entry(Moment::from_millis(10), Incarnation(7));
    check(&board, (0, 0));
}

#[test]
fn expire_work_of_which_nothing_was_heard() {
    let mut board = Board::default();
    take(&mut board, 0, 1, placed(9));
    board.expire(Moment::from_millis(30_000));
    check(&board, (1, 1));
    board.expire(Moment::from_millis(41_000));
    check(&board, (0, 0));
}

proptest! {
    /// Whatever notes are lost, one roster makes two boards agree.
    #[test]
    fn reconcile_makes_up_for_lost_notes(
        notes in prop::collection::vec((0_u64..6, 0_u8..3, any::<bool>()), 0..60),
    ) {
        let (mut own, mut other) = (Board::default(), Board::default());
        let mut time = 0;
        let mut numbers = BTreeSet::new();
        for (number, kind, is_lost) in notes {
            time += 10;
            if kind == 0 && !numbers.insert(number) {
                // An entry gives each number once.
                continue;
            }
            let change = match kind {
                0 => placed(9),
                1 => Change::Started,
                _ => Change::Ended,
            };
            take(&mut own, time, number, change.clone());
            if !is_lost {
                take(&mut other, time, number, change);
            }
        }
        let now = Moment::from_millis(time) + Duration::from_millis(10);
        other.reconcile(now, &own.roster(Incarnation(7)));
        let sorted = |board: &Board| {
            let mut roster = board.roster(Incarnation(7));
            roster.placed.sort_by_key(|it| it.job);
            roster.started.sort();
            roster
        };
        prop_assert_eq!(sorted(&own), sorted(&other));
        for server in [ENGINE, HELPER] {
            let writers = |board: &Board| board.queue(server).map(|it| it.writers());
            prop_assert_eq!(writers(&own).unwrap_or_default(), writers(&other).unwrap_or_default());
        }
    }
}
