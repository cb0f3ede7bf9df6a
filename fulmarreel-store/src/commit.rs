//! Transactions: conditions, writes and outcomes.

use crate::{Entry, Error, LeaseId, Revision, Store};

/// How many times a transaction whose reply was lost is read back and, if it has not taken effect,
/// sent again.
const MAX_READ_BACKS: usize = 3;

/// A condition that must hold for a transaction to be written.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Condition {
    /// The key was last written at this revision; [`Revision::ABSENT`] requires it to be absent.
    ModRevision(String, Revision),
    /// The key was created at this revision. On a key under a lease this fences off a former
    /// holder, because the next holder creates the key again.
    CreateRevision(String, Revision),
}

impl Condition {
    /// The key that the condition is on.
    pub fn key(&self) -> &str {
        match self {
            Self::ModRevision(key, _) | Self::CreateRevision(key, _) => key,
        }
    }
}

/// One change that a transaction makes.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Write {
    /// Sets a key.
    Put {
        /// The full key.
        key: String,
        /// The value.
        value: Vec<u8>,
        /// The lease that the key is attached to.
        lease: Option<LeaseId>,
    },
    /// Deletes a key; no error if it is absent.
    Delete {
        /// The full key.
        key: String,
    },
}

impl Write {
    /// The key that is written.
    pub fn key(&self) -> &str {
        match self {
            Self::Put { key, .. } | Self::Delete { key } => key,
        }
    }
}

/// Writes that take effect atomically, at one revision, if all conditions hold.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Transaction {
    /// The conditions, all of which must hold.
    pub conditions: Vec<Condition>,
    /// The writes; each key occurs at most once.
    pub writes: Vec<Write>,
}

impl Transaction {
    /// An empty transaction.
    pub fn new() -> Self {
        Self::default()
    }

    /// Requires `key` to have been last written at `revision`.
    #[must_use]
    pub fn when_mod_revision(mut self, key: &str, revision: Revision) -> Self {
        self.conditions
            .push(Condition::ModRevision(key.to_owned(), revision));
        self
    }

    /// Requires `key` to be absent.
    #[must_use]
    pub fn when_absent(self, key: &str) -> Self {
        self.when_mod_revision(key, Revision::ABSENT)
    }

    /// Requires `key` to have been created at `revision`.
    #[must_use]
    pub fn when_create_revision(mut self, key: &str, revision: Revision) -> Self {
        self.conditions
            .push(Condition::CreateRevision(key.to_owned(), revision));
        self
    }

    /// Sets `key`.
    #[must_use]
    pub fn put(mut self, key: &str, value: &[u8]) -> Self {
        self.writes.push(Write::Put {
            key: key.to_owned(),
            value: value.to_vec(),
            lease: None,
        });
        self
    }

    /// Sets `key` and attaches it to `lease`, whose expiry deletes it.
    #[must_use]
    pub fn put_leased(mut self, key: &str, value: &[u8], lease: LeaseId) -> Self {
        let (key, value, lease) = (key.to_owned(), value.to_vec(), Some(lease));
        self.writes.push(Write::Put { key, value, lease });
        self
    }

    /// Deletes `key`.
    #[must_use]
    pub fn delete(mut self, key: &str) -> Self {
        self.writes.push(Write::Delete {
            key: key.to_owned(),
        });
        self
    }

    /// The first put whose key also has a [`Condition::ModRevision`].
    fn conditional_put(&self) -> Option<ConditionalPut<'_>> {
        self.writes.iter().find_map(|write| {
            let Write::Put { key, value, .. } = write else {
                return None;
            };
            self.conditions
                .iter()
                .find_map(|condition| match condition {
                    Condition::ModRevision(condition_key, revision) if condition_key == key => {
                        Some(ConditionalPut {
                            key,
                            value,
                            expected: *revision,
                        })
                    }
                    _ => None,
                })
        })
    }
}

/// The outcome of a transaction.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Outcome {
    /// All writes took effect, at this revision.
    Written(Revision),
    /// Nothing was written. Holds the current entries of the keys in the conditions, without those
    /// that are absent.
    Conflict(Vec<Entry>),
}

/// A put with a condition on its own key; reading that key back tells whether the transaction took
/// effect.
struct ConditionalPut<'a> {
    key: &'a str,
    value: &'a [u8],
    expected: Revision,
}

/// What reading back the key of a [`ConditionalPut`] says about its transaction.
enum ReadBack {
    Written(Revision),
    /// The key is still at the expected revision: nothing has been written yet.
    Unchanged,
    /// Another writer won.
    Conflict,
    /// The outcome can't be determined.
    Undetermined,
}

impl ConditionalPut<'_> {
    /// Determines the outcome of the transaction from the current entry of the key.
    async fn classify<S: Store + ?Sized>(&self, store: &S, current: Option<&Entry>) -> ReadBack {
        let revision = current.map_or(Revision::ABSENT, |entry| entry.mod_revision);
        if revision == self.expected {
            return ReadBack::Unchanged;
        }
        let Some(current) = current else {
            return ReadBack::Undetermined;
        };
        if current.value == self.value && current.mod_revision > self.expected {
            return ReadBack::Written(current.mod_revision);
        }
        if self.expected == Revision::ABSENT {
            return ReadBack::Undetermined;
        }
        // If the key was written once since the expected revision, that write is the one that won.
        match store.get_at(self.key, self.expected).await {
            Ok(Some(before))
                if before.create_revision == current.create_revision
                    && before.version + 1 == current.version =>
            {
                ReadBack::Conflict
            }
            _ => ReadBack::Undetermined,
        }
    }
}

/// Commits, and after a lost reply reads back whether the write took effect.
///
/// The rule looks at the first put whose key also has a [`Condition::ModRevision`]:
///
/// - The value is equal and the revision is later than the expected one: this transaction took
///   effect, at that revision. So values must differ between writers (include the writer's id) and
///   between the transactions of one writer.
/// - The revision is still the expected one: nothing has been written yet. A copy of the request
///   may still be in flight, so the same transaction is sent again; the condition lets only one
///   copy succeed. If the second copy then fails on another key's condition, that is a conflict: a
///   first copy still in flight fails on it as well, unless that condition holds again later, which
///   is possible only for a key that must be absent.
/// - The value differs and its write is the only one since the expected revision (the key's
///   version has risen by one): another writer won, which is a conflict.
/// - Anything else (no such put, the key deleted, written more than once, created with another
///   value, or the history compacted) leaves the outcome undetermined, and
///   [`Error::OutcomeUnknown`] is returned.
pub async fn commit_with_read_back<S: Store + ?Sized>(
    store: &S,
    transaction: &Transaction,
) -> Result<Outcome, Error> {
    let mut unknown = match store.commit(transaction).await {
        Err(err) if err.is_outcome_unknown() => err,
        result => return result,
    };
    let Some(put) = transaction.conditional_put() else {
        return Err(unknown);
    };
    for _ in 0..MAX_READ_BACKS {
        // If the read-back fails too, the outcome of the write stays unknown.
        let Ok(current) = store.get(put.key).await else {
            return Err(unknown);
        };
        match put.classify(store, current.as_ref()).await {
            ReadBack::Written(revision) => return Ok(Outcome::Written(revision)),
            ReadBack::Conflict => return Ok(Outcome::Conflict(current.into_iter().collect())),
            ReadBack::Undetermined => return Err(unknown),
            ReadBack::Unchanged => {}
        }
        match store.commit(transaction).await {
            Ok(Outcome::Written(revision)) => return Ok(Outcome::Written(revision)),
            Ok(Outcome::Conflict(entries)) => {
                let current = entries.iter().find(|entry| entry.key == put.key);
                return match put.classify(store, current).await {
                    ReadBack::Written(revision) => Ok(Outcome::Written(revision)),
                    ReadBack::Conflict | ReadBack::Unchanged => Ok(Outcome::Conflict(entries)),
                    ReadBack::Undetermined => Err(unknown),
                };
            }
            Err(err) if err.is_outcome_unknown() => unknown = err,
            // Whatever happened to the second copy, the outcome of the first stays unknown.
            Err(_) => return Err(unknown),
        }
    }
    Err(unknown)
}
