//! Refused calls of the own target.

use fulmarreel_balance::overload::Refusals;
use std::time::{Duration, Instant};

/// Fails if refused requests of clients have runs of the target counted as wasted, which then failed for
/// another reason: the node would start fewer runs for no reason.
#[test]
fn requests_that_arrive_while_the_target_is_idle_are_no_calls_of_it() {
    let now = Instant::now();
    let mut refusals = Refusals::default();
    refusals.record_arrival(now, "public", true);
    refusals.record_arrival(now, "call", false);
    assert!(!refusals.record(now, "public"));
    assert!(!refusals.explain(now, now));
    assert!(refusals.record(now, "call"));
    assert!(refusals.explain(now, now));
}

/// Fails if a refusal before a run, or long before its end, counts as the cause of its failure.
#[test]
fn a_refusal_explains_the_failure_of_runs_that_end_soon_after_it() {
    let start = Instant::now();
    let after = |ms| start + Duration::from_millis(ms);
    let mut refusals = Refusals::default();
    refusals.record(after(100), "call");
    assert!(refusals.explain(start, after(110)));
    assert!(!refusals.explain(after(105), after(110)));
    assert!(!refusals.explain(start, after(1_000)));
}
