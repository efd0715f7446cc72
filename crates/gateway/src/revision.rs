//! Revisions of the store.
//!
//! A store that comes back from an older copy loses what was written since and gives out the
//! numbers of these revisions again, in a new era. A revision therefore consists of the era, in
//! the upper bits, and the number, so that a later one is greater.

/// Number of bits for the number of a revision.
const NUMBER_BITS: u32 = 40;
const MAX_NUMBER: u64 = (1 << NUMBER_BITS) - 1;
const MAX_ERA: u64 = u64::MAX >> NUMBER_BITS;

/// Returns the revision with this number in an era.
pub fn revision(era: u64, number: u64) -> u64 {
    era.min(MAX_ERA) << NUMBER_BITS | number.min(MAX_NUMBER)
}

/// Returns the era of a revision.
pub fn era(revision: u64) -> u64 {
    revision >> NUMBER_BITS
}

/// Returns the number of a revision in its era.
pub fn number(revision: u64) -> u64 {
    revision & MAX_NUMBER
}
