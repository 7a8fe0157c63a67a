//! The queue of rumours to forward; those forwarded least often go first.

use crate::message::Rumour;

/// The maximum number of rumours in one datagram while few are to be forwarded.
const RUMOUR_LIMIT: usize = 6;
/// The same while many are, as after the loss of a part of a large fleet. A datagram with as many fits
/// into one packet.
const BULK_RUMOUR_LIMIT: usize = 14;
/// The number of times that each rumour is sent per doubling of the number of members.
const SENDS_PER_DOUBLING: u32 = 3;

/// The rumours that still have to be forwarded.
#[derive(Clone, Debug, Default)]
pub struct Queue {
    items: Vec<Item>,
}

#[derive(Clone, Debug)]
struct Item {
    rumour: Rumour,
    sends: u32,
}

impl Queue {
    /// Adds a rumour. It replaces an earlier one about the same member.
    pub fn push(&mut self, rumour: Rumour) {
        let is_same = |it: &Item| match (&it.rumour, &rumour) {
            (Rumour::Member { member: a, .. }, Rumour::Member { member: b, .. }) => {
                a.incarnation == b.incarnation
            }
            (a, b) => a == b,
        };
        self.items.retain(|it| !is_same(it));
        self.items.push(Item { rumour, sends: 0 });
    }

    /// Returns the rumours for the next datagram, given the number of members.
    pub fn take(&mut self, members: usize) -> Vec<Rumour> {
        let doublings = (members + 1).ilog2() + 1;
        let limit = SENDS_PER_DOUBLING * doublings;
        self.items.sort_by_key(|it| it.sends);
        let is_bulk = self.items.len() > RUMOUR_LIMIT;
        let count = if is_bulk {
            BULK_RUMOUR_LIMIT
        } else {
            RUMOUR_LIMIT
        };
        let next = self.items.iter_mut().take(count);
        let rumours = next.map(|it| {
            it.sends += 1;
            it.rumour.clone()
        });
        let rumours = rumours.collect();
        self.items.retain(|it| it.sends < limit);
        rumours
    }
}
