//! A mesh with one service's targets, load on it, and the check of the load's history.

use anyhow::{Context, ensure};
use fulmarreel_testing::{
    load::{LoadProcess, Options, Outcome, Record, Report},
    process::{InstanceSpec, Mesh, eventually},
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

/// A route whose calls may run at most once, and an idempotent one.
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

/// Index of the instance that takes the callers' calls; its target is of another service.
pub const CALLERS: usize = 0;

/// An instance with a target of the service.
pub const RESERVAS: InstanceSpec<'static> = InstanceSpec {
    region: "altiplano",
    zone: "alt-apizaco",
    service: "reservas",
    version: "v1",
    slots: 20,
    advertise: None,
};

/// Limits the meshes that run at once, so that the tests don't overload the machine.
static MESH_PERMITS: Semaphore = Semaphore::new(3);

/// A mesh that holds one of the [`MESH_PERMITS`].
pub struct TestMesh {
    mesh: Mesh,
    _permit: SemaphoreGuard<'static>,
}

impl Deref for TestMesh {
    type Target = Mesh;

    fn deref(&self) -> &Mesh {
        &self.mesh
    }
}

impl DerefMut for TestMesh {
    fn deref_mut(&mut self) -> &mut Mesh {
        &mut self.mesh
    }
}

/// Starts the instance for callers and the given ones, and waits until each node knows all targets.
pub fn start_mesh(instances: &[InstanceSpec<'_>]) -> anyhow::Result<TestMesh> {
    start_mesh_with(instances, |_| Ok(()))
}

/// As [`start_mesh`], with a step between the start of the instances and the wait.
pub fn start_mesh_with(
    instances: &[InstanceSpec<'_>],
    after_start: impl FnOnce(&Mesh) -> anyhow::Result<()>,
) -> anyhow::Result<TestMesh> {
    let permit = smol::block_on(MESH_PERMITS.acquire());
    let mut mesh = Mesh::start()?;
    mesh.add("altiplano", "alt-huamantla", "parcelas", "v1")?;
    for instance in instances {
        mesh.add_instance(*instance)?;
    }
    after_start(&mesh)?;
    mesh.apply("reservas.jsonc", DOCUMENT)?;
    smol::block_on(await_targets(&mesh, instances.len()))?;
    Ok(TestMesh {
        mesh,
        _permit: permit,
    })
}

/// Waits until each node knows `count` targets and accepts callers.
pub async fn await_targets(mesh: &Mesh, count: usize) -> anyhow::Result<()> {
    let nodes: Vec<SocketAddr> = mesh
        .instances
        .iter()
        .map(|instance| instance.admin)
        .collect();
    eventually(|| async {
        for node in &nodes {
            let view = get(*node, "/metrics").await?;
            let expected =
                format!("fulmarreel_targets{{service=\"reservas\",version=\"v1\"}} {count}");
            ensure!(
                view.contains(&expected),
                "{node} knows fewer targets: {view}"
            );
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

/// Sets a target's faults and behavior.
pub async fn set_target_control(target: SocketAddr, control: &Control) -> anyhow::Result<()> {
    let client = trillium_client::Client::new(trillium_smol::ClientConfig::default());
    let body = serde_json::to_string(control)?;
    let conn = client
        .post(format!("http://{target}/control"))
        .with_body(body)
        .await?;
    ensure!(conn.status().is_some_and(|status| status.is_success()));
    Ok(())
}

/// Makes the calls of every target of the service take `delay_ms`.
pub async fn slow_down(mesh: &Mesh, delay_ms: u64) -> anyhow::Result<()> {
    for instance in &mesh.instances[1..] {
        let slow = Control {
            delay_ms,
            ..Control::default()
        };
        set_target_control(instance.target_address, &slow).await?;
    }
    Ok(())
}

/// Load on the instance for callers: 100 calls a second for two seconds.
pub fn load_options(mesh: &Mesh, path: &str) -> Options {
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

/// Runs load to its end, and brings about a fault a third of its duration after its start.
pub async fn run_load_with<T>(
    mesh: &Mesh,
    options: &Options,
    fault: impl Future<Output = anyhow::Result<T>>,
) -> anyhow::Result<(Report, T)> {
    let load = LoadProcess::start(options, mesh.folder())?;
    Timer::after(options.duration / 3).await;
    let value = fault.await?;
    Ok((load.finish()?, value))
}

/// Runs load to its end.
pub fn run_load(mesh: &Mesh, options: &Options) -> anyhow::Result<Report> {
    LoadProcess::start(options, mesh.folder())?.finish()
}

/// Checks a history against the targets' executions: no response is wrong, each booking ran at most
/// once, a call that was reported as not run did not run, and a call that was answered ran.
pub fn check_history(mesh: &Mesh, report: &Report) -> anyhow::Result<()> {
    let executions = mesh.executions()?;
    for call in &report.records {
        let runs = executions.get(&call.name).copied().unwrap_or(0);
        let consistent = match call.outcome {
            Outcome::Answered => runs >= 1,
            Outcome::NotRun => runs == 0,
            Outcome::Unknown | Outcome::Failed => true,
            Outcome::Wrong => false,
        };
        let repeatable = call.name.starts_with("consultas");
        ensure!(
            consistent && (repeatable || runs <= 1),
            "{runs} runs: {call:?}"
        );
    }
    Ok(())
}

/// Checks that every call was answered.
pub fn check_all_answered(report: &Report) -> anyhow::Result<()> {
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
