//! The machines of a small deployment: the project's node as a process with the command of the deploy
//! file, and beside it an endpoint, by PROTOCOL.md and DEPLOY.md.

use crate::http::{self, Message, Reader, respond};
use std::{
    collections::HashSet,
    fs::{self, File},
    io::{self, Write},
    net::{Shutdown, SocketAddr, TcpListener, TcpStream},
    path::PathBuf,
    process::{Child, Command, Stdio},
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, AtomicU64, Ordering},
    },
    thread,
    time::{Duration, Instant, SystemTime, UNIX_EPOCH},
};

/// What was sent, answered and run; written to `record.txt`.
pub struct Record {
    file: Mutex<File>,
    start: Instant,
}

impl Record {
    pub fn create(path: &str) -> io::Result<Arc<Self>> {
        Ok(Arc::new(Self {
            file: Mutex::new(File::create(path)?),
            start: Instant::now(),
        }))
    }

    pub fn line(&self, text: &str) {
        let at = self.start.elapsed().as_secs_f64();
        let _ = writeln!(self.file.lock().unwrap(), "{at:9.3} {text}");
    }

    pub fn say(&self, text: &str) {
        self.line(text);
        println!("{text}");
    }
}

pub fn unix_ms() -> u64 {
    let now = SystemTime::now().duration_since(UNIX_EPOCH);
    now.map_or(0, |now| now.as_millis() as u64)
}

/// A number that differs with each call and each run.
pub fn unique() -> u64 {
    static LAST: AtomicU64 = AtomicU64::new(0);
    let count = LAST.fetch_add(1, Ordering::Relaxed);
    (u64::from(std::process::id()) << 40) ^ (unix_ms() << 16) ^ count
}

/// A random number below a limit.
pub fn random(below: u64) -> u64 {
    let mut x = unique().wrapping_mul(0x9E37_79B9_7F4A_7C15);
    x ^= x >> 29;
    x = x.wrapping_mul(0xBF58_476D_1CE4_E5B9);
    (x ^ (x >> 32)) % below.max(1)
}

/// A loopback block of its own for this run: addresses `127.A.B.n` on which nothing listens.
pub fn free_block() -> io::Result<String> {
    for _ in 0..50 {
        let block = format!("127.{}.{}", 20 + random(200), random(250));
        let is_free = (1..=9).all(|last| TcpListener::bind((format!("{block}.{last}"), 8304)).is_ok());
        if is_free {
            return Ok(block);
        }
    }
    Err(io::ErrorKind::AddrInUse.into())
}

/// What a deployment has in the settings of its machines.
#[derive(Clone)]
pub struct Machine {
    pub name: String,
    pub ip: String,
    pub zone: String,
    pub region: String,
    pub service: String,
    pub memory_mb: u64,
    pub store: SocketAddr,
    pub folder: PathBuf,
}

impl Machine {
    pub fn address(&self, port: u16) -> SocketAddr {
        SocketAddr::new(self.ip.parse().unwrap(), port)
    }

    pub fn callers(&self) -> SocketAddr {
        self.address(8304)
    }

    fn settings(&self) -> String {
        let Self {
            name,
            ip,
            zone,
            region,
            service,
            memory_mb,
            store,
            ..
        } = self;
        format!(
            "node_name={name}\nrole=node\nnode_class=sidecar\nserves=sidecar\nip={ip}\nzone={zone}\n\
            region={region}\nzones.suva=viti-levu\nzones.lautoka=viti-levu\nzones.labasa=vanua-levu\n\
            zones.savusavu=vanua-levu\nlisten.inbound={ip}:8300\nlisten.outbound={ip}:8304\n\
            listen.ready={ip}:8302\nlisten.control={ip}:8306\nport_range=7620,7635\nseeds=\n\
            bootstrap=true\nlimits.cpu_share=0.2\nlimits.cores=1\nlimits.memory_mb={memory_mb}\n\
            limits.max_fds=4100\nlimits.link_mbps=1000.0\nlimits.disk_mb=0\ndiscovery=static\n\
            entry_mode=static\nheartbeat_s=1.5\n\
            contracts=base,drain,config,cost,retry,recover,rollout,platform\n\
            fault_tolerance.machines=1\nfault_tolerance.zones=0\nfault_tolerance.regions=0\n\
            bounds.seed_lag_s=3\nbounds.reuse_after_s=2\nbounds.stability_window_s=3\nbounds.ack_s=4\n\
            bounds.catch_up_s=4\nbounds.drain_s=2\nbounds.grace_s=6\nbounds.loss_slack_s=0.2\n\
            bounds.config_apply_s=2\nbounds.regression_window_s=0.25\nbounds.outer_s=5\n\
            bounds.retry_budget_ratio=0.2\nbounds.budget_window_s=10\nbounds.retry_budget_slack=62\n\
            bounds.expose_share=0.1\nbounds.expose_slack=50\nbounds.rollback_s=5\nbounds.recover_s=15\n\
            app_addr={ip}:8301\nservice={service}\nplatform_spec.address={store}\n\
            platform_spec.form=kv\nplatform_spec.writes_per_s=400\nplatform_spec.reads_per_s=2000\n\
            platform_spec.history_s=20\nplatform_spec.value_bytes=1048576\nplatform_spec.ttl_min_s=1\n"
        )
    }
}

/// The node's process, which the platform starts again after it has ended.
pub struct Node {
    pub machine: Machine,
    child: Mutex<Child>,
}

impl Node {
    pub fn start(machine: &Machine) -> io::Result<Arc<Self>> {
        let path = machine.folder.join(format!("{}.conf", machine.name));
        fs::write(path, machine.settings())?;
        Ok(Arc::new(Self {
            child: Mutex::new(Self::spawn(machine)?),
            machine: machine.clone(),
        }))
    }

    fn spawn(machine: &Machine) -> io::Result<Child> {
        let log = machine.folder.join(format!("{}.log", machine.name));
        let log = File::options().create(true).append(true).open(log)?;
        Command::new("target/release/fulmarreel-node")
            .args(["platform", "--metrics", "9464"])
            .env_clear()
            .env("PATH", std::env::var_os("PATH").unwrap_or_default())
            .env("HOME", "/tmp")
            .env("FULMARREEL_CONFIG", machine.folder.join(format!("{}.conf", machine.name)))
            .stdin(Stdio::null())
            .stdout(log.try_clone()?)
            .stderr(log)
            .spawn()
    }

    /// The resident memory of the process in bytes.
    pub fn memory(&self) -> Option<u64> {
        let id = self.child.lock().unwrap().id();
        let status = fs::read_to_string(format!("/proc/{id}/status")).ok()?;
        let line = status.lines().find(|line| line.starts_with("VmRSS:"))?;
        let kilobytes: u64 = line.split_whitespace().nth(1)?.parse().ok()?;
        Some(kilobytes * 1_024)
    }

    /// Sends SIGKILL and waits for the end.
    pub fn kill(&self) {
        let mut child = self.child.lock().unwrap();
        let _ = child.kill();
        let _ = child.wait();
    }

    /// Sends SIGTERM.
    pub fn terminate(&self) {
        let id = self.child.lock().unwrap().id();
        let _ = Command::new("kill").args(["-TERM", &id.to_string()]).status();
    }

    pub fn start_again(&self) -> io::Result<()> {
        let mut child = self.child.lock().unwrap();
        *child = Self::spawn(&self.machine)?;
        Ok(())
    }

    /// Whether the process has ended by itself.
    pub fn has_ended(&self) -> bool {
        matches!(self.child.lock().unwrap().try_wait(), Ok(Some(_)))
    }

    pub fn is_ready(&self) -> bool {
        let timeout = Duration::from_secs(1);
        let answer = http::request(self.machine.address(8302), "GET", "/-/ready", &[], &[], timeout);
        answer.is_ok_and(|answer| answer.status() == 200)
    }

    pub fn wait_ready(&self, limit: Duration) -> bool {
        let until = Instant::now() + limit;
        while Instant::now() < until {
            if self.is_ready() {
                return true;
            }
            thread::sleep(Duration::from_millis(50));
        }
        false
    }
}

impl Drop for Node {
    fn drop(&mut self) {
        self.kill();
    }
}

/// How an endpoint treats the requests that it runs.
#[derive(Clone, Copy)]
pub struct Work {
    pub ms: u64,
    /// One in so many runs fails with this status; 0 for none.
    pub one_in_fails: u64,
    pub failure: u16,
}

/// An endpoint: it announces itself to the node on its machine, and runs requests.
pub struct Endpoint {
    pub id: String,
    pub machine: Machine,
    pub version: String,
    slots: u16,
    work: Work,
    sequence: AtomicU64,
    born: u64,
    running: Mutex<HashSet<u64>>,
    pub runs: Mutex<Vec<Run>>,
    is_stopped: AtomicBool,
    connections: Mutex<Vec<TcpStream>>,
    record: Arc<Record>,
}

/// A request that an endpoint began to run, and the status that it gave.
pub struct Run {
    pub id: String,
    pub at: Instant,
    pub status: u16,
}

impl Endpoint {
    pub fn start(
        machine: &Machine,
        version: &str,
        slots: u16,
        work: Work,
        record: &Arc<Record>,
    ) -> io::Result<Arc<Self>> {
        let listener = TcpListener::bind(machine.address(8301))?;
        let endpoint = Arc::new(Self {
            id: format!("i-{:08x}", random(u64::from(u32::MAX))),
            machine: machine.clone(),
            version: version.to_owned(),
            slots,
            work,
            sequence: AtomicU64::new(0),
            born: unix_ms(),
            running: Mutex::default(),
            runs: Mutex::default(),
            is_stopped: AtomicBool::new(false),
            connections: Mutex::default(),
            record: Arc::clone(record),
        });
        let served = Arc::clone(&endpoint);
        thread::spawn(move || {
            for tcp in listener.incoming().flatten() {
                if served.is_stopped.load(Ordering::Relaxed) {
                    return;
                }
                served.connections.lock().unwrap().extend(tcp.try_clone());
                let endpoint = Arc::clone(&served);
                thread::spawn(move || endpoint.serve(tcp));
            }
        });
        let announced = Arc::clone(&endpoint);
        thread::spawn(move || {
            while !announced.is_stopped.load(Ordering::Relaxed) {
                announced.announce();
                thread::sleep(Duration::from_millis(1_500));
            }
        });
        Ok(endpoint)
    }

    /// Ends at once, without a word, as old endpoints do when a roll-out is completed.
    pub fn stop(&self) {
        self.is_stopped.store(true, Ordering::Relaxed);
        let _ = TcpStream::connect(self.machine.address(8301));
        for tcp in self.connections.lock().unwrap().drain(..) {
            let _ = tcp.shutdown(Shutdown::Both);
        }
    }

    /// Says that it ends, and ends.
    pub fn leave(&self) {
        self.is_stopped.store(true, Ordering::Relaxed);
        let path = format!("/-/instances/{}", self.id);
        let to = self.machine.address(8306);
        let _ = http::request(to, "DELETE", &path, &[], &[], Duration::from_secs(1));
        self.stop();
    }

    /// Sends one heartbeat.
    fn announce(&self) {
        let sequence = self.sequence.fetch_add(1, Ordering::Relaxed) + 1;
        let body = format!(
            "{{\"address\":\"{}\",\"born\":{},\"info\":{{\"service\":\"{}\",\"version\":\"{}\",\
            \"zone\":\"{}\",\"slots\":{}}},\"status\":{{\"state\":\"ready\",\"seq_no\":{sequence},\
            \"cold_remaining_s\":0}}}}",
            self.machine.address(8301),
            self.born,
            self.machine.service,
            self.version,
            self.machine.zone,
            self.slots,
        );
        let path = format!("/-/instances/{}", self.id);
        let headers = [("Content-Type", "application/json")];
        let timeout = Duration::from_secs(1);
        let to = self.machine.address(8306);
        let answer = http::request(to, "PUT", &path, &headers, body.as_bytes(), timeout);
        if let Err(error) = answer {
            self.record.line(&format!("heartbeat of {} failed: {error}", self.id));
        }
    }

    fn serve(&self, tcp: TcpStream) {
        let _ = tcp.set_nodelay(true);
        let Ok(mut out) = tcp.try_clone() else { return };
        let mut reader = Reader::new(tcp);
        while let Ok(request) = reader.read() {
            if self.answer(&request, &mut out).is_err() {
                return;
            }
        }
    }

    fn load(&self) -> String {
        format!("{},0,{}", self.running.lock().unwrap().len(), self.slots)
    }

    fn answer(&self, request: &Message, out: &mut TcpStream) -> io::Result<()> {
        if request.path() == "/health" {
            return respond(out, 200, &[("X-Instance-Id", &self.id)], &[]);
        }
        let id = request.header("x-request-id").unwrap_or("").to_owned();
        if request.header("x-expect-instance").is_some_and(|expected| expected != self.id) {
            self.record.line(&format!("endpoint {} answers 421 to {id}", self.id));
            return respond(out, 421, &[("X-Request-Id", &id), ("X-Not-Executed", "1")], &[]);
        }
        let number = unique();
        {
            let mut running = self.running.lock().unwrap();
            if running.len() >= usize::from(self.slots) * 2 {
                drop(running);
                let headers = [("X-Request-Id", id.as_str()), ("X-Not-Executed", "1")];
                return respond(out, 503, &headers, &[]);
            }
            running.insert(number);
        }
        let (ms, one_in) = (self.work.ms / 2 + random(self.work.ms), self.work.one_in_fails);
        let fails = one_in > 0 && random(one_in) == 0;
        let status = if fails { self.work.failure } else { 200 };
        let run = Run {
            id: id.clone(),
            at: Instant::now(),
            status,
        };
        self.runs.lock().unwrap().push(run);
        self.record.line(&format!(
            "endpoint {} ({} {}) runs {id}: {status}, {} bytes",
            self.id,
            self.machine.service,
            self.version,
            request.body.len()
        ));
        thread::sleep(Duration::from_millis(ms));
        self.running.lock().unwrap().remove(&number);
        let seal = format!("{}.{id}", self.id);
        let load = self.load();
        let headers = [
            ("X-Request-Id", id.as_str()),
            ("X-Server-Seal", seal.as_str()),
            ("X-Server-Load", load.as_str()),
        ];
        respond(out, status, &headers, format!("run of {id}").as_bytes())
    }
}
