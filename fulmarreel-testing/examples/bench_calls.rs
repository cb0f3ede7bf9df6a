//! Measures what the two nodes add to a call: `bench_calls [--seconds S] [--rounds N] [--rate R]`.
//!
//! For each rate, calls go to the target directly and through two nodes in turn, in one run and
//! against the same target. Prints a row for each pass and the medians of the differences.

use anyhow::Context;
use fulmarreel_testing::{
    load::{Options, Outcome, Program, Report},
    process::{Mesh, Process, Spec, eventually},
};
use std::{net::SocketAddr, time::Duration};

/// Calls a second for one node: the letter's rate and ten times that.
const RATES: [f64; 2] = [215.0, 2_150.0];

const DEFAULT_SECONDS: f64 = 10.0;
const DEFAULT_ROUNDS: usize = 3;
const BODY_BYTES: usize = 512;

/// Ticks in which the operating system counts processor time, in a second.
const TICKS_PER_SECOND: f64 = 100.0;

const DOCUMENT: &str = r#"{
    "service": "reservas",
    "version": "v1",
    "routes": [{ "path": "/reservas" }],
}"#;

struct Pass {
    p50_us: u64,
    p99_us: u64,
    cpu_us_per_call: f64,
}

fn main() -> anyhow::Result<()> {
    let mut arguments = pico_args::Arguments::from_env();
    let seconds = arguments.opt_value_from_str("--seconds")?;
    let rounds = arguments.opt_value_from_str("--rounds")?;
    let rate: Option<f64> = arguments.opt_value_from_str("--rate")?;
    let duration = Duration::from_secs_f64(seconds.unwrap_or(DEFAULT_SECONDS));
    let mesh = start()?;
    let (through, direct) = (mesh.instances[0].callers, mesh.instances[1].target_address);
    warm_up(&mesh, through)?;
    println!("rate  round  path     p50_us  p99_us  node_cpu_us_per_call");
    for rate in rate.map_or(RATES.to_vec(), |rate| vec![rate]) {
        let mut added = Vec::new();
        for round in 0..rounds.unwrap_or(DEFAULT_ROUNDS) {
            let near = pass(&mesh, direct, rate, duration)?;
            let far = pass(&mesh, through, rate, duration)?;
            for (path, pass) in [("direct", &near), ("through", &far)] {
                println!(
                    "{rate:<6}{round:<7}{path:<9}{:<8}{:<8}{:.0}",
                    pass.p50_us, pass.p99_us, pass.cpu_us_per_call
                );
            }
            added.push((
                far.p50_us.saturating_sub(near.p50_us),
                far.p99_us.saturating_sub(near.p99_us),
                far.cpu_us_per_call as u64,
            ));
        }
        let [p50, p99, cpu] = [
            median(added.iter().map(|added| added.0)),
            median(added.iter().map(|added| added.1)),
            median(added.iter().map(|added| added.2)),
        ];
        println!(
            "{rate} calls/s: added p50 {p50} us, p99 {p99} us; both nodes {cpu} us of cpu/call"
        );
    }
    Ok(())
}

fn start() -> anyhow::Result<Mesh> {
    let mut mesh = Mesh::start()?;
    mesh.add("altiplano", "alt-huamantla", "parcelas", "v1")?;
    mesh.add_instance(Spec {
        region: "altiplano",
        zone: "alt-apizaco",
        service: "reservas",
        version: "v1",
        slots: 64,
        advertise: None,
    })?;
    mesh.apply("reservas.jsonc", DOCUMENT)?;
    Ok(mesh)
}

/// Calls until the first is answered, then long enough for connections to open.
fn warm_up(mesh: &Mesh, node: SocketAddr) -> anyhow::Result<()> {
    smol::block_on(eventually(|| async {
        let report = run(mesh, node, 50.0, Duration::from_millis(500))?;
        anyhow::ensure!(report.count(Outcome::Answered) == report.records.len());
        Ok(())
    }))
}

fn run(mesh: &Mesh, node: SocketAddr, rate: f64, duration: Duration) -> anyhow::Result<Report> {
    let options = Options {
        nodes: vec![node],
        service: "reservas".to_owned(),
        path: "/reservas".to_owned(),
        rate,
        duration,
        sizes: vec![BODY_BYTES],
        prefix: format!("bench-{}", node.port()),
        timeout: Duration::from_secs(10),
    };
    Program::start(&options, mesh.folder())?.finish()
}

fn pass(mesh: &Mesh, node: SocketAddr, rate: f64, duration: Duration) -> anyhow::Result<Pass> {
    let before = nodes_cpu(mesh)?;
    let report = run(mesh, node, rate, duration)?;
    let cpu = nodes_cpu(mesh)? - before;
    let answered = report.count(Outcome::Answered);
    anyhow::ensure!(answered == report.records.len(), "{}", report.summary());
    let mut micros: Vec<u64> = report.records.iter().map(|call| call.micros).collect();
    micros.sort_unstable();
    Ok(Pass {
        p50_us: micros[micros.len() / 2],
        p99_us: micros[micros.len() * 99 / 100],
        cpu_us_per_call: cpu * 1e6 / answered as f64,
    })
}

/// Processor time of both nodes in seconds.
fn nodes_cpu(mesh: &Mesh) -> anyhow::Result<f64> {
    let nodes = mesh.instances.iter().map(|instance| cpu(&instance.node));
    nodes.sum()
}

fn cpu(process: &Process) -> anyhow::Result<f64> {
    let stat = std::fs::read_to_string(format!("/proc/{}/stat", process.id()))?;
    let fields = stat.rsplit(')').next().context("stat")?;
    let ticks: Result<Vec<f64>, _> = fields
        .split_whitespace()
        .skip(11)
        .take(2)
        .map(str::parse)
        .collect();
    Ok(ticks?.iter().sum::<f64>() / TICKS_PER_SECOND)
}

fn median(values: impl Iterator<Item = u64>) -> u64 {
    let mut values: Vec<u64> = values.collect();
    values.sort_unstable();
    values[values.len() / 2]
}
