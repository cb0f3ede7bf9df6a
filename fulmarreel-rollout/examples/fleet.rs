//! Counts the plays of moves over a fleet in which a bound is broken.
//!
//! `FULMARREEL_MOVES` and `FULMARREEL_SEED` say how many are drawn, and from which seed.

#[path = "../tests/fleet/draw.rs"]
mod draw;
#[path = "../tests/fleet/plan.rs"]
mod plan;
#[path = "../tests/fleet/play.rs"]
mod play;
#[path = "../tests/fleet/store.rs"]
mod store;
#[path = "../tests/fleet/version.rs"]
mod version;

use plan::{Plan, Report};
use proptest::{
    strategy::{Just, Strategy, ValueTree},
    test_runner::TestRunner,
};

/// What came of many plays.
#[derive(Debug, Default)]
struct Sums {
    plays: u32,
    over_bound: u32,
    most_over: u32,
    late_calls: u32,
    lost_calls: u32,
    on_time: u32,
    completed: u32,
    taken_back: u32,
}

impl Sums {
    fn add(&mut self, plan: &Plan, report: &Report) {
        let on_time = report.completed.is_some_and(|at| at <= plan.limit);
        self.plays += 1;
        self.over_bound += u32::from(report.is_exposed());
        self.most_over = self
            .most_over
            .max(report.new.saturating_sub(report.allowed()));
        self.late_calls += u32::from(report.is_late());
        self.lost_calls += report.lost;
        self.on_time += u32::from(on_time);
        self.completed += u32::from(report.completed.is_some());
        self.taken_back += u32::from(report.rolled_back.is_some());
    }
}

fn sums(runner: &mut TestRunner, plans: &impl Strategy<Value = Plan>) -> anyhow::Result<Sums> {
    let mut sums = Sums::default();
    for _ in 0..draw::config().cases {
        let tree = plans.new_tree(runner).map_err(anyhow::Error::msg)?;
        let plan = tree.current();
        sums.add(&plan, &play::play(&plan));
    }
    Ok(sums)
}

fn main() -> anyhow::Result<()> {
    let mut runner = TestRunner::new(draw::config());
    let bad = draw::plan(draw::bad_version(), draw::any_troubles());
    println!("bad: {:?}", sums(&mut runner, &bad)?);
    let mild = draw::plan(Just(draw::good()), draw::mild_troubles());
    println!("good, mild troubles: {:?}", sums(&mut runner, &mild)?);
    let any = draw::plan(Just(draw::good()), draw::any_troubles());
    println!("good, any troubles: {:?}", sums(&mut runner, &any)?);
    Ok(())
}
