//! What all cases share: the deployment of a run, its clients and its result.

use crate::{
    http::{Message, Request},
    machine::{Behaviour, Machine, Network, Reply, Spec},
    record::Record,
    store::Store,
};
use std::{
    collections::HashMap,
    io,
    net::SocketAddr,
    path::{Path, PathBuf},
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, AtomicU64, Ordering},
    },
    thread::{self, JoinHandle},
    time::{Duration, Instant},
};

/// The host of all routes.
pub const HOST: &str = "jepu9.example";

static NEXT_ID: AtomicU64 = AtomicU64::new(1);

/// A run of a case.
pub struct Run {
    pub record: Arc<Record>,
    pub store: Store,
    pub network: Network,
    /// A temporary folder with settings and logs of the nodes.
    folder: PathBuf,
    /// Whether the disruption takes place.
    pub trouble: bool,
    next_host: u8,
}

impl Run {
    /// Prepares a run that writes its record to a folder.
    pub fn new(case: &Path) -> io::Result<Self> {
        let network = Network::find()?;
        let folder = std::env::temp_dir().join(format!("fulmarreel-review-{}", std::process::id()));
        std::fs::create_dir_all(&folder)?;
        let trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
        let record = Arc::new(Record::create(&case.join("record.txt"))?);
        record.say(if trouble {
            "with the disruption"
        } else {
            "without the disruption"
        });
        let store = Store::start(network.store())?;
        Ok(Self {
            record,
            store,
            network,
            folder,
            trouble,
            next_host: 10,
        })
    }

    /// Starts a machine.
    pub fn machine(
        &mut self,
        service: &str,
        version: &str,
        behaviour: Behaviour,
    ) -> io::Result<Machine> {
        let host = self.next_host;
        self.next_host += 1;
        let spec = Spec {
            host,
            zone: "suva",
            service,
            version,
            behaviour,
        };
        Machine::start(self.network, &self.folder, &self.record, &spec)
    }

    /// Writes a configuration with these routes (name, prefix, kind, service, timeout in seconds).
    pub fn configure(&self, routes: &[(&str, &str, &str, &str, f64)], services: &[&str]) {
        let routes = routes.iter().map(|(name, prefix, kind, service, timeout)| {
            format!(
                "{{\"name\":\"{name}\",\"host\":\"{HOST}\",\"prefix\":\"{prefix}\",\"route_kind\":\"{kind}\",\
                \"timeout_s\":{timeout},\"target_latency_s\":0.6,\"priority\":2,\"service\":\"{service}\",\
                \"max_attempts\":2}}"
            )
        });
        let services = services.iter().map(|name| {
            format!(
                "{{\"name\":\"{name}\",\"health_path\":\"/health\",\"max_connections\":130,\
                \"protocol\":\"h1\",\"tls\":false}}"
            )
        });
        let routes = routes.collect::<Vec<_>>().join(",");
        let services = services.collect::<Vec<_>>().join(",");
        let config = format!(
            "{{\"version\":7,\"routes\":[{routes}],\"services\":[{services}],\"limits\":{{\
            \"max_header_bytes\":16384,\"max_body_bytes\":67108864,\"header_timeout_s\":3,\
            \"idle_timeout_s\":15}},\"base_version\":5}}"
        );
        self.store.put("op/config", &config);
    }
}

impl Drop for Run {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.folder);
    }
}

/// An endpoint that works for some time and answers 200.
pub fn sound(work: Duration) -> Behaviour {
    Arc::new(move |request| Reply {
        status: 200,
        work,
        body: format!("body of {}", request.word(1)).into_bytes(),
    })
}

/// A new request id.
pub fn new_id(prefix: &str) -> String {
    format!("{prefix}{:06}", NEXT_ID.fetch_add(1, Ordering::Relaxed))
}

/// Sends one request of a client on a new connection; records it and its answer.
pub fn request(
    record: &Record,
    to: SocketAddr,
    method: &str,
    path: &str,
    id: &str,
    deadline_ms: u64,
    body: &[u8],
) -> io::Result<Message> {
    let headers = vec![
        ("X-Request-Id", id.to_owned()),
        ("X-Deadline-Ms", deadline_ms.to_string()),
    ];
    let request = Request {
        method,
        path,
        host: HOST,
        headers,
        body,
    };
    record.line(&format!(
        "sent {id} {method} {path} ({} bytes) to {to}",
        body.len()
    ));
    let answer = request.send(to, Duration::from_millis(deadline_ms + 1_000));
    match &answer {
        Ok(answer) => record.line(&format!(
            "answer {id} {} seal={:?} ({} bytes)",
            answer.status(),
            answer.header("x-server-seal"),
            answer.body.len()
        )),
        Err(error) => record.line(&format!("no answer {id}: {error}")),
    }
    answer
}

/// Clients that send requests at a steady rate until stopped.
pub struct Load {
    stop: Arc<AtomicBool>,
    thread: Option<JoinHandle<()>>,
    answers: Answers,
}

/// The statuses of answers, by the ids of their requests; 0 for a connection that ended without one.
pub type Answers = Arc<Mutex<HashMap<String, u16>>>;

impl Load {
    /// Starts to send one of the requests (method and path) in turn, `per_second` together.
    pub fn start(
        record: &Arc<Record>,
        to: SocketAddr,
        requests: &'static [(&str, &str)],
        per_second: u32,
    ) -> Self {
        let (stop, answers) = (Arc::new(AtomicBool::new(false)), Answers::default());
        let (stopped, record, collected) =
            (Arc::clone(&stop), Arc::clone(record), Arc::clone(&answers));
        let thread = thread::spawn(move || {
            let mut next = Instant::now();
            for (method, path) in requests.iter().cycle() {
                if stopped.load(Ordering::Acquire) {
                    return;
                }
                let (record, collected) = (Arc::clone(&record), Arc::clone(&collected));
                thread::spawn(move || {
                    let id = new_id("q");
                    let answer = request(&record, to, method, path, &id, 1_500, &[]);
                    let status = answer.map_or(0, |answer| answer.status());
                    collected.lock().expect("answers lock").insert(id, status);
                });
                next += Duration::from_secs(1) / per_second;
                thread::sleep(next.saturating_duration_since(Instant::now()));
            }
        });
        Self {
            stop,
            thread: Some(thread),
            answers,
        }
    }

    /// Stops sending; returns all answers.
    pub fn stop(mut self) -> Answers {
        self.stop.store(true, Ordering::Release);
        if let Some(thread) = self.thread.take() {
            let _ = thread.join();
        }
        thread::sleep(Duration::from_millis(2_600));
        self.answers
    }
}

/// Waits until requests to a path reach each of the machines' endpoints.
pub fn wait_served(run: &Run, to: SocketAddr, path: &str, machines: &[&Machine]) -> io::Result<()> {
    let until = Instant::now() + Duration::from_secs(20);
    while Instant::now() < until {
        let _ = request(&run.record, to, "GET", path, &new_id("w"), 1_500, &[]);
        if machines
            .iter()
            .all(|machine| !machine.endpoint.runs().is_empty())
        {
            return Ok(());
        }
        thread::sleep(Duration::from_millis(20));
    }
    Err(io::Error::other("not all endpoints are served"))
}

/// Sleeps until a time of the record.
pub fn sleep_until(record: &Record, at: Duration) {
    thread::sleep(at.saturating_sub(record.now()));
}
