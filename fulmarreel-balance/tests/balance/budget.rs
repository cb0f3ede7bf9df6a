use fulmarreel_balance::budget::{Budget, Limits, PreviousAttempt};
use proptest::prelude::*;
use std::time::{Duration, Instant};

const WINDOW: Duration = Duration::from_secs(10);

/// Retries per request that the platform allows a service, over all nodes and in each window.
const GRANTED_RATIO: f64 = 0.2;

/// Retries that the platform allows in addition to [`GRANTED_RATIO`].
const GRANTED_SLACK: f64 = 56.0;

/// A budget as each of `nodes` nodes has it: half of the granted ratio, and its part of half of the
/// granted slack.
fn node_budget(nodes: usize) -> Budget {
    Budget::new(Limits {
        ratio: GRANTED_RATIO / 2.0,
        slack: GRANTED_SLACK / 2.0 / nodes as f64,
        window: WINDOW,
    })
}

/// Fails if `try_spend` always returns true, as without a budget.
#[test]
fn retries_stay_a_small_share_of_calls_while_everything_fails() {
    let mut budget = Budget::new(Limits::default());
    let start = Instant::now();
    let mut retries = 0;
    for request in 0..1_000 {
        let now = start + Duration::from_millis(request * 10);
        budget.record_request(now);
        retries += u32::from(budget.try_spend(now, PreviousAttempt::NotRun));
    }
    assert!((100..=110).contains(&retries), "{retries}");
}

#[test]
fn a_short_outage_may_spend_what_the_window_earned() {
    let mut budget = node_budget(20);
    let start = Instant::now();
    for request in 0..100 {
        budget.record_request(start + Duration::from_millis(request * 50));
    }
    let now = start + Duration::from_secs(5);
    let spent = (0..20)
        .filter(|_| budget.try_spend(now, PreviousAttempt::MayHaveRun))
        .count();
    assert_eq!(spent, 5);
    let spent = (0..20)
        .filter(|_| budget.try_spend(now, PreviousAttempt::NotRun))
        .count();
    assert_eq!(spent, 6);
}

/// When requests and retries for a service were sent, since the start of the test.
#[derive(Default)]
struct Traffic {
    requests: Vec<Duration>,
    retries: Vec<Duration>,
}

impl Traffic {
    /// Fails if the retries of any window exceed what its requests allow, or those of the window
    /// that starts one window or half a window earlier.
    fn assert_within_grant(&self) {
        let count = |times: &[Duration], from: Duration| {
            let in_window = |at: &&Duration| **at >= from && **at < from + WINDOW;
            times.iter().filter(in_window).count() as f64
        };
        for from in &self.retries {
            let shifts = [Duration::ZERO, WINDOW / 2, WINDOW];
            let window_starts = shifts.iter().filter_map(|shift| from.checked_sub(*shift));
            let requests = window_starts
                .map(|from| count(&self.requests, from))
                .fold(0.0, f64::max);
            let retries = count(&self.retries, *from);
            let allowed = GRANTED_RATIO * requests + GRANTED_SLACK;
            assert!(
                retries <= allowed,
                "{retries} retries, {allowed} allowed in the window from {from:?}"
            );
        }
    }
}

/// A service that calls another one, which rejects some of its requests.
struct Chain {
    downstream: Traffic,
    /// The budgets of each node for the calling service and for the downstream one.
    node_budgets: Vec<(Budget, Budget)>,
    start: Instant,
}

impl Chain {
    fn new(nodes: usize) -> Self {
        Self {
            downstream: Traffic::default(),
            node_budgets: (0..nodes)
                .map(|_| (node_budget(nodes), node_budget(nodes)))
                .collect(),
            start: Instant::now(),
        }
    }

    /// Sends a request to the downstream service, with a retry if the budget allows one; returns
    /// whether it was served.
    fn call_downstream(
        &mut self,
        at: Duration,
        node: usize,
        from_retry: bool,
        rejects: &mut impl FnMut() -> bool,
    ) -> bool {
        let now = self.start + at;
        let (_, budget) = &mut self.node_budgets[node];
        budget.record_request(now);
        self.downstream.requests.push(at);
        if from_retry {
            self.downstream.retries.push(at);
        }
        if !rejects() {
            return true;
        }
        if budget.try_spend(now, PreviousAttempt::NotRun) {
            self.downstream.retries.push(at);
            return !rejects();
        }
        false
    }

    /// Sends a request to the calling service, each run of which makes `calls` downstream calls.
    fn request(
        &mut self,
        at: Duration,
        node: usize,
        calls: usize,
        mut rejects: impl FnMut() -> bool,
    ) {
        let now = self.start + at;
        self.node_budgets[node].0.record_request(now);
        let mut run = |chain: &mut Self, is_retry| {
            (0..calls)
                .filter(|_| !chain.call_downstream(at, node, is_retry, &mut rejects))
                .count()
                == 0
        };
        if !run(self, false)
            && self.node_budgets[node]
                .0
                .try_spend(now, PreviousAttempt::MayHaveRun)
        {
            run(self, true);
        }
    }
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 64, rng_seed: proptest::test_runner::RngSeed::Fixed(7), failure_persistence: None, ..ProptestConfig::default() })]

    /// Whatever fails, at which nodes and when, the retries of all nodes stay within the grant of
    /// every window, including the calls made by retried runs. Fails if retries of requests that
    /// ran may spend the whole budget: 254 retries where 225 are allowed.
    ///
    /// Each fault is its start and duration in milliseconds, and the fraction of the downstream
    /// requests that are rejected meanwhile.
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
            let active = |fault: &&(u64, u64, f64)| fault.0 <= at_ms && at_ms < fault.0 + fault.1;
            let reject_probability = faults.iter().filter(active).map(|fault| fault.2).fold(0.0, f64::max);
            let node = random.usize(0..nodes);
            let calls = random.usize(0..3);
            let at = Duration::from_millis(at_ms);
            chain.request(at, node, calls, || random.f64() < reject_probability);
            at_ms += gap_ms;
        }
        chain.downstream.assert_within_grant();
    }
}

/// Fails if a budget keeps the slack that it had while fewer nodes were known (rule BUDGET of the
/// bench).
#[test]
fn a_budget_shrinks_as_more_nodes_are_known() {
    let limits = |nodes: f64| Limits {
        ratio: 0.0,
        slack: GRANTED_SLACK / nodes,
        window: WINDOW,
    };
    let mut budget = Budget::new(limits(2.0));
    let now = Instant::now();
    budget.record_request(now);
    assert!(budget.try_spend(now, PreviousAttempt::NotRun));
    budget.set_limits(limits(28.0));
    let later = (1..).map(|ms| now + Duration::from_millis(ms));
    let spent = later
        .take_while(|now| budget.try_spend(*now, PreviousAttempt::NotRun))
        .count();
    assert_eq!(spent, 1, "each of 28 nodes may send 2 of the 56 retries");
}
