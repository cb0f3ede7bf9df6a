//! The clock, and times as operators read them.

use fulmarreel_document::shift::Timestamp;
use std::time::{SystemTime, UNIX_EPOCH};

/// The current time.
pub fn now() -> Timestamp {
    let since = SystemTime::now().duration_since(UNIX_EPOCH);
    Timestamp(since.map_or(0, |since| since.as_millis() as u64))
}

/// A time in UTC, to the second.
pub(super) fn utc(time: Timestamp) -> String {
    let millis = i64::try_from(time.0).unwrap_or(i64::MAX);
    match jiff::Timestamp::from_millisecond(millis) {
        Ok(time) => time.strftime("%Y-%m-%dT%H:%M:%SZ").to_string(),
        Err(_) => time.0.to_string(),
    }
}
