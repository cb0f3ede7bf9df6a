//! What the tests of this folder share.

use anyhow::ensure;
use fulmarreel_testing::process::{Fleet, eventually, fleet::Zone};
use serde_json::Value;

/// Two zones in each of two regions.
pub const ZONES: [Zone; 4] = [
    zone("altiplano", "alt-apizaco"),
    zone("golfo", "gol-xalapa"),
    zone("altiplano", "alt-huamantla"),
    zone("golfo", "gol-cordoba"),
];

const fn zone(region: &'static str, zone: &'static str) -> Zone {
    Zone { region, zone }
}

pub fn key(service: &str) -> String {
    format!("fulmarreel/documents/{service}")
}

pub fn document(service: &str, version: &str, path: u64) -> String {
    format!(
        r#"{{ "service": "{service}", "version": "{version}", "routes": [{{ "path": "/r{path}" }}] }}"#
    )
}

/// Waits until the views of some nodes are as wanted.
pub async fn views(
    fleet: &Fleet,
    nodes: impl IntoIterator<Item = usize>,
    wanted: impl Fn(&Value) -> bool,
) -> anyhow::Result<()> {
    for index in nodes {
        let wanted = &wanted;
        eventually(|| async move {
            let view = fleet.view(index).await?;
            ensure!(wanted(&view), "node {index}: {view:#}");
            Ok(())
        })
        .await?;
    }
    Ok(())
}

/// Whether a node is ready and knows so many members.
pub fn knows(view: &Value, members: usize) -> bool {
    let known = view["members"].as_array().map_or(0, Vec::len);
    view["ready"] == true && known == members
}

/// The active revision.
pub fn revision(view: &Value, service: &str) -> Option<u64> {
    view["documents"][service]["revision"].as_u64()
}

/// How many targets of a version a node knows.
pub fn targets(view: &Value, service: &str, version: &str) -> usize {
    let targets = view["documents"][service]["targets"][version].as_array();
    targets.map_or(0, Vec::len)
}
