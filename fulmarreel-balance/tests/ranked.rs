//! Calls of several ranks at one target.

use fulmarreel_balance::admission::{Admission, Arrival, QueueDeadlines, Release};
use std::time::{Duration, Instant};

const HELD: Duration = Duration::from_millis(600);

fn deadlines(now: Instant, wanted_ms: u64, latest_ms: u64) -> QueueDeadlines {
    QueueDeadlines {
        wanted: now + Duration::from_millis(wanted_ms),
        latest: now + Duration::from_millis(latest_ms),
    }
}

/// Two slots, both taken, by calls that hold theirs for [`HELD`].
fn full(now: Instant) -> Admission<&'static str> {
    let mut admission = Admission::new(2);
    let long = deadlines(now, 10_000, 10_000);
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
    let soon = deadlines(now, 5_000, 5_000);
    assert!(admission.arrive_ranked(now, 2, soon, "usual").is_queued());
    let later = deadlines(now, 9_000, 9_000);
    assert!(admission.arrive_ranked(now, 1, later, "urgent").is_queued());
    assert_eq!(admission.finish(now, HELD), [Release::Admitted("urgent")]);
    assert_eq!(admission.finish(now, HELD), [Release::Admitted("usual")]);
}

/// Fails if a call waits that cannot have a slot by the time that it wants one: its target would
/// work on what its caller has given up.
#[test]
fn a_usual_call_is_refused_where_its_wish_cannot_be_met() {
    let now = Instant::now();
    let mut admission = full(now);
    // Where nobody waits, a call waits on, as long as its limit allows.
    let short = deadlines(now, 100, 1_000);
    assert!(admission.arrive_ranked(now, 2, short, "c").is_queued());
    assert_eq!(
        admission.arrive_ranked(now, 2, short, "d"),
        Arrival::Refused("d")
    );
    let hopeless = deadlines(now, 100, 200);
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
    let short = deadlines(now, 100, 1_000);
    assert!(admission.arrive_ranked(now, 1, short, "c").is_queued());
    assert!(admission.arrive_ranked(now, 1, short, "d").is_queued());
}

/// Fails if a call that nobody waits for any more takes a slot.
#[test]
fn a_call_that_gave_up_is_released_as_expired() {
    let now = Instant::now();
    let mut admission = full(now);
    let short = deadlines(now, 400, 400);
    assert!(admission.arrive_ranked(now, 2, short, "c").is_queued());
    let later = now + Duration::from_millis(500);
    assert_eq!(admission.finish(later, HELD), [Release::Expired("c")]);
    assert_eq!(admission.running(), 1);
}

/// Fails if less urgent calls fill the queue for an urgent one.
#[test]
fn usual_calls_take_no_room_from_urgent_ones() {
    let now = Instant::now();
    let mut admission = full(now);
    let long = deadlines(now, 10_000, 10_000);
    let mut queued = 0;
    while admission.arrive_ranked(now, 2, long, "usual").is_queued() {
        queued += 1;
    }
    assert_eq!(queued, 4);
    assert!(admission.arrive_ranked(now, 1, long, "urgent").is_queued());
}

/// Fails if the wait is judged by the mean time that calls hold a slot: short urgent calls pull that
/// down and take most of the slots, and usual calls were answered after their objective.
#[test]
fn the_wait_of_usual_calls_is_judged_by_their_own_pace() {
    let start = Instant::now();
    let mut admission = full(start);
    let mut now = start;
    let long = deadlines(start, 60_000, 60_000);
    for _ in 0..3 {
        admission.arrive_ranked(now, 2, long, "usual");
    }
    // Four urgent calls have a slot for each usual one that has one; all are short.
    for turn in 0..15 {
        now += Duration::from_millis(100);
        if turn % 5 != 0 {
            admission.arrive_ranked(now, 1, long, "urgent");
        }
        admission.finish(now, Duration::from_millis(50));
    }
    let soon = deadlines(now, 600, 60_000);
    admission.arrive_ranked(now, 2, soon, "usual");
    assert_eq!(
        admission.arrive_ranked(now, 2, soon, "late"),
        Arrival::Refused("late")
    );
}

/// Fails if the one that waits decides what the next may expect: a call with an early wish waited
/// until its limit behind any number of others, and all of them were answered too late.
#[test]
fn only_a_call_that_finds_nobody_waiting_goes_on_to_its_limit() {
    let now = Instant::now();
    let mut admission = full(now);
    let late = deadlines(now, 5_000, 6_000);
    assert!(admission.arrive_ranked(now, 2, late, "c").is_queued());
    let early = deadlines(now, 100, 6_000);
    assert_eq!(
        admission.arrive_ranked(now, 2, early, "d"),
        Arrival::Refused("d")
    );
}

/// Fails if a call that was withdrawn takes room from the next one, or a slot.
#[test]
fn a_withdrawn_call_gives_its_place_up() {
    let now = Instant::now();
    let mut admission = full(now);
    let long = deadlines(now, 10_000, 10_000);
    let mut places = Vec::new();
    loop {
        match admission.arrive_ranked(now, 2, long, "left") {
            Arrival::Queued(place) => places.push(place),
            Arrival::Refused(_) => break,
            Arrival::Admitted(_) => panic!("no slot is free"),
        }
    }
    for place in &places {
        assert_eq!(admission.withdraw(*place), Some("left"));
        assert_eq!(admission.withdraw(*place), None);
    }
    assert_eq!(admission.in_flight(), 2);
    assert!(admission.arrive_ranked(now, 2, long, "stays").is_queued());
    assert_eq!(admission.finish(now, HELD), [Release::Admitted("stays")]);
}
