//! What the owner of a move tells the other nodes.

use std::cmp::Ordering;

/// Parts of a whole share.
pub(super) const PARTS: u16 = 1_000;

/// The owner's grant of the new version's share, good until it expires at the node that heard it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Grant {
    /// The revision that made its sender the owner.
    pub owner: u64,
    /// Counts the owner's grants.
    pub number: u32,
    /// Calls in a thousand that go to the new version.
    pub permille: u16,
    /// The largest share, in calls in a thousand, at which the new version has been found sound.
    pub proven: u16,
}

impl Grant {
    /// Whether this grant replaces another one: of two owners the later one counts.
    pub(super) fn replaces(&self, other: &Self) -> bool {
        let by_owner = self.owner.cmp(&other.owner);
        by_owner.then(self.number.cmp(&other.number)) == Ordering::Greater
    }
}
