//! The share that the owner of a rollout grants to the other nodes.

use std::cmp::Ordering;

/// A share of all calls, in permille.
pub(super) const FULL_PERMILLE: u16 = 1_000;

/// The owner's grant of a share to the new version. A node follows it until it expires, counted
/// from its arrival.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Grant {
    /// Store revision at which the sender became the owner.
    pub owner_revision: u64,
    /// Sequence number of the grant, counted by the owner.
    pub sequence: u32,
    /// Share of calls that go to the new version, in permille.
    pub permille: u16,
    /// The largest share at which the new version has been found good, in permille.
    pub proven_permille: u16,
}

impl Grant {
    /// Whether this grant replaces another one: a later owner's grant goes before an earlier
    /// owner's.
    pub(super) fn supersedes(&self, other: &Self) -> bool {
        let by_owner = self.owner_revision.cmp(&other.owner_revision);
        by_owner.then(self.sequence.cmp(&other.sequence)) == Ordering::Greater
    }
}
