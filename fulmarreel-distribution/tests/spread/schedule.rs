//! Generated schedules of faults that overlap.

use super::fleet::{CONFIG, Fault, Fleet, store::Condition};
use proptest::{collection::vec, prelude::*, sample::subsequence, test_runner::RngSeed};
use std::{
    collections::BTreeSet,
    time::{Duration, Instant},
};

/// How long a change may take to be known by a node without recent faults.
const MAX_APPLY_TIME: Duration = Duration::from_secs(3);

/// How long a node must be without faults for that limit to hold.
const CALM_TIME: Duration = Duration::from_secs(3);

/// Number of nodes that may call a store that is down within one second.
const MAX_CALLERS: usize = 10;

/// How long after a store went down that limit applies.
const STORE_DOWN_GRACE: Duration = Duration::from_secs(4);

/// A fault that lasts for some time.
#[derive(Debug, Clone)]
enum FaultKind {
    Kill(usize),
    /// So many nodes restart one after the other, from the given one on.
    Restarts(usize, usize),
    Freeze(usize),
    /// So many nodes freeze together, from the given one on.
    FreezeMany(usize, usize),
    Cut(usize),
    CutRegion,
    Loss(f64),
    Down,
    Silent,
    Refuse(Vec<usize>),
}

#[derive(Debug, Clone)]
struct TimedFault {
    kind: FaultKind,
    at: Duration,
    lasts: Duration,
}

#[derive(Debug, Clone)]
struct Schedule {
    regions: [usize; 2],
    seed: u64,
    timed_faults: Vec<TimedFault>,
    writes: Vec<u64>,
}

fn timed_fault(nodes: usize) -> impl Strategy<Value = TimedFault> {
    let node = || 0..nodes;
    let kind = prop_oneof![
        3 => node().prop_map(FaultKind::Kill),
        1 => (node(), 2_usize..12).prop_map(|(first, count)| FaultKind::Restarts(first, count)),
        3 => node().prop_map(FaultKind::Freeze),
        1 => (node(), 2_usize..12).prop_map(|(first, count)| FaultKind::FreezeMany(first, count)),
        2 => node().prop_map(FaultKind::Cut),
        1 => Just(FaultKind::CutRegion),
        1 => (0.0..0.3).prop_map(FaultKind::Loss),
        1 => Just(FaultKind::Down),
        1 => Just(FaultKind::Silent),
        2 => subsequence((0..nodes).collect::<Vec<_>>(), 1..=nodes / 2).prop_map(FaultKind::Refuse),
    ];
    (kind, 0_u64..20_000, 100_u64..9_000).prop_map(|(kind, at, lasts)| TimedFault {
        kind,
        at: Duration::from_millis(6_000 + at),
        lasts: Duration::from_millis(lasts),
    })
}

fn schedule() -> impl Strategy<Value = Schedule> {
    ((1_usize..=20, 1_usize..=20), any::<u64>()).prop_flat_map(|((one, other), seed)| {
        let timed_faults = vec(timed_fault(one + other), 0..8);
        let writes = vec(0_u64..40_000, 1..30);
        (timed_faults, writes).prop_map(move |(timed_faults, writes)| Schedule {
            regions: [one, other],
            seed,
            timed_faults,
            writes,
        })
    })
}

impl TimedFault {
    fn end(&self) -> Duration {
        self.at + self.lasts
    }

    /// The faults at its start and end, or those of each node.
    fn faults(&self, nodes: usize) -> Vec<(Duration, Fault)> {
        let (at, end) = (self.at, self.end());
        let pair = |begin, finish| vec![(at, begin), (end, finish)];
        match &self.kind {
            FaultKind::Kill(node) => pair(Fault::Kill(*node), Fault::Start(*node)),
            FaultKind::Freeze(node) => pair(Fault::Freeze(*node), Fault::Unfreeze(*node)),
            FaultKind::Cut(node) => pair(Fault::Cut(*node, true), Fault::Cut(*node, false)),
            FaultKind::CutRegion => pair(Fault::CutRegion(1, true), Fault::CutRegion(1, false)),
            FaultKind::Loss(part) => pair(Fault::Loss(*part), Fault::Loss(0.0)),
            FaultKind::Down => pair(Fault::Store(Condition::Down), Fault::Store(Condition::Up)),
            FaultKind::Silent => pair(Fault::Store(Condition::Silent), Fault::Store(Condition::Up)),
            FaultKind::Refuse(some) => pair(Fault::Refuse(some.clone()), Fault::Refuse(Vec::new())),
            FaultKind::Restarts(first, count) => {
                let step = self.lasts / *count as u32;
                let each = (0..*count).flat_map(|index| {
                    let node = (first + index) % nodes;
                    let at = at + step * index as u32;
                    [(at, Fault::Kill(node)), (at + step, Fault::Start(node))]
                });
                each.collect()
            }
            FaultKind::FreezeMany(first, count) => (0..*count)
                .map(|index| (first + index) % nodes)
                .flat_map(|node| [(at, Fault::Freeze(node)), (end, Fault::Unfreeze(node))])
                .collect(),
        }
    }
}

/// Tells what may be expected of a node.
#[derive(Debug)]
struct Expectations {
    /// When a fault last affected each region.
    last_fault: [Instant; 2],
}

impl Expectations {
    fn regions(fleet: &Fleet, fault: &Fault) -> Vec<usize> {
        match fault {
            Fault::Kill(node)
            | Fault::Start(node)
            | Fault::Freeze(node)
            | Fault::Unfreeze(node)
            | Fault::Cut(node, _) => vec![fleet.nodes[*node].region],
            _ => vec![0, 1],
        }
    }

    /// Which nodes reach the store, directly or through nodes of their region.
    fn reachable(fleet: &Fleet) -> Vec<bool> {
        let is_up = fleet.store.condition == Condition::Up;
        let regions_cut = !fleet.network.cut_regions.is_empty();
        let nodes = fleet.nodes.iter().enumerate();
        let linked: Vec<bool> = nodes
            .map(|(index, node)| node.runs() && !fleet.network.cut.contains(&index))
            .collect();
        let region_reaches = [0, 1].map(|region| {
            let served = |(index, node): (usize, &super::fleet::node::Node)| {
                node.region == region && linked[index] && !fleet.store.refused.contains(&index)
            };
            let is_served = fleet.nodes.iter().enumerate().any(served);
            is_up && !(region == 1 && regions_cut) && is_served
        });
        let nodes = fleet.nodes.iter().enumerate();
        nodes
            .map(|(index, node)| linked[index] && region_reaches[node.region])
            .collect()
    }
}

fn run(schedule: &Schedule) {
    let nodes = schedule.regions.iter().sum();
    let mut fleet = Fleet::new(&schedule.regions, schedule.seed);
    fleet.check = check_current;
    let started_at = fleet.started_at;
    for node in 0..nodes {
        fleet.schedule_fault(Duration::ZERO, Fault::Start(node));
    }
    let mut faults: Vec<(Duration, Fault)> = schedule
        .timed_faults
        .iter()
        .flat_map(|timed_fault| timed_fault.faults(nodes))
        .collect();
    faults.sort_by_key(|fault| fault.0);
    for (at, fault) in &faults {
        fleet.schedule_fault(*at, fault.clone());
    }
    for (index, at) in schedule.writes.iter().enumerate() {
        fleet.schedule_write(Duration::from_millis(*at), CONFIG, vec![index as u8]);
    }
    let mut expectations = Expectations {
        last_fault: [started_at; 2],
    };
    let mut faults = faults.into_iter().peekable();
    // Since when each node has reached the store.
    let mut reaches_since: Vec<Option<Instant>> = vec![None; nodes];
    let mut down_since: Option<Instant> = None;
    let mut time = Duration::ZERO;
    while time < Duration::from_secs(48) {
        time += Duration::from_millis(50);
        fleet.run_until(time);
        while let Some((at, fault)) = faults.next_if(|fault| fault.0 <= time) {
            for region in Expectations::regions(&fleet, &fault) {
                expectations.last_fault[region] =
                    expectations.last_fault[region].max(started_at + at);
            }
        }
        let reachable = Expectations::reachable(&fleet);
        for (index, reaches) in reachable.into_iter().enumerate() {
            let since = reaches.then(|| reaches_since[index].unwrap_or(fleet.now));
            reaches_since[index] = since;
            if let Some(since) = since {
                let calm_since = expectations.last_fault[fleet.nodes[index].region].max(since);
                check_known(&fleet, index, calm_since);
            }
        }
        let is_down = fleet.store.condition != Condition::Up;
        down_since = is_down.then(|| down_since.unwrap_or(fleet.now));
        if down_since
            .is_some_and(|since| since + STORE_DOWN_GRACE + Duration::from_secs(1) <= fleet.now)
        {
            check_callers(&fleet);
        }
    }
}

/// Checks that a node knows each change 3 s after its write, or 3 s after 3 s without faults,
/// whichever is later.
fn check_known(fleet: &Fleet, index: usize, calm_since: Instant) {
    let Some(deadline) = fleet
        .now
        .checked_sub(MAX_APPLY_TIME)
        .filter(|time| *time >= calm_since + CALM_TIME)
    else {
        return;
    };
    let (known, due) = (
        fleet.nodes[index].revision(),
        fleet.store.revision_at(deadline),
    );
    assert!(
        known >= due,
        "missing: node {index} is at revision {known}, without {due}, at {:?}, calm since {:?}",
        fleet.elapsed(),
        calm_since - fleet.started_at,
    );
}

/// Checks that a node that lacks a change of over 3 s ago does not consider itself current.
fn check_current(fleet: &Fleet, index: usize) {
    let node = &fleet.nodes[index];
    if !node.is_current(fleet.now) {
        return;
    }
    let due = fleet.store.revision_at(fleet.now - MAX_APPLY_TIME);
    assert!(
        node.revision() >= due,
        "stale: node {index} considers itself current at revision {}, without {due}, at {:?}, age {:?}",
        node.revision(),
        fleet.elapsed(),
        node.copy_freshness.age(fleet.now),
    );
}

/// Checks that few nodes call a store that is down. A node without data has nobody else to ask and
/// does not count.
fn check_callers(fleet: &Fleet) {
    let from = fleet.now - Duration::from_secs(1);
    let recent_calls = fleet
        .store
        .calls
        .iter()
        .rev()
        .take_while(|call| call.at > from);
    let callers: BTreeSet<usize> = recent_calls
        .filter(|call| call.has_data)
        .map(|call| call.node)
        .collect();
    assert!(
        callers.len() <= MAX_CALLERS,
        "callers: {callers:?} at {:?}",
        fleet.elapsed()
    );
}

/// A fault with its start, after that of the simulation, and its length, in milliseconds.
fn timed_fault_ms(kind: FaultKind, at_ms: u64, lasts_ms: u64) -> TimedFault {
    TimedFault {
        kind,
        at: Duration::from_millis(at_ms),
        lasts: Duration::from_millis(lasts_ms),
    }
}

/// Fails if nodes that unfreeze together while the store is down all call it.
#[test]
fn nodes_that_unfreeze_together_take_turns() {
    run(&Schedule {
        regions: [3, 17],
        seed: 5_564_314_573_124_032_855,
        timed_faults: vec![
            timed_fault_ms(FaultKind::FreezeMany(3, 9), 18_751, 2_800),
            timed_fault_ms(FaultKind::Down, 16_506, 6_045),
        ],
        writes: vec![0, 6_024],
    });
}

/// Fails if many nodes call a store that went down while one of them was frozen.
#[test]
fn few_nodes_call_a_store_that_goes_down_during_a_freeze() {
    run(&Schedule {
        regions: [20, 15],
        seed: 6_293_374_223_720_719_649,
        timed_faults: vec![
            timed_fault_ms(FaultKind::Down, 21_655, 5_046),
            timed_fault_ms(FaultKind::Freeze(1), 21_305, 2_169),
        ],
        writes: vec![15_219, 4_072, 7_872, 2_672, 2_672],
    });
}

/// Fails if messages that arrived while a node was frozen make it consider itself current.
#[test]
fn a_node_that_unfreezes_does_not_take_old_messages_for_new() {
    for node in 0..8 {
        run(&Schedule {
            regions: [2, 6],
            seed: 16_928_887_041_629_531_922,
            timed_faults: vec![
                timed_fault_ms(FaultKind::Freeze(node), 11_000, 2_711),
                timed_fault_ms(FaultKind::Freeze(node), 17_666, 4_704),
            ],
            writes: vec![3_396, 11_240, 16_520, 19_018],
        });
    }
}

/// A short run by default; `SPREAD_SEED` and `SPREAD_CASES` set another seed and number of cases.
fn config() -> ProptestConfig {
    let number = |name, default| {
        let given = std::env::var(name).ok();
        given.map_or(default, |number| number.parse().expect("a number"))
    };
    ProptestConfig {
        cases: number("SPREAD_CASES", 64) as u32,
        rng_seed: RngSeed::Fixed(number("SPREAD_SEED", 11)),
        failure_persistence: None,
        max_shrink_iters: 200,
        ..ProptestConfig::default()
    }
}

proptest! {
    #![proptest_config(config())]

    /// Whatever fails, nodes without recent faults know each change in time, and no node that lacks
    /// one considers itself current.
    #[test]
    fn calm_nodes_know_each_change_in_time(schedule in schedule()) {
        run(&schedule);
    }
}
