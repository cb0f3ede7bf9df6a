//! The clock by which the copy of the store is dated.
//!
//! It goes on while the machine is suspended, unlike the one behind [`Instant::now`]. Its times must not
//! be compared with that clock's, or be used for timers.

use rustix::time::{ClockId, clock_gettime};
use std::{
    sync::LazyLock,
    time::{Duration, Instant},
};

/// The first time that was read, and how long after the machine's start that was.
static FIRST: LazyLock<(Instant, Duration)> = LazyLock::new(|| (Instant::now(), since_start()));

/// The current time.
pub fn now() -> Instant {
    let (first, first_since_start) = *FIRST;
    first + since_start().saturating_sub(first_since_start)
}

/// Time since the machine's start, suspensions included.
fn since_start() -> Duration {
    let time = clock_gettime(ClockId::Boottime);
    Duration::new(time.tv_sec as u64, time.tv_nsec as u32)
}
