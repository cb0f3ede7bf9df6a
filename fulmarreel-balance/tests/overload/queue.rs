//! The order of the queue and the decisions on single requests.

use fulmarreel_balance::{
    admission::QueueDeadlines,
    overload::{Cause, Class, Decision, Queue, Released, Request, Retries},
};
use std::time::{Duration, Instant};

const HELD: Duration = Duration::from_millis(100);

const URGENT: Class = Class {
    kind: fulmarreel_balance::overload::Kind::New,
    account_priority: 0,
    route_priority: 0,
};

fn request(now: Instant, class: Class, account: u64, latest_ms: u64) -> Request {
    let latest = now + Duration::from_millis(latest_ms);
    let wanted = latest;
    Request {
        class,
        account,
        weight: 1.0,
        deadlines: QueueDeadlines { wanted, latest },
    }
}

/// A queue in front of two slots, both taken; an earlier request held its slot for [`HELD`].
fn all_slots_taken(now: Instant) -> Queue<u32> {
    let mut queue = Queue::new(2);
    queue.admit(now, request(now, URGENT, 0, 60_000), 0);
    queue.release_slot(now, HELD);
    for _ in 0..2 {
        queue.admit(now, request(now, URGENT, 0, 60_000), 0);
    }
    queue
}

/// The handles of all waiting requests in the order in which they get slots.
fn drain(queue: &mut Queue<u32>, now: Instant) -> Vec<u32> {
    let mut order = Vec::new();
    while queue.in_flight() > queue.running() {
        for released in queue.release_slot(now, HELD) {
            match released {
                Released::Admitted(handle) => order.push(handle),
                Released::Expired(handle) => panic!("{handle} expired"),
            }
        }
    }
    order
}

/// Fails if the queue is not ordered by class, account and deadline.
#[test]
fn requests_are_served_by_class_then_account_then_deadline() {
    let now = Instant::now();
    let mut queue = all_slots_taken(now);
    let usual = Class::new_work(1, 0);
    let arrivals = [
        (usual, 1, 9_000, 6),
        (usual, 1, 5_000, 4),
        (usual, 2, 9_500, 5),
        (Class::new_work(0, 3), 1, 9_000, 3),
        (URGENT, 1, 9_000, 2),
        (Class::internal(7), 0, 9_900, 1),
    ];
    for (class, account, latest_ms, handle) in arrivals {
        let arrival = queue.admit(now, request(now, class, account, latest_ms), handle);
        assert!(matches!(arrival.decision, Decision::Queued(_)));
    }
    assert_eq!(drain(&mut queue, now), [1, 2, 3, 4, 5, 6]);
}

/// Fails if new work fills the queue for calls of targets, or if the request that makes room is another
/// than the least urgent.
#[test]
fn an_internal_call_displaces_the_least_urgent_new_request() {
    let now = Instant::now();
    let mut queue = all_slots_taken(now);
    for handle in 0..16 {
        let class = Class::new_work(if handle == 3 { 2 } else { 1 }, 0);
        let arrival = queue.admit(now, request(now, class, 1, 60_000), handle);
        assert!(arrival.displaced.is_empty());
    }
    let class = Class::new_work(1, 0);
    let arrival = queue.admit(now, request(now, class, 2, 60_000), 16);
    assert_eq!(arrival.displaced, [3]);
    let refused = queue.admit(now, request(now, Class::new_work(3, 0), 3, 60_000), 17);
    assert_eq!(refused.decision, Decision::Refused(17, Cause::Full));
    let internal = queue.admit(now, request(now, Class::internal(0), 0, 60_000), 18);
    assert!(matches!(internal.decision, Decision::Queued(_)));
    assert_eq!(internal.displaced.len(), 1);
}

/// Fails if a request is queued that cannot get a slot in time.
#[test]
fn a_request_that_cannot_get_a_slot_in_time_is_refused_at_once() {
    let now = Instant::now();
    let mut queue = all_slots_taken(now);
    let class = Class::internal(0);
    for _ in 0..3 {
        let arrival = queue.admit(now, request(now, class, 0, 1_000), 1);
        assert!(matches!(arrival.decision, Decision::Queued(_)));
    }
    // Each of the four has to wait for half of HELD.
    // It goes before the others, whose deadlines are later, and has to wait for half of HELD.
    let nearest = queue.admit(now, request(now, class, 0, 60), 2);
    assert!(matches!(nearest.decision, Decision::Queued(_)));
    let refused = queue.admit(now, request(now, class, 0, 70), 3);
    assert_eq!(refused.decision, Decision::Refused(3, Cause::Late));
}

/// Fails if a call of a target is refused since it cannot get a slot by the time that its route's objective
/// calls for: its parent can use the answer until its deadline.
#[test]
fn an_internal_call_waits_until_its_latest_time() {
    let now = Instant::now();
    for (class, waits) in [(Class::internal(0), true), (URGENT, false)] {
        let mut queue = all_slots_taken(now);
        queue.admit(now, request(now, class, 0, 60_000), 1);
        let mut late = request(now, class, 0, 70_000);
        late.deadlines.wanted = now + HELD / 2;
        let arrival = queue.admit(now, late, 2);
        assert_eq!(matches!(arrival.decision, Decision::Queued(_)), waits);
    }
}

/// Fails if requests that are refused together are told to come back together, or in another order.
#[test]
fn refused_requests_return_one_after_another() {
    let now = Instant::now();
    let mut retries = Retries::default();
    let (backlog, interval) = (Duration::from_millis(100), Duration::from_millis(20));
    let delays: Vec<Duration> = (0..10)
        .map(|_| retries.delay(now, backlog, interval))
        .collect();
    assert_eq!(delays[0], backlog);
    for pair in delays.windows(2) {
        assert_eq!(pair[1] - pair[0], interval);
    }
    // Nobody is told to return later than is useful.
    let last = (0..1_000)
        .map(|_| retries.delay(now, backlog, interval))
        .max();
    assert!(last < Some(Duration::from_secs(5)));
}
