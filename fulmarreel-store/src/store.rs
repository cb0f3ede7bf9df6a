//! The trait of the key-value store.

use crate::{Entry, Error, LeaseId, Listing, Outcome, Revision, Transaction, watch::Watch};
use std::{future::Future, time::Duration};

/// The largest value that the store accepts, in bytes.
pub const MAX_VALUE_BYTES: usize = 1_048_576;

/// A store with compare-and-swap, leases, watches and one global revision.
pub trait Store: Send + Sync {
    /// An open watch.
    type Watch: Watch + Send;

    /// Reads the current entry of one key.
    fn get(&self, key: &str) -> impl Future<Output = Result<Option<Entry>, Error>> + Send;

    /// Reads the entry of one key as of `revision`.
    ///
    /// Fails with [`Error::Compacted`] when the store no longer keeps that revision.
    fn get_at(
        &self,
        key: &str,
        revision: Revision,
    ) -> impl Future<Output = Result<Option<Entry>, Error>> + Send;

    /// Reads all keys that begin with `prefix`, as of one revision.
    fn list(&self, prefix: &str) -> impl Future<Output = Result<Listing, Error>> + Send;

    /// Writes a transaction as a whole if all its conditions hold, otherwise nothing.
    ///
    /// [`Error::OutcomeUnknown`] means that the write may have taken effect or may still do so.
    fn commit(
        &self,
        transaction: &Transaction,
    ) -> impl Future<Output = Result<Outcome, Error>> + Send;

    /// Like [`Store::commit`], but reads back after a lost reply whether the write took effect, by
    /// the rule of [`commit_with_read_back`](crate::commit::commit_with_read_back).
    fn commit_with_read_back(
        &self,
        transaction: &Transaction,
    ) -> impl Future<Output = Result<Outcome, Error>> + Send {
        crate::commit::commit_with_read_back(self, transaction)
    }

    /// Grants a lease; `ttl` is rounded up to whole seconds.
    fn grant(&self, ttl: Duration) -> impl Future<Output = Result<LeaseId, Error>> + Send;

    /// Renews a lease and returns its remaining time to live, counted from an unspecified moment
    /// during the call.
    ///
    /// Fails with [`Error::LeaseExpired`] if the lease no longer exists.
    fn keep_alive(&self, lease: LeaseId) -> impl Future<Output = Result<Duration, Error>> + Send;

    /// Revokes a lease and deletes its keys; a lease that no longer exists is not an error.
    fn revoke(&self, lease: LeaseId) -> impl Future<Output = Result<(), Error>> + Send;

    /// Opens a watch on all keys that begin with `prefix`, starting with the events at `from`.
    ///
    /// The watch fails with [`Error::IdleTimeout`] after `idle` without a single byte. The store
    /// sends progress notifications at its own interval, which `idle` must exceed.
    fn watch(
        &self,
        prefix: &str,
        from: Revision,
        idle: Duration,
    ) -> impl Future<Output = Result<Self::Watch, Error>> + Send;
}
