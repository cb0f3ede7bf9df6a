//! The clock by which the age of the store's copy and the grants of quotas are counted.
//!
//! It goes on while the machine is suspended, unlike the one behind [`Instant::now`]. The times that
//! [`now`] returns must not be compared with those of that clock, or be used for timers.

use rustix::time::{ClockId, clock_gettime};
use std::{
    sync::LazyLock,
    time::{Duration, Instant},
};

/// The origin of the times of [`now`], on both clocks.
static FIRST: LazyLock<(Instant, Duration)> = LazyLock::new(|| (Instant::now(), since_start()));

/// The current time as an [`Instant`].
pub fn now() -> Instant {
    let (first, first_since_start) = *FIRST;
    first + since_start().saturating_sub(first_since_start)
}

/// Time since the machine's start, suspensions included.
pub fn since_start() -> Duration {
    let time = clock_gettime(ClockId::Boottime);
    Duration::new(time.tv_sec as u64, time.tv_nsec as u32)
}
