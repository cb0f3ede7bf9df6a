//! Between records of the membership and those on the wire.

use crate::{Incarnation, Record, Target};
use fulmarreel_wire::gossip;

impl From<&Record> for gossip::Record {
    fn from(record: &Record) -> Self {
        Self {
            address: record.address,
            boot: record.incarnation.boot,
            sequence: record.incarnation.sequence,
            zone: record.zone.clone(),
            region: record.region.clone(),
            target: record.target.as_ref().map(gossip::Target::from),
            state: gossip::State::Alive,
        }
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

impl From<gossip::Record> for Record {
    fn from(record: gossip::Record) -> Self {
        Self {
            address: record.address,
            incarnation: Incarnation {
                boot: record.boot,
                sequence: record.sequence,
            },
            zone: record.zone,
            region: record.region,
            target: record.target.map(Target::from),
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
