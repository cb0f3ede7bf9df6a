//! Every node that is known, by address.

use crate::Record;
use std::{collections::BTreeMap, net::SocketAddr};

/// Every node that is known, by address.
#[derive(Debug, Default)]
pub struct Table {
    records: BTreeMap<SocketAddr, Record>,
}

impl Table {
    /// Takes a record in; false where a record at least as new is known.
    pub fn merge(&mut self, record: &Record) -> bool {
        let known = self.records.get(&record.address);
        if known.is_some_and(|known| known.incarnation >= record.incarnation) {
            return false;
        }
        self.records.insert(record.address, record.clone());
        true
    }

    /// The known records.
    pub fn records(&self) -> impl Iterator<Item = &Record> {
        self.records.values()
    }
}
