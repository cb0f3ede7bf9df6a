//! What is learned of a target's speed, and which part of the work targets of different speed get.

use fulmarreel_balance::{
    Speed,
    choice::Tier,
    placement::{self, Request},
    uneven::{self, Candidate},
};
use std::time::{Duration, Instant};

/// Typical work of two routes, in seconds.
const WORK_S: [f64; 2] = [0.05, 0.4];

/// Fails if speed is learned from each route apart, or if a slow moment that the target reports counts
/// as its speed: few requests of one node reach one target.
#[test]
fn a_speed_is_learned_from_few_requests_of_any_route() {
    let mut now = Instant::now();
    let mut speed = Speed::new(now, None);
    for request in 0..12 {
        now += Duration::from_millis(700);
        let momentary = if request % 4 == 3 { 2.5 } else { 1.0 };
        speed.report(momentary, now);
        let typical_s = WORK_S[request % 2];
        speed.record(typical_s * 1.8 * momentary, typical_s, now);
    }
    now += Duration::from_secs(2);
    let factor = speed.factor(now);
    assert!((1.6..2.0).contains(&factor), "{factor:.2}");
}

/// Fails if a reported slow moment is ignored, or lasts: it ends within 600 ms.
#[test]
fn a_slow_moment_counts_while_it_can_last() {
    let start = Instant::now();
    let mut speed = Speed::new(start, None);
    speed.report(1.0, start);
    speed.report(2.5, start);
    assert!(speed.factor(start) > 2.3);
    let later = start + Duration::from_millis(1_500);
    assert!(speed.factor(later) < 1.2, "{:.2}", speed.factor(later));
}

/// Fails if a target that has just started is expected to be as fast as others, or if its slow start is
/// learned as its speed.
#[test]
fn a_start_is_slow_and_does_not_last() {
    let start = Instant::now();
    let mut speed = Speed::new(start, Some(start));
    for request in 1..20 {
        let now = start + Duration::from_millis(100 * request);
        assert!(speed.factor(now) > 1.7);
        speed.record(0.4, 0.2, now);
    }
    let factor = speed.factor(start + Duration::from_secs(4));
    assert!((0.9..1.1).contains(&factor), "{factor:.2}");
}

/// Fails if the number of requests decides, not their work: the slow ones' queues were then the longest.
#[test]
fn slow_targets_get_less_so_that_waits_are_alike() {
    let slowness = [0.6, 0.9, 1.2, 1.8];
    let mut loads = [0_u32; 4];
    let request = Request {
        until_objective: Duration::from_secs(2),
        until_deadline: Duration::from_secs(4),
        kilobytes: 1.0,
    };
    let mut random = fastrand::Rng::with_seed(5);
    for _ in 0..40 {
        let candidate = |index: usize| Candidate {
            target: placement::Candidate {
                tier: Tier::SameZone,
                load: loads[index],
                slots: 4,
                mean_hold_time: Duration::from_millis(200).mul_f64(slowness[index]),
                processing_time: Duration::from_millis(200).mul_f64(slowness[index]),
                failure_rate: 0.0,
                avoided: false,
            },
            slowness: slowness[index],
            zone: 0,
        };
        let candidates: Vec<Candidate> = (0..4).map(candidate).collect();
        let chosen = uneven::choose(&candidates, &request, &mut random, |_| true);
        loads[chosen.expect("a target")] += 1;
    }
    let drain: Vec<f64> = (0..4)
        .map(|index| f64::from(loads[index]) * slowness[index])
        .collect();
    let longest = drain.iter().copied().fold(0.0, f64::max);
    let shortest = drain.iter().copied().fold(f64::MAX, f64::min);
    assert!(longest < shortest * 1.6, "{loads:?} {drain:?}");
}
