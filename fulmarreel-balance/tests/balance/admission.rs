use fulmarreel_balance::admission::{Admission, AdmissionOutcome, Dequeued};
use std::time::{Duration, Instant};

const SLOTS: u16 = 2;
const MS: Duration = Duration::from_millis(1);

/// An admission whose slots are all taken; earlier calls held their slots for `held`.
fn all_slots_taken(now: Instant, held: Duration) -> Admission<&'static str> {
    let mut admission = Admission::new(SLOTS);
    for _ in 0..SLOTS {
        admission.admit(now, now + 1_000 * MS, "earlier");
        admission.release_slot(now, held);
    }
    for _ in 0..SLOTS {
        admission.admit(now, now + 1_000 * MS, "running");
    }
    admission
}

/// Fails if `release` does not check for free slots.
#[test]
fn slots_are_never_exceeded() {
    let now = Instant::now();
    let mut random = fastrand::Rng::with_seed(1);
    let mut admission = Admission::new(SLOTS);
    let mut running = 0_usize;
    for call in 0..1_000 {
        if random.bool() {
            let arrival = admission.admit(now, now + 10_000 * MS, call);
            running += usize::from(matches!(arrival, AdmissionOutcome::Admitted(_)));
        } else if running > 0 {
            let released = admission.release_slot(now, MS);
            running = running + released.len() - 1;
        }
        assert_eq!(running, admission.running());
        assert!(running <= usize::from(SLOTS));
    }
}

/// Fails if the queue is ordered by arrival.
#[test]
fn the_earliest_deadline_goes_first_and_missed_ones_expire() {
    let now = Instant::now();
    let mut admission = all_slots_taken(now, MS);
    for (name, deadline) in [("late", 900), ("early", 300), ("missed", 50)] {
        let arrival = admission.admit(now, now + deadline * MS, name);
        assert!(arrival.is_queued(), "{name}: {arrival:?}");
    }
    let released = admission.release_slot(now + 100 * MS, MS);
    assert_eq!(
        released,
        [Dequeued::Expired("missed"), Dequeued::Admitted("early")]
    );
}

/// Fails if `admit` ignores the expected waiting time.
#[test]
fn a_deadline_that_cannot_be_met_is_refused_at_once() {
    let now = Instant::now();
    let mut admission = all_slots_taken(now, 100 * MS);
    let soon = admission.admit(now, now + 120 * MS, "soon");
    assert_eq!(soon, AdmissionOutcome::Refused("soon"));
    let later = admission.admit(now, now + 500 * MS, "later");
    assert!(later.is_queued(), "{later:?}");
}

/// Fails if the queue has no length limit.
#[test]
fn the_queue_is_bounded() {
    let now = Instant::now();
    let mut admission = all_slots_taken(now, MS);
    let arrivals = (0..100).map(|_| admission.admit(now, now + 60_000 * MS, "waiting"));
    let queued = arrivals.filter(AdmissionOutcome::is_queued);
    assert_eq!(queued.count(), 4);
}

/// Fails if `resize` only stores the new number.
#[test]
fn added_slots_admit_waiting_calls() {
    let now = Instant::now();
    let mut admission = all_slots_taken(now, MS);
    admission.admit(now, now + 900 * MS, "waiting");
    let released = admission.resize(now, SLOTS + 1);
    assert_eq!(released, [Dequeued::Admitted("waiting")]);
}
