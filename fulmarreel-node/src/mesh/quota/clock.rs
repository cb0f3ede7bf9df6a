//! The clock of quotas.

use fulmarreel_quota::Time;
use rustix::time::{ClockId, clock_gettime};

/// The time since the machine's start, suspensions included.
pub(super) fn now() -> Time {
    let time = clock_gettime(ClockId::Boottime);
    let seconds = u64::try_from(time.tv_sec).unwrap_or(0);
    let nanos = u32::try_from(time.tv_nsec).unwrap_or(0);
    Time::new(seconds, nanos)
}
