//! Limits on the bytes held for responses: for each one, and for all that are being read concurrently.

use std::sync::atomic::{AtomicUsize, Ordering};

/// Bytes of each exchange that do not count towards the quota, so that long responses cannot block
/// short ones.
const UNCOUNTED_BYTES: usize = 65_536;

/// The upper limit on one of several exchanges, however large the quota.
const MAX_EXCHANGE_BYTES: usize = 67_108_864;

/// Why no more bytes may be read.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
pub enum Error {
    /// One exchange exceeds its limit.
    #[error("the answer is longer than {limit} bytes")]
    Exchange {
        /// The limit of one exchange, in bytes.
        limit: usize,
    },
    /// All exchanges together exceed the quota.
    #[error("the answers that are read at once fill {limit} bytes")]
    Total {
        /// The limit of all exchanges, in bytes.
        limit: usize,
    },
}

/// The bytes that all exchanges together may hold. Exchanges do not wait for space: one that exceeds
/// the quota fails.
#[derive(Debug)]
pub struct Quota {
    limit_bytes: usize,
    /// The most bytes that one exchange may hold.
    exchange_limit_bytes: usize,
    used_bytes: AtomicUsize,
}

/// The bytes held by one exchange; released when dropped.
#[derive(Debug)]
pub struct Reservation<'a> {
    quota: &'a Quota,
    total_bytes: usize,
    /// The part of `total_bytes` that counts towards the quota.
    counted_bytes: usize,
}

impl Quota {
    /// Creates a quota of exchanges that run concurrently; one of them may hold half of it.
    pub fn new(limit_bytes: usize) -> Self {
        Self {
            limit_bytes,
            exchange_limit_bytes: (limit_bytes / 2).min(MAX_EXCHANGE_BYTES),
            used_bytes: AtomicUsize::new(0),
        }
    }

    /// Creates a quota of one exchange, which may hold all of it.
    pub fn for_one_exchange(limit_bytes: usize) -> Self {
        Self {
            limit_bytes,
            exchange_limit_bytes: limit_bytes,
            used_bytes: AtomicUsize::new(0),
        }
    }

    /// The most bytes that one exchange may hold.
    pub fn exchange_limit_bytes(&self) -> usize {
        self.exchange_limit_bytes
    }

    /// Starts an exchange, which holds no bytes yet.
    pub fn reserve(&self) -> Reservation<'_> {
        Reservation {
            quota: self,
            total_bytes: 0,
            counted_bytes: 0,
        }
    }

    /// Adds bytes to those in use.
    fn add(&self, bytes: usize) -> Result<(), Error> {
        let limit = self.limit_bytes;
        let add = |used: usize| used.checked_add(bytes).filter(|sum| *sum <= limit);
        self.used_bytes
            .fetch_update(Ordering::AcqRel, Ordering::Acquire, add)
            .map(drop)
            .map_err(|_| Error::Total { limit })
    }
}

impl Reservation<'_> {
    /// Checks a number of bytes against the limit of one exchange.
    ///
    /// # Errors
    ///
    /// The number is over the limit.
    pub fn check(&self, bytes: usize) -> Result<(), Error> {
        let limit = self.quota.exchange_limit_bytes();
        if bytes > limit {
            return Err(Error::Exchange { limit });
        }
        Ok(())
    }

    /// Adds bytes to the exchange.
    ///
    /// # Errors
    ///
    /// The exchange or the quota would exceed its limit.
    pub fn extend(&mut self, bytes: usize) -> Result<(), Error> {
        let total_bytes = self.total_bytes.saturating_add(bytes);
        self.check(total_bytes)?;
        let counted_bytes = total_bytes.saturating_sub(UNCOUNTED_BYTES);
        self.quota.add(counted_bytes - self.counted_bytes)?;
        self.total_bytes = total_bytes;
        self.counted_bytes = counted_bytes;
        Ok(())
    }
}

impl Drop for Reservation<'_> {
    fn drop(&mut self) {
        self.quota
            .used_bytes
            .fetch_sub(self.counted_bytes, Ordering::AcqRel);
    }
}
