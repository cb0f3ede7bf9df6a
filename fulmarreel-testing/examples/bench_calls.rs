//! Measures the latency and processor time that two nodes add to a call:
//! `bench_calls [--seconds S] [--rounds N] [--rate R]`.
//!
//! At each rate, rounds alternate between calls sent directly to the target and calls sent through two
//! nodes to the same target. Prints a row for each measurement and the medians of the differences.

use anyhow::Context;
use fulmarreel_testing::{
    load::{LoadProcess, Options, Outcome, Report},
    process::{InstanceSpec, Mesh, Process, eventually},
};
use std::{net::SocketAddr, time::Duration};

/// Calls per second to one node: the required rate, and ten times that.
const RATES: [f64; 2] = [215.0, 2_150.0];

/// Duration of each measurement.
const DEFAULT_SECONDS: f64 = 10.0;
const DEFAULT_ROUNDS: usize = 3;
const BODY_BYTES: usize = 512;

/// Clock ticks per second, the unit of processor time in `/proc/PID/stat`.
const TICKS_PER_SECOND: f64 = 100.0;

const DOCUMENT: &str = r#"{
    "service": "reservas",
    "version": "v1",
    "routes": [{ "path": "/reservas" }],
}"#;

/// The result of one round over one path.
struct Measurement {
    p50_us: u64,
    p99_us: u64,
    /// Processor time of both nodes, per answered call.
    cpu_us_per_call: f64,
}

fn main() -> anyhow::Result<()> {
    let mut arguments = pico_args::Arguments::from_env();
    let seconds = arguments.opt_value_from_str("--seconds")?;
    let rounds = arguments.opt_value_from_str("--rounds")?;
    let rate: Option<f64> = arguments.opt_value_from_str("--rate")?;
    let duration = Duration::from_secs_f64(seconds.unwrap_or(DEFAULT_SECONDS));
    let mesh = start()?;
    let (node, target) = (mesh.instances[0].callers, mesh.instances[1].target_address);
    warm_up(&mesh, node)?;
    println!("rate  round  path     p50_us  p99_us  node_cpu_us_per_call");
    for rate in rate.map_or(RATES.to_vec(), |rate| vec![rate]) {
        let mut added = Vec::new();
        for round in 0..rounds.unwrap_or(DEFAULT_ROUNDS) {
            let direct = measure(&mesh, target, rate, duration)?;
            let through = measure(&mesh, node, rate, duration)?;
            for (path, measured) in [("direct", &direct), ("through", &through)] {
                println!(
                    "{rate:<6}{round:<7}{path:<9}{:<8}{:<8}{:.0}",
                    measured.p50_us, measured.p99_us, measured.cpu_us_per_call
                );
            }
            added.push((
                through.p50_us.saturating_sub(direct.p50_us),
                through.p99_us.saturating_sub(direct.p99_us),
                through.cpu_us_per_call as u64,
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
    mesh.add_instance(InstanceSpec {
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

/// Sends calls until all of a short run are answered, so that connections are open.
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
    LoadProcess::start(&options, mesh.folder())?.finish()
}

fn measure(
    mesh: &Mesh,
    node: SocketAddr,
    rate: f64,
    duration: Duration,
) -> anyhow::Result<Measurement> {
    let before = nodes_cpu_seconds(mesh)?;
    let report = run(mesh, node, rate, duration)?;
    let cpu_used = nodes_cpu_seconds(mesh)? - before;
    let answered = report.count(Outcome::Answered);
    anyhow::ensure!(answered == report.records.len(), "{}", report.summary());
    let mut micros: Vec<u64> = report.records.iter().map(|call| call.micros).collect();
    micros.sort_unstable();
    Ok(Measurement {
        p50_us: micros[micros.len() / 2],
        p99_us: micros[micros.len() * 99 / 100],
        cpu_us_per_call: cpu_used * 1e6 / answered as f64,
    })
}

/// Processor time that the nodes have used so far, in seconds.
fn nodes_cpu_seconds(mesh: &Mesh) -> anyhow::Result<f64> {
    let nodes = mesh
        .instances
        .iter()
        .map(|instance| cpu_seconds(&instance.node));
    nodes.sum()
}

/// User and system time of a process in seconds.
fn cpu_seconds(process: &Process) -> anyhow::Result<f64> {
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
