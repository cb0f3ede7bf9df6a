//! A machine of the deployment: a node process, and the endpoint stand-in beside it. Each machine has a
//! loopback address of its own, so that ports are the same on all machines.

use crate::{
    http::{Message, Request, read_message},
    record::Record,
};
use std::{
    fs::File,
    io::{self, BufReader, Write},
    net::{Ipv4Addr, Shutdown, SocketAddr, TcpListener, TcpStream},
    path::{Path, PathBuf},
    process::{Child, Command, Stdio},
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, AtomicU64, Ordering},
    },
    thread,
    time::{Duration, Instant, SystemTime, UNIX_EPOCH},
};

/// The interval of an endpoint's heartbeats, `heartbeat_s` of the settings.
pub const HEARTBEAT: Duration = Duration::from_millis(1_500);

/// `limits.memory_mb` of the settings.
pub const MEMORY_MB: u64 = 110;

const INBOUND: u16 = 8300;
const APP: u16 = 8301;
const READY: u16 = 8302;
const OUTBOUND: u16 = 8304;
const CONTROL: u16 = 8306;
const METRICS: u16 = 9464;
const PEERS: (u16, u16) = (7620, 7635);

/// What an endpoint answers to a request, after some work.
#[derive(Debug, Clone)]
pub struct Reply {
    pub status: u16,
    pub work: Duration,
    pub body: Vec<u8>,
}

/// How an endpoint answers requests.
pub type Behaviour = Arc<dyn Fn(&Message) -> Reply + Send + Sync>;

/// A request that an endpoint began to work on.
#[derive(Debug, Clone)]
pub struct Run {
    pub at: Duration,
    pub id: String,
}

/// The endpoint stand-in beside a node.
pub struct Endpoint {
    pub id: String,
    pub service: String,
    pub version: String,
    zone: String,
    address: SocketAddr,
    control: SocketAddr,
    born: u128,
    sequence: AtomicU64,
    /// Whether it is leaving: its health check fails from then on.
    pub leaving: AtomicBool,
    /// Whether its regular heartbeats are paused.
    pub quiet: AtomicBool,
    ended: AtomicBool,
    behaviour: Behaviour,
    runs: Mutex<Vec<Run>>,
    connections: Mutex<Vec<TcpStream>>,
    record: Arc<Record>,
}

impl Endpoint {
    /// Requests that it began to work on.
    pub fn runs(&self) -> Vec<Run> {
        self.runs.lock().expect("runs lock").clone()
    }

    /// The body of the next heartbeat.
    pub fn heartbeat_body(&self, state: &str) -> String {
        let sequence = self.sequence.fetch_add(1, Ordering::Relaxed) + 1;
        let Self {
            address,
            service,
            version,
            zone,
            born,
            ..
        } = self;
        format!(
            "{{\"address\":\"{address}\",\"born\":{born},\"info\":{{\"service\":\"{service}\",\
            \"version\":\"{version}\",\"zone\":\"{zone}\",\"slots\":18}},\"status\":{{\
            \"state\":\"{state}\",\"seq_no\":{sequence},\"cold_remaining_s\":0}}}}"
        )
    }

    /// Delivers a heartbeat; returns whether it was acknowledged.
    pub fn deliver(&self, body: &str) -> bool {
        self.tell("PUT", body)
    }

    /// Sends `DELETE` for itself; returns whether it was acknowledged.
    pub fn say_gone(&self) -> bool {
        self.tell("DELETE", "")
    }

    fn tell(&self, method: &str, body: &str) -> bool {
        let path = format!("/-/instances/{}", self.id);
        let host = self.control.to_string();
        let headers = vec![("Content-Type", "application/json".to_owned())];
        let request = Request {
            method,
            path: &path,
            host: &host,
            headers,
            body: body.as_bytes(),
        };
        let answer = request.send(self.control, Duration::from_secs(1));
        answer.is_ok_and(|answer| (200..300).contains(&answer.status()))
    }

    /// Ends the endpoint, as its process exits: it accepts and answers nothing more.
    pub fn end(&self) {
        self.quiet.store(true, Ordering::Release);
        if self.ended.swap(true, Ordering::AcqRel) {
            return;
        }
        for connection in self.connections.lock().expect("connections lock").drain(..) {
            let _ = connection.shutdown(Shutdown::Both);
        }
        let _ = TcpStream::connect_timeout(&self.address, Duration::from_millis(200));
    }

    fn run(self: &Arc<Self>) -> io::Result<()> {
        let listener = TcpListener::bind(self.address)?;
        let accepting = Arc::clone(self);
        thread::spawn(move || {
            for tcp in listener.incoming().flatten() {
                if accepting.ended.load(Ordering::Acquire) {
                    return;
                }
                let serving = Arc::clone(&accepting);
                thread::spawn(move || {
                    let _ = serving.serve(tcp);
                });
            }
        });
        let beating = Arc::clone(self);
        thread::spawn(move || {
            while !beating.ended.load(Ordering::Acquire) {
                if !beating.quiet.load(Ordering::Acquire) {
                    let state = if beating.leaving.load(Ordering::Acquire) {
                        "draining"
                    } else {
                        "ready"
                    };
                    let body = beating.heartbeat_body(state);
                    beating.deliver(&body);
                }
                thread::sleep(HEARTBEAT);
            }
        });
        Ok(())
    }

    fn serve(&self, tcp: TcpStream) -> io::Result<()> {
        tcp.set_nodelay(true)?;
        let mut writer = tcp.try_clone()?;
        let connection = tcp.try_clone()?;
        self.connections
            .lock()
            .expect("connections lock")
            .push(connection);
        let mut reader = BufReader::new(tcp);
        while let Some(request) = read_message(&mut reader)? {
            if self.ended.load(Ordering::Acquire) {
                return Ok(());
            }
            let (status, extra, body) = self.answer(&request);
            let head = format!(
                "HTTP/1.1 {status} Status\r\nContent-Length: {}\r\nX-Instance-Id: {}\r\n\
                X-Server-Load: 0,0,18\r\n{extra}\r\n",
                body.len(),
                self.id
            );
            writer.write_all(head.as_bytes())?;
            writer.write_all(&body)?;
        }
        Ok(())
    }

    /// The status, further headers and the body of the answer to a request.
    fn answer(&self, request: &Message) -> (u16, String, Vec<u8>) {
        if request.word(1) == "/health" {
            let status = if self.leaving.load(Ordering::Acquire) {
                503
            } else {
                200
            };
            return (status, String::new(), Vec::new());
        }
        let id = request.header("x-request-id");
        let echo = format!("X-Request-Id: {id}\r\n");
        let expected = request.header("x-expect-instance");
        if !expected.is_empty() && expected != self.id {
            return (421, format!("{echo}X-Not-Executed: 1\r\n"), Vec::new());
        }
        if id.is_empty() {
            return (400, "X-Not-Executed: 1\r\n".to_owned(), Vec::new());
        }
        let reply = (self.behaviour)(request);
        let run = Run {
            at: self.record.now(),
            id: id.to_owned(),
        };
        self.runs.lock().expect("runs lock").push(run);
        let (server, version, status) = (&self.id, &self.version, reply.status);
        self.record.line(&format!(
            "run {id} {} at {server} {version} -> {status}",
            request.first_line
        ));
        thread::sleep(reply.work);
        let extra = format!("{echo}X-Server-Seal: seal.{server}.{id}\r\n");
        (status, extra, reply.body)
    }
}

/// The network of a run: a part of the loopback addresses.
#[derive(Debug, Clone, Copy)]
pub struct Network {
    second: u8,
    third: u8,
}

impl Network {
    /// Addresses on which the ports of a deployment are free.
    pub fn find() -> io::Result<Self> {
        let seed = std::process::id().wrapping_mul(31);
        for attempt in 0..50_u32 {
            let number = seed.wrapping_add(attempt.wrapping_mul(7_919)) % 50_000;
            let network = Self {
                second: 10 + (number / 250) as u8,
                third: 1 + (number % 250) as u8,
            };
            let ports = [8309, APP, READY, OUTBOUND, CONTROL, METRICS, PEERS.0];
            let is_free = |port: &u16| {
                let mut hosts = [5, 10, 11, 12, 13].into_iter();
                hosts.all(|host| TcpListener::bind(network.address(host, *port)).is_ok())
            };
            if ports.iter().all(is_free) {
                return Ok(network);
            }
        }
        Err(io::Error::other("no free ports"))
    }

    fn address(self, host: u8, port: u16) -> SocketAddr {
        SocketAddr::from((Ipv4Addr::new(127, self.second, self.third, host), port))
    }

    /// The store's address.
    pub fn store(self) -> SocketAddr {
        self.address(5, 8309)
    }
}

/// A machine.
pub struct Machine {
    pub name: String,
    pub outbound: SocketAddr,
    ready: SocketAddr,
    pub endpoint: Arc<Endpoint>,
    settings: PathBuf,
    log: PathBuf,
    process: Child,
    record: Arc<Record>,
}

/// What a machine is started with.
pub struct Spec<'a> {
    pub host: u8,
    pub zone: &'a str,
    pub service: &'a str,
    pub version: &'a str,
    pub behaviour: Behaviour,
}

impl Machine {
    /// Starts the node and the endpoint of a machine.
    pub fn start(
        network: Network,
        folder: &Path,
        record: &Arc<Record>,
        spec: &Spec<'_>,
    ) -> io::Result<Self> {
        let Spec {
            host,
            zone,
            service,
            version,
            ..
        } = spec;
        let address = |port| network.address(*host, port);
        let name = format!("sidecar-{zone}-{host}");
        let settings = folder.join(format!("{name}.conf"));
        std::fs::write(&settings, settings_text(network, spec, &name))?;
        let log = folder.join(format!("{name}.log"));
        let endpoint = Arc::new(Endpoint {
            id: format!("i-{host}-{}", unix_millis() % 100_000),
            service: (*service).to_owned(),
            version: (*version).to_owned(),
            zone: (*zone).to_owned(),
            address: address(APP),
            control: address(CONTROL),
            born: unix_millis(),
            sequence: AtomicU64::new(0),
            leaving: AtomicBool::new(false),
            quiet: AtomicBool::new(false),
            ended: AtomicBool::new(false),
            behaviour: Arc::clone(&spec.behaviour),
            runs: Mutex::default(),
            connections: Mutex::default(),
            record: Arc::clone(record),
        });
        let process = start_node(&settings, &log)?;
        record.line(&format!(
            "started {name} ({service} {version}), process {}",
            process.id()
        ));
        thread::sleep(Duration::from_millis(200));
        endpoint.run()?;
        let (outbound, ready) = (address(OUTBOUND), address(READY));
        let record = Arc::clone(record);
        Ok(Self {
            name,
            outbound,
            ready,
            endpoint,
            settings,
            log,
            process,
            record,
        })
    }

    /// Kills the node's process, as a platform's kill or a loss of power does.
    pub fn kill(&mut self) {
        let _ = self.process.kill();
        let _ = self.process.wait();
        self.record
            .say(&format!("killed the node of {}", self.name));
    }

    /// Starts the node's process again.
    pub fn restart(&mut self) -> io::Result<()> {
        self.process = start_node(&self.settings, &self.log)?;
        self.record.say(&format!(
            "started the node of {} again, process {}",
            self.name,
            self.process.id()
        ));
        Ok(())
    }

    /// Sends a signal to the node's process.
    pub fn signal(&self, signal: &str) -> io::Result<()> {
        let id = self.process.id().to_string();
        Command::new("kill")
            .args([&format!("-{signal}"), &id])
            .status()?;
        self.record
            .say(&format!("sent SIG{signal} to the node of {}", self.name));
        Ok(())
    }

    /// The resident memory of the node's process, in megabytes (10^6 bytes).
    pub fn memory_mb(&self) -> u64 {
        let path = format!("/proc/{}/status", self.process.id());
        let status = std::fs::read_to_string(path).unwrap_or_default();
        let line = status.lines().find(|line| line.starts_with("VmRSS:"));
        let kilobytes: u64 = line
            .and_then(|line| line.split_whitespace().nth(1)?.parse().ok())
            .unwrap_or(0);
        kilobytes * 1_024 / 1_000_000
    }

    /// Waits until the node says that it is ready.
    pub fn wait_ready(&self) -> io::Result<()> {
        let host = self.ready.to_string();
        let request = Request {
            method: "GET",
            path: "/-/ready",
            host: &host,
            ..Request::default()
        };
        let until = Instant::now() + Duration::from_secs(15);
        while Instant::now() < until {
            let answer = request.send(self.ready, Duration::from_secs(1));
            if answer.is_ok_and(|answer| answer.status() == 200) {
                return Ok(());
            }
            thread::sleep(Duration::from_millis(50));
        }
        Err(io::Error::other(format!("{} is not ready", self.name)))
    }
}

impl Drop for Machine {
    fn drop(&mut self) {
        self.endpoint.end();
        let _ = self.process.kill();
        let _ = self.process.wait();
    }
}

/// Starts a node with the command of the deploy file.
fn start_node(settings: &Path, log: &Path) -> io::Result<Child> {
    let log = File::options().create(true).append(true).open(log)?;
    Command::new("target/release/fulmarreel-node")
        .args(["platform", "--metrics", "9464"])
        .env_clear()
        .env("PATH", std::env::var("PATH").unwrap_or_default())
        .env("FULMARREEL_CONFIG", settings)
        .stdin(Stdio::null())
        .stdout(log.try_clone()?)
        .stderr(log)
        .spawn()
}

fn settings_text(network: Network, spec: &Spec<'_>, name: &str) -> String {
    let Spec {
        host,
        zone,
        service,
        ..
    } = spec;
    let address = |port| network.address(*host, port);
    let (inbound, outbound, ready) = (address(INBOUND), address(OUTBOUND), address(READY));
    let (control, app, ip) = (address(CONTROL), address(APP), address(0).ip());
    let store = network.store();
    format!(
        "node_name={name}\nrole=node\nnode_class=sidecar\nserves=sidecar\nip={ip}\nzone={zone}\n\
        region=viti-levu\nzones.suva=viti-levu\nzones.lautoka=viti-levu\nlisten.inbound={inbound}\n\
        listen.outbound={outbound}\nlisten.ready={ready}\nlisten.control={control}\n\
        port_range={},{}\nseeds=\nbootstrap=true\nfault_counted=false\nlimits.cpu_share=0.2\n\
        limits.cores=1\nlimits.memory_mb={MEMORY_MB}\nlimits.max_fds=4100\nlimits.link_mbps=1000.0\n\
        limits.disk_mb=0\ndiscovery=static\nentry_mode=static\nheartbeat_s=1.5\n\
        contracts=base,drain,config,cost,retry,recover,rollout,platform\nfault_tolerance.machines=1\n\
        fault_tolerance.zones=0\nfault_tolerance.regions=0\nbounds.seed_lag_s=3\n\
        bounds.reuse_after_s=2\nbounds.stability_window_s=3\nbounds.ack_s=4\nbounds.catch_up_s=4\n\
        bounds.drain_s=2\nbounds.grace_s=6\nbounds.loss_slack_s=0.2\nbounds.config_apply_s=2\n\
        bounds.regression_window_s=0.25\nbounds.outer_s=5\nbounds.retry_budget_ratio=0.2\n\
        bounds.budget_window_s=10\nbounds.retry_budget_slack=62\nbounds.expose_share=0.1\n\
        bounds.expose_slack=50\nbounds.rollback_s=5\nbounds.recover_s=15\napp_addr={app}\n\
        service={service}\nplatform_spec.address={store}\nplatform_spec.form=kv\n\
        platform_spec.writes_per_s=400\nplatform_spec.reads_per_s=2000\nplatform_spec.history_s=20\n\
        platform_spec.value_bytes=1048576\nplatform_spec.ttl_min_s=1\n",
        PEERS.0, PEERS.1
    )
}

/// The time of day in milliseconds since the Unix epoch.
pub fn unix_millis() -> u128 {
    SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .map_or(0, |time| time.as_millis())
}
