//! Measures how much a node's memory grows with each peer that it has called:
//! `connections [--sizes 20,40,80]`. Prints CSV.
//!
//! Every node is announced a target of one service, and the first node is called. The targets do not
//! run, so each call opens a connection to a peer, is refused there, and is retried at the next.

use anyhow::{Context, ensure};
use fulmarreel_testing::process::{
    Fleet, eventually,
    fleet::{Node, Zone},
};

const ZONE: Zone = Zone {
    region: "altiplano",
    zone: "alt-apizaco",
};

const DOCUMENT: &str = r#"{
    "service": "parcelas",
    "version": "v1",
    "routes": [{ "path": "/parcelas", "idempotent": true, "timeout_ms": 5000 }]
}"#;

/// Number of calls per node of the fleet. They are sent one after another over one connection, so that
/// connections of callers do not add to the figures.
const CALLS_PER_NODE: usize = 3;

fn main() -> anyhow::Result<()> {
    let mut arguments = pico_args::Arguments::from_env();
    let sizes: Option<String> = arguments.opt_value_from_str("--sizes")?;
    let rest = arguments.finish();
    ensure!(rest.is_empty(), "unknown arguments: {rest:?}");
    println!("nodes,connections,resident_kib_before,resident_kib_after");
    for size in sizes.unwrap_or_else(|| "20,40,80".to_owned()).split(',') {
        smol::block_on(run(size.parse()?))?;
    }
    Ok(())
}

async fn run(size: usize) -> anyhow::Result<()> {
    let fleet = Fleet::start(&[ZONE], size)?;
    for index in 0..size {
        fleet.announce(index, "parcelas", "v1");
    }
    fleet.put("fulmarreel/documents/parcelas", DOCUMENT).await?;
    eventually(|| knows_every_target(&fleet, size)).await?;
    let node = &fleet.nodes[0];
    let client = trillium_client::Client::new(trillium_smol::ClientConfig::default());
    eventually(|| call(&client, node)).await?;
    let before = resident_kib(node)?;
    for _ in 0..size * CALLS_PER_NODE {
        call(&client, node).await?;
    }
    let after = resident_kib(node)?;
    println!("{size},{},{before},{after}", open_sockets(node)?);
    Ok(())
}

async fn call(client: &trillium_client::Client, node: &Node) -> anyhow::Result<()> {
    let mut conn = client
        .get(format!("http://{}/parcelas", node.callers))
        .with_request_header("x-fulmarreel-service", "parcelas")
        .await?;
    conn.response_body().read_bytes().await?;
    Ok(())
}

async fn knows_every_target(fleet: &Fleet, size: usize) -> anyhow::Result<()> {
    let view = fleet.view(0).await?;
    let targets = view["documents"]["parcelas"]["targets"]["v1"].as_array();
    let known = targets.map_or(0, Vec::len);
    ensure!(known == size, "{known} of {size} targets are known");
    Ok(())
}

fn process_id(node: &Node) -> anyhow::Result<u32> {
    Ok(node.process.as_ref().context("the node is down")?.id())
}

fn resident_kib(node: &Node) -> anyhow::Result<u64> {
    let status = std::fs::read_to_string(format!("/proc/{}/status", process_id(node)?))?;
    let line = status.lines().find_map(|line| line.strip_prefix("VmRSS:"));
    let kib = line.and_then(|line| line.split_whitespace().next());
    Ok(kib.context("VmRSS")?.parse()?)
}

/// Number of open sockets of the node's process.
fn open_sockets(node: &Node) -> anyhow::Result<usize> {
    let mut sockets = 0;
    for entry in std::fs::read_dir(format!("/proc/{}/fd", process_id(node)?))? {
        let link = std::fs::read_link(entry?.path());
        sockets +=
            usize::from(link.is_ok_and(|link| link.to_string_lossy().starts_with("socket:")));
    }
    Ok(sockets)
}
