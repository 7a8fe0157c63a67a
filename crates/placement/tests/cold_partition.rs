//! How many requests a cold server gets while instances lose and find each other.

#[path = "window/window.rs"]
mod window;

use std::time::Duration;

use domain::key::Incarnation;
use window::KEY;
use window::PER_S;
use window::after;
use window::attempt;
use window::fill;
use window::window;

/// Guards against groups of instances that have lost each other without knowing it, and each use the whole
/// bound: together, all instances stay within that of the platform.
#[test]
fn bound_of_one_entry_is_its_part_of_that_of_the_platform() {
    for (expected, own) in [(1, 18), (2, 13), (6, 4), (24, 1), (63, 1)] {
        let mut window = window(expected, expected);
        window.set_own(Incarnation(1));
        assert_eq!(fill(&mut window, after(0)), own, "{expected} instances");
        let other = (Incarnation(2), 1);
        window.record_placed(after(1), KEY, other);
        assert_eq!(window.left(after(1_050), KEY, PER_S), Duration::ZERO);
    }
}

/// Guards against groups of instances that have just found each other, and don't know what the others placed in the
/// last second: the share falls at once, and rises a second later.
#[test]
fn bound_rises_only_after_a_second_in_which_others_are_heard() {
    let mut window = window(12, 12);
    window.enable(after(0));
    window.set_share(6, 12);
    assert_eq!(fill(&mut window.clone(), after(10)), 9);
    (1..=20).for_each(|it| window.tick(after(it * 100), true));
    window.set_share(8, 12);
    window.set_share(12, 12);
    assert_eq!(fill(&mut window.clone(), after(2_100)), 9);
    assert_eq!(fill(&mut window.clone(), after(3_000)), 9);
    assert_eq!(fill(&mut window.clone(), after(3_060)), 18);
}

/// Guards against attempts that were placed together and are all sent.
#[test]
fn is_allowed_within_the_bound_of_the_entry() {
    let mut window = window(6, 6);
    window.set_own(Incarnation(1));
    (0..6).for_each(|it| window.record_placed(after(0), KEY, attempt(it)));
    let allowed = (0..6).map(|it| window.is_allowed(after(0), KEY, PER_S, attempt(it)));
    let allowed: Vec<bool> = allowed.collect();
    assert_eq!(allowed, [true, true, true, true, false, false]);
}
