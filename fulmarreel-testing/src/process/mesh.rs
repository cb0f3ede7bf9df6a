//! A small mesh of processes: a store, and nodes with their targets.

use super::{Process, free_address};
use anyhow::Context;
use std::{
    net::{SocketAddr, TcpStream},
    path::{Path, PathBuf},
    time::{Duration, Instant},
};

/// How long a mesh may take to become ready.
const PATIENCE: Duration = Duration::from_secs(20);

/// One instance: a node and its target, with their addresses.
#[derive(Debug)]
pub struct Place {
    /// The node.
    pub node: Process,
    /// The target.
    pub target: Process,
    /// Where callers reach the node.
    pub callers: SocketAddr,
    /// Where peers reach the node.
    pub peers: SocketAddr,
    /// The node's admin address.
    pub admin: SocketAddr,
    /// Where the node reaches the target.
    pub target_address: SocketAddr,
    /// The node's settings file.
    pub settings: PathBuf,
}

/// A small mesh of processes.
#[derive(Debug)]
pub struct Mesh {
    /// The store.
    pub store: Process,
    /// Where the store is reached.
    pub store_address: SocketAddr,
    /// The instances.
    pub places: Vec<Place>,
    folder: PathBuf,
}

impl Mesh {
    /// Starts a store.
    ///
    /// # Errors
    ///
    /// The store cannot be started.
    pub fn start() -> anyhow::Result<Self> {
        let store_address = free_address()?;
        let store = Process::start("store", &["--listen", &store_address.to_string()])?;
        await_listener(store_address)?;
        let name = format!("fulmarreel-{}-{}", std::process::id(), store_address.port());
        let folder = std::env::temp_dir().join(name);
        std::fs::create_dir_all(&folder)?;
        Ok(Self {
            store,
            store_address,
            places: Vec::new(),
            folder,
        })
    }

    /// The folder for settings and documents; removed with the mesh.
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
        let addresses = [
            free_address()?,
            free_address()?,
            free_address()?,
            free_address()?,
        ];
        let [callers, peers, admin, target_address] = addresses;
        let seeds: Vec<String> = self
            .places
            .iter()
            .take(2)
            .map(|place| place.peers.to_string())
            .collect();
        let settings = self.folder.join(format!("node-{}.jsonc", peers.port()));
        let text = serde_json::json!({
            "zone": zone,
            "region": region,
            "callers": { "bind": callers.to_string() },
            "peers": { "bind": peers.to_string() },
            "admin": { "bind": admin.to_string() },
            "target": target_address.to_string(),
            "store": [self.store_address.to_string()],
            "seeds": seeds,
        });
        std::fs::write(&settings, text.to_string())?;
        let node = start_node(&settings)?;
        let target = start_target(target_address, admin, service, version)?;
        self.places.push(Place {
            node,
            target,
            callers,
            peers,
            admin,
            target_address,
            settings,
        });
        Ok(self.places.len() - 1)
    }

    /// Applies a document with the operators' command line.
    ///
    /// # Errors
    ///
    /// The command failed.
    pub fn apply(&self, name: &str, text: &str) -> anyhow::Result<()> {
        let path = self.folder.join(name);
        std::fs::write(&path, text)?;
        let store = self.store_address.to_string();
        let path = path.display().to_string();
        Process::start("fulmarreel", &["apply", "--store", &store, &path])?.wait(PATIENCE)
    }
}

impl Drop for Mesh {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.folder);
    }
}

/// Waits until something listens.
pub(super) fn await_listener(address: SocketAddr) -> anyhow::Result<()> {
    let deadline = Instant::now() + PATIENCE;
    while let Err(error) = TcpStream::connect(address) {
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

fn start_target(
    listen: SocketAddr,
    node: SocketAddr,
    service: &str,
    version: &str,
) -> anyhow::Result<Process> {
    let (listen, node) = (listen.to_string(), node.to_string());
    let arguments = [
        "--listen",
        &listen,
        "--node",
        &node,
        "--service",
        service,
        "--version",
        version,
    ];
    Process::start("target", &arguments)
}

impl Place {
    /// Starts the node again with the same settings.
    ///
    /// # Errors
    ///
    /// The process cannot be started.
    pub fn restart_node(&mut self) -> anyhow::Result<()> {
        self.node = start_node(&self.settings)?;
        Ok(())
    }
}

/// Tries until it succeeds or the patience ends.
///
/// # Errors
///
/// The last try's error.
pub async fn eventually<T, F>(mut attempt: impl FnMut() -> F) -> anyhow::Result<T>
where
    F: Future<Output = anyhow::Result<T>>,
{
    let deadline = Instant::now() + PATIENCE;
    loop {
        match attempt().await {
            Ok(value) => return Ok(value),
            Err(error) if Instant::now() >= deadline => return Err(error),
            Err(_) => smol::Timer::after(Duration::from_millis(50)).await,
        };
    }
}
