//! A small part of the Tlaxcala deployment: two availability zones, two services.

use super::{
    moves::{BAD, Shift, VERSION},
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

/// The availability zones with their regions.
const ZONES: [(&str, &str); 2] = [("altiplano", "alt-apizaco"), ("golfo", "gol-xalapa")];

/// The services that are started; bookings are the non-idempotent ones.
const SERVICES: [&str; 2] = ["parcelas", "reservas"];

/// How long each target takes for a call, in milliseconds; without it, the noise of a busy machine
/// would be larger than any difference between two versions.
const WORK_MILLIS: u64 = 10;

/// One answer in that many of the bad version is an error.
const BAD_ERROR_EVERY: u64 = 2;

/// How often each named call ran, by service and version.
#[derive(Debug, Default)]
pub struct Executions {
    /// Bookings, over all versions.
    pub bookings: BTreeMap<String, u64>,
    /// Calls that ran at the bad version.
    pub bad: u64,
}

/// The processes and their instances.
#[derive(Debug)]
pub struct Deployment {
    pub mesh: Mesh,
    /// Service and version of each instance.
    targets: Vec<(&'static str, &'static str)>,
    /// Places that callers are sent to.
    entrances: usize,
}

impl Deployment {
    /// Starts the store, and a node with a target of each service in each availability zone.
    pub fn start() -> anyhow::Result<Self> {
        let mut deployment = Self {
            mesh: Mesh::start()?,
            targets: Vec::new(),
            entrances: 0,
        };
        for service in SERVICES {
            deployment.add(service, "v1")?;
        }
        deployment.entrances = deployment.targets.len();
        Ok(deployment)
    }

    fn add(&mut self, service: &'static str, version: &'static str) -> anyhow::Result<()> {
        for (region, zone) in ZONES {
            self.mesh.add(region, zone, service, version)?;
            self.targets.push((service, version));
        }
        Ok(())
    }

    /// Writes the documents of both services into a folder.
    pub fn documents(&self) -> anyhow::Result<PathBuf> {
        let folder = self.mesh.folder().join("documents");
        std::fs::create_dir_all(&folder)?;
        for service in SERVICES {
            let path = folder.join(format!("{service}.jsonc"));
            std::fs::write(path, document(service, ""))?;
        }
        Ok(folder)
    }

    /// Writes a document that declares a move.
    pub fn write_move(&self, shift: &Shift) -> anyhow::Result<PathBuf> {
        let path = self
            .mesh
            .folder()
            .join(format!("move-{}.jsonc", shift.service));
        std::fs::write(&path, document(shift.service, &shift.declaration()))?;
        Ok(path)
    }

    /// Starts the new versions beside the old ones, the one of `reservas` with a fault.
    pub async fn start_new_versions(&mut self) -> anyhow::Result<()> {
        for service in SERVICES {
            self.add(service, VERSION)?;
        }
        self.control().await
    }

    /// Tells every target how long its calls take, and the bad ones to fail.
    async fn control(&self) -> anyhow::Result<()> {
        for (instance, target) in self.mesh.instances.iter().zip(&self.targets) {
            let bad = *target == (BAD.service, VERSION);
            let control = Control {
                delay_ms: WORK_MILLIS,
                error_every: if bad { BAD_ERROR_EVERY } else { 0 },
                ..Control::default()
            };
            let url = format!("http://{}/control", instance.target_address);
            let body = serde_json::to_string(&control)?;
            eventually(|| watch::post(&url, &body)).await?;
        }
        Ok(())
    }

    /// Where callers are sent.
    pub fn callers(&self) -> Vec<SocketAddr> {
        let instances = self.mesh.instances.iter().take(self.entrances);
        instances.map(|instance| instance.callers).collect()
    }

    /// Where operators are served.
    pub fn admins(&self) -> Vec<SocketAddr> {
        self.mesh
            .instances
            .iter()
            .map(|instance| instance.admin)
            .collect()
    }

    /// Waits until every node answers calls to every service.
    pub async fn serving(&self) -> anyhow::Result<()> {
        self.control().await?;
        for node in self.callers() {
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

    /// Tells a node to leave, waits for its end, starts it again, and waits until it is ready.
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

    /// How often each call ran.
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
                if *version == VERSION {
                    executions.bad += count;
                }
                *executions.bookings.entry(name).or_default() += count;
            }
        }
        // The calls that were sent until every node answered are not counted.
        executions.bookings.remove("first");
        Ok(executions)
    }
}

fn document(service: &str, shift: &str) -> String {
    let idempotent = service != "reservas";
    format!(
        r#"{{
  "service": "{service}",
  "version": "v1",
  "routes": [{{ "path": "/{service}", "idempotent": {idempotent}, "timeout_ms": 5000 }}],
  {shift}
}}
"#
    )
}
