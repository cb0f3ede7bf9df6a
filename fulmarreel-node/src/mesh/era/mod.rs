//! State that stays in force although the store has lost it, by coming back from an earlier copy of itself.
//!
//! Such a store names a later era ([`fulmarreel_platform::store::era`]). Nodes and operators write again
//! what it lacks. Until then [`nodes`] keeps the entries of nodes in force and targets that have left
//! out, [`rollouts`] keeps the outcomes of rollouts, and [`zones`] the evacuations.

pub(crate) mod nodes;
pub mod rollouts;
pub mod zones;

use fulmarreel_platform::store::{Era, era::Stamp};
use fulmarreel_store::Revision;
use std::time::Duration;

/// The delay per node within which all nodes write their entries again: 200 writes a second.
const DELAY_PER_NODE: Duration = Duration::from_millis(5);

/// The longest delay: the entries are due 2 s after the store's return, which takes some time to be
/// noticed.
const MAX_DELAY: Duration = Duration::from_millis(800);

/// The era of a revision.
pub fn of(revision: u64) -> Era {
    Era::of(Revision(revision))
}

/// The store's own number of a revision, which another era may give to another change.
pub fn number(revision: u64) -> u64 {
    Stamp::from(Revision(revision)).number
}

/// How long one of `nodes` nodes waits before it writes its entry again in a new era; `random` is from 0
/// to 1.
pub fn entry_delay(nodes: usize, random: f64) -> Duration {
    let nodes = u32::try_from(nodes).unwrap_or(u32::MAX);
    DELAY_PER_NODE
        .saturating_mul(nodes)
        .min(MAX_DELAY)
        .mul_f64(random)
}
