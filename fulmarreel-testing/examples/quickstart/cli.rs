//! Runs the operators' command line as a process.

use anyhow::{Context, ensure};
use fulmarreel_testing::process::locate;
use serde::Deserialize;
use std::{
    net::SocketAddr,
    path::{Path, PathBuf},
    process::Command,
};

/// The command line and the address of its store.
#[derive(Debug, Clone)]
pub struct Cli {
    program: PathBuf,
    store: String,
}

/// A service's status, as `status --json` prints it.
#[derive(Debug, Deserialize)]
pub struct ServiceStatus {
    pub service: String,
    pub revision: u64,
    pub complete_by: Option<String>,
    pub last_move: Option<MoveState>,
}

/// The state of a move.
#[derive(Debug, Deserialize)]
pub struct MoveState {
    pub revision: Option<u64>,
    pub phase: Option<String>,
    pub share_percent: Option<f64>,
    pub reason: String,
    pub moved_at: Option<String>,
}

impl Cli {
    pub fn new(store: SocketAddr) -> anyhow::Result<Self> {
        Ok(Self {
            program: locate("fulmarreel")?,
            store: store.to_string(),
        })
    }

    /// Applies the documents at a path.
    pub fn apply(&self, path: &Path) -> anyhow::Result<()> {
        let path = path.to_str().context("the path is not valid UTF-8")?;
        self.run(&["apply", path]).map(|_| ())
    }

    /// Reads the status of every service.
    pub fn status(&self) -> anyhow::Result<Vec<ServiceStatus>> {
        let text = self.run(&["status", "--json"])?;
        serde_json::from_str(&text).context("status")
    }

    fn run(&self, arguments: &[&str]) -> anyhow::Result<String> {
        let output = Command::new(&self.program)
            .args(arguments)
            .args(["--store", &self.store])
            .output()
            .with_context(|| format!("start {}", self.program.display()))?;
        let error = String::from_utf8_lossy(&output.stderr);
        ensure!(output.status.success(), "fulmarreel {arguments:?}: {error}");
        Ok(String::from_utf8(output.stdout)?)
    }
}
