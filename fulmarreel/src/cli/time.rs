//! The current time, and the format of times in results.

use fulmarreel_document::rollout::Timestamp;
use std::time::{SystemTime, UNIX_EPOCH};

/// The current time.
pub fn now() -> Timestamp {
    let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH);
    Timestamp(since_epoch.map_or(0, |since_epoch| since_epoch.as_millis() as u64))
}

/// Formats a time in UTC, to the second, as in `2026-12-04T18:00:00Z`.
pub(super) fn utc(time: Timestamp) -> String {
    let millis = i64::try_from(time.0).unwrap_or(i64::MAX);
    match jiff::Timestamp::from_millisecond(millis) {
        Ok(time) => time.strftime("%Y-%m-%dT%H:%M:%SZ").to_string(),
        Err(_) => time.0.to_string(),
    }
}
