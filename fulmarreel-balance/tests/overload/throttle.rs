//! Fewer runs of routes whose calls are refused.

use fulmarreel_balance::overload::Throttle;
use rstest::rstest;
use std::{
    collections::VecDeque,
    time::{Duration, Instant},
};

const STEP: Duration = Duration::from_millis(5);

/// How long a run takes.
const RUN: Duration = Duration::from_millis(200);

/// The calls that the called target can hold until it runs them.
const BURST: f64 = 6.0;

/// Runs that were started, and those of them that were wasted.
#[derive(Debug, Default, Clone, Copy)]
struct Count {
    started: u32,
    wasted: u32,
}

/// Plays 100 requests a second of a route, each of which makes one call to a target that has room for
/// `calls_per_s` in each second given. Returns what was counted in each second.
fn play(calls_per_s: &[f64]) -> Vec<Count> {
    let mut throttle = Throttle::default();
    let start = Instant::now();
    let mut running: VecDeque<(Instant, bool)> = VecDeque::new();
    let (mut requests, mut room) = (0.0, BURST);
    let mut counts = vec![Count::default(); calls_per_s.len()];
    let mut now = start;
    while let Some(per_s) = calls_per_s.get((now - start).as_secs() as usize) {
        room = (room + per_s * STEP.as_secs_f64()).min(BURST);
        requests += 100.0 * STEP.as_secs_f64();
        let count = &mut counts[(now - start).as_secs() as usize];
        while requests >= 1.0 {
            requests -= 1.0;
            if throttle.check(now, "route").is_err() {
                continue;
            }
            throttle.record_start(now, "route");
            let is_wasted = room < 1.0;
            room -= if is_wasted { 0.0 } else { 1.0 };
            running.push_back((now, is_wasted));
            count.started += 1;
            count.wasted += u32::from(is_wasted);
        }
        while let Some((started, is_wasted)) = running.front().copied()
            && started + RUN <= now
        {
            running.pop_front();
            throttle.record_end(now, "route", started, is_wasted);
        }
        now += STEP;
    }
    counts
}

fn sum(counts: &[Count]) -> Count {
    counts.iter().fold(Count::default(), |sum, count| Count {
        started: sum.started + count.started,
        wasted: sum.wasted + count.wasted,
    })
}

/// Fails if work is started whose calls find no room: 2 in 100 runs may be wasted, and the room that there
/// is has to be used.
#[rstest]
fn few_runs_are_wasted_while_calls_have_too_little_room(#[values(30.0, 60.0, 90.0)] per_s: f64) {
    let counts = play(&[per_s; 60]);
    let later = sum(&counts[5..]);
    let wasted = f64::from(later.wasted) / f64::from(later.started);
    assert!(wasted < 0.02, "{wasted}");
    let used = f64::from(later.started - later.wasted) / (55.0 * per_s);
    assert!(used > 0.85, "{used}");
}

/// Fails if a route never recovers, or stops for good while its calls have no room at all.
#[test]
fn a_route_without_room_for_calls_goes_on_slowly_and_recovers() {
    let mut room = [200.0; 100];
    room[5..20].fill(0.0);
    let counts = play(&room);
    for count in &counts[10..20] {
        assert!((1..=20).contains(&count.started), "{count:?}");
    }
    let last = sum(&counts[90..]);
    assert!(last.started > 990, "{last:?}");
}

/// Fails if routes are limited without need.
#[test]
fn a_route_whose_calls_have_room_is_not_limited() {
    let counts = sum(&play(&[120.0; 10]));
    assert_eq!((counts.started, counts.wasted), (1_000, 0));
}
