//! Conversions between [`Claim`]s and the records of the wire format.

use crate::{Claim, Incarnation, Record, Status, Target};
use fulmarreel_wire::gossip;

impl From<&Claim> for gossip::Record {
    fn from(claim: &Claim) -> Self {
        let record = &claim.record;
        Self {
            address: record.address,
            started_at_ms: record.incarnation.started_at_ms,
            sequence: record.incarnation.sequence,
            zone: record.zone.clone(),
            region: record.region.clone(),
            target: record.target.as_ref().map(gossip::Target::from),
            watcher: record.watcher,
            state: claim.status.into(),
        }
    }
}

impl From<gossip::Record> for Claim {
    fn from(record: gossip::Record) -> Self {
        let status = record.state.into();
        let record = Record {
            address: record.address,
            incarnation: Incarnation {
                started_at_ms: record.started_at_ms,
                sequence: record.sequence,
            },
            zone: record.zone,
            region: record.region,
            target: record.target.map(Target::from),
            watcher: record.watcher,
        };
        Self { record, status }
    }
}

impl From<&Target> for gossip::Target {
    fn from(target: &Target) -> Self {
        Self {
            service: target.service.clone(),
            version: target.version.clone(),
            slots: target.slots,
            leaving: target.leaving,
        }
    }
}

impl From<gossip::Target> for Target {
    fn from(target: gossip::Target) -> Self {
        Self {
            service: target.service,
            version: target.version,
            slots: target.slots,
            leaving: target.leaving,
        }
    }
}

impl From<Status> for gossip::State {
    fn from(status: Status) -> Self {
        match status {
            Status::Alive => Self::Alive,
            Status::Suspect => Self::Suspect,
            Status::Gone => Self::Gone,
        }
    }
}

impl From<gossip::State> for Status {
    fn from(state: gossip::State) -> Self {
        match state {
            gossip::State::Alive => Self::Alive,
            gossip::State::Suspect => Self::Suspect,
            gossip::State::Gone => Self::Gone,
        }
    }
}
