//! Positions in the platform's lists.
//!
//! The platform's store may come back from an older copy. Offsets of what was lost are then given out
//! again, so an offset alone does not say what it points to. A position also contains the era of the
//! store, which rises with each such return: positions of a later era are later. Peers exchange
//! positions as single numbers, so that ranges of different eras never continue one another.

/// The number of bits of the offset.
const OFFSET_BITS: u32 = 40;

/// Returns the position of an offset in an era. Both are limited to what fits.
pub fn encode(era: u64, offset: u64) -> u64 {
    let most = (1 << OFFSET_BITS) - 1;
    era.min(u64::MAX >> OFFSET_BITS) << OFFSET_BITS | offset.min(most)
}

/// Returns the era of a position.
pub fn era(position: u64) -> u64 {
    position >> OFFSET_BITS
}

/// Returns the offset of a position in its era.
pub fn offset(position: u64) -> u64 {
    position & ((1 << OFFSET_BITS) - 1)
}
