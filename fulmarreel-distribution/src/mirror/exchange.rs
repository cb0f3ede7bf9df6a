//! How mirrors learn from one another: what one asks for, what the other answers, and what the
//! first takes in.

use super::{Change, Error, Item, Mirror, delta};
use fulmarreel_wire::mirror::{self as wire, Held, Piece, Pull, Update, Value};
use std::collections::BTreeMap;

impl Mirror {
    /// What this mirror would ask a peer for.
    pub fn pull(&self) -> Pull {
        let held = self.history.keys().filter_map(|key| {
            Some(Held {
                key: key.to_owned(),
                revision: self.get(key)?.revision,
            })
        });
        Pull {
            after: self.revision,
            held: held.collect(),
            whole: false,
        }
    }

    /// What a peer lacks that knows this much; none where it lacks nothing.
    ///
    /// A peer that may have missed a removal gets all items.
    pub fn update_for(&self, pull: &Pull) -> Option<Update> {
        if self.revision <= pull.after {
            return None;
        }
        let is_gapless = self.removals.complete_after(pull.after);
        let from = if is_gapless { pull.after } else { 0 };
        let mut changes = self.writes_after(from, pull);
        if from > 0 {
            changes.extend(self.removals_after(from));
        }
        Some(Update {
            from,
            revision: self.revision,
            changes,
        })
    }

    /// Takes in a peer's update; whether anything was new.
    ///
    /// # Errors
    ///
    /// The update does not fit what the mirror knows, which then stays as it was. A pull with
    /// [`Pull::whole`] set gets one that fits where a delta was at fault.
    pub fn take(&mut self, update: Update) -> Result<bool, Error> {
        let (from, revision) = (update.from, update.revision);
        if from > self.revision {
            let revision = self.revision;
            return Err(Error::Gap { from, revision });
        }
        if revision <= self.revision {
            return Ok(false);
        }
        if from == 0 {
            let items = self.items_of(update.changes)?;
            return Ok(self.replace(revision, items));
        }
        let changes = self.changes_of(update.changes)?;
        Ok(self.apply(revision, changes))
    }

    fn writes_after(&self, revision: u64, pull: &Pull) -> Vec<wire::Change> {
        let held: BTreeMap<&str, u64> = pull
            .held
            .iter()
            .filter(|_| !pull.whole)
            .map(|held| (held.key.as_str(), held.revision))
            .collect();
        self.items()
            .filter(|(_, item)| item.revision > revision)
            .map(|(key, item)| wire::Change {
                key: key.to_owned(),
                revision: item.revision,
                value: held
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

    /// An item's value as a delta, where the versions are known and have something in common.
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

    /// All items of a peer, those that are known already as they are known.
    fn items_of(&self, changes: Vec<wire::Change>) -> Result<BTreeMap<String, Item>, Error> {
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
            let change = self.change_of(change)?;
            if let Some(value) = change.value {
                let revision = change.revision;
                items.insert(change.key, Item { revision, value });
            }
        }
        Ok(items)
    }

    /// The changes of a peer that are new.
    fn changes_of(&self, changes: Vec<wire::Change>) -> Result<Vec<Change>, Error> {
        changes
            .into_iter()
            .filter(|change| self.is_new(&change.key, change.revision))
            .map(|change| self.change_of(change))
            .collect()
    }

    fn change_of(&self, change: wire::Change) -> Result<Change, Error> {
        let value = match change.value {
            Value::Removed => None,
            Value::Whole(value) => Some(value),
            Value::Delta { base, pieces, hash } => {
                let item = self.base(&change.key, base)?;
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

    /// The item that a delta applies to.
    fn base(&self, key: &str, base: u64) -> Result<&Item, Error> {
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
