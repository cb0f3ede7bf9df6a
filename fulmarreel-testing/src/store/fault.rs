//! The faults that tests can inject into the fake store.

use serde::Deserialize;

/// The injected faults; none by default.
#[derive(Debug, Clone, Default, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Faults {
    /// Close connections without an answer and without an effect.
    pub down: bool,
    /// Delay of each call before it is carried out.
    pub delay_ms: u64,
    /// Number of the next writes that take effect without a reply.
    pub lose_reply: u32,
    /// Send nothing more on the watches that are open when this is set, not even after it is unset.
    pub stall_watches: bool,
    /// Answer range reads without a revision as of this many revisions ago.
    pub stale_reads: u64,
    /// Compact up to the revision that is current when this is set.
    pub compact: bool,
}
