//! A bound on the bytes of all answers that are read at once, and on those of each.

use std::sync::atomic::{AtomicUsize, Ordering};

/// Bytes of each exchange that are not counted, so that long answers leave room for short ones.
const FREE_BYTES: usize = 65_536;

/// The most bytes of one exchange, whatever the quota.
const MAX_EXCHANGE_BYTES: usize = 67_108_864;

/// Why no more bytes are read.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
pub enum Error {
    /// One exchange has more than its part.
    #[error("the answer is longer than {limit} bytes")]
    Exchange {
        /// The most that one exchange may have.
        limit: usize,
    },
    /// All exchanges together have what they may.
    #[error("the answers that are read at once fill {limit} bytes")]
    Total {
        /// The most that all may have.
        limit: usize,
    },
}

/// The bytes that all exchanges together may hold. Nothing waits for room: an exchange that finds
/// none fails.
#[derive(Debug)]
pub struct Quota {
    limit: usize,
    taken: AtomicUsize,
}

/// The bytes of one exchange; given back when dropped.
#[derive(Debug)]
pub struct Reservation<'a> {
    quota: &'a Quota,
    bytes: usize,
    /// Those of them that are counted.
    counted: usize,
}

impl Quota {
    /// A quota of that many bytes.
    pub fn new(limit: usize) -> Self {
        Self {
            limit,
            taken: AtomicUsize::new(0),
        }
    }

    /// The most bytes of one exchange.
    pub fn exchange_limit(&self) -> usize {
        (self.limit / 2).min(MAX_EXCHANGE_BYTES)
    }

    /// Begins an exchange.
    pub fn reserve(&self) -> Reservation<'_> {
        Reservation {
            quota: self,
            bytes: 0,
            counted: 0,
        }
    }

    fn take(&self, bytes: usize) -> Result<(), Error> {
        let limit = self.limit;
        let taken = |taken: usize| taken.checked_add(bytes).filter(|sum| *sum <= limit);
        self.taken
            .fetch_update(Ordering::AcqRel, Ordering::Acquire, taken)
            .map(drop)
            .map_err(|_| Error::Total { limit })
    }
}

impl Reservation<'_> {
    /// Whether one exchange may have that many bytes.
    ///
    /// # Errors
    ///
    /// They are more than its part.
    pub fn check(&self, bytes: usize) -> Result<(), Error> {
        let limit = self.quota.exchange_limit();
        if bytes > limit {
            return Err(Error::Exchange { limit });
        }
        Ok(())
    }

    /// Adds bytes to the exchange.
    ///
    /// # Errors
    ///
    /// There is no room for them.
    pub fn extend(&mut self, bytes: usize) -> Result<(), Error> {
        let sum = self.bytes.saturating_add(bytes);
        self.check(sum)?;
        let counted = sum.saturating_sub(FREE_BYTES);
        self.quota.take(counted - self.counted)?;
        self.bytes = sum;
        self.counted = counted;
        Ok(())
    }
}

impl Drop for Reservation<'_> {
    fn drop(&mut self) {
        self.quota.taken.fetch_sub(self.counted, Ordering::AcqRel);
    }
}
