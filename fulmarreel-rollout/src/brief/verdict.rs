//! Whether the new version is bad.

use super::{Counts, Evidence, Pair};

/// Failed calls to the new version without which no verdict falls.
const MIN_FAILED: u32 = 4;

/// The part of the new version's calls that fail from which on it is bad.
const FAILED_PART: f64 = 0.12;

/// Slow calls to the new version without which no verdict falls.
const MIN_SLOW: u32 = 6;

/// The part of the new version's calls that fail or are slow from which on it is bad.
const SLOW_PART: f64 = 0.30;

/// How many times the bad calls a short time has to show: it is looked at again and again.
const RECENT_TIMES: u32 = 2;

/// Failed or slow calls to the new version that forbid a larger share.
const MIN_DOUBTFUL: u32 = 3;

/// The part of the new version's calls that fail or are slow that forbids a larger share.
const DOUBTFUL_PART: f64 = 0.15;

/// How many times the old version's part of bad calls the new one's must be.
const EXCESS: f64 = 3.0;

/// The counts on which the new version is bad, over all routes or on one of them.
pub fn verdict(evidence: &Evidence) -> Option<Counts> {
    let routes = evidence.values().copied();
    routes
        .chain([total(evidence)])
        .find(|pair| is_bad(pair, 1))
        .map(|pair| pair.new)
}

/// The counts on which a version is bad that was good before, over all routes or on one of them.
pub(super) fn recent_verdict(recent: &Evidence) -> Option<Counts> {
    let routes = recent.values().copied();
    let mut pairs = routes.chain([total(recent)]);
    pairs
        .find(|pair| is_bad(pair, RECENT_TIMES))
        .map(|pair| pair.new)
}

/// Whether what was seen forbids a larger share, over all routes or on one of them.
pub(super) fn is_doubtful(evidence: &Evidence) -> bool {
    let pairs = evidence.values().copied();
    pairs.chain([total(evidence)]).any(|Pair { old, new }| {
        let part = new.suspect_part();
        new.suspect() >= MIN_DOUBTFUL
            && part >= DOUBTFUL_PART
            && part >= EXCESS * old.suspect_part()
    })
}

pub(super) fn total(evidence: &Evidence) -> Pair {
    let mut total = Pair::default();
    for pair in evidence.values() {
        total.old.add(pair.old);
        total.new.add(pair.new);
    }
    total
}

fn is_bad(pair: &Pair, times: u32) -> bool {
    let Pair { old, new } = *pair;
    let failed = new.part(new.failed);
    let fails = new.failed >= MIN_FAILED * times
        && failed >= FAILED_PART
        && failed >= EXCESS * old.part(old.failed);
    let bad = new.failed + new.slow;
    let late = new.part(bad);
    let slow = bad >= MIN_SLOW * times
        && late >= SLOW_PART
        && late >= EXCESS * old.part(old.failed + old.slow);
    fails || slow
}
