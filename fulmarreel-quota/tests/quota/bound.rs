//! The upper bound, whatever fails.

use crate::play::{BOUNDS, Play, Rules, allowed, ms};
use fulmarreel_quota::limit::Quota;
use proptest::{collection::vec, prelude::*, test_runner::RngSeed};

const NODES: usize = 9;

/// The bound holds for windows of any length.
const WINDOWS_MS: [u64; 5] = [100, 1_000, 2_000, 5_000, 8_000];

#[derive(Debug, Clone, Copy)]
enum Kind {
    Kill,
    KillCoordinator,
    Suspend,
    LoseStore,
    ForgetLease,
    Move,
}

/// What happens after a time, to the nodes of a mask or to the whole fleet. The nodes of a second mask
/// are cut off at the same time.
#[derive(Debug, Clone, Copy)]
struct Fault {
    after_ms: u64,
    kind: Kind,
    mask: u16,
    cut: u16,
    lasts_ms: u64,
}

fn fault() -> impl Strategy<Value = Fault> {
    let kind = prop_oneof![
        1 => Just(Kind::Kill),
        3 => Just(Kind::KillCoordinator),
        1 => Just(Kind::Suspend),
        1 => Just(Kind::LoseStore),
        3 => Just(Kind::ForgetLease),
        2 => Just(Kind::Move),
    ];
    let mask = || 0..1_u16 << NODES;
    let cut = prop_oneof![Just(0), mask()];
    let lasts = prop_oneof![Just(5_000_u64), 100..9_000_u64];
    (50..6_000_u64, kind, mask(), cut, lasts).prop_map(|(after_ms, kind, mask, cut, lasts_ms)| {
        Fault {
            after_ms,
            kind,
            mask,
            cut,
            lasts_ms,
        }
    })
}

fn nodes_in(mask: u16) -> impl Iterator<Item = usize> {
    (0..NODES).filter(move |node| mask & (1 << node) != 0)
}

fn inflict(play: &mut Play, fault: &Fault, demand: f64) {
    let lasts = ms(fault.lasts_ms);
    nodes_in(fault.cut).for_each(|node| play.cut(node, lasts));
    match fault.kind {
        Kind::Kill => nodes_in(fault.mask).for_each(|node| play.kill(node)),
        Kind::KillCoordinator => play.kill_coordinator(),
        Kind::Suspend => nodes_in(fault.mask).for_each(|node| play.suspend(node, lasts)),
        Kind::LoseStore => play.lose_store(lasts),
        Kind::ForgetLease => play.forget_lease(),
        Kind::Move => set_demand(play, fault.mask, demand),
    }
}

/// Spreads the demand over the nodes of a mask.
fn set_demand(play: &mut Play, mask: u16, demand: f64) {
    let count = nodes_in(mask).count() as f64;
    for node in 0..NODES {
        let part = if mask & (1 << node) == 0 {
            0.0
        } else {
            1.0 / count
        };
        play.set_demand(node, demand * part);
    }
}

proptest! {
    // `PROPTEST_CASES` sets another number of cases.
    #![proptest_config(ProptestConfig { cases: 96, rng_seed: RngSeed::Fixed(37), failure_persistence: None, ..ProptestConfig::default() })]

    /// Fails if more requests run in a window than the quota and its allowance, over any schedule of
    /// lost and late messages, killed, cut and suspended nodes, a store that is away or forgets, and
    /// clients that move from node to node.
    #[test]
    fn no_window_exceeds_the_bound(
        rate in prop_oneof![3 => Just(4.0), 3 => Just(21.0), 2 => Just(150.0), 1 => Just(750.0)],
        seed in any::<u64>(),
        loss in prop_oneof![Just(0.0), Just(0.1), Just(0.5)],
        faults in vec(fault(), 1..8),
        overload in prop_oneof![Just(1.0), Just(7.0), Just(40.0)],
    ) {
        let quota = Quota { rate_per_s: rate, burst: rate };
        let rules = Rules { nodes: NODES, quota, clump: 2, loss, late: 0.02, not_run: 0.1 };
        let mut play = Play::new(rules, seed);
        set_demand(&mut play, u16::MAX, rate * overload);
        play.run_until(play.now + ms(9_000));
        for fault in &faults {
            play.run_until(play.now + ms(fault.after_ms));
            inflict(&mut play, fault, rate * overload);
        }
        play.run_until(play.now + ms(9_000));
        for window in WINDOWS_MS.map(ms) {
            let (most, bound) = (play.most_in(window) as f64, play.limit().bound(window));
            prop_assert!(most <= bound, "{most} in {window:?}, not {bound}");
        }
        let most = play.most_in(BOUNDS.window) as f64;
        prop_assert!(most <= allowed(quota), "{most}");
    }
}
