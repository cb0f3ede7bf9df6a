//! A small mesh with a rollout in progress, and calls meanwhile.

use anyhow::{Context, ensure};
use fulmarreel_document::rollout::Timestamp;
use fulmarreel_node::state::unix_millis;
use fulmarreel_rollout::{Publication, State};
use fulmarreel_store::{
    Entry, Store,
    etcd::{Client, Options},
    keys::Key,
};
use fulmarreel_testing::{
    load::{self, Report},
    process::{Mesh, eventually},
};
use smol::Timer;
use std::{
    net::SocketAddr,
    time::{Duration, Instant},
};

pub const SERVICE: &str = "reservas";

/// Rate of calls to the whole mesh.
const CALLS_PER_SECOND: f64 = 150.0;

/// Deadline of each caller's call.
const CALL_TIMEOUT: Duration = Duration::from_secs(3);

/// Deadline of each call to the store.
const STORE_TIMEOUT: Duration = Duration::from_secs(2);

/// Starts a mesh with targets of two versions in two availability zones.
pub fn start() -> anyhow::Result<Mesh> {
    let mut mesh = Mesh::start()?;
    mesh.add("altiplano", "alt-apizaco", SERVICE, "v1")?;
    mesh.add("altiplano", "alt-huamantla", SERVICE, "v1")?;
    mesh.add("altiplano", "alt-apizaco", SERVICE, "v2")?;
    mesh.add("altiplano", "alt-huamantla", SERVICE, "v2")?;
    Ok(mesh)
}

/// A document that moves the service to `v2` within `seconds` from now.
pub fn document(seconds: u64, soak_seconds: u64) -> anyhow::Result<String> {
    let deadline = unix_millis() / 1_000 + seconds;
    let deadline = jiff::Timestamp::from_second(i64::try_from(deadline)?)?;
    Ok(format!(
        r#"{{
            "service": "{SERVICE}",
            "version": "v1",
            "routes": [{{ "path": "/reservas" }}],
            "move": {{
                "to": "v2",
                "complete_by": "{deadline}",
                "unproven_percent": 10,
                "soak_seconds": {soak_seconds}
            }}
        }}"#
    ))
}

/// Starts calls through all nodes for a while.
pub fn start_calls(mesh: &Mesh, duration: Duration) -> smol::Task<Report> {
    let nodes = mesh
        .instances
        .iter()
        .map(|instance| instance.callers)
        .collect();
    smol::spawn(load::run(load::Options {
        nodes,
        service: SERVICE.to_owned(),
        path: "/reservas".to_owned(),
        rate: CALLS_PER_SECOND,
        duration,
        sizes: vec![20],
        prefix: "booking".to_owned(),
        timeout: CALL_TIMEOUT,
    }))
}

/// Waits until every node is ready.
pub async fn wait_ready(mesh: &Mesh) -> anyhow::Result<()> {
    for instance in &mesh.instances {
        let admin = instance.admin;
        eventually(|| async move {
            let client = trillium_client::Client::new(trillium_smol::ClientConfig::default());
            let conn = client.get(format!("http://{admin}/ready")).await?;
            ensure!(conn.status() == Some(trillium::Status::Ok), "not ready");
            Ok(())
        })
        .await?;
    }
    Ok(())
}

pub fn store_client(mesh: &Mesh) -> Client {
    Client::new(Options {
        peers: vec![mesh.store_address.to_string()],
        operation_timeout: STORE_TIMEOUT,
    })
}

/// The rollout's owner and state in the store.
pub async fn published_rollout(store: &Client) -> anyhow::Result<Publication> {
    let entry = read(store, Key::Move { service: SERVICE }).await?;
    Ok(Publication::decode(&entry.value)?)
}

/// The node that holds the owner's lease.
pub async fn owner(store: &Client) -> anyhow::Result<SocketAddr> {
    let entry = read(store, Key::Owner { service: SERVICE }).await?;
    let value = String::from_utf8(entry.value)?;
    let address = value.split(' ').next().context("empty owner")?;
    Ok(address.parse()?)
}

async fn read(store: &Client, key: Key<'_>) -> anyhow::Result<Entry> {
    let key = key.try_format()?;
    let found = store.get(&key).await?;
    found.with_context(|| format!("{key} is absent"))
}

/// Waits until the rollout's state in the store is as wanted, and returns it.
pub async fn wait_for(
    store: &Client,
    timeout: Duration,
    wanted: impl Fn(&State) -> bool,
) -> anyhow::Result<State> {
    let deadline = Instant::now() + timeout;
    loop {
        let found = published_rollout(store).await;
        match found {
            Ok(publication) if wanted(&publication.state) => return Ok(publication.state),
            found => ensure!(Instant::now() < deadline, "still {found:?}"),
        }
        Timer::after(Duration::from_millis(100)).await;
    }
}

/// Makes the targets of some instances fail every call.
pub async fn fail_targets(mesh: &Mesh, instances: &[usize]) -> anyhow::Result<()> {
    let client = trillium_client::Client::new(trillium_smol::ClientConfig::default());
    for instance in instances {
        let target = mesh.instances[*instance].target_address;
        let conn = client
            .post(format!("http://{target}/control"))
            .with_body(r#"{ "error_every": 1 }"#)
            .await?;
        ensure!(
            conn.status() == Some(trillium::Status::Ok),
            "control refused"
        );
    }
    Ok(())
}

/// How many calls a version answered, with any status.
pub fn answered_by(report: &Report, version: &str) -> usize {
    let records = report.records.iter();
    records.filter(|record| record.version == version).count()
}

pub fn now() -> Timestamp {
    Timestamp(unix_millis())
}
