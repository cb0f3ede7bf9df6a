use fulmarreel_balance::admission::{Admission, Arrival, Release};
use std::time::{Duration, Instant};

const SLOTS: u16 = 2;
const MS: Duration = Duration::from_millis(1);

/// Two calls run that hold their slots for `held`, by earlier ones' measure.
fn busy(now: Instant, held: Duration) -> Admission<&'static str> {
    let mut admission = Admission::new(SLOTS);
    for _ in 0..SLOTS {
        admission.arrive(now, now + 1_000 * MS, "earlier");
        admission.finish(now, held);
    }
    for _ in 0..SLOTS {
        admission.arrive(now, now + 1_000 * MS, "running");
    }
    admission
}

/// Seen to fail with the test of free slots left out of `release`.
#[test]
fn slots_are_never_exceeded() {
    let now = Instant::now();
    let mut random = fastrand::Rng::with_seed(1);
    let mut admission = Admission::new(SLOTS);
    let mut running = 0_usize;
    for call in 0..1_000 {
        if random.bool() {
            let arrival = admission.arrive(now, now + 10_000 * MS, call);
            running += usize::from(matches!(arrival, Arrival::Admitted(_)));
        } else if running > 0 {
            let released = admission.finish(now, MS);
            running = running + released.len() - 1;
        }
        assert_eq!(running, admission.running());
        assert!(running <= usize::from(SLOTS));
    }
}

/// Seen to fail with a queue in order of arrival.
#[test]
fn the_earliest_deadline_goes_first_and_passed_ones_are_refused() {
    let now = Instant::now();
    let mut admission = busy(now, MS);
    for (name, deadline) in [("late", 900), ("early", 300), ("passed", 50)] {
        let arrival = admission.arrive(now, now + deadline * MS, name);
        assert!(arrival.is_queued(), "{name}: {arrival:?}");
    }
    let released = admission.finish(now + 100 * MS, MS);
    assert_eq!(
        released,
        [Release::Expired("passed"), Release::Admitted("early")]
    );
}

/// Seen to fail with the expected time left out of `arrive`.
#[test]
fn a_deadline_that_cannot_be_met_is_refused_at_once() {
    let now = Instant::now();
    let mut admission = busy(now, 100 * MS);
    let soon = admission.arrive(now, now + 120 * MS, "soon");
    assert_eq!(soon, Arrival::Refused("soon"));
    let later = admission.arrive(now, now + 500 * MS, "later");
    assert!(later.is_queued(), "{later:?}");
}

/// Seen to fail without a bound of the queue.
#[test]
fn the_queue_is_short() {
    let now = Instant::now();
    let mut admission = busy(now, MS);
    let arrivals = (0..100).map(|_| admission.arrive(now, now + 60_000 * MS, "waiting"));
    let queued = arrivals.filter(Arrival::is_queued);
    assert_eq!(queued.count(), 4);
}

/// Seen to fail with `resize` that only stores the number.
#[test]
fn more_slots_let_waiting_calls_in() {
    let now = Instant::now();
    let mut admission = busy(now, MS);
    admission.arrive(now, now + 900 * MS, "waiting");
    let released = admission.resize(now, SLOTS + 1);
    assert_eq!(released, [Release::Admitted("waiting")]);
}
