//! Synchronisation between mirrors: the request of one, the update that the other returns, and how
//! the first applies it.

use super::{Change, Error, Item, Mirror, delta};
use fulmarreel_wire::mirror::{self as wire, BaseItem, Piece, Pull, Update, Value};
use std::collections::BTreeMap;

impl Mirror {
    /// The request for everything that a peer knows beyond this mirror.
    pub fn pull_request(&self) -> Pull {
        let base_items = self.history.keys().filter_map(|key| {
            Some(BaseItem {
                key: key.to_owned(),
                revision: self.get(key)?.revision,
            })
        });
        Pull {
            known_revision: self.revision,
            base_items: base_items.collect(),
            without_deltas: false,
        }
    }

    /// The update for a peer that sent this request; none if it lacks nothing.
    ///
    /// A peer that may have missed a removal gets all items.
    pub fn update_for(&self, pull: &Pull) -> Option<Update> {
        if self.revision <= pull.known_revision {
            return None;
        }
        let has_all_removals = self.removals.is_complete_after(pull.known_revision);
        let from = if has_all_removals {
            pull.known_revision
        } else {
            0
        };
        let mut changes = self.writes_after(from, pull);
        if from > 0 {
            changes.extend(self.removals_after(from));
        }
        Some(Update {
            after_revision: from,
            up_to_revision: self.revision,
            changes,
        })
    }

    /// Applies a peer's update. Returns whether anything changed.
    ///
    /// # Errors
    ///
    /// The update does not fit the state of the mirror, which then stays unchanged. If a delta was
    /// the reason, a new request with [`Pull::without_deltas`] set gets an update without deltas.
    pub fn apply_update(&mut self, update: Update) -> Result<bool, Error> {
        let (from, revision) = (update.after_revision, update.up_to_revision);
        if from > self.revision {
            let revision = self.revision;
            return Err(Error::Gap { from, revision });
        }
        if revision <= self.revision {
            return Ok(false);
        }
        if from == 0 {
            let items = self.decode_items(update.changes)?;
            return Ok(self.replace(revision, items));
        }
        let changes = self.decode_new_changes(update.changes)?;
        Ok(self.apply(revision, changes))
    }

    fn writes_after(&self, revision: u64, pull: &Pull) -> Vec<wire::Change> {
        let base_revisions: BTreeMap<&str, u64> = pull
            .base_items
            .iter()
            .filter(|_| !pull.without_deltas)
            .map(|item| (item.key.as_str(), item.revision))
            .collect();
        self.items()
            .filter(|(_, item)| item.revision > revision)
            .map(|(key, item)| wire::Change {
                key: key.to_owned(),
                revision: item.revision,
                value: base_revisions
                    .get(key)
                    .and_then(|base| self.delta(key, item, *base))
                    .unwrap_or_else(|| item.into()),
            })
            .collect()
    }

    fn removals_after(&self, revision: u64) -> impl Iterator<Item = wire::Change> {
        self.removals
            .after(revision)
            .map(|(key, revision)| wire::Change {
                key: key.to_owned(),
                revision,
                value: Value::Removed,
            })
    }

    /// An item's value as a delta, if the chunks of both versions are known and they have some in
    /// common.
    fn delta(&self, key: &str, item: &Item, base: u64) -> Option<Value> {
        let version = self.history.get(key, item.revision)?;
        let pieces = delta::pieces(self.history.get(key, base)?, version, &item.value);
        let has_copy = pieces
            .iter()
            .any(|piece| matches!(piece, Piece::Copy { .. }));
        has_copy.then_some(Value::Delta {
            base,
            pieces,
            hash: version.hash,
        })
    }

    /// The items of an update that lists all items. An item that is known at the same or a later
    /// revision is taken from this mirror.
    fn decode_items(&self, changes: Vec<wire::Change>) -> Result<BTreeMap<String, Item>, Error> {
        let mut items = BTreeMap::new();
        for change in changes {
            if self.is_removed_since(&change.key, change.revision) {
                continue;
            }
            if let Some(known) = self.get(&change.key)
                && known.revision >= change.revision
            {
                items.insert(change.key, known.clone());
                continue;
            }
            let change = self.decode_change(change)?;
            if let Some(value) = change.value {
                let revision = change.revision;
                items.insert(change.key, Item { revision, value });
            }
        }
        Ok(items)
    }

    /// The changes of an update that are new to this mirror.
    fn decode_new_changes(&self, changes: Vec<wire::Change>) -> Result<Vec<Change>, Error> {
        changes
            .into_iter()
            .filter(|change| self.is_new(&change.key, change.revision))
            .map(|change| self.decode_change(change))
            .collect()
    }

    fn decode_change(&self, change: wire::Change) -> Result<Change, Error> {
        let value = match change.value {
            Value::Removed => None,
            Value::Whole(value) => Some(value),
            Value::Delta { base, pieces, hash } => {
                let item = self.base_item(&change.key, base)?;
                let value = delta::apply(&item.value, &pieces, hash);
                Some(value.map_err(|fault| Error::Delta {
                    key: change.key.clone(),
                    fault,
                })?)
            }
        };
        Ok(Change {
            key: change.key,
            revision: change.revision,
            value,
        })
    }

    /// The item that a delta is based on.
    fn base_item(&self, key: &str, base: u64) -> Result<&Item, Error> {
        let item = self.get(key);
        item.filter(|item| item.revision == base)
            .ok_or_else(|| Error::Base {
                key: key.to_owned(),
                base,
                held: item.map(|item| item.revision),
            })
    }
}

impl From<&Item> for Value {
    fn from(item: &Item) -> Self {
        Self::Whole(item.value.clone())
    }
}
