//! Offers of one request to one target after another.

use fulmarreel_balance::overload::Attempt;
use std::time::{Duration, Instant};

fn attempt(started: Instant) -> Attempt {
    Attempt {
        started,
        deadline: started + Duration::from_millis(2_000),
        objective: started + Duration::from_millis(800),
        typical_latency: Duration::from_millis(100),
        is_first: false,
        is_refused_new_work: true,
    }
}

/// Fails if new work that finds no room is offered to further targets until its caller has waited long.
#[test]
fn new_work_without_room_is_given_up_after_an_eighth_of_its_objective() {
    let start = Instant::now();
    let after = |ms| start + Duration::from_millis(ms);
    assert!(attempt(start).is_worthwhile(after(99)));
    assert!(!attempt(start).is_worthwhile(after(101)));
    let mut wanted = attempt(start);
    wanted.is_refused_new_work = false;
    assert!(wanted.is_worthwhile(after(1_900)));
}

/// Fails if a request is offered that no target can answer in time: it ends as 504 after its deadline.
#[test]
fn a_request_without_time_left_is_offered_to_no_target() {
    let start = Instant::now();
    let mut late = attempt(start);
    late.is_refused_new_work = false;
    assert!(!late.is_worthwhile(start + Duration::from_millis(1_901)));
    late.is_first = true;
    assert!(late.is_worthwhile(start + Duration::from_millis(1_949)));
    assert!(!late.is_worthwhile(start + Duration::from_millis(1_951)));
}

/// Fails if a caller is told to come back when its request cannot be run in time any more.
#[test]
fn callers_return_while_their_requests_can_be_run() {
    let start = Instant::now();
    let now = start + Duration::from_millis(1_850);
    let longest = attempt(start).longest_retry_delay(now);
    let usable = Duration::from_millis(50);
    assert!(longest > usable / 2 && longest < usable, "{longest:?}");
    let end = start + Duration::from_secs(3);
    assert_eq!(attempt(start).longest_retry_delay(end), Duration::ZERO);
}
