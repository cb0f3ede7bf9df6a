//! A small deployment: a fake store, nodes as processes, and fake targets.

use crate::backend::{self, Backend};
use anyhow::Context;
use fulmarreel_testing::{
    kv::FakePlatformStore,
    process::{Process, free_address},
};
use smol::{Task, Timer, io::AsyncWriteExt, net::TcpStream};
use std::{
    net::SocketAddr,
    path::{Path, PathBuf},
    sync::atomic::{AtomicU64, Ordering},
    time::{Duration, Instant},
};

/// Limit on each wait for a condition.
pub const TIMEOUT: Duration = Duration::from_secs(15);

/// `limits.memory_mb` in each node's settings.
pub const MEMORY_MB: u64 = 88;

static NEXT_ID: AtomicU64 = AtomicU64::new(1);

#[derive(Debug, Clone, Copy)]
pub struct Location<'a> {
    pub region: &'a str,
    pub zone: &'a str,
}

/// Location of instances that [`Instance::start`] starts.
const DEFAULT_LOCATION: Location<'_> = Location {
    region: "r",
    zone: "a",
};

/// One instance: a node process, and its own target, a fake.
pub struct Instance {
    pub process: Process,
    /// Takes requests of local callers.
    pub callers: SocketAddr,
    /// Answers readiness checks.
    pub ready: SocketAddr,
    /// Takes the target's announcements.
    pub announcements: SocketAddr,
    /// Takes connections and datagrams of other nodes.
    pub peers: SocketAddr,
    pub metrics: SocketAddr,
    pub service: String,
    pub backend: Backend,
    zone: String,
    settings: PathBuf,
    /// Repeats the target's announcement while it is there.
    heartbeat: Option<Task<()>>,
}

/// A response.
pub struct Answer {
    pub status: u16,
    /// Head and body.
    pub text: String,
}

impl Instance {
    /// Starts a node, and its target, which announces itself to the node.
    pub async fn start(store: SocketAddr, service: &str, version: &str) -> anyhow::Result<Self> {
        Self::start_at(DEFAULT_LOCATION, store, service, version).await
    }

    /// As [`Instance::start`], in a given region and zone.
    pub async fn start_at(
        place: Location<'_>,
        store: SocketAddr,
        service: &str,
        version: &str,
    ) -> anyhow::Result<Self> {
        let Location { region, zone } = place;
        let id = format!("i-{}", NEXT_ID.fetch_add(1, Ordering::Relaxed));
        let backend = Backend::start(&id, version).await?;
        let (callers, ready) = (free_address()?, free_address()?);
        let (announcements, peers) = (free_address()?, free_address()?);
        let metrics = free_address()?;
        let settings = format!(
            "node_name=n-{id}\nzone={zone}\nregion={region}\nip=127.0.0.1\nlisten.outbound={callers}\n\
            listen.ready={ready}\nlisten.control={announcements}\nport_range={0},{0}\n\
            app_addr={1}\nservice={service}\nplatform_spec.address={store}\n\
            bounds.grace_s=6\nheartbeat_s=1\nlimits.memory_mb={MEMORY_MB}\n",
            peers.port(),
            backend.endpoint,
        );
        let path = std::env::temp_dir().join(format!("fulmarreel-{}-{id}", std::process::id()));
        std::fs::write(&path, settings)?;
        let mut instance = Self {
            process: start_node(&path, metrics)?,
            callers,
            ready,
            announcements,
            peers,
            metrics,
            service: service.to_owned(),
            backend,
            zone: zone.to_owned(),
            settings: path,
            heartbeat: None,
        };
        instance.start_announcing();
        Ok(instance)
    }

    /// The node's log so far.
    pub fn log(&self) -> anyhow::Result<String> {
        Ok(std::fs::read_to_string(
            self.settings.with_extension("log"),
        )?)
    }

    /// Adds a line to the node's settings, and waits until it has read them.
    pub async fn add_setting(&self, line: &str) -> anyhow::Result<()> {
        let text = std::fs::read_to_string(&self.settings)?;
        std::fs::write(&self.settings, format!("{text}{line}\n"))?;
        let reloaded = || async {
            self.log()
                .is_ok_and(|log| log.contains("settings reloaded"))
        };
        eventually("reloaded", reloaded).await
    }

    /// Starts the node's process again, with the same settings.
    pub fn restart(&mut self) -> anyhow::Result<()> {
        self.process = start_node(&self.settings, self.metrics)?;
        Ok(())
    }

    /// Has the target announce itself every 200 ms, until [`Self::stop_announcing`] or
    /// [`Self::drain`].
    pub fn start_announcing(&mut self) {
        let (to, id) = (self.announcements, self.backend.id.clone());
        let body = self.announcement("ready");
        self.heartbeat = Some(smol::spawn(async move {
            for sequence in 1_u64.. {
                let body = body.replace("SEQ", &sequence.to_string());
                let path = format!("/-/instances/{id}");
                // The node may be down at the moment.
                let _ = call(to, "PUT", &path, "node", &[], &body).await;
                Timer::after(Duration::from_millis(200)).await;
            }
        }));
    }

    /// Stops the target's announcements.
    pub fn stop_announcing(&mut self) {
        self.heartbeat = None;
    }

    /// Stops the target's announcements and sends one last, that the target is draining; returns
    /// whether the node acknowledged it.
    pub async fn drain(&mut self) -> anyhow::Result<bool> {
        self.heartbeat = None;
        let body = self.announcement("draining").replace("SEQ", "1000000");
        self.announce(&body).await
    }

    /// Sends one announcement of the target; returns whether the node acknowledged it.
    pub async fn announce(&self, body: &str) -> anyhow::Result<bool> {
        self.tell_node("PUT", body).await
    }

    /// Tells the node that the target has ended; returns whether the node acknowledged it.
    pub async fn end_target(&self) -> anyhow::Result<bool> {
        self.tell_node("DELETE", "").await
    }

    async fn tell_node(&self, method: &str, body: &str) -> anyhow::Result<bool> {
        let path = format!("/-/instances/{}", self.backend.id);
        let answer = call(self.announcements, method, &path, "node", &[], body).await?;
        Ok(answer.status == 200)
    }

    /// The body of an announcement of the target, with `SEQ` for the sequence number.
    pub fn announcement(&self, state: &str) -> String {
        format!(
            "{{\"address\":\"{}\",\"born\":1,\"info\":{{\"service\":\"{}\",\"version\":\"{}\",\
            \"zone\":\"{}\",\"slots\":4}},\"status\":{{\"state\":\"{state}\",\"seq_no\":SEQ,\
            \"cold_remaining_s\":0}}}}",
            self.backend.endpoint, self.service, self.backend.version, self.zone
        )
    }

    /// Sends a caller's request to this node.
    pub async fn request(&self, method: &str, path: &str, id: &str) -> anyhow::Result<Answer> {
        let headers = [("X-Request-Id", id), ("X-Deadline-Ms", "3000")];
        call(self.callers, method, path, "h.example", &headers, "").await
    }

    /// Waits until the node reports that it is ready.
    pub async fn wait_ready(&self) -> anyhow::Result<()> {
        eventually("ready", || async {
            let answer = call(self.ready, "GET", "/-/ready", "node", &[], "").await;
            answer.is_ok_and(|answer| answer.status == 200)
        })
        .await
    }

    /// Waits until this node answers requests to a path with 200.
    pub async fn wait_served(&self, path: &str) -> anyhow::Result<()> {
        eventually("served", || async {
            let answer = self.request("GET", path, "warm").await;
            answer.is_ok_and(|answer| answer.status == 200)
        })
        .await
    }
}

fn start_node(settings: &Path, metrics: SocketAddr) -> anyhow::Result<Process> {
    let port = metrics.port().to_string();
    let arguments = ["platform", "--metrics", &port];
    let log = settings.with_extension("log");
    let settings = settings.to_str().context("path")?;
    let variables = [("FULMARREEL_CONFIG", settings)];
    Process::start_logged("fulmarreel-node", &arguments, &variables, &log)
}

/// Writes a configuration with two routes for each service: `/SERVICE/` for lookups, which may be
/// repeated (`safe`), and `/SERVICE-do/` for bookings, which may not (`unsafe`). Returns the
/// store's revision.
pub fn configure(store: &FakePlatformStore, version: u64, services: &[&str]) -> u64 {
    let routes = services.iter().flat_map(|service| both_routes(service));
    put_config(store, version, &routes.collect::<Vec<_>>(), services)
}

/// Writes a configuration with a route `/SERVICE/` for downloads of each service. Returns the store's
/// revision.
pub fn configure_bulk(store: &FakePlatformStore, version: u64, services: &[&str]) -> u64 {
    let routes = services.iter().map(|service| {
        let prefix = format!("/{service}/");
        route(service, "h.example", &prefix, "download", service)
    });
    put_config(store, version, &routes.collect::<Vec<_>>(), services)
}

/// As [`configure`] for one service, with `idle_routes` routes that get no requests, and a route
/// `/added-N/` to the service for each version N up to this one.
pub fn configure_with_idle(
    store: &FakePlatformStore,
    version: u64,
    service: &str,
    idle_routes: usize,
) -> u64 {
    let mut routes = both_routes(service).to_vec();
    for number in 0..idle_routes {
        let (name, prefix) = (format!("idle-{number}"), format!("/area-{number}/orders/"));
        routes.push(route(&name, "idle.example", &prefix, "safe", service));
    }
    for number in 1..=version {
        let (name, prefix) = (format!("added-{number}"), format!("/added-{number}/"));
        routes.push(route(&name, "h.example", &prefix, "safe", service));
    }
    put_config(store, version, &routes, &[service])
}

fn both_routes(service: &str) -> [String; 2] {
    [("", "safe"), ("-do", "unsafe")].map(|(suffix, kind)| {
        let name = format!("{service}{suffix}");
        route(&name, "h.example", &format!("/{name}/"), kind, service)
    })
}

fn route(name: &str, host: &str, prefix: &str, kind: &str, service: &str) -> String {
    format!(
        "{{\"name\":\"{name}\",\"host\":\"{host}\",\"prefix\":\"{prefix}\",\
        \"route_kind\":\"{kind}\",\"timeout_s\":3,\"target_latency_s\":1,\"priority\":1,\
        \"service\":\"{service}\",\"max_attempts\":2}}"
    )
}

fn put_config(
    store: &FakePlatformStore,
    version: u64,
    routes: &[String],
    services: &[&str],
) -> u64 {
    let routes = routes.join(",");
    let services = services
        .iter()
        .map(|service| format!("{{\"name\":\"{service}\",\"health_path\":\"/health\"}}"));
    let services = services.collect::<Vec<_>>().join(",");
    let config =
        format!("{{\"version\":{version},\"routes\":[{routes}],\"services\":[{services}]}}");
    store.put("op/config", config.as_bytes())
}

/// Starts a store, an instance for callers with a target of service `own`, and an instance with the
/// only target of service `s`.
pub async fn start_pair() -> anyhow::Result<(FakePlatformStore, Instance, Instance)> {
    let store = FakePlatformStore::start()?;
    configure(&store, 1, &["s", "own"]);
    let caller = Instance::start(store.address(), "own", "v1").await?;
    let target = Instance::start(store.address(), "s", "v1").await?;
    caller.wait_ready().await?;
    caller.wait_served("/s/").await?;
    Ok((store, caller, target))
}

/// What [`start_pair`] starts, where both targets get requests.
pub struct Pair {
    _store: FakePlatformStore,
    /// The instance for callers, with the only target of `own`.
    pub caller: Instance,
    /// The instance with the only target of `s`.
    pub other: Instance,
}

impl Pair {
    pub async fn start() -> anyhow::Result<Self> {
        let (store, caller, other) = start_pair().await?;
        caller.wait_served("/own/").await?;
        Ok(Self {
            _store: store,
            caller,
            other,
        })
    }

    /// The instance whose target serves a path.
    pub fn serving(&self, path: &str) -> &Instance {
        if path.starts_with("/own") {
            &self.caller
        } else {
            &self.other
        }
    }
}

/// Sends one request on a new connection, and reads the response.
pub async fn call(
    to: SocketAddr,
    method: &str,
    path: &str,
    host: &str,
    headers: &[(&str, &str)],
    body: &str,
) -> anyhow::Result<Answer> {
    let mut tcp = send_request(to, method, path, host, headers, body).await?;
    let text = backend::read_message(&mut tcp)
        .await?
        .context("no answer")?;
    let status = text.split(' ').nth(1).context("status")?.parse()?;
    Ok(Answer { status, text })
}

/// Sends one request on a new connection, and doesn't read the response.
pub async fn send_request(
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

/// Polls until a condition holds; `what` names it in the error.
pub async fn eventually<F>(what: &str, holds: impl Fn() -> F) -> anyhow::Result<()>
where
    F: Future<Output = bool>,
{
    let deadline = Instant::now() + TIMEOUT;
    while !holds().await {
        anyhow::ensure!(Instant::now() < deadline, "not {what} in {TIMEOUT:?}");
        Timer::after(Duration::from_millis(20)).await;
    }
    Ok(())
}
