//! What a play is made of.

use super::version::Version;
use std::time::Duration;

/// What becomes of a node, of datagrams or of the store for a while.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Kind {
    /// The owner is killed; it starts again at the end and has forgotten everything.
    OwnerKilled,
    /// The owner stands still.
    OwnerFrozen,
    /// The owner's datagrams reach nobody.
    OwnerMute,
    /// Nobody's datagrams reach the owner.
    OwnerDeaf,
    /// Both.
    OwnerCut,
    /// The owner's datagrams take longer.
    OwnerDelayed(Duration),
    /// So many datagrams in a thousand of everyone are lost.
    Lossy(u32),
    /// Half of the other nodes are killed and start again at the end.
    OthersKilled,
    /// The store answers nobody.
    StoreAway,
}

/// A disturbance.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Trouble {
    /// What it is.
    pub kind: Kind,
    /// From when on.
    pub from: Duration,
    /// Until when.
    pub until: Duration,
}

/// A play.
#[derive(Debug, Clone, PartialEq)]
pub struct Plan {
    /// Nodes.
    pub nodes: usize,
    /// Calls per second to the service over all nodes.
    pub rate: u32,
    /// How long a call usually takes.
    pub usual: Duration,
    /// Time from the order to its deadline.
    pub limit: Duration,
    /// The version that takes over.
    pub version: Version,
    /// Disturbances.
    pub troubles: Vec<Trouble>,
    /// Of all chance in the play.
    pub seed: u64,
}

/// What came of a play.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct Report {
    /// Calls from the order to the deadline.
    pub calls: u32,
    /// Those to the new version.
    pub new: u32,
    /// Those to the old version after it was stopped.
    pub lost: u32,
    /// When the move was written as complete.
    pub completed: Option<Duration>,
    /// When it was written as taken back.
    pub rolled_back: Option<Duration>,
    /// When the new version's 50th wrong answer came.
    pub fiftieth: Option<Duration>,
    /// When the last call was sent to the new version.
    pub last_new: Option<Duration>,
}

impl Report {
    /// Most calls that may reach a bad version.
    pub fn allowed(&self) -> u32 {
        self.calls / 10 + 50
    }

    /// Whether a bad version got more calls than it may.
    pub fn is_exposed(&self) -> bool {
        self.new > self.allowed()
    }

    /// Whether a bad version got calls long after its 50th wrong answer.
    pub fn is_late(&self) -> bool {
        let late =
            |(fiftieth, last): (Duration, Duration)| last > fiftieth + Duration::from_secs(5);
        self.fiftieth.zip(self.last_new).is_some_and(late)
    }
}
