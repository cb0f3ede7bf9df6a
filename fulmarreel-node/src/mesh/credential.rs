//! API keys with which requests were authenticated.

use super::context::Context;
use fulmarreel_route::{Account, Table};
use std::{fmt, sync::Arc, time::Duration};

/// Why a request with a key that may have been removed is refused.
pub const MAY_BE_REVOKED: &str = "the API key may have been removed";

/// How long the caller of such a request is to wait: a node that lost the store needs some attempts to
/// reach it again.
pub const REVOCATION_RETRY_AFTER: Duration = Duration::from_millis(500);

/// An API key, and the account that it identifies.
///
/// The key is kept so that a request that waited is not run with a key that was removed meanwhile.
pub struct Credential {
    account: Arc<Account>,
    key: Box<[u8]>,
    /// The store revision of the configuration by which the key was checked.
    revision: u64,
}

impl Credential {
    /// Looks a key up in a configuration; `None` if it identifies no account.
    pub fn new(table: &Table, key: &[u8]) -> Option<Self> {
        Some(Self {
            account: Arc::clone(table.accounts.find(key)?),
            key: key.into(),
            revision: table.revision,
        })
    }

    /// The account that the key identifies.
    pub fn account(&self) -> &Arc<Account> {
        &self.account
    }

    /// Whether the key is proved not to have been removed longer ago than the limit for revocations.
    fn is_valid(&self, context: &Context) -> bool {
        // Read before the view: what is proved of an earlier view holds for a later one.
        let is_proved = context.is_proved();
        let view = context.view();
        is_proved && view.table.as_ref().is_some_and(|table| self.is_in(table))
    }

    fn is_in(&self, table: &Table) -> bool {
        let is_known = || {
            let account = table.accounts.find(&self.key);
            account.is_some_and(|account| account.name == self.account.name)
        };
        table.revision == self.revision || table.accounts.is_empty() || is_known()
    }
}

/// Whether a request with a key may not run any more, as the key may have been removed.
pub fn may_be_revoked(credential: Option<&Credential>, context: &Context) -> bool {
    credential.is_some_and(|credential| !credential.is_valid(context))
}

impl fmt::Debug for Credential {
    /// Leaves the key out, so that it reaches no log.
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Credential")
            .field("account", &self.account.name)
            .field("revision", &self.revision)
            .finish_non_exhaustive()
    }
}
