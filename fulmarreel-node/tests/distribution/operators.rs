//! Operators who apply the same service's document concurrently, with the command line.

use super::support::{document, document_key};
use anyhow::{Context, ensure};
use fulmarreel_store::{
    Store,
    etcd::{Client, Options},
};
use fulmarreel_testing::process::{Fleet, Process};
use std::{path::PathBuf, time::Duration};

const OPERATORS: usize = 3;
const ROUNDS: u64 = 6;
/// Limit on the time that the command line takes.
const EXIT_TIMEOUT: Duration = Duration::from_secs(10);

/// Exit codes of the command line.
const EXIT_OK: i32 = 0;
const EXIT_CONFLICT: i32 = 3;

/// Verified to fail when `apply` writes without the condition on the document's revision.
#[test]
fn one_operator_wins_each_round() -> anyhow::Result<()> {
    smol::block_on(async {
        let fleet = Fleet::prepare(&[], 0)?;
        let client = Client::new(Options {
            peers: vec![fleet.store_address.to_string()],
            operation_timeout: Duration::from_secs(2),
        });
        let mut revision = fleet
            .put(&document_key("reservas"), &document("reservas", "v1", 0))
            .await?;
        for round in 1..=ROUNDS {
            // In every other round the reply of the first write is lost.
            let lost_replies = round % 2;
            fleet
                .set_faults(&serde_json::json!({ "lose_reply": lost_replies }))
                .await?;
            let texts: Vec<String> = (0..OPERATORS as u64)
                .map(|operator| document("reservas", "v1", round * 10 + operator))
                .collect();
            let codes = apply_concurrently(&fleet, &texts, revision)?;
            let stored = client
                .get(&document_key("reservas"))
                .await?
                .context("no document")?;
            let stored_text = String::from_utf8(stored.value)?;
            let winner = texts.iter().position(|text| *text == stored_text);
            let winner = winner.with_context(|| format!("round {round}: {stored_text}"))?;
            ensure!(
                codes[winner] == EXIT_OK,
                "round {round}: {winner} of {codes:?}"
            );
            let losers = codes.iter().filter(|code| **code == EXIT_CONFLICT).count();
            ensure!(losers == OPERATORS - 1, "round {round}: {codes:?}");
            ensure!(
                stored.mod_revision.0 == revision + 1,
                "round {round}: two writes"
            );
            revision = stored.mod_revision.0;
        }
        Ok(())
    })
}

/// Has each operator apply a document of its own over the same revision at once; returns their exit
/// codes.
fn apply_concurrently(fleet: &Fleet, texts: &[String], revision: u64) -> anyhow::Result<Vec<i32>> {
    let store = fleet.store_address.to_string();
    let revision = revision.to_string();
    let folder = create_temp_folder(fleet)?;
    let mut operators = Vec::new();
    for (operator, text) in texts.iter().enumerate() {
        let path = folder.join(format!("{operator}.jsonc"));
        std::fs::write(&path, text)?;
        let path = path.display().to_string();
        let arguments = ["apply", "--store", &store, "--revision", &revision, &path];
        operators.push(Process::start("fulmarreel", &arguments)?);
    }
    let codes = operators.iter_mut().map(|operator| {
        let status = operator.wait_for_exit(EXIT_TIMEOUT)?;
        status.code().context("ended by a signal")
    });
    let codes = codes.collect();
    std::fs::remove_dir_all(folder)?;
    codes
}

fn create_temp_folder(fleet: &Fleet) -> anyhow::Result<PathBuf> {
    let name = format!("operators-{}", fleet.store_address.port());
    let folder = std::env::temp_dir().join(name);
    std::fs::create_dir_all(&folder)?;
    Ok(folder)
}
