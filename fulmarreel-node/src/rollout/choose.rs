//! The version of one call.

use super::{Move, Moves, Ticket};
use crate::state::Service;
use fulmarreel_document::{Version, shift::Timestamp};
use fulmarreel_rollout::{Share, evidence::Side, share, state::Phase};
use std::sync::Arc;

/// The version that a call is to be sent to.
#[derive(Debug)]
pub struct Choice {
    /// The version.
    pub version: Version,
    /// Where the call's end is to be reported; none where no move is under way.
    pub ticket: Option<Ticket>,
}

impl Moves {
    /// Chooses the version of a call to a service, named by a hash that is spread evenly.
    pub fn choose(&self, service: &Service, call: u64, now: Timestamp) -> Choice {
        let declared = self.get(service.document.service().as_str());
        let Some(entry) = declared.filter(|entry| entry.revision == service.revision) else {
            return Choice {
                version: service.document.version().clone(),
                ticket: None,
            };
        };
        let has_target = |version: &Version| service.has_target(version.as_str());
        let side = entry.choose(call, now, has_target);
        Choice {
            version: entry.version(side).clone(),
            ticket: Some(Ticket::new(&entry, side)),
        }
    }
}

impl Move {
    /// Chooses the side of a call, named by a hash that is spread evenly.
    ///
    /// `has_target` says whether this node knows a target of a version. A call that is sent to the
    /// new version is to end in [`Move::finish`] or [`Move::release`].
    pub fn choose(&self, call: u64, now: Timestamp, has_target: impl Fn(&Version) -> bool) -> Side {
        if !has_target(self.version(Side::New)) {
            return Side::Old;
        }
        let mut progress = self.progress.lock().expect("progress lock");
        let (share, phase) = (progress.state.share, progress.state.phase);
        let proved = matches!(phase, Phase::Raising | Phase::Soaking | Phase::Completed);
        let picked = share::picks(self.document.service(), share, call) && share > Share::NONE;
        // A proved version also takes the calls that the old one no longer has targets for.
        let wanted = picked || (proved && !has_target(self.version(Side::Old)));
        if wanted && progress.guard.admit(phase, now) {
            Side::New
        } else {
            Side::Old
        }
    }

    /// The version on one side of the move.
    pub fn version(&self, side: Side) -> &Version {
        let new = self.document.shift().map(|shift| shift.to());
        match (side, new) {
            (Side::New, Some(new)) => new,
            _ => self.document.version(),
        }
    }
}

impl Ticket {
    fn new(entry: &Arc<Move>, side: Side) -> Self {
        Self {
            entry: Some(Arc::clone(entry)),
            side,
        }
    }
}
