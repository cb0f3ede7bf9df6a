use fulmarreel_balance::cold::{End, Limiter, Limits, Share, State};
use proptest::prelude::*;
use rstest::rstest;
use std::time::{Duration, Instant};

const STEP: Duration = Duration::from_millis(4);

/// The time after which the node gives a request up.
const DEADLINE: Duration = Duration::from_secs(3);

/// A time in which the node or the target does not run.
type Pause = (Duration, Duration);

/// Times since the start of the test.
#[derive(Debug, Clone)]
struct Schedule {
    limits: Limits,
    /// When requests come to the node.
    demand: Vec<Duration>,
    /// How long connections take to open, how long requests take, and how many requests in 16 are
    /// answered with 421; each request takes the next of them.
    connect_ms: Vec<u64>,
    work_ms: Vec<u64>,
    misdirected: u64,
    node_pauses: Vec<Pause>,
    target_pauses: Vec<Pause>,
}

fn ms(range: std::ops::Range<u64>) -> impl Strategy<Value = Duration> {
    range.prop_map(Duration::from_millis)
}

fn pauses(count: usize) -> impl Strategy<Value = Vec<Pause>> {
    prop::collection::vec((ms(0..12_000), ms(0..3_500)), 0..=count)
}

prop_compose! {
    fn schedule()(
        per_s in 0.5..40.0,
        excess in 1.0..2.0,
        slack in 1.0..10.0,
        mut demand in prop::collection::vec(ms(0..12_000), 0..600),
        connect_ms in prop::collection::vec(0_u64..500, 1..8),
        work_ms in prop::collection::vec(1_u64..400, 1..8),
        misdirected in 0_u64..8,
        node_pauses in pauses(3),
        // Together within the time for which requests without an answer count.
        target_pauses in pauses(2),
    ) -> Schedule {
        demand.sort();
        let limits = Limits { per_s, excess, slack };
        Schedule { limits, demand, connect_ms, work_ms, misdirected, node_pauses, target_pauses }
    }
}

/// The first time from `at` on that lies in no pause.
fn after_pauses(pauses: &[Pause], at: Duration) -> Duration {
    let mut at = at;
    for _ in pauses {
        for (start, length) in pauses {
            if (*start..*start + *length).contains(&at) {
                at = *start + *length;
            }
        }
    }
    at
}

/// When the target got requests that count.
fn play(schedule: &Schedule) -> Vec<Duration> {
    let start = Instant::now();
    let limits = &schedule.limits;
    let mut limiter = Limiter::new(start);
    let mut open: Vec<(Duration, Duration, End)> = Vec::new();
    let mut arrivals = Vec::new();
    let (mut next, mut sent) = (0, 0);
    let mut now = Duration::ZERO;
    while now < Duration::from_secs(25) {
        now += STEP;
        if after_pauses(&schedule.node_pauses, now) > now {
            continue;
        }
        open.retain(|(began, at, end)| {
            if *at <= now {
                limiter.end(limits, *end, start + *began, start + now);
            }
            *at > now
        });
        while schedule.demand.get(next).is_some_and(|at| *at <= now)
            && limiter.try_begin(limits, start + now).is_ok()
        {
            next += 1;
            let connect = schedule.connect_ms[sent % schedule.connect_ms.len()];
            let work = schedule.work_ms[sent % schedule.work_ms.len()];
            let misdirected = (sent as u64 * 7) % 16 < schedule.misdirected;
            sent += 1;
            let written = after_pauses(&schedule.node_pauses, now + Duration::from_millis(connect));
            let arrival = after_pauses(&schedule.target_pauses, written);
            let answer = arrival + Duration::from_millis(work);
            let end = match (answer > now + DEADLINE, misdirected) {
                (true, _) => (now, now + DEADLINE, End::Unanswered),
                (false, true) => (now, answer, End::NotCounted),
                (false, false) => (now, answer, End::Answered),
            };
            if end.2 != End::NotCounted {
                arrivals.push(arrival);
            }
            open.push(end);
        }
    }
    arrivals.sort();
    arrivals
}

/// The most arrivals in any second.
fn densest_second(arrivals: &[Duration]) -> usize {
    let second = Duration::from_secs(1);
    let in_second_from = |index: usize| {
        let later = arrivals[index..].iter();
        later
            .take_while(|at| **at <= arrivals[index] + second)
            .count()
    };
    (0..arrivals.len()).map(in_second_from).max().unwrap_or(0)
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(200))]

    /// Fails if hand-overs that the target gets late, because of slow connections or of pauses of
    /// the node or of the target, add up with later ones to more than the bound.
    #[test]
    fn a_cold_target_gets_no_more_than_its_bound_in_any_second(schedule in schedule()) {
        let arrivals = play(&schedule);
        let densest = densest_second(&arrivals);
        prop_assert!(densest as f64 <= schedule.limits.bound(), "{densest} of {:?}", schedule.limits);
    }
}

/// Fails if a cold target gets less than it may while nothing goes wrong.
#[rstest]
#[case(1.0)]
#[case(4.0)]
#[case(40.0)]
fn a_cold_target_gets_what_it_may(#[case] per_s: f64) {
    let limits = Limits {
        per_s,
        excess: 1.5,
        slack: 8.0,
    };
    let schedule = Schedule {
        limits,
        demand: (0..12_000).map(Duration::from_millis).collect(),
        connect_ms: vec![1],
        work_ms: vec![120],
        misdirected: 0,
        node_pauses: Vec::new(),
        target_pauses: Vec::new(),
    };
    let arrivals = play(&schedule);
    let before = arrivals.iter().filter(|at| **at < Duration::from_secs(12));
    let allowed = per_s * 12.0;
    let count = before.count() as f64;
    assert!(
        (allowed * 0.95 - 1.0..=allowed + 1.0).contains(&count),
        "{count} of {allowed}"
    );
}

/// Fails if a process that has just started hands over what its former process may have handed over
/// already, or a target that becomes cold during traffic gets a burst on top.
#[test]
fn a_limiter_starts_with_an_empty_bucket() {
    let start = Instant::now();
    let limits = Limits {
        per_s: 10.0,
        excess: 1.5,
        slack: 8.0,
    };
    let mut limiter = Limiter::new(start);
    assert!(limiter.try_begin(&limits, start).is_err());
    let now = start + Duration::from_secs(5);
    for _ in 0..30 {
        limiter.begin(&limits, now);
        limiter.end(&limits, End::Answered, now, now);
    }
    assert!(
        limiter
            .try_begin(&limits, now + Duration::from_millis(900))
            .is_err()
    );
    assert!(
        limiter
            .try_begin(&limits, now + Duration::from_millis(1_100))
            .is_ok()
    );
}

/// Fails if an answer that was made before an announcement ends the cold state.
#[test]
fn an_answer_does_not_end_the_cold_state() {
    let now = Instant::now();
    let mut state = State::new(Duration::from_secs(4), now);
    state.lengthen(Duration::ZERO, now);
    assert_eq!(state.remaining(now), Duration::from_secs(4));
    state.lengthen(Duration::from_secs(6), now);
    assert_eq!(
        state.remaining(now + Duration::from_secs(1)),
        Duration::from_secs(5)
    );
}

/// Fails if nodes that send to a cold target leave much of its limit unused, or offer it many times
/// what it takes, with demand at all of them or at a few.
#[rstest]
#[case::all_nodes(60)]
#[case::few_nodes(3)]
fn nodes_share_the_limit_of_a_cold_target(#[case] active: usize) {
    let start = Instant::now();
    let limits = Limits {
        per_s: 10.0,
        excess: 1.5,
        slack: 8.0,
    };
    let mut random = fastrand::Rng::with_seed(7);
    let mut limiter = Limiter::new(start);
    let mut shares: Vec<Share> = (0..active)
        .map(|_| Share::new(limits.per_s, 60, random.f64(), start))
        .collect();
    let (mut accepted, mut refused) = (0, 0);
    for step in 0..10_000 {
        let now = start + Duration::from_millis(step);
        // 60 requests a second over all nodes.
        if random.f64() >= 0.06 {
            continue;
        }
        let index = random.usize(..active);
        let share = &mut shares[index];
        if !share.has_room(now) {
            continue;
        }
        share.spend();
        if limiter.try_begin(&limits, now).is_ok() {
            limiter.end(&limits, End::Answered, now, now);
            share.accept();
            accepted += 1;
        } else {
            share.refuse();
            refused += 1;
        }
    }
    let counts = format!("{accepted} accepted, {refused} refused");
    assert!(accepted >= 80 && refused <= 2 * accepted, "{counts}");
}
