//! Measures how the resources that nodes and the store use grow with the size of the fleet:
//! `slopes [--sizes 10,20,40] [--services 20] [--idle-seconds 20] [--busy-seconds 30]
//! [--changes 20] [--restarts 4]`. Prints CSV.

use anyhow::{Context, ensure};
use fulmarreel_testing::process::{
    Fleet,
    fleet::{Zone, history::Recorder},
};
use smol::Timer;
use std::{
    collections::BTreeMap,
    time::{Duration, Instant},
};

/// Regions and availability zones, about as many as in the present deployments.
const ZONES: [Zone; 4] = [
    Zone {
        region: "altiplano",
        zone: "alt-apizaco",
    },
    Zone {
        region: "golfo",
        zone: "gol-xalapa",
    },
    Zone {
        region: "altiplano",
        zone: "alt-huamantla",
    },
    Zone {
        region: "golfo",
        zone: "gol-cordoba",
    },
];

/// How long a fleet may take to become ready.
const READY_TIMEOUT: Duration = Duration::from_secs(60);

/// How long a restarted node may take to start. Changes that were written before this time had passed,
/// and that the node saw only after its restart, do not count towards convergence.
const RESTART_TIME: Duration = Duration::from_secs(3);

/// Number of routes in each document, which determines its size.
const ROUTES: usize = 12;

/// Clock ticks per second, the unit of processor time in `/proc/PID/stat`.
const TICKS_PER_SECOND: f64 = 100.0;

/// The parameters of a run.
struct Options {
    /// Numbers of nodes.
    sizes: Vec<usize>,
    services: usize,
    /// Duration of the measurement without changes.
    idle: Duration,
    /// Duration of the measurement with changes and restarts.
    busy: Duration,
    /// Number of changes of documents while busy.
    changes: u32,
    /// Number of restarts of nodes while busy.
    restarts: u32,
}

/// The resources that were used up to one time.
struct Usage {
    at: Instant,
    /// Processor time of each node in seconds, by process id.
    processor: BTreeMap<u32, f64>,
    /// Control bytes that all nodes have sent, by kind and distance.
    bytes: BTreeMap<(String, String), f64>,
    /// The store's counts of calls, by kind.
    store: BTreeMap<String, u64>,
}

fn main() -> anyhow::Result<()> {
    let mut arguments = pico_args::Arguments::from_env();
    let sizes: Option<String> = arguments.opt_value_from_str("--sizes")?;
    let seconds = |given: Option<u64>, default| Duration::from_secs(given.unwrap_or(default));
    let options = Options {
        sizes: sizes
            .unwrap_or_else(|| "10,20,40,80".to_owned())
            .split(',')
            .map(str::parse)
            .collect::<Result<_, _>>()?,
        services: arguments.opt_value_from_str("--services")?.unwrap_or(20),
        idle: seconds(arguments.opt_value_from_str("--idle-seconds")?, 20),
        busy: seconds(arguments.opt_value_from_str("--busy-seconds")?, 30),
        changes: arguments.opt_value_from_str("--changes")?.unwrap_or(20),
        restarts: arguments.opt_value_from_str("--restarts")?.unwrap_or(4),
    };
    let rest = arguments.finish();
    ensure!(rest.is_empty(), "unknown arguments: {rest:?}");
    println!("nodes,load,measure,value");
    for size in &options.sizes {
        smol::block_on(run(*size, &options)).with_context(|| format!("{size} nodes"))?;
    }
    Ok(())
}

async fn run(size: usize, options: &Options) -> anyhow::Result<()> {
    let mut fleet = Fleet::start(&ZONES, size)?;
    for index in 0..size {
        fleet.announce(index, &service(index % options.services), "v1");
    }
    let services = options.services.min(size);
    let mut revisions = Vec::new();
    for number in 0..services {
        let key = format!("fulmarreel/documents/{}", service(number));
        revisions.push(fleet.put(&key, &document(number, 0)).await?);
    }
    let started = Instant::now();
    await_ready(&fleet, services).await?;
    print_row(
        size,
        "start",
        "ready_seconds",
        started.elapsed().as_secs_f64(),
    );
    Timer::after(Duration::from_secs(5)).await;
    let before = measure_usage(&fleet).await?;
    Timer::after(options.idle).await;
    print_usage(size, "idle", &before, &measure_usage(&fleet).await?);
    print_memory(&fleet, size, "idle")?;
    let before = measure_usage(&fleet).await?;
    let latencies = apply_changes_and_restarts(&mut fleet, services, options).await?;
    print_usage(size, "busy", &before, &measure_usage(&fleet).await?);
    print_memory(&fleet, size, "busy")?;
    print_row(size, "busy", "changes_per_second", {
        f64::from(options.changes) / options.busy.as_secs_f64()
    });
    print_row(size, "busy", "restarts_per_second", {
        f64::from(options.restarts) / options.busy.as_secs_f64()
    });
    print_convergence(size, &latencies);
    Ok(())
}

/// Changes documents and restarts nodes; returns how long each change took to reach each node, except
/// for nodes that were just starting.
async fn apply_changes_and_restarts(
    fleet: &mut Fleet,
    services: usize,
    options: &Options,
) -> anyhow::Result<Vec<Duration>> {
    let recorder = Recorder::start(fleet.nodes.iter().map(|node| node.admin));
    let pause = options.busy / options.changes.max(1);
    let mut written = Vec::new();
    let mut restarted = Vec::new();
    for change in 0..options.changes {
        let number = change as usize % services;
        let key = format!("fulmarreel/documents/{}", service(number));
        let written_at = Instant::now();
        let revision = fleet.put(&key, &document(number, change + 1)).await?;
        written.push((service(number), revision, written_at));
        if options.restarts > 0 && change % (options.changes / options.restarts).max(1) == 0 {
            let index = fastrand::usize(3..fleet.nodes.len());
            fleet.kill_node(index);
            fleet.start_node(index)?;
            restarted.push((fleet.nodes[index].admin, Instant::now()));
        }
        Timer::after(pause).await;
    }
    Timer::after(Duration::from_secs(3)).await;
    let mut latencies = Vec::new();
    for (service, revision, written_at) in written {
        let seen = recorder.first_seen(&service, revision);
        ensure!(
            seen.len() == fleet.nodes.len(),
            "revision {revision} of {service} reached {} of {} nodes",
            seen.len(),
            fleet.nodes.len()
        );
        for (node, seen_at) in seen {
            let starting = restarted.iter().any(|(restarted_node, restarted_at)| {
                *restarted_node == node
                    && *restarted_at + RESTART_TIME > written_at
                    && *restarted_at < seen_at
            });
            if !starting {
                latencies.extend(seen_at.checked_duration_since(written_at));
            }
        }
    }
    Ok(latencies)
}

/// Waits until every node knows all documents and members.
async fn await_ready(fleet: &Fleet, services: usize) -> anyhow::Result<()> {
    let deadline = Instant::now() + READY_TIMEOUT;
    for index in 0..fleet.nodes.len() {
        loop {
            let view = fleet.view(index).await;
            let ready = view.as_ref().is_ok_and(|view| {
                let documents = view["documents"].as_object();
                let members = view["members"].as_array();
                view["ready"] == true
                    && documents.is_some_and(|documents| documents.len() == services)
                    && members.is_some_and(|members| members.len() == fleet.nodes.len())
            });
            if ready {
                break;
            }
            ensure!(
                Instant::now() < deadline,
                "node {index} is not ready: {view:?}"
            );
            Timer::after(Duration::from_millis(50)).await;
        }
    }
    Ok(())
}

async fn measure_usage(fleet: &Fleet) -> anyhow::Result<Usage> {
    let mut usage = Usage {
        at: Instant::now(),
        processor: BTreeMap::new(),
        bytes: BTreeMap::new(),
        store: fleet.store_counts().await?,
    };
    for (index, node) in fleet.nodes.iter().enumerate() {
        let id = node.process.as_ref().context("a node is down")?.id();
        usage.processor.insert(id, processor_seconds(id)?);
        let metrics = fleet.metrics(index).await?;
        for line in metrics.lines() {
            if let Some((kind, distance, bytes)) = sent_bytes(line) {
                *usage.bytes.entry((kind, distance)).or_default() += bytes;
            }
        }
    }
    Ok(usage)
}

/// Parses the kind, distance and value of a metric line that counts sent control bytes.
fn sent_bytes(line: &str) -> Option<(String, String, f64)> {
    let labels = line.strip_prefix("fulmarreel_control_bytes_total{")?;
    let (labels, value) = labels.split_once("} ")?;
    let label = |name: &str| {
        let start = labels.find(&format!("{name}=\""))? + name.len() + 2;
        labels[start..].split('"').next().map(str::to_owned)
    };
    if label("direction")? != "sent" {
        return None;
    }
    Some((label("kind")?, label("distance")?, value.parse().ok()?))
}

fn processor_seconds(id: u32) -> anyhow::Result<f64> {
    let text = std::fs::read_to_string(format!("/proc/{id}/stat"))?;
    let fields = text.rsplit(") ").next().context("stat")?;
    let ticks = fields.split(' ').skip(11).take(2).map(str::parse::<f64>);
    let ticks: Result<Vec<f64>, _> = ticks.collect();
    Ok(ticks?.iter().sum::<f64>() / TICKS_PER_SECOND)
}

fn print_usage(size: usize, load: &str, before: &Usage, after: &Usage) {
    let seconds = after.at.duration_since(before.at).as_secs_f64();
    let per_node = |total: f64| total / seconds / size as f64;
    let processor_percents: Vec<f64> = after
        .processor
        .iter()
        .filter_map(|(id, seconds_used)| {
            Some((seconds_used - before.processor.get(id)?) / seconds * 100.0)
        })
        .collect();
    print_median_and_worst(size, load, "processor_percent", processor_percents);
    let mut all = 0.0;
    for (label, bytes) in &after.bytes {
        // The counters of a restarted node begin at zero again.
        let sent = (bytes - before.bytes.get(label).unwrap_or(&0.0)).max(0.0);
        let (kind, distance) = label;
        let name = format!("bytes_per_second.{kind}.{distance}");
        print_row(size, load, &name, per_node(sent));
        all += sent;
    }
    print_row(size, load, "bytes_per_second", per_node(all));
    let mut calls = 0;
    for (kind, count) in &after.store {
        if kind == "open_watches" {
            print_row(size, load, "store_open_watches", *count as f64);
            continue;
        }
        calls += count - before.store.get(kind).unwrap_or(&0);
    }
    print_row(size, load, "store_calls_per_second", calls as f64 / seconds);
}

fn print_memory(fleet: &Fleet, size: usize, load: &str) -> anyhow::Result<()> {
    let mut resident = Vec::new();
    for node in &fleet.nodes {
        let id = node.process.as_ref().context("a node is down")?.id();
        let status = std::fs::read_to_string(format!("/proc/{id}/status"))?;
        let line = status.lines().find_map(|line| line.strip_prefix("VmRSS:"));
        let kib = line.and_then(|line| line.split_whitespace().next());
        resident.push(kib.context("VmRSS")?.parse::<f64>()? / 1_024.0);
    }
    print_median_and_worst(size, load, "resident_mib", resident);
    Ok(())
}

fn print_median_and_worst(size: usize, load: &str, measure: &str, mut values: Vec<f64>) {
    values.sort_by(f64::total_cmp);
    let middle = values[values.len() / 2];
    print_row(size, load, &format!("{measure}_median"), middle);
    let worst = values[values.len() - 1];
    print_row(size, load, &format!("{measure}_worst"), worst);
}

fn print_convergence(size: usize, latencies: &[Duration]) {
    let millis = latencies
        .iter()
        .map(|latency| latency.as_secs_f64() * 1_000.0);
    print_median_and_worst(size, "busy", "convergence_ms", millis.collect());
}

fn print_row(size: usize, load: &str, measure: &str, value: f64) {
    println!("{size},{load},{measure},{value:.2}");
}

fn service(number: usize) -> String {
    format!("service-{number}")
}

fn document(number: usize, change: u32) -> String {
    let routes: Vec<String> = (0..ROUTES)
        .map(|route| format!(r#"{{ "path": "/route-{route}/{change}", "idempotent": true }}"#))
        .collect();
    format!(
        "{{\n  // Change {change}.\n  \"service\": \"{}\",\n  \"version\": \"v1\",\n  \"routes\": [\n    {}\n  ]\n}}",
        service(number),
        routes.join(",\n    ")
    )
}
