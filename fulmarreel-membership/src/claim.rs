//! A node's record together with the status that others give it.

use crate::{Incarnation, Record};

/// Status of a node. Of two claims with the same incarnation, the one with the greater status wins.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Status {
    /// It answers probes.
    Alive,
    /// It did not answer a probe or a call: less preferred, and gone unless it refutes that.
    Suspect,
    /// It is gone.
    Gone,
}

/// A node's record together with the status that others give it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Claim {
    /// The record that the node published.
    pub record: Record,
    /// The status of the node.
    pub status: Status,
}

impl Claim {
    /// Precedence among the claims about one node: the greatest wins.
    pub fn rank(&self) -> (Incarnation, Status) {
        (self.record.incarnation, self.status)
    }
}
