//! A mesh of one service in three availability zones, and the check of a history.

use anyhow::{Context, ensure};
use fulmarreel_testing::{
    load::{Options, Outcome, Program, Record, Report},
    process::{Mesh, Spec, eventually},
    target::Control,
};
use smol::{
    Timer,
    lock::{Semaphore, SemaphoreGuard},
    net::TcpStream,
};
use std::{
    net::SocketAddr,
    ops::{Deref, DerefMut},
    time::Duration,
};

/// A route whose calls run at most once, and one whose calls may be repeated.
const DOCUMENT: &str = r#"{
    "service": "reservas",
    "version": "v1",
    "routes": [
        { "path": "/reservas", "timeout_ms": 8000 },
        { "path": "/consultas", "timeout_ms": 8000, "idempotent": true },
    ],
}"#;

pub const BOOKINGS: &str = "/reservas";
pub const LOOKUPS: &str = "/consultas";

/// The instance that takes the callers' calls, and has a target of another service.
pub const CALLERS: usize = 0;

pub const RESERVAS: Spec<'static> = Spec {
    region: "altiplano",
    zone: "alt-apizaco",
    service: "reservas",
    version: "v1",
    slots: 20,
    advertise: None,
};

/// Meshes that run at once, so that tests leave the machine some room.
static RUNNING: Semaphore = Semaphore::new(3);

/// A mesh, and its turn among those that run at once.
pub struct Bench {
    mesh: Mesh,
    _place: SemaphoreGuard<'static>,
}

impl Deref for Bench {
    type Target = Mesh;

    fn deref(&self) -> &Mesh {
        &self.mesh
    }
}

impl DerefMut for Bench {
    fn deref_mut(&mut self) -> &mut Mesh {
        &mut self.mesh
    }
}

/// Starts the callers' instance and the given ones, and waits until calls reach all targets.
pub fn mesh(instances: &[Spec<'_>]) -> anyhow::Result<Bench> {
    mesh_with(instances, |_| Ok(()))
}

/// As [`mesh`], with something done once the instances are started.
pub fn mesh_with(
    instances: &[Spec<'_>],
    started: impl FnOnce(&Mesh) -> anyhow::Result<()>,
) -> anyhow::Result<Bench> {
    let instance = smol::block_on(RUNNING.acquire());
    let mut mesh = Mesh::start()?;
    mesh.add("altiplano", "alt-huamantla", "parcelas", "v1")?;
    for instance in instances {
        mesh.add_instance(*instance)?;
    }
    started(&mesh)?;
    mesh.apply("reservas.jsonc", DOCUMENT)?;
    smol::block_on(await_targets(&mesh, instances.len()))?;
    Ok(Bench {
        mesh,
        _place: instance,
    })
}

/// Waits until each node knows so many targets.
pub async fn await_targets(mesh: &Mesh, count: usize) -> anyhow::Result<()> {
    let nodes: Vec<SocketAddr> = mesh
        .instances
        .iter()
        .map(|instance| instance.admin)
        .collect();
    eventually(|| async {
        for node in &nodes {
            let view = get(*node, "/metrics").await?;
            let known =
                format!("fulmarreel_targets{{service=\"reservas\",version=\"v1\"}} {count}");
            ensure!(view.contains(&known), "{node} knows fewer targets: {view}");
        }
        for instance in &mesh.instances {
            TcpStream::connect(instance.callers).await?;
        }
        Ok(())
    })
    .await
}

pub async fn get(node: SocketAddr, path: &str) -> anyhow::Result<String> {
    let client = trillium_client::Client::new(trillium_smol::ClientConfig::default());
    let mut conn = client.get(format!("http://{node}{path}")).await?;
    Ok(conn.response_body().read_string().await?)
}

/// Switches a target's faults.
pub async fn control(target: SocketAddr, control: &Control) -> anyhow::Result<()> {
    let client = trillium_client::Client::new(trillium_smol::ClientConfig::default());
    let body = serde_json::to_string(control)?;
    let conn = client
        .post(format!("http://{target}/control"))
        .with_body(body)
        .await?;
    ensure!(conn.status().is_some_and(|status| status.is_success()));
    Ok(())
}

/// Every target's calls take that long.
pub async fn slow_down(mesh: &Mesh, delay_ms: u64) -> anyhow::Result<()> {
    for instance in &mesh.instances[1..] {
        let slow = Control {
            delay_ms,
            ..Control::default()
        };
        control(instance.target_address, &slow).await?;
    }
    Ok(())
}

/// Calls at the callers' instance; 100 a second for two seconds.
pub fn calls(mesh: &Mesh, path: &str) -> Options {
    Options {
        nodes: vec![mesh.instances[CALLERS].callers],
        service: "reservas".to_owned(),
        path: path.to_owned(),
        rate: 100.0,
        duration: Duration::from_secs(2),
        sizes: vec![0, 1, 700, 20_000],
        prefix: path.trim_matches('/').to_owned(),
        timeout: Duration::from_secs(12),
    }
}

/// Runs load, and a fault a third of its duration after its start.
pub async fn run_with<T>(
    mesh: &Mesh,
    options: &Options,
    fault: impl Future<Output = anyhow::Result<T>>,
) -> anyhow::Result<(Report, T)> {
    let load = Program::start(options, mesh.folder())?;
    Timer::after(options.duration / 3).await;
    let value = fault.await?;
    Ok((load.finish()?, value))
}

/// Runs load to its end.
pub fn run(mesh: &Mesh, options: &Options) -> anyhow::Result<Report> {
    Program::start(options, mesh.folder())?.finish()
}

/// Checks a history against the executions: whole answers, at most one run of each booking, no
/// run of a call that was said to be not run, and a run of each call that was answered.
pub fn check(mesh: &Mesh, report: &Report) -> anyhow::Result<()> {
    let executions = mesh.executions()?;
    for call in &report.records {
        let runs = executions.get(&call.name).copied().unwrap_or(0);
        let lawful = match call.outcome {
            Outcome::Answered => runs >= 1,
            Outcome::NotRun => runs == 0,
            Outcome::Unknown | Outcome::Failed => true,
            Outcome::Wrong => false,
        };
        let repeatable = call.name.starts_with("consultas");
        ensure!(lawful && (repeatable || runs <= 1), "{runs} runs: {call:?}");
    }
    Ok(())
}

/// Checks that every call was answered.
pub fn check_answered(report: &Report) -> anyhow::Result<()> {
    let failed: Vec<&Record> = report
        .records
        .iter()
        .filter(|call| call.outcome != Outcome::Answered || call.status >= 500)
        .collect();
    let first = failed.first();
    ensure!(first.is_none(), "{} calls, first {first:?}", failed.len());
    Ok(())
}

/// The longest time that a call took.
pub fn slowest(report: &Report) -> anyhow::Result<Duration> {
    let micros = report.records.iter().map(|call| call.micros).max();
    Ok(Duration::from_micros(micros.context("no calls")?))
}
