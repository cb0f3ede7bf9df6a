//! Downloads over a narrow link: what crosses in time when more is asked for than the link carries.

use fulmarreel_balance::link::{Body, Link};
use std::time::{Duration, Instant};

const BYTES_PER_S: f64 = 1_375_000.0;
const BODY_BYTES: f64 = 90_000.0;
const WORK: Duration = Duration::from_millis(60);
const OBJECTIVE: Duration = Duration::from_millis(600);
const DEADLINE: Duration = Duration::from_secs(3);

fn body(now: Instant) -> Body {
    Body {
        bytes: BODY_BYTES,
        ready_at: now + WORK,
        objective: now + OBJECTIVE,
        deadline: now + DEADLINE,
    }
}

/// Fails if downloads are taken on that then cross late, or if the link is idle while some are refused.
/// The load: 30 downloads a second for a link that carries 14.
#[test]
fn what_is_taken_on_crosses_in_time_and_the_link_is_used() {
    let start = Instant::now();
    let mut link = Link::new(BYTES_PER_S, start);
    // Those that run, by the time at which the link gets their bodies.
    let mut running: Vec<Instant> = Vec::new();
    let (mut taken, mut late) = (0_u32, 0);
    for arrival in 0..600_u32 {
        let now = start + Duration::from_secs_f64(f64::from(arrival) / 30.0);
        running.retain(|ready_at| {
            if *ready_at > now {
                return true;
            }
            link.forget(BODY_BYTES);
            link.send(BODY_BYTES, *ready_at);
            let crossed = *ready_at + link.backlog(*ready_at);
            late += u32::from(crossed > *ready_at - WORK + OBJECTIVE);
            false
        });
        if link.expect(&body(now), now).is_ok() {
            taken += 1;
            running.push(now + WORK);
        }
    }
    let carried = f64::from(taken) * BODY_BYTES / BYTES_PER_S / 20.0;
    assert!(carried > 0.85, "{carried:.2} of the link used");
    // Expected bodies also count while they are not ready, so few are late.
    assert!(late * 50 < taken, "{late} of {taken} late");
}

/// Fails if all that are refused are told to come back at the same time, or those first that were
/// refused last.
#[test]
fn those_that_are_refused_come_back_one_after_the_other() {
    let now = Instant::now();
    let mut link = Link::new(BYTES_PER_S, now);
    while link.expect(&body(now), now).is_ok() {}
    let returns: Vec<Duration> = (0..5)
        .map(|_| link.expect(&body(now), now).expect_err("no room"))
        .collect();
    let gaps = returns.windows(2).map(|pair| pair[1] - pair[0]);
    let crossing = Duration::from_secs_f64(BODY_BYTES / BYTES_PER_S);
    assert!(gaps.min() >= Some(crossing), "{returns:?}");
}

/// Fails if a free link refuses what can be there by the deadline, or takes on what cannot.
#[test]
fn a_free_link_takes_what_can_cross_by_the_deadline() {
    let now = Instant::now();
    let mut link = Link::new(BODY_BYTES, now);
    assert!(link.expect(&body(now), now).is_ok());
    let mut link = Link::new(BODY_BYTES / 4.0, now);
    assert!(link.expect(&body(now), now).is_err());
}
