//! Zones, documents and views of nodes, shared by the tests of this folder.

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

/// The document's key in the store.
pub fn document_key(service: &str) -> String {
    format!("fulmarreel/documents/{service}")
}

/// A document with one route, `/rN` for `route` N.
pub fn document(service: &str, version: &str, route: u64) -> String {
    format!(
        r#"{{ "service": "{service}", "version": "{version}", "routes": [{{ "path": "/r{route}" }}] }}"#
    )
}

/// Waits until the view of each of some nodes is as wanted.
pub async fn wait_for_views(
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

/// Whether a node is ready and knows `members` members.
pub fn is_ready_with(view: &Value, members: usize) -> bool {
    let count = view["members"].as_array().map_or(0, Vec::len);
    view["ready"] == true && count == members
}

/// The revision of a service's active document.
pub fn active_revision(view: &Value, service: &str) -> Option<u64> {
    view["documents"][service]["revision"].as_u64()
}

/// How many targets of a version a node knows.
pub fn target_count(view: &Value, service: &str, version: &str) -> usize {
    let targets = view["documents"][service]["targets"][version].as_array();
    targets.map_or(0, Vec::len)
}
