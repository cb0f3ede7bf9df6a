//! What the system asks of the platform's key-value store.

use crate::{Entry, Error, Lease, Listing, Outcome, Revision, Transaction, watch::Watch};
use std::{future::Future, time::Duration};

/// The largest value that the platform holds, in bytes.
pub const MAX_VALUE: usize = 1_048_576;

/// A store with compare-and-swap, leases, watches and one global revision.
pub trait Store: Send + Sync {
    /// An open watch.
    type Watch: Watch + Send;

    /// Reads one key as it is now.
    fn get(&self, key: &str) -> impl Future<Output = Result<Option<Entry>, Error>> + Send;

    /// Reads one key as it was at `revision`.
    ///
    /// Fails with [`Error::Compacted`] when the store no longer keeps that revision.
    fn get_at(
        &self,
        key: &str,
        revision: Revision,
    ) -> impl Future<Output = Result<Option<Entry>, Error>> + Send;

    /// Reads all keys that begin with `prefix`, as of one revision.
    fn list(&self, prefix: &str) -> impl Future<Output = Result<Listing, Error>> + Send;

    /// Writes all of a transaction if all its conditions hold, else nothing.
    ///
    /// [`Error::Unknown`] says that the write may have taken effect or may still do so.
    fn commit(
        &self,
        transaction: &Transaction,
    ) -> impl Future<Output = Result<Outcome, Error>> + Send;

    /// As [`Store::commit`], and after a lost reply finds out by the rule of
    /// [`commit::checked`](crate::commit::checked) what became of the write.
    fn commit_checked(
        &self,
        transaction: &Transaction,
    ) -> impl Future<Output = Result<Outcome, Error>> + Send {
        crate::commit::checked(self, transaction)
    }

    /// Grants a lease; `ttl` is rounded up to whole seconds.
    fn grant(&self, ttl: Duration) -> impl Future<Output = Result<Lease, Error>> + Send;

    /// Renews a lease and says how long it now has, counted from some time in the call.
    ///
    /// Fails with [`Error::Expired`] when the lease is gone.
    fn keep_alive(&self, lease: Lease) -> impl Future<Output = Result<Duration, Error>> + Send;

    /// Ends a lease and deletes its keys; a lease that is gone is no error.
    fn revoke(&self, lease: Lease) -> impl Future<Output = Result<(), Error>> + Send;

    /// Opens a watch on all keys that begin with `prefix`, with the kept history from `from` on.
    ///
    /// The watch fails with [`Error::Silent`] after `idle` without a single byte. The store's
    /// reports of progress come at an interval of its own, and `idle` must exceed it.
    fn watch(
        &self,
        prefix: &str,
        from: Revision,
        idle: Duration,
    ) -> impl Future<Output = Result<Self::Watch, Error>> + Send;
}
