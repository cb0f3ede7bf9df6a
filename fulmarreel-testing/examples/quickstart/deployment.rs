//! A small part of the Tlaxcala example deployment: two availability zones and two services.

use super::{
    moves::{BAD_MOVE, NEW_VERSION, PlannedMove},
    watch,
};
use anyhow::{Context, ensure};
use fulmarreel_testing::{
    load::{Caller, Options, Outcome},
    process::{Mesh, eventually},
    target::Control,
};
use std::{
    collections::BTreeMap,
    net::SocketAddr,
    path::PathBuf,
    time::{Duration, Instant},
};

/// The regions and their availability zones.
const ZONES: [(&str, &str); 2] = [("altiplano", "alt-apizaco"), ("golfo", "gol-xalapa")];

/// The services. Calls to `reservas` are bookings, which are not idempotent.
const SERVICES: [&str; 2] = ["parcelas", "reservas"];

/// How long each target takes for a call, in milliseconds. Without this delay, the noise of a busy
/// machine is larger than any difference between two versions.
const CALL_DELAY_MS: u64 = 10;

/// Every n-th answer of the bad version is an error.
const BAD_ERROR_EVERY: u64 = 2;

/// Counts of executions by the targets of `reservas`.
#[derive(Debug, Default)]
pub struct Executions {
    /// Executions of each booking by its name, over all versions.
    pub bookings: BTreeMap<String, u64>,
    /// Number of executions by the bad version.
    pub by_bad_version: u64,
}

/// The processes of the deployment.
#[derive(Debug)]
pub struct Deployment {
    pub mesh: Mesh,
    /// Service and version of each instance's target, in the order of the instances.
    targets: Vec<(&'static str, &'static str)>,
    /// Number of instances, from the first, whose nodes take calls from callers.
    entry_count: usize,
}

impl Deployment {
    /// Starts the store, and a node with a target of each service in each availability zone.
    pub fn start() -> anyhow::Result<Self> {
        let mut deployment = Self {
            mesh: Mesh::start()?,
            targets: Vec::new(),
            entry_count: 0,
        };
        for service in SERVICES {
            deployment.add(service, "v1")?;
        }
        deployment.entry_count = deployment.targets.len();
        Ok(deployment)
    }

    fn add(&mut self, service: &'static str, version: &'static str) -> anyhow::Result<()> {
        for (region, zone) in ZONES {
            self.mesh.add(region, zone, service, version)?;
            self.targets.push((service, version));
        }
        Ok(())
    }

    /// Writes the documents of both services into a folder; returns its path.
    pub fn write_documents(&self) -> anyhow::Result<PathBuf> {
        let folder = self.mesh.folder().join("documents");
        std::fs::create_dir_all(&folder)?;
        for service in SERVICES {
            let path = folder.join(format!("{service}.jsonc"));
            std::fs::write(path, document(service, ""))?;
        }
        Ok(folder)
    }

    /// Writes a document that declares a move; returns its path.
    pub fn write_move(&self, planned: &PlannedMove) -> anyhow::Result<PathBuf> {
        let path = self
            .mesh
            .folder()
            .join(format!("move-{}.jsonc", planned.service));
        std::fs::write(&path, document(planned.service, &planned.declaration()))?;
        Ok(path)
    }

    /// Starts targets of the new versions next to the old ones; that of `reservas` is faulty.
    pub async fn start_new_versions(&mut self) -> anyhow::Result<()> {
        for service in SERVICES {
            self.add(service, NEW_VERSION)?;
        }
        self.configure_targets().await
    }

    /// Sets the delay of every target, and the error rate of the bad version.
    async fn configure_targets(&self) -> anyhow::Result<()> {
        for (instance, target) in self.mesh.instances.iter().zip(&self.targets) {
            let bad = *target == (BAD_MOVE.service, NEW_VERSION);
            let control = Control {
                delay_ms: CALL_DELAY_MS,
                error_every: if bad { BAD_ERROR_EVERY } else { 0 },
                ..Control::default()
            };
            let url = format!("http://{}/control", instance.target_address);
            let body = serde_json::to_string(&control)?;
            eventually(|| watch::post(&url, &body)).await?;
        }
        Ok(())
    }

    /// The addresses that callers use.
    pub fn caller_addresses(&self) -> Vec<SocketAddr> {
        let instances = self.mesh.instances.iter().take(self.entry_count);
        instances.map(|instance| instance.callers).collect()
    }

    /// The admin addresses of all nodes.
    pub fn admin_addresses(&self) -> Vec<SocketAddr> {
        self.mesh
            .instances
            .iter()
            .map(|instance| instance.admin)
            .collect()
    }

    /// Waits until each node that takes calls answers them for every service.
    pub async fn wait_until_serving(&self) -> anyhow::Result<()> {
        self.configure_targets().await?;
        for node in self.caller_addresses() {
            for service in SERVICES {
                let caller = Caller::new(&Options {
                    nodes: vec![node],
                    service: service.to_owned(),
                    path: format!("/{service}"),
                    rate: 1.0,
                    duration: Duration::ZERO,
                    sizes: Vec::new(),
                    prefix: String::new(),
                    timeout: Duration::from_secs(2),
                });
                eventually(|| async {
                    let call = caller.call(0, "first", 16, Instant::now()).await;
                    ensure!(call.outcome == Outcome::Answered, "{service}: {call:?}");
                    Ok(())
                })
                .await?;
            }
        }
        Ok(())
    }

    /// Signals a node to leave, waits until its process ends, starts it again, and waits until it is
    /// ready. Returns how long that took; `patience` limits the wait for the end.
    pub async fn restart(&mut self, index: usize, patience: Duration) -> anyhow::Result<Duration> {
        let start = Instant::now();
        let instance = &mut self.mesh.instances[index];
        instance.node.signal("TERM")?;
        instance.node.wait(patience).context("the old process")?;
        instance.restart_node()?;
        let url = format!("http://{}/ready", instance.admin);
        eventually(|| watch::get(&url)).await?;
        Ok(start.elapsed())
    }

    /// Reads the counts of executions from the targets of `reservas`.
    pub async fn executions(&self) -> anyhow::Result<Executions> {
        let mut executions = Executions::default();
        for (instance, (service, version)) in self.mesh.instances.iter().zip(&self.targets) {
            if *service != "reservas" {
                continue;
            }
            let text =
                watch::get(&format!("http://{}/executions", instance.target_address)).await?;
            let by_name: BTreeMap<String, u64> = serde_json::from_str(&text)?;
            for (name, count) in by_name {
                if *version == NEW_VERSION {
                    executions.by_bad_version += count;
                }
                *executions.bookings.entry(name).or_default() += count;
            }
        }
        // The call that tested whether nodes answer is not part of the run.
        executions.bookings.remove("first");
        Ok(executions)
    }
}

/// The document of a service; `move_field` is empty or declares a move.
fn document(service: &str, move_field: &str) -> String {
    let idempotent = service != "reservas";
    format!(
        r#"{{
  "service": "{service}",
  "version": "v1",
  "routes": [{{ "path": "/{service}", "idempotent": {idempotent}, "timeout_ms": 5000 }}],
  {move_field}
}}
"#
    )
}
