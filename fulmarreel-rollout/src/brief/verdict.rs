//! The verdict on the new version.

use super::{Counts, CountsByRoute, VersionCounts};

/// Number of failed calls to the new version that a verdict on failures needs at least.
const MIN_FAILED: u32 = 4;

/// Fraction of failed calls from which on the new version may be found bad.
const MIN_FAILED_FRACTION: f64 = 0.12;

/// Number of failed or slow calls to the new version that a verdict on both together needs at
/// least.
const MIN_BAD: u32 = 6;

/// Fraction of failed or slow calls from which on the new version may be found bad.
const MIN_BAD_FRACTION: f64 = 0.30;

/// Factor on the required number of bad calls when only recent calls are looked at: that test is
/// repeated again and again, and each repetition may go wrong by chance.
const RECENT_FACTOR: u32 = 2;

/// Number of failed, slow or overdue calls to the new version from which on its share may not be
/// raised.
const MIN_SUSPECT: u32 = 3;

/// Fraction of such calls from which on the share may not be raised.
const MIN_SUSPECT_FRACTION: f64 = 0.15;

/// Least ratio of the new version's fraction of bad calls to the old version's, for a verdict and
/// for not raising the share.
const MIN_RATIO_TO_OLD: f64 = 3.0;

/// Returns the counts by which the new version is bad, over all routes or on one of them.
pub fn verdict(evidence: &CountsByRoute) -> Option<Counts> {
    let routes = evidence.values().copied();
    routes
        .chain([total(evidence)])
        .find(|pair| is_bad(pair, 1))
        .map(|pair| pair.new)
}

/// Returns the recent counts by which a version has become bad that was good before, over all
/// routes or on one of them.
pub(super) fn recent_verdict(recent: &CountsByRoute) -> Option<Counts> {
    let routes = recent.values().copied();
    let mut pairs = routes.chain([total(recent)]);
    pairs
        .find(|pair| is_bad(pair, RECENT_FACTOR))
        .map(|pair| pair.new)
}

/// Whether the evidence forbids raising the share, over all routes or on one of them.
pub(super) fn is_doubtful(evidence: &CountsByRoute) -> bool {
    let pairs = evidence.values().copied();
    pairs
        .chain([total(evidence)])
        .any(|VersionCounts { old, new }| {
            let fraction = new.suspect_fraction();
            new.suspect_calls() >= MIN_SUSPECT
                && fraction >= MIN_SUSPECT_FRACTION
                && fraction >= MIN_RATIO_TO_OLD * old.suspect_fraction()
        })
}

pub(super) fn total(evidence: &CountsByRoute) -> VersionCounts {
    let mut total = VersionCounts::default();
    for pair in evidence.values() {
        total.old.add(pair.old);
        total.new.add(pair.new);
    }
    total
}

fn is_bad(pair: &VersionCounts, min_calls_factor: u32) -> bool {
    let VersionCounts { old, new } = *pair;
    let failed_fraction = new.fraction(new.failed);
    let fails_too_often = new.failed >= MIN_FAILED * min_calls_factor
        && failed_fraction >= MIN_FAILED_FRACTION
        && failed_fraction >= MIN_RATIO_TO_OLD * old.fraction(old.failed);
    let bad = new.failed + new.slow;
    let bad_fraction = new.fraction(bad);
    let is_bad_too_often = bad >= MIN_BAD * min_calls_factor
        && bad_fraction >= MIN_BAD_FRACTION
        && bad_fraction >= MIN_RATIO_TO_OLD * old.fraction(old.failed + old.slow);
    fails_too_often || is_bad_too_often
}
