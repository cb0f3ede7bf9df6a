//! The upper bound, whatever fails.

use crate::play::{BOUNDS, Play, Rules, allowed, ms};
use fulmarreel_quota::limit::Quota;
use proptest::{collection::vec, prelude::*, test_runner::RngSeed};

const NODES: usize = 9;

#[derive(Debug, Clone, Copy)]
enum Fault {
    Kill,
    KillCoordinator,
    Cut,
    Suspend,
    LoseStore,
    ForgetLease,
    Shift,
}

fn fault() -> impl Strategy<Value = (u64, Fault, usize, u64)> {
    let kind = prop_oneof![
        Just(Fault::Kill),
        Just(Fault::KillCoordinator),
        Just(Fault::Cut),
        Just(Fault::Suspend),
        Just(Fault::LoseStore),
        Just(Fault::ForgetLease),
        Just(Fault::Shift),
    ];
    (50..3_000_u64, kind, 0..NODES, 100..8_000_u64)
}

fn play(
    rate: f64,
    seed: u64,
    loss: f64,
    faults: &[(u64, Fault, usize, u64)],
    overload: f64,
) -> Play {
    let rules = Rules {
        nodes: NODES,
        quota: Quota {
            rate_per_s: rate,
            burst: rate,
        },
        clump: 2,
        loss,
        late: 0.02,
        not_run: 0.1,
    };
    let mut play = Play::new(rules, seed);
    for node in 0..NODES {
        play.set_demand(node, rate * overload / NODES as f64);
    }
    play.run_until(play.now + ms(seed % 9_000));
    for (after, fault, node, lasts) in faults {
        play.run_until(play.now + ms(*after));
        match fault {
            Fault::Kill => play.kill(*node),
            Fault::KillCoordinator => play.kill_coordinator(),
            Fault::Cut => play.cut(*node, ms(*lasts)),
            Fault::Suspend => play.suspend(*node, ms(*lasts)),
            Fault::LoseStore => play.lose_store(ms(*lasts)),
            Fault::ForgetLease => play.forget_lease(),
            Fault::Shift => {
                for other in 0..NODES {
                    let part = if other == *node { 1.0 } else { 0.0 };
                    play.set_demand(other, rate * overload * part);
                }
            }
        }
    }
    play.run_until(play.now + ms(6_000));
    play
}

proptest! {
    // `PROPTEST_CASES` sets another number of cases.
    #![proptest_config(ProptestConfig { cases: 96, rng_seed: RngSeed::Fixed(31), failure_persistence: None, ..ProptestConfig::default() })]

    /// Fails if more requests run in a window than the quota and its allowance, over any schedule of
    /// lost and late messages, killed, cut and suspended nodes, a store that is away or forgets, and
    /// clients that move from node to node.
    #[test]
    fn no_window_exceeds_the_bound(
        rate in prop_oneof![Just(4.0), Just(21.0), Just(150.0)],
        seed in any::<u64>(),
        loss in prop_oneof![Just(0.0), Just(0.1), Just(0.5)],
        faults in vec(fault(), 0..10),
        overload in prop_oneof![Just(0.62), Just(4.0), Just(30.0)],
    ) {
        let play = play(rate, seed, loss, &faults, overload);
        let most = play.most_in(BOUNDS.window) as f64;
        prop_assert!(most <= play.limit().bound(BOUNDS.window), "{most}, {}", play.limit().bound(BOUNDS.window));
        prop_assert!(most <= allowed(Quota { rate_per_s: rate, burst: rate }), "{most}");
    }
}
