//! Calls of several ranks at one target.

use fulmarreel_balance::admission::{Admission, Arrival, Patience, Release};
use std::time::{Duration, Instant};

const HELD: Duration = Duration::from_millis(600);

fn patience(now: Instant, wanted_ms: u64, latest_ms: u64) -> Patience {
    Patience {
        wanted: now + Duration::from_millis(wanted_ms),
        latest: now + Duration::from_millis(latest_ms),
    }
}

/// Two slots, both taken, by calls that hold theirs for [`HELD`].
fn full(now: Instant) -> Admission<&'static str> {
    let mut admission = Admission::with_queue(2, 6);
    let long = patience(now, 10_000, 10_000);
    admission.arrive_ranked(now, 2, long, "first");
    admission.finish(now, HELD);
    admission.arrive_ranked(now, 2, long, "a");
    admission.arrive_ranked(now, 2, long, "b");
    assert_eq!(admission.running(), 2);
    admission
}

/// Fails if the queue is ordered by deadlines alone.
#[test]
fn an_urgent_call_passes_those_that_wait() {
    let now = Instant::now();
    let mut admission = full(now);
    let soon = patience(now, 5_000, 5_000);
    assert_eq!(
        admission.arrive_ranked(now, 2, soon, "usual"),
        Arrival::Queued
    );
    let later = patience(now, 9_000, 9_000);
    assert_eq!(
        admission.arrive_ranked(now, 1, later, "urgent"),
        Arrival::Queued
    );
    assert_eq!(admission.finish(now, HELD), [Release::Admitted("urgent")]);
    assert_eq!(admission.finish(now, HELD), [Release::Admitted("usual")]);
}

/// Fails if a call waits that cannot have a slot by the time that it wants one: its target would
/// work on what its caller has given up.
#[test]
fn a_usual_call_is_refused_where_its_wish_cannot_be_met() {
    let now = Instant::now();
    let mut admission = full(now);
    // The first in line waits on, as long as its limit allows.
    let short = patience(now, 100, 1_000);
    assert_eq!(admission.arrive_ranked(now, 2, short, "c"), Arrival::Queued);
    assert_eq!(
        admission.arrive_ranked(now, 2, short, "d"),
        Arrival::Refused("d")
    );
    let hopeless = patience(now, 100, 200);
    let mut admission = full(now);
    assert_eq!(
        admission.arrive_ranked(now, 2, hopeless, "e"),
        Arrival::Refused("e")
    );
}

/// Fails if the short calls of a request that runs already are refused by their objective where one
/// target is left (bookings that ran failed by it).
#[test]
fn an_urgent_call_waits_until_its_limit() {
    let now = Instant::now();
    let mut admission = full(now);
    let short = patience(now, 100, 1_000);
    assert_eq!(admission.arrive_ranked(now, 1, short, "c"), Arrival::Queued);
    assert_eq!(admission.arrive_ranked(now, 1, short, "d"), Arrival::Queued);
}

/// Fails if a call that nobody waits for any more takes a slot.
#[test]
fn a_call_that_gave_up_is_released_as_expired() {
    let now = Instant::now();
    let mut admission = full(now);
    let short = patience(now, 400, 400);
    assert_eq!(admission.arrive_ranked(now, 2, short, "c"), Arrival::Queued);
    let later = now + Duration::from_millis(500);
    assert_eq!(admission.finish(later, HELD), [Release::Expired("c")]);
    assert_eq!(admission.running(), 1);
}
