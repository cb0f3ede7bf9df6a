//! Generated schedules of faults, in series that overlap.

use super::fleet::{CONFIG, Fault, Fleet, store::Condition};
use proptest::{collection::vec, prelude::*, sample::subsequence, test_runner::RngSeed};
use std::{
    collections::BTreeSet,
    time::{Duration, Instant},
};

/// How long a change may take, and how long a node has to be calm for that bound to hold.
const APPLY: Duration = Duration::from_secs(3);
const CALM: Duration = Duration::from_secs(3);

/// The most nodes that call a store that is away, in a second.
const MAX_CALLERS: usize = 10;

/// How long a store is away before calls to it have become few.
const AWAY: Duration = Duration::from_secs(4);

/// A fault that lasts.
#[derive(Debug, Clone)]
enum Trouble {
    Kill(usize),
    /// One node after the other ends and starts again.
    Restarts(usize, usize),
    Freeze(usize),
    FreezeMany(usize, usize),
    Cut(usize),
    CutRegion,
    Loss(f64),
    Down,
    Silent,
    Refuse(Vec<usize>),
}

#[derive(Debug, Clone)]
struct Span {
    trouble: Trouble,
    at: Duration,
    lasts: Duration,
}

#[derive(Debug, Clone)]
struct Schedule {
    regions: [usize; 2],
    seed: u64,
    spans: Vec<Span>,
    writes: Vec<u64>,
}

fn span(nodes: usize) -> impl Strategy<Value = Span> {
    let node = || 0..nodes;
    let trouble = prop_oneof![
        3 => node().prop_map(Trouble::Kill),
        1 => (node(), 2_usize..12).prop_map(|(first, count)| Trouble::Restarts(first, count)),
        3 => node().prop_map(Trouble::Freeze),
        1 => (node(), 2_usize..12).prop_map(|(first, count)| Trouble::FreezeMany(first, count)),
        2 => node().prop_map(Trouble::Cut),
        1 => Just(Trouble::CutRegion),
        1 => (0.0..0.3).prop_map(Trouble::Loss),
        1 => Just(Trouble::Down),
        1 => Just(Trouble::Silent),
        2 => subsequence((0..nodes).collect::<Vec<_>>(), 1..=nodes / 2).prop_map(Trouble::Refuse),
    ];
    (trouble, 0_u64..20_000, 100_u64..9_000).prop_map(|(trouble, at, lasts)| Span {
        trouble,
        at: Duration::from_millis(6_000 + at),
        lasts: Duration::from_millis(lasts),
    })
}

fn schedule() -> impl Strategy<Value = Schedule> {
    ((1_usize..=20, 1_usize..=20), any::<u64>()).prop_flat_map(|((one, other), seed)| {
        let spans = vec(span(one + other), 0..8);
        let writes = vec(0_u64..40_000, 1..30);
        (spans, writes).prop_map(move |(spans, writes)| Schedule {
            regions: [one, other],
            seed,
            spans,
            writes,
        })
    })
}

impl Span {
    fn end(&self) -> Duration {
        self.at + self.lasts
    }

    /// The faults that it is made of.
    fn faults(&self, nodes: usize) -> Vec<(Duration, Fault)> {
        let (at, end) = (self.at, self.end());
        let pair = |begin, finish| vec![(at, begin), (end, finish)];
        match &self.trouble {
            Trouble::Kill(node) => pair(Fault::Kill(*node), Fault::Start(*node)),
            Trouble::Freeze(node) => pair(Fault::Freeze(*node), Fault::Wake(*node)),
            Trouble::Cut(node) => pair(Fault::Cut(*node, true), Fault::Cut(*node, false)),
            Trouble::CutRegion => pair(Fault::CutRegion(1, true), Fault::CutRegion(1, false)),
            Trouble::Loss(part) => pair(Fault::Loss(*part), Fault::Loss(0.0)),
            Trouble::Down => pair(Fault::Store(Condition::Down), Fault::Store(Condition::Up)),
            Trouble::Silent => pair(Fault::Store(Condition::Silent), Fault::Store(Condition::Up)),
            Trouble::Refuse(some) => pair(Fault::Refuse(some.clone()), Fault::Refuse(Vec::new())),
            Trouble::Restarts(first, count) => {
                let step = self.lasts / *count as u32;
                let each = (0..*count).flat_map(|index| {
                    let node = (first + index) % nodes;
                    let at = at + step * index as u32;
                    [(at, Fault::Kill(node)), (at + step, Fault::Start(node))]
                });
                each.collect()
            }
            Trouble::FreezeMany(first, count) => (0..*count)
                .map(|index| (first + index) % nodes)
                .flat_map(|node| [(at, Fault::Freeze(node)), (end, Fault::Wake(node))])
                .collect(),
        }
    }
}

/// What a node may be held to.
#[derive(Debug)]
struct Judge {
    /// When a fault last touched each region.
    touched: [Instant; 2],
}

impl Judge {
    fn regions(fleet: &Fleet, fault: &Fault) -> Vec<usize> {
        match fault {
            Fault::Kill(node)
            | Fault::Start(node)
            | Fault::Freeze(node)
            | Fault::Wake(node)
            | Fault::Cut(node, _) => vec![fleet.nodes[*node].region],
            _ => vec![0, 1],
        }
    }

    /// Which nodes reach the store, by themselves or over nodes of their region.
    fn reach(fleet: &Fleet) -> Vec<bool> {
        let is_up = fleet.store.condition == Condition::Up;
        let far_cut = !fleet.network.cut_regions.is_empty();
        let nodes = fleet.nodes.iter().enumerate();
        let linked: Vec<bool> = nodes
            .map(|(index, node)| node.runs() && !fleet.network.cut.contains(&index))
            .collect();
        let region_reaches = [0, 1].map(|region| {
            let served = |(index, node): (usize, &super::fleet::node::Node)| {
                node.region == region && linked[index] && !fleet.store.refused.contains(&index)
            };
            let is_served = fleet.nodes.iter().enumerate().any(served);
            is_up && !(region == 1 && far_cut) && is_served
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
    let began = fleet.began;
    for node in 0..nodes {
        fleet.plan(Duration::ZERO, Fault::Start(node));
    }
    let mut faults: Vec<(Duration, Fault)> = schedule
        .spans
        .iter()
        .flat_map(|span| span.faults(nodes))
        .collect();
    faults.sort_by_key(|fault| fault.0);
    for (at, fault) in &faults {
        fleet.plan(*at, fault.clone());
    }
    for (index, at) in schedule.writes.iter().enumerate() {
        fleet.plan_write(Duration::from_millis(*at), CONFIG, vec![index as u8]);
    }
    let mut judge = Judge {
        touched: [began; 2],
    };
    let mut faults = faults.into_iter().peekable();
    // Since when a node has reached the store.
    let mut reaches_since: Vec<Option<Instant>> = vec![None; nodes];
    let mut away_since: Option<Instant> = None;
    let mut time = Duration::ZERO;
    while time < Duration::from_secs(48) {
        time += Duration::from_millis(50);
        fleet.run_until(time);
        while let Some((at, fault)) = faults.next_if(|fault| fault.0 <= time) {
            for region in Judge::regions(&fleet, &fault) {
                judge.touched[region] = judge.touched[region].max(began + at);
            }
        }
        let reach = Judge::reach(&fleet);
        for (index, reaches) in reach.into_iter().enumerate() {
            let since = reaches.then(|| reaches_since[index].unwrap_or(fleet.now));
            reaches_since[index] = since;
            if let Some(since) = since {
                let touched = judge.touched[fleet.nodes[index].region].max(since);
                check_known(&fleet, index, touched);
            }
        }
        let is_away = fleet.store.condition != Condition::Up;
        away_since = is_away.then(|| away_since.unwrap_or(fleet.now));
        if away_since.is_some_and(|since| since + AWAY + Duration::from_secs(1) <= fleet.now) {
            check_callers(&fleet);
        }
    }
}

/// A node knows each change 3 s after the later of its write and 3 s of calm.
fn check_known(fleet: &Fleet, index: usize, touched: Instant) {
    let Some(deadline) = fleet
        .now
        .checked_sub(APPLY)
        .filter(|time| *time >= touched + CALM)
    else {
        return;
    };
    let (known, due) = (
        fleet.nodes[index].revision(),
        fleet.store.revision_at(deadline),
    );
    assert!(
        known >= due,
        "unknown: node {index} knows {known} and not {due} at {:?}, touched {:?}",
        fleet.elapsed(),
        touched - fleet.began,
    );
}

/// A node that lacks a change of over 3 s ago does not take itself for current.
fn check_current(fleet: &Fleet, index: usize) {
    let node = &fleet.nodes[index];
    if !node.is_current(fleet.now) {
        return;
    }
    let due = fleet.store.revision_at(fleet.now - APPLY);
    assert!(
        node.revision() >= due,
        "stale: node {index} takes itself for current with {} and not {due} at {:?}, age {:?}",
        node.revision(),
        fleet.elapsed(),
        node.knowledge.age(fleet.now),
    );
}

/// Few nodes call a store that is away; one that knows nothing has nobody else to ask.
fn check_callers(fleet: &Fleet) {
    let from = fleet.now - Duration::from_secs(1);
    let lately = fleet
        .store
        .calls
        .iter()
        .rev()
        .take_while(|call| call.at > from);
    let callers: BTreeSet<usize> = lately
        .filter(|call| call.informed)
        .map(|call| call.node)
        .collect();
    assert!(
        callers.len() <= MAX_CALLERS,
        "callers: {callers:?} at {:?}",
        fleet.elapsed()
    );
}

/// A trouble at a time after the beginning and how long it lasts, in milliseconds.
fn trouble(trouble: Trouble, at: u64, lasts: u64) -> Span {
    Span {
        trouble,
        at: Duration::from_millis(at),
        lasts: Duration::from_millis(lasts),
    }
}

/// Nodes that wake up together while the store is away do not all call it.
#[test]
fn nodes_that_wake_up_together_take_turns() {
    run(&Schedule {
        regions: [3, 17],
        seed: 5_564_314_573_124_032_855,
        spans: vec![
            trouble(Trouble::FreezeMany(3, 9), 18_751, 2_800),
            trouble(Trouble::Down, 16_506, 6_045),
        ],
        writes: vec![0, 6_024],
    });
}

/// Few nodes call a store that went away while one of them was stopped.
#[test]
fn few_call_a_store_that_goes_away_during_a_freeze() {
    run(&Schedule {
        regions: [20, 15],
        seed: 6_293_374_223_720_719_649,
        spans: vec![
            trouble(Trouble::Down, 21_655, 5_046),
            trouble(Trouble::Freeze(1), 21_305, 2_169),
        ],
        writes: vec![15_219, 4_072, 7_872, 2_672, 2_672],
    });
}

/// What waited for a process that was stopped does not make it take itself for current.
#[test]
fn a_node_that_wakes_up_does_not_take_old_word_for_new() {
    for node in 0..8 {
        run(&Schedule {
            regions: [2, 6],
            seed: 16_928_887_041_629_531_922,
            spans: vec![
                trouble(Trouble::Freeze(node), 11_000, 2_711),
                trouble(Trouble::Freeze(node), 17_666, 4_704),
            ],
            writes: vec![3_396, 11_240, 16_520, 19_018],
        });
    }
}

/// A short run; `SPREAD_SEED` and `SPREAD_CASES` set another one.
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

    /// Whatever fails, calm nodes know each change in time, and none that lacks one takes itself
    /// for current.
    #[test]
    fn calm_nodes_know_each_change_in_time(schedule in schedule()) {
        run(&schedule);
    }
}
