//! Simulates rollouts with a deadline of seconds over a fleet, and counts the scenarios in which a
//! bound is broken.
//!
//! `FULMARREEL_MOVES` and `FULMARREEL_SEED` set how many scenarios are drawn, and from which seed.

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

use plan::{Report, Scenario};
use proptest::{
    strategy::{Just, Strategy, ValueTree},
    test_runner::TestRunner,
};

/// Sums over many simulations, printed under these names.
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
    fn add(&mut self, scenario: &Scenario, report: &Report) {
        let on_time = report.completed.is_some_and(|at| at <= scenario.limit);
        self.plays += 1;
        self.over_bound += u32::from(report.exceeds_bound());
        self.most_over = self
            .most_over
            .max(report.new_calls.saturating_sub(report.max_calls_if_bad()));
        self.late_calls += u32::from(report.has_late_calls());
        self.lost_calls += report.calls_to_stopped_version;
        self.on_time += u32::from(on_time);
        self.completed += u32::from(report.completed.is_some());
        self.taken_back += u32::from(report.rolled_back.is_some());
    }
}

fn sums(
    runner: &mut TestRunner,
    scenarios: &impl Strategy<Value = Scenario>,
) -> anyhow::Result<Sums> {
    let mut sums = Sums::default();
    for _ in 0..draw::config().cases {
        let tree = scenarios.new_tree(runner).map_err(anyhow::Error::msg)?;
        let scenario = tree.current();
        sums.add(&scenario, &play::simulate(&scenario));
    }
    Ok(sums)
}

fn main() -> anyhow::Result<()> {
    let mut runner = TestRunner::new(draw::config());
    let bad = draw::scenario(draw::bad_version(), draw::any_disturbances());
    println!("bad: {:?}", sums(&mut runner, &bad)?);
    let mild = draw::scenario(Just(draw::good()), draw::mild_disturbances());
    println!("good, mild troubles: {:?}", sums(&mut runner, &mild)?);
    let any = draw::scenario(Just(draw::good()), draw::any_disturbances());
    println!("good, any troubles: {:?}", sums(&mut runner, &any)?);
    Ok(())
}
