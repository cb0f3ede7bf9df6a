//! Measures the policy against two baselines over the cases of a file.
//!
//! `cargo run --release -p fulmarreel-rollout --example policy -- --cases FILE.jsonc --seeds N
//! --seed-base K [--threads T]` prints one line per case and driver, and last one JSON object.

mod case;
mod conditions;
mod driver;
mod fleet;
mod guards;
mod latency;
mod random;
mod report;
mod run;

use anyhow::{Context, ensure};
use case::Case;
use driver::{Driver, Policy, Ramp, Threshold};
use report::{Figures, Runs};
use std::{
    path::PathBuf,
    sync::atomic::{AtomicUsize, Ordering},
    thread,
};

struct Options {
    cases: PathBuf,
    seeds: u64,
    seed_base: u64,
    threads: usize,
}

fn main() -> anyhow::Result<()> {
    let options = options()?;
    let path = options.cases.display();
    let text = std::fs::read_to_string(&options.cases).with_context(|| format!("read {path}"))?;
    let cases = case::parse(&text).with_context(|| format!("check {path}"))?;
    let policy = measure::<Policy>(&cases, &options);
    let ramp = measure::<Ramp>(&cases, &options);
    let threshold = measure::<Threshold>(&cases, &options);
    for (name, runs) in [
        ("policy", &policy),
        ("ramp", &ramp),
        ("threshold", &threshold),
    ] {
        for runs in runs {
            println!("{}", report::line(name, runs));
        }
    }
    let figures = serde_json::json!({
        "cases": cases.len(),
        "seeds": options.seeds,
        "seed_base": options.seed_base,
        "policy": Figures::of(&policy, &ramp),
        "fixed_ramp": Figures::of(&ramp, &ramp),
        "fixed_threshold": Figures::of(&threshold, &ramp),
    });
    println!("{figures}");
    Ok(())
}

fn options() -> anyhow::Result<Options> {
    let mut arguments = pico_args::Arguments::from_env();
    let options = Options {
        cases: arguments.value_from_str("--cases")?,
        seeds: arguments.value_from_str("--seeds")?,
        seed_base: arguments.value_from_str("--seed-base")?,
        threads: arguments
            .opt_value_from_str("--threads")?
            .unwrap_or_else(half_of_cores),
    };
    let rest = arguments.finish();
    ensure!(rest.is_empty(), "unknown arguments: {rest:?}");
    ensure!(options.seeds > 0, "--seeds: 0, expected at least 1");
    ensure!(options.threads > 0, "--threads: 0, expected at least 1");
    Ok(options)
}

/// Threads where none are asked for.
fn half_of_cores() -> usize {
    thread::available_parallelism().map_or(1, |cores| cores.get().div_ceil(2))
}

/// Runs every case with every seed. A run's seed is the same under every driver.
fn measure<'a, D: Driver>(cases: &'a [Case], options: &Options) -> Vec<Runs<'a>> {
    let seeds = options.seeds as usize;
    let next = AtomicUsize::new(0);
    let worker = || {
        let mut done = Vec::new();
        loop {
            let job = next.fetch_add(1, Ordering::Relaxed);
            if job >= cases.len() * seeds {
                return done;
            }
            let seed = options.seed_base.wrapping_add((job % seeds) as u64);
            done.push((job, run::run::<D>(&cases[job / seeds], seed)));
        }
    };
    let mut done = thread::scope(|scope| {
        let workers: Vec<_> = (0..options.threads).map(|_| scope.spawn(worker)).collect();
        let done = workers.into_iter().flat_map(|worker| {
            worker
                .join()
                .unwrap_or_else(|panic| std::panic::resume_unwind(panic))
        });
        done.collect::<Vec<_>>()
    });
    done.sort_by_key(|(job, _)| *job);
    let chunks = cases.iter().zip(done.chunks(seeds));
    let runs = chunks.map(|(case, done)| Runs {
        case,
        records: done.iter().map(|(_, record)| *record).collect(),
    });
    runs.collect()
}
