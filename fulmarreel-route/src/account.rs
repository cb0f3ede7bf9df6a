//! Client accounts and the API keys by which their requests are recognised.

use sha2::{Digest, Sha256};
use std::{collections::HashMap, fmt, sync::Arc};

/// A client account.
#[derive(Debug, Clone, PartialEq)]
pub struct Account {
    /// Its name.
    pub name: String,
    /// Rank of its requests, which goes before the rank of their route; 0 is the most urgent.
    pub priority: u8,
    /// The requests per second that it may send over all nodes; `None` without a limit.
    pub quota: Option<Quota>,
    /// The regions that may serve its requests; all if empty.
    pub allowed_regions: Vec<String>,
}

/// The request quota of an account, over all nodes.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Quota {
    /// Sustained requests per second.
    pub rate_per_s: f64,
    /// Requests beyond the sustained rate.
    pub burst: f64,
}

/// A salted hash of an API key. Keys are found by their hashes, so that the time of a lookup tells nothing
/// about how much of a key was right.
type KeyHash = [u8; 32];

/// The accounts of one configuration, found by their API keys.
#[derive(Clone, Default)]
pub struct Accounts {
    salt: [u8; 16],
    by_key: HashMap<KeyHash, Arc<Account>>,
    by_name: HashMap<String, Arc<Account>>,
}

/// Why accounts are rejected.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum Error {
    /// A request could not be assigned to one account.
    #[error("accounts {first:?} and {second:?} share an API key")]
    SharedKey {
        /// The account that has the key already.
        first: String,
        /// The other account with the key.
        second: String,
    },
    /// The name cannot be sent in a header.
    #[error("account name {name:?} has control characters")]
    Name {
        /// The name.
        name: String,
    },
    /// Two accounts have the same name.
    #[error("account {name:?} is named twice")]
    SameName {
        /// The name.
        name: String,
    },
}

impl Account {
    /// Whether its requests may be served in a region.
    pub fn allows_region(&self, region: &str) -> bool {
        is_allowed(&self.allowed_regions, region)
    }
}

/// Whether a list of regions, which stands for all if it is empty, has a region.
pub(crate) fn is_allowed(allowed_regions: &[String], region: &str) -> bool {
    allowed_regions.is_empty() || allowed_regions.iter().any(|allowed| allowed == region)
}

impl Accounts {
    /// Creates accounts without any entry. `salt` has to be unpredictable to clients.
    pub fn new(salt: [u8; 16]) -> Self {
        Self {
            salt,
            ..Self::default()
        }
    }

    /// Adds an account with its API keys.
    ///
    /// # Errors
    ///
    /// The name has control characters, or another account has the name or one of the keys.
    pub fn add<'a>(
        &mut self,
        account: Account,
        keys: impl IntoIterator<Item = &'a str>,
    ) -> Result<(), Error> {
        if account.name.contains(char::is_control) {
            return Err(Error::Name { name: account.name });
        }
        if self.by_name.contains_key(&account.name) {
            return Err(Error::SameName { name: account.name });
        }
        let account = Arc::new(account);
        for key in keys {
            let known = self
                .by_key
                .insert(self.hash(key.as_bytes()), Arc::clone(&account));
            if let Some(known) = known.filter(|known| known.name != account.name) {
                return Err(Error::SharedKey {
                    first: known.name.clone(),
                    second: account.name.clone(),
                });
            }
        }
        self.by_name.insert(account.name.clone(), account);
        Ok(())
    }

    /// The account that has an API key.
    pub fn find(&self, key: &[u8]) -> Option<&Arc<Account>> {
        self.by_key.get(&self.hash(key))
    }

    /// The account with a name.
    pub fn named(&self, name: &str) -> Option<&Arc<Account>> {
        self.by_name.get(name)
    }

    /// All accounts, in no particular order.
    pub fn iter(&self) -> impl Iterator<Item = &Arc<Account>> {
        self.by_name.values()
    }

    /// Whether there are no accounts, so that requests need no key.
    pub fn is_empty(&self) -> bool {
        self.by_name.is_empty()
    }

    fn hash(&self, key: &[u8]) -> KeyHash {
        let mut hasher = Sha256::new();
        hasher.update(self.salt);
        hasher.update(key);
        hasher.finalize().into()
    }
}

impl fmt::Debug for Accounts {
    /// Leaves the salt and the hashes of keys out, so that they reach no log.
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_list().entries(self.iter()).finish()
    }
}
