//! Transactions: conditions, writes and what became of them.

use crate::{Entry, Error, Lease, Revision, Store};

/// How often a transaction whose reply was lost is judged and, if need be, sent again.
const MAX_ROUNDS: usize = 3;

/// What must hold for a transaction to be written.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Condition {
    /// The key was last written at this revision; [`Revision::ABSENT`] wants it absent.
    Revision(String, Revision),
    /// The key was created at this revision. On a lease's key this guards against a former
    /// holder: who holds it anew has created it anew.
    Created(String, Revision),
}

impl Condition {
    /// The key that is compared.
    pub fn key(&self) -> &str {
        match self {
            Self::Revision(key, _) | Self::Created(key, _) => key,
        }
    }
}

/// One change that a transaction makes.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Write {
    /// Sets a key.
    Put {
        /// The whole key.
        key: String,
        /// The value.
        value: Vec<u8>,
        /// The lease that the key ends with.
        lease: Option<Lease>,
    },
    /// Deletes a key; no error if it is absent.
    Delete {
        /// The whole key.
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

/// Writes that take effect together, at one revision, if all conditions hold.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Transaction {
    /// What must hold.
    pub conditions: Vec<Condition>,
    /// What is written then; a key at most once.
    pub writes: Vec<Write>,
}

impl Transaction {
    /// An empty transaction.
    pub fn new() -> Self {
        Self::default()
    }

    /// Wants `key` last written at `revision`.
    #[must_use]
    pub fn when_revision(mut self, key: &str, revision: Revision) -> Self {
        self.conditions
            .push(Condition::Revision(key.to_owned(), revision));
        self
    }

    /// Wants `key` absent.
    #[must_use]
    pub fn when_absent(self, key: &str) -> Self {
        self.when_revision(key, Revision::ABSENT)
    }

    /// Wants `key` created at `revision`.
    #[must_use]
    pub fn when_created(mut self, key: &str, revision: Revision) -> Self {
        self.conditions
            .push(Condition::Created(key.to_owned(), revision));
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

    /// Sets `key` for as long as `lease` lives.
    #[must_use]
    pub fn put_leased(mut self, key: &str, value: &[u8], lease: Lease) -> Self {
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

    /// The first put whose own key is compared by revision.
    fn witness(&self) -> Option<Witness<'_>> {
        self.writes.iter().find_map(|write| {
            let Write::Put { key, value, .. } = write else {
                return None;
            };
            self.conditions
                .iter()
                .find_map(|condition| match condition {
                    Condition::Revision(compared, revision) if compared == key => Some(Witness {
                        key,
                        value,
                        compared: *revision,
                    }),
                    _ => None,
                })
        })
    }
}

/// What became of a transaction.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Outcome {
    /// All of it was written, at this revision.
    Written(Revision),
    /// Nothing was written; the compared keys as they are now, without those that are absent.
    Conflict(Vec<Entry>),
}

/// The put that tells whether a transaction took effect.
struct Witness<'a> {
    key: &'a str,
    value: &'a [u8],
    compared: Revision,
}

/// What the witness's key says.
enum Verdict {
    Written(Revision),
    /// The key is as it was compared: nothing was written so far.
    Unchanged,
    /// Another writer won.
    Lost,
    Open,
}

impl Witness<'_> {
    async fn judge<S: Store + ?Sized>(&self, store: &S, now: Option<&Entry>) -> Verdict {
        let revision = now.map_or(Revision::ABSENT, |entry| entry.revision);
        if revision == self.compared {
            return Verdict::Unchanged;
        }
        let Some(now) = now else { return Verdict::Open };
        if now.value == self.value && now.revision > self.compared {
            return Verdict::Written(now.revision);
        }
        if self.compared == Revision::ABSENT {
            return Verdict::Open;
        }
        // A single write since the compared one is the only one that can have won.
        match store.get_at(self.key, self.compared).await {
            Ok(Some(then)) if then.created == now.created && then.version + 1 == now.version => {
                Verdict::Lost
            }
            _ => Verdict::Open,
        }
    }
}

/// Commits, and after a lost reply reads back what became of the write.
///
/// The rule looks at the first put whose own key has a [`Condition::Revision`]:
///
/// - equal value and a revision later than the compared one: ours took effect, at that revision.
///   So values must differ between writers (carry the writer's id), and between one writer's own
///   transactions;
/// - the compared revision still: nothing was written so far. A copy of the request may still be
///   under way, so the same transaction is sent again; the condition lets one copy win;
///   (Where it then fails on another key's condition, that is a conflict: a first copy that is
///   still under way fails on it as well, unless that key changes back, which only an absent key
///   can do.)
/// - another value, by the only write since the compared revision (the key's version has risen by
///   one): another writer won, which is a conflict;
/// - anything else (no such put, the key deleted, written more than once, created with another
///   value, or the history compacted) can't be told apart: [`Error::Unknown`] stays.
pub async fn checked<S: Store + ?Sized>(
    store: &S,
    transaction: &Transaction,
) -> Result<Outcome, Error> {
    let mut unknown = match store.commit(transaction).await {
        Err(err) if err.is_unknown() => err,
        result => return result,
    };
    let Some(witness) = transaction.witness() else {
        return Err(unknown);
    };
    for _ in 0..MAX_ROUNDS {
        // An outage in the read-back leaves the write as unknown as it was.
        let Ok(now) = store.get(witness.key).await else {
            return Err(unknown);
        };
        match witness.judge(store, now.as_ref()).await {
            Verdict::Written(revision) => return Ok(Outcome::Written(revision)),
            Verdict::Lost => return Ok(Outcome::Conflict(now.into_iter().collect())),
            Verdict::Open => return Err(unknown),
            Verdict::Unchanged => {}
        }
        match store.commit(transaction).await {
            Ok(Outcome::Written(revision)) => return Ok(Outcome::Written(revision)),
            Ok(Outcome::Conflict(entries)) => {
                let now = entries.iter().find(|entry| entry.key == witness.key);
                return match witness.judge(store, now).await {
                    Verdict::Written(revision) => Ok(Outcome::Written(revision)),
                    Verdict::Lost | Verdict::Unchanged => Ok(Outcome::Conflict(entries)),
                    Verdict::Open => Err(unknown),
                };
            }
            Err(err) if err.is_unknown() => unknown = err,
            // The first copy's outcome stays open whatever befell the second.
            Err(_) => return Err(unknown),
        }
    }
    Err(unknown)
}
