//! The faults that the stand-in can show.

use serde::Deserialize;

/// Active faults; all off by default.
#[derive(Debug, Clone, Default, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Faults {
    /// Close connections without an answer and without an effect.
    pub down: bool,
    /// Milliseconds that each call waits before it is carried out.
    pub delay_ms: u64,
    /// How many of the next writes take effect while their reply is never sent.
    pub lose_reply: u32,
    /// Silence the watches that are open at the switch, for good.
    pub stall_watches: bool,
    /// Answer plain reads as of so many revisions ago.
    pub stale_reads: u64,
    /// Compact the history up to the present revision at the switch.
    pub compact: bool,
}
