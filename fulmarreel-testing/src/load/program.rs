//! The load generator as a process of its own, so that tests that run concurrently do not slow down
//! each other's calls.

use super::{Options, Record, Report};
use crate::process::Process;
use anyhow::Context;
use std::{
    path::{Path, PathBuf},
    time::{Duration, Instant},
};

/// How long the process may wait for answers after it has started its last call.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(30);

/// A load generator that runs as a process.
#[derive(Debug)]
pub struct LoadProcess {
    process: Process,
    records: PathBuf,
    start: Instant,
    duration: Duration,
}

impl LoadProcess {
    /// Starts a load generator that writes its records to a file in a folder.
    ///
    /// # Errors
    ///
    /// The process cannot be started.
    pub fn start(options: &Options, folder: &Path) -> anyhow::Result<Self> {
        let records = folder.join(format!("load-{}.jsonl", options.prefix));
        let mut arguments = vec![
            ("--service", options.service.clone()),
            ("--path", options.path.clone()),
            ("--rate", options.rate.to_string()),
            ("--seconds", options.duration.as_secs_f64().to_string()),
            ("--prefix", options.prefix.clone()),
            ("--timeout-ms", options.timeout.as_millis().to_string()),
            ("--records", records.display().to_string()),
        ];
        let nodes = options.nodes.iter();
        arguments.extend(nodes.map(|node| ("--node", node.to_string())));
        let sizes = options.sizes.iter();
        arguments.extend(sizes.map(|size| ("--size", size.to_string())));
        let arguments: Vec<&str> = arguments
            .iter()
            .flat_map(|(name, value)| [*name, value.as_str()])
            .collect();
        Ok(Self {
            process: Process::start("load", &arguments)?,
            records,
            start: Instant::now(),
            duration: options.duration,
        })
    }

    /// Waits for the last answer and reads the records.
    ///
    /// # Errors
    ///
    /// The process did not end in time or failed, or the records cannot be read.
    pub fn finish(mut self) -> anyhow::Result<Report> {
        self.process.wait(self.duration + ANSWER_TIMEOUT)?;
        let text = std::fs::read_to_string(&self.records)
            .with_context(|| self.records.display().to_string())?;
        let records: Result<Vec<Record>, _> = text.lines().map(serde_json::from_str).collect();
        Ok(Report::new(records?, self.start.elapsed()))
    }
}
