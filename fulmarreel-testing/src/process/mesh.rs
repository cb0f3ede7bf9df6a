//! A small mesh of processes: a store, and nodes with one target each.

use super::{Process, free_address};
use anyhow::{Context, bail};
use std::{
    collections::BTreeMap,
    net::{SocketAddr, TcpStream},
    path::{Path, PathBuf},
    time::{Duration, Instant},
};

/// Limit of the waits for a process to listen, for a document to be applied, and in [`eventually`].
const TIMEOUT: Duration = Duration::from_secs(20);

/// Slots of a target if a test does not specify them.
const DEFAULT_SLOTS: u16 = 6;

/// Prefix of the names of the files in which targets record each execution.
const EXECUTIONS_PREFIX: &str = "executions-";

/// A node and its target, with their addresses.
#[derive(Debug)]
pub struct Instance {
    /// The node's process.
    pub node: Process,
    /// The target's process.
    pub target: Process,
    /// The node's address for callers.
    pub callers: SocketAddr,
    /// The address where the node listens for peers.
    pub peers: SocketAddr,
    /// The address that peers connect to; differs from `peers` where a relay is in between.
    pub advertise: SocketAddr,
    /// The node's admin address.
    pub admin: SocketAddr,
    /// The target's address.
    pub target_address: SocketAddr,
    /// The node's settings file.
    pub settings: PathBuf,
    target_arguments: Vec<String>,
}

/// The properties of an instance to be started.
#[derive(Debug, Clone, Copy)]
pub struct InstanceSpec<'a> {
    /// The region of its availability zone.
    pub region: &'a str,
    /// Its availability zone.
    pub zone: &'a str,
    /// The target's service.
    pub service: &'a str,
    /// The target's version.
    pub version: &'a str,
    /// Number of calls that the target runs concurrently.
    pub slots: u16,
    /// The address that peers connect to, such as that of a relay; `None` for the node's own.
    pub advertise: Option<SocketAddr>,
}

/// A small mesh of processes.
#[derive(Debug)]
pub struct Mesh {
    /// The store.
    pub store: Process,
    /// The store's address.
    pub store_address: SocketAddr,
    /// The instances.
    pub instances: Vec<Instance>,
    folder: PathBuf,
}

impl Mesh {
    /// Starts a mesh with a store and no instances.
    ///
    /// # Errors
    ///
    /// The store cannot be started.
    pub fn start() -> anyhow::Result<Self> {
        let store_address = free_address()?;
        let mut store = Process::start("store", &["--listen", &store_address.to_string()])?;
        await_listener(store_address, &mut store)?;
        let name = format!("fulmarreel-{}-{}", std::process::id(), store_address.port());
        let folder = std::env::temp_dir().join(name);
        std::fs::create_dir_all(&folder)?;
        Ok(Self {
            store,
            store_address,
            instances: Vec::new(),
            folder,
        })
    }

    /// The folder of settings, documents and records of executions; removed when the mesh is dropped.
    pub fn folder(&self) -> &Path {
        &self.folder
    }

    /// Starts an instance with a target of a service and version in an availability zone.
    ///
    /// # Errors
    ///
    /// A process cannot be started.
    pub fn add(
        &mut self,
        region: &str,
        zone: &str,
        service: &str,
        version: &str,
    ) -> anyhow::Result<usize> {
        self.add_instance(InstanceSpec {
            region,
            zone,
            service,
            version,
            slots: DEFAULT_SLOTS,
            advertise: None,
        })
    }

    /// Starts an instance.
    ///
    /// # Errors
    ///
    /// A process cannot be started.
    pub fn add_instance(&mut self, spec: InstanceSpec<'_>) -> anyhow::Result<usize> {
        let addresses = [
            free_address()?,
            free_address()?,
            free_address()?,
            free_address()?,
        ];
        let [callers, peers, admin, target_address] = addresses;
        let seeds: Vec<String> = self
            .instances
            .iter()
            .take(2)
            .map(|instance| instance.advertise.to_string())
            .collect();
        let advertise = spec.advertise.unwrap_or(peers);
        let settings = self.folder.join(format!("node-{}.jsonc", peers.port()));
        let text = serde_json::json!({
            "zone": spec.zone,
            "region": spec.region,
            "callers": { "bind": callers.to_string() },
            "peers": { "bind": peers.to_string(), "advertise": advertise.to_string() },
            "admin": { "bind": admin.to_string() },
            "target": target_address.to_string(),
            "store": [self.store_address.to_string()],
            "seeds": seeds,
        });
        std::fs::write(&settings, text.to_string())?;
        let node = start_node(&settings)?;
        let executions = format!("{EXECUTIONS_PREFIX}{}", target_address.port());
        let arguments = [
            ("--listen", target_address.to_string()),
            ("--node", admin.to_string()),
            ("--service", spec.service.to_owned()),
            ("--version", spec.version.to_owned()),
            ("--slots", spec.slots.to_string()),
            (
                "--executions",
                self.folder.join(executions).display().to_string(),
            ),
        ];
        let target_arguments: Vec<String> = arguments
            .into_iter()
            .flat_map(|(name, value)| [name.to_owned(), value])
            .collect();
        let target = start_target(&target_arguments)?;
        self.instances.push(Instance {
            node,
            target,
            target_arguments,
            callers,
            peers,
            advertise,
            admin,
            target_address,
            settings,
        });
        Ok(self.instances.len() - 1)
    }

    /// How often each named call was executed, by running targets and by ended ones.
    ///
    /// # Errors
    ///
    /// A record of executions cannot be read.
    pub fn executions(&self) -> anyhow::Result<BTreeMap<String, u64>> {
        let mut executions = BTreeMap::new();
        for entry in std::fs::read_dir(&self.folder)? {
            let entry = entry?;
            if !entry
                .file_name()
                .to_string_lossy()
                .starts_with(EXECUTIONS_PREFIX)
            {
                continue;
            }
            for name in std::fs::read_to_string(entry.path())?.lines() {
                *executions.entry(name.to_owned()).or_default() += 1;
            }
        }
        Ok(executions)
    }

    /// Writes a document to a file of the given name and applies it with the operators' command line.
    ///
    /// # Errors
    ///
    /// The command failed.
    pub fn apply(&self, name: &str, text: &str) -> anyhow::Result<()> {
        let path = self.folder.join(name);
        std::fs::write(&path, text)?;
        let store = self.store_address.to_string();
        let path = path.display().to_string();
        Process::start("fulmarreel", &["apply", "--store", &store, &path])?.wait(TIMEOUT)
    }
}

impl Drop for Mesh {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.folder);
    }
}

/// Waits until a process accepts connections.
pub(super) fn await_listener(address: SocketAddr, process: &mut Process) -> anyhow::Result<()> {
    let deadline = Instant::now() + TIMEOUT;
    while let Err(error) = TcpStream::connect(address) {
        if let Some(status) = process.try_wait()? {
            bail!("the process for {address} has ended: {status}");
        }
        if Instant::now() >= deadline {
            return Err(error).with_context(|| format!("nothing listens on {address}"));
        }
        std::thread::sleep(Duration::from_millis(5));
    }
    Ok(())
}

/// Starts a node with a settings file.
fn start_node(settings: &Path) -> anyhow::Result<Process> {
    let path = settings.to_str().context("settings path")?;
    Process::start("fulmarreel-node", &["--settings", path])
}

fn start_target(arguments: &[String]) -> anyhow::Result<Process> {
    let arguments: Vec<&str> = arguments.iter().map(String::as_str).collect();
    Process::start("target", &arguments)
}

impl Instance {
    /// Starts the node again with the same settings.
    ///
    /// # Errors
    ///
    /// The process cannot be started.
    pub fn restart_node(&mut self) -> anyhow::Result<()> {
        self.node = start_node(&self.settings)?;
        Ok(())
    }

    /// Starts the target again with the same arguments.
    ///
    /// # Errors
    ///
    /// The process cannot be started.
    pub fn restart_target(&mut self) -> anyhow::Result<()> {
        self.target = start_target(&self.target_arguments)?;
        Ok(())
    }
}

/// Retries an attempt until it succeeds, for at most 20 seconds.
///
/// # Errors
///
/// The error of the last attempt.
pub async fn eventually<T, F>(mut attempt: impl FnMut() -> F) -> anyhow::Result<T>
where
    F: Future<Output = anyhow::Result<T>>,
{
    let deadline = Instant::now() + TIMEOUT;
    loop {
        match attempt().await {
            Ok(value) => return Ok(value),
            Err(error) if Instant::now() >= deadline => return Err(error),
            Err(_) => smol::Timer::after(Duration::from_millis(50)).await,
        };
    }
}
