use fulmarreel_balance::budget::{Budget, Cause, Options};
use proptest::prelude::*;
use std::time::{Duration, Instant};

const WINDOW: Duration = Duration::from_secs(10);

/// What the platform grants of a service's repeats, over all nodes and in each window.
const RATIO: f64 = 0.2;
const SLACK: f64 = 56.0;

fn budget(nodes: usize) -> Budget {
    Budget::new(Options {
        ratio: RATIO / 2.0,
        slack: SLACK / 2.0 / nodes as f64,
        window: WINDOW,
    })
}

/// Seen to fail with `spend` always true, which is the naive baseline.
#[test]
fn retries_stay_a_small_share_of_calls_while_everything_fails() {
    let mut budget = Budget::new(Options::default());
    let start = Instant::now();
    let mut retries = 0;
    for request in 0..1_000 {
        let now = start + Duration::from_millis(request * 10);
        budget.earn(now);
        retries += u32::from(budget.spend(now, Cause::Rejected));
    }
    assert!((100..=110).contains(&retries), "{retries}");
}

#[test]
fn a_short_fault_may_use_what_the_window_earned() {
    let mut budget = budget(20);
    let start = Instant::now();
    for request in 0..100 {
        budget.earn(start + Duration::from_millis(request * 50));
    }
    let now = start + Duration::from_secs(5);
    let spent = (0..20).filter(|_| budget.spend(now, Cause::Run)).count();
    assert_eq!(spent, 5);
    let spent = (0..20)
        .filter(|_| budget.spend(now, Cause::Rejected))
        .count();
    assert_eq!(spent, 6);
}

/// Repeats of a service in each window, and requests that pay for them.
#[derive(Default)]
struct Service {
    requests: Vec<Duration>,
    repeats: Vec<Duration>,
}

impl Service {
    /// Fails where some window has more repeats than its own requests, or those of the window
    /// before or of half a window before, allow.
    fn check(&self) {
        let count = |times: &[Duration], from: Duration| {
            let inside = |at: &&Duration| **at >= from && **at < from + WINDOW;
            times.iter().filter(inside).count() as f64
        };
        for from in &self.repeats {
            let before = [Duration::ZERO, WINDOW / 2, WINDOW];
            let earlier = before.iter().filter_map(|part| from.checked_sub(*part));
            let requests = earlier
                .map(|from| count(&self.requests, from))
                .fold(0.0, f64::max);
            let repeats = count(&self.repeats, *from);
            let allowed = RATIO * requests + SLACK;
            assert!(repeats <= allowed, "{repeats} of {allowed} from {from:?}");
        }
    }
}

/// A service whose runs call another, which rejects part of what it gets.
struct Chain {
    called: Service,
    nodes: Vec<(Budget, Budget)>,
    start: Instant,
}

impl Chain {
    fn new(nodes: usize) -> Self {
        Self {
            called: Service::default(),
            nodes: (0..nodes).map(|_| (budget(nodes), budget(nodes))).collect(),
            start: Instant::now(),
        }
    }

    /// One request for the called service; whether it was served.
    fn call(
        &mut self,
        at: Duration,
        node: usize,
        repeated: bool,
        rejects: &mut impl FnMut() -> bool,
    ) -> bool {
        let now = self.start + at;
        let (_, budget) = &mut self.nodes[node];
        budget.earn(now);
        self.called.requests.push(at);
        if repeated {
            self.called.repeats.push(at);
        }
        if !rejects() {
            return true;
        }
        if budget.spend(now, Cause::Rejected) {
            self.called.repeats.push(at);
            return !rejects();
        }
        false
    }

    /// One request for the calling service, each run of which makes so many calls.
    fn request(
        &mut self,
        at: Duration,
        node: usize,
        calls: usize,
        mut rejects: impl FnMut() -> bool,
    ) {
        let now = self.start + at;
        self.nodes[node].0.earn(now);
        let mut run = |chain: &mut Self, repeated| {
            (0..calls)
                .filter(|_| !chain.call(at, node, repeated, &mut rejects))
                .count()
                == 0
        };
        if !run(self, false) && self.nodes[node].0.spend(now, Cause::Run) {
            run(self, true);
        }
    }
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 64, rng_seed: proptest::test_runner::RngSeed::Fixed(7), failure_persistence: None, ..ProptestConfig::default() })]

    /// Whatever fails, at which nodes and when, the sum over nodes keeps the grant of every window,
    /// calls of repeated runs included. Seen to fail where requests that ran may take the whole
    /// budget: 254 of 225.
    #[test]
    fn the_sum_over_nodes_keeps_the_grant(
        nodes in 1_usize..40,
        gap_ms in 2_u64..80,
        faults in proptest::collection::vec((0_u64..40_000, 100_u64..15_000, 0.0_f64..1.0), 1..5),
        seed in any::<u64>(),
    ) {
        let mut chain = Chain::new(nodes);
        let mut random = fastrand::Rng::with_seed(seed);
        let mut at_ms = 0;
        while at_ms < 40_000 {
            let hit = |fault: &&(u64, u64, f64)| fault.0 <= at_ms && at_ms < fault.0 + fault.1;
            let share = faults.iter().filter(hit).map(|fault| fault.2).fold(0.0, f64::max);
            let node = random.usize(0..nodes);
            let calls = random.usize(0..3);
            let at = Duration::from_millis(at_ms);
            chain.request(at, node, calls, || random.f64() < share);
            at_ms += gap_ms;
        }
        chain.called.check();
    }
}

/// Fails if a budget keeps the part that it had when fewer nodes were known (BUDGET).
#[test]
fn a_budget_shrinks_as_more_nodes_are_known() {
    let options = |nodes: f64| Options {
        ratio: 0.0,
        slack: SLACK / nodes,
        window: WINDOW,
    };
    let mut budget = Budget::new(options(2.0));
    let now = Instant::now();
    budget.earn(now);
    assert!(budget.spend(now, Cause::Rejected));
    budget.set_options(options(28.0));
    let later = (1..).map(|step| now + Duration::from_millis(step));
    let spent = later
        .take_while(|now| budget.spend(*now, Cause::Rejected))
        .count();
    assert_eq!(spent, 1, "two of 56 repeats are each of 28 nodes' part");
}
