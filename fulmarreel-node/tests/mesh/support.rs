//! A small deployment: the store's stand-in, nodes as processes, and targets.

use crate::backend::{self, Backend};
use anyhow::Context;
use fulmarreel_testing::{
    kv::Stand,
    process::{Process, free_address},
};
use smol::{Task, Timer, io::AsyncWriteExt, net::TcpStream};
use std::{
    net::SocketAddr,
    path::{Path, PathBuf},
    sync::atomic::{AtomicU64, Ordering},
    time::{Duration, Instant},
};

/// How long anything may take that is waited for.
pub const PATIENCE: Duration = Duration::from_secs(15);

/// The memory that a node is granted, in megabytes.
pub const MEMORY_MB: u64 = 88;

static NEXT_ID: AtomicU64 = AtomicU64::new(1);

/// One instance: a node, and the target beside it.
pub struct Instance {
    pub process: Process,
    pub callers: SocketAddr,
    pub ready: SocketAddr,
    pub announcements: SocketAddr,
    pub peers: SocketAddr,
    pub metrics: SocketAddr,
    pub service: String,
    pub backend: Backend,
    settings: PathBuf,
    beats: Option<Task<()>>,
}

/// An answer as text.
pub struct Answer {
    pub status: u16,
    pub text: String,
}

impl Instance {
    /// Starts a node and a target, which announces itself.
    pub async fn start(store: SocketAddr, service: &str, version: &str) -> anyhow::Result<Self> {
        let id = format!("i-{}", NEXT_ID.fetch_add(1, Ordering::Relaxed));
        let backend = Backend::start(&id, version).await?;
        let (callers, ready) = (free_address()?, free_address()?);
        let (announcements, peers) = (free_address()?, free_address()?);
        let metrics = free_address()?;
        let settings = format!(
            "node_name=n-{id}\nzone=a\nregion=r\nip=127.0.0.1\nlisten.outbound={callers}\n\
            listen.ready={ready}\nlisten.control={announcements}\nport_range={0},{0}\n\
            app_addr={1}\nservice={service}\nplatform_spec.address={store}\n\
            bounds.grace_s=6\nheartbeat_s=1\nlimits.memory_mb={MEMORY_MB}\n",
            peers.port(),
            backend.endpoint,
        );
        let path = std::env::temp_dir().join(format!("fulmarreel-{}-{id}", std::process::id()));
        std::fs::write(&path, settings)?;
        let mut instance = Self {
            process: node(&path, metrics)?,
            callers,
            ready,
            announcements,
            peers,
            metrics,
            service: service.to_owned(),
            backend,
            settings: path,
            beats: None,
        };
        instance.beat();
        Ok(instance)
    }

    /// What the node has logged.
    pub fn log(&self) -> anyhow::Result<String> {
        Ok(std::fs::read_to_string(
            self.settings.with_extension("log"),
        )?)
    }

    /// Starts the node anew.
    pub fn restart(&mut self) -> anyhow::Result<()> {
        self.process = node(&self.settings, self.metrics)?;
        Ok(())
    }

    /// Has the target announce itself until told otherwise.
    pub fn beat(&mut self) {
        let (to, id) = (self.announcements, self.backend.id.clone());
        let body = self.announcement("ready");
        self.beats = Some(smol::spawn(async move {
            for sequence in 1_u64.. {
                let body = body.replace("SEQ", &sequence.to_string());
                let path = format!("/-/instances/{id}");
                // The node may be away for a while.
                let _ = call(to, "PUT", &path, "node", &[], &body).await;
                Timer::after(Duration::from_millis(200)).await;
            }
        }));
    }

    /// Has the target say nothing of itself.
    pub fn silence(&mut self) {
        self.beats = None;
    }

    /// Has the target say once that it leaves; true once that is acknowledged.
    pub async fn drain(&mut self) -> anyhow::Result<bool> {
        self.beats = None;
        let body = self.announcement("draining").replace("SEQ", "1000000");
        let path = format!("/-/instances/{}", self.backend.id);
        let answer = call(self.announcements, "PUT", &path, "node", &[], &body).await?;
        Ok(answer.status == 200)
    }

    fn announcement(&self, state: &str) -> String {
        format!(
            "{{\"address\":\"{}\",\"born\":1,\"info\":{{\"service\":\"{}\",\"version\":\"{}\",\
            \"zone\":\"a\",\"slots\":4}},\"status\":{{\"state\":\"{state}\",\"seq_no\":SEQ,\
            \"cold_remaining_s\":0}}}}",
            self.backend.endpoint, self.service, self.backend.version
        )
    }

    /// Sends a caller's request here.
    pub async fn request(&self, method: &str, path: &str, id: &str) -> anyhow::Result<Answer> {
        let headers = [("X-Request-Id", id), ("X-Deadline-Ms", "3000")];
        call(self.callers, method, path, "h.example", &headers, "").await
    }

    /// Waits until the node says that it is ready.
    pub async fn wait_ready(&self) -> anyhow::Result<()> {
        eventually("ready", || async {
            let answer = call(self.ready, "GET", "/-/ready", "node", &[], "").await;
            answer.is_ok_and(|answer| answer.status == 200)
        })
        .await
    }

    /// Waits until requests to a path are answered here by a target.
    pub async fn wait_served(&self, path: &str) -> anyhow::Result<()> {
        eventually("served", || async {
            let answer = self.request("GET", path, "warm").await;
            answer.is_ok_and(|answer| answer.status == 200)
        })
        .await
    }
}

fn node(settings: &Path, metrics: SocketAddr) -> anyhow::Result<Process> {
    let port = metrics.port().to_string();
    let arguments = ["platform", "--metrics", &port];
    let log = settings.with_extension("log");
    let settings = settings.to_str().context("path")?;
    let variables = [("FULMARREEL_CONFIG", settings)];
    Process::start_logged("fulmarreel-node", &arguments, &variables, &log)
}

/// Puts a configuration with a route `/SERVICE/` for lookups and `/SERVICE-do/` for bookings into
/// force, for each service.
pub fn configure(stand: &Stand, version: u64, services: &[&str]) {
    let mut routes = Vec::new();
    for service in services {
        for (suffix, kind) in [("", "safe"), ("-do", "unsafe")] {
            routes.push(format!(
                "{{\"name\":\"{service}{suffix}\",\"host\":\"h.example\",\
                \"prefix\":\"/{service}{suffix}/\",\"route_kind\":\"{kind}\",\"timeout_s\":3,\
                \"target_latency_s\":1,\"priority\":1,\"service\":\"{service}\",\
                \"max_attempts\":2}}"
            ));
        }
    }
    let routes = routes.join(",");
    let services = services
        .iter()
        .map(|service| format!("{{\"name\":\"{service}\",\"health_path\":\"/health\"}}"));
    let services = services.collect::<Vec<_>>().join(",");
    let config =
        format!("{{\"version\":{version},\"routes\":[{routes}],\"services\":[{services}]}}");
    stand.put("op/config", config.as_bytes());
}

/// Sends one request on a connection of its own.
pub async fn call(
    to: SocketAddr,
    method: &str,
    path: &str,
    host: &str,
    headers: &[(&str, &str)],
    body: &str,
) -> anyhow::Result<Answer> {
    let mut tcp = open(to, method, path, host, headers, body).await?;
    let text = backend::read(&mut tcp).await?.context("no answer")?;
    let status = text.split(' ').nth(1).context("status")?.parse()?;
    Ok(Answer { status, text })
}

/// Sends one request, and leaves its answer on the connection.
pub async fn open(
    to: SocketAddr,
    method: &str,
    path: &str,
    host: &str,
    headers: &[(&str, &str)],
    body: &str,
) -> anyhow::Result<TcpStream> {
    let mut tcp = TcpStream::connect(to).await?;
    let headers: String = headers
        .iter()
        .map(|(name, value)| format!("{name}: {value}\r\n"))
        .collect();
    let request = format!(
        "{method} {path} HTTP/1.1\r\nHost: {host}\r\n{headers}Content-Length: {}\r\n\r\n{body}",
        body.len()
    );
    tcp.write_all(request.as_bytes()).await?;
    Ok(tcp)
}

/// Waits until something holds.
pub async fn eventually<F>(what: &str, holds: impl Fn() -> F) -> anyhow::Result<()>
where
    F: Future<Output = bool>,
{
    let deadline = Instant::now() + PATIENCE;
    while !holds().await {
        anyhow::ensure!(Instant::now() < deadline, "not {what} in {PATIENCE:?}");
        Timer::after(Duration::from_millis(20)).await;
    }
    Ok(())
}
