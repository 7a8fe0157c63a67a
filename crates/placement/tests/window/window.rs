//! Helpers for tests of the window that bounds the requests of cold servers.

use domain::Moment;
use domain::key::Incarnation;
use placement::cold::Window;

pub const PER_S: f64 = 18.0;
pub const KEY: u64 = 7;

pub fn after(millis: u64) -> Moment {
    Moment::from_millis(1_000_000 + millis)
}

pub fn attempt(number: u64) -> (Incarnation, u64) {
    (Incarnation(1), number)
}

/// Returns a window of an entry that has counted for a while and reaches `live` of the `expected` ones.
pub fn window(live: usize, expected: usize) -> Window {
    let mut window = Window::default();
    window.enable(Moment::from_millis(1));
    window.set_share(live, expected);
    window
}

/// Places requests at one moment until the bound is reached, and returns their number.
pub fn fill(window: &mut Window, now: Moment) -> u64 {
    let mut placed = 0;
    while window.left(now, KEY, PER_S).is_zero() {
        window.record_placed(now, KEY, attempt(now.as_micros() + placed));
        placed += 1;
    }
    placed
}
