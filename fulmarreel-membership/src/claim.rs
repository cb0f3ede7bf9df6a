//! A record and what is believed of its node.

use crate::{Incarnation, Record};

/// Condition of a node; of two claims for one incarnation the greater one counts.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Status {
    /// It answers.
    Alive,
    /// It did not answer for a while: less preferred, and gone unless it objects.
    Suspect,
    /// It is gone.
    Gone,
}

/// A record and what is believed of its node.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Claim {
    /// What the node said of itself.
    pub record: Record,
    /// What is believed of it.
    pub status: Status,
}

impl Claim {
    /// Orders the claims of one node.
    pub fn rank(&self) -> (Incarnation, Status) {
        (self.record.incarnation, self.status)
    }
}
