//! Operators who race on one document with the command line.

use super::support::{document, key};
use anyhow::{Context, ensure};
use fulmarreel_store::{
    Store,
    etcd::{Client, Options},
};
use fulmarreel_testing::process::{Fleet, Process};
use std::{path::PathBuf, time::Duration};

const OPERATORS: usize = 3;
const ROUNDS: u64 = 6;
const PATIENCE: Duration = Duration::from_secs(10);

/// Exit codes of the command line.
const DONE: i32 = 0;
const CONFLICT: i32 = 3;

/// Fails with the condition on the revision left out of the transaction of `apply`.
#[test]
fn one_operator_wins_each_round() -> anyhow::Result<()> {
    smol::block_on(async {
        let fleet = Fleet::prepare(&[], 0)?;
        let client = Client::new(Options {
            peers: vec![fleet.store_address.to_string()],
            timeout: Duration::from_secs(2),
        });
        let mut revision = fleet
            .put(&key("reservas"), &document("reservas", "v1", 0))
            .await?;
        for round in 1..=ROUNDS {
            // In every other round the reply of the first write is lost.
            let lost = round % 2;
            fleet
                .set_faults(&serde_json::json!({ "lose_reply": lost }))
                .await?;
            let texts: Vec<String> = (0..OPERATORS as u64)
                .map(|operator| document("reservas", "v1", round * 10 + operator))
                .collect();
            let codes = race(&fleet, &texts, revision)?;
            let stored = client.get(&key("reservas")).await?.context("no document")?;
            let stored_text = String::from_utf8(stored.value)?;
            let winner = texts.iter().position(|text| *text == stored_text);
            let winner = winner.with_context(|| format!("round {round}: {stored_text}"))?;
            ensure!(
                codes[winner] == DONE,
                "round {round}: {winner} of {codes:?}"
            );
            let losers = codes.iter().filter(|code| **code == CONFLICT).count();
            ensure!(losers == OPERATORS - 1, "round {round}: {codes:?}");
            ensure!(
                stored.revision.0 == revision + 1,
                "round {round}: two writes"
            );
            revision = stored.revision.0;
        }
        Ok(())
    })
}

/// All apply their own document over the same revision at once; their exit codes.
fn race(fleet: &Fleet, texts: &[String], revision: u64) -> anyhow::Result<Vec<i32>> {
    let store = fleet.store_address.to_string();
    let revision = revision.to_string();
    let folder = tempfolder(fleet)?;
    let mut operators = Vec::new();
    for (operator, text) in texts.iter().enumerate() {
        let path = folder.join(format!("{operator}.jsonc"));
        std::fs::write(&path, text)?;
        let path = path.display().to_string();
        let arguments = ["apply", "--store", &store, "--revision", &revision, &path];
        operators.push(Process::start("fulmarreel", &arguments)?);
    }
    let codes = operators.iter_mut().map(|operator| {
        let status = operator.status(PATIENCE)?;
        status.code().context("ended by a signal")
    });
    let codes = codes.collect();
    std::fs::remove_dir_all(folder)?;
    codes
}

fn tempfolder(fleet: &Fleet) -> anyhow::Result<PathBuf> {
    let name = format!("operators-{}", fleet.store_address.port());
    let folder = std::env::temp_dir().join(name);
    std::fs::create_dir_all(&folder)?;
    Ok(folder)
}
