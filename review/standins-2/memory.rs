//! A client sends bodies within the configured `max_body_bytes` to two machines. The platform kills a
//! process that exceeds `memory_mb`, and starts it again.

use crate::{
    fleet::{Endpoint, Machine, Node, Record, Work, free_block, unique},
    http,
    store::Store,
};
use std::{
    io,
    path::PathBuf,
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, AtomicU64, Ordering},
    },
    thread,
    time::{Duration, Instant},
};

/// `memory_mb` of the machines in sites/tavua-reel.toml.
const MEMORY_MB: u64 = 110;

/// `max_body_bytes` as `fleetbench wire` shows it for that site.
const MAX_BODY_BYTES: usize = 67_108_864;

/// The body of the disturbing request: within that limit.
const LARGE_BODY_BYTES: usize = 48 << 20;

/// The body that it has without the disturbance.
const SMALL_BODY_BYTES: usize = 300;

const ROUNDS: u64 = 3;

/// How often the platform looks at the memory of a process.
const MEMORY_INTERVAL: Duration = Duration::from_millis(2);

/// After how long the platform starts an ended process again.
const RESTART_DELAY: Duration = Duration::from_millis(500);

struct Watched {
    node: Arc<Node>,
    memory_ends: AtomicU64,
    other_ends: AtomicU64,
    peak: AtomicU64,
}

fn configuration() -> String {
    let route = |name: &str, prefix: &str, service: &str, kind: &str| {
        format!(
            "{{\"name\":\"{name}\",\"host\":\"tavua.example\",\"prefix\":\"{prefix}\",\
            \"route_kind\":\"{kind}\",\"timeout_s\":4.0,\"target_latency_s\":0.8,\"priority\":1,\
            \"service\":\"{service}\",\"max_attempts\":2}}"
        )
    };
    format!(
        "{{\"version\":7,\"routes\":[{},{}],\"services\":[\
        {{\"name\":\"reminders\",\"health_path\":\"/health\",\"max_connections\":130}},\
        {{\"name\":\"bookings\",\"health_path\":\"/health\",\"max_connections\":130}}],\
        \"limits\":{{\"max_header_bytes\":16384,\"max_body_bytes\":{MAX_BODY_BYTES},\
        \"header_timeout_s\":3,\"idle_timeout_s\":15}}}}",
        route("due-lookup", "/due/", "reminders", "safe"),
        route("book-visit", "/book/", "bookings", "unsafe"),
    )
}

/// Sends one booking; returns what came of it.
fn book(machine: &Machine, id: &str, bytes: usize, record: &Record) -> Result<u16, String> {
    let body = vec![b'b'; bytes];
    let headers = [
        ("Host", "tavua.example"),
        ("X-Request-Id", id),
        ("X-Deadline-Ms", "4000"),
    ];
    record.line(&format!("client sends {id} to {}, {bytes} bytes", machine.name));
    let timeout = Duration::from_millis(4_300);
    let answer = http::request(machine.callers(), "POST", "/book/visit", &headers, &body, timeout);
    let result = answer.map(|answer| answer.status()).map_err(|error| format!("{:?}", error.kind()));
    record.line(&format!("client of {id}: {result:?}"));
    result
}

pub fn run(record: &Arc<Record>, folder: PathBuf, is_disturbed: bool) -> io::Result<i32> {
    let block = free_block()?;
    let store = Store::start(&format!("{block}.9"))?;
    store.put("op/config", &configuration());
    let places = [
        ("suva", "viti-levu", "reminders"),
        ("suva", "viti-levu", "bookings"),
        ("lautoka", "viti-levu", "reminders"),
        ("lautoka", "viti-levu", "bookings"),
    ];
    let machines: Vec<Machine> = places
        .iter()
        .enumerate()
        .map(|(index, (zone, region, service))| Machine {
            name: format!("sidecar-{zone}-{}", index + 1),
            ip: format!("{block}.{}", index + 1),
            zone: (*zone).to_owned(),
            region: (*region).to_owned(),
            service: (*service).to_owned(),
            memory_mb: MEMORY_MB,
            store: store.address,
            folder: folder.clone(),
        })
        .collect();
    let mut watched = Vec::new();
    for machine in &machines {
        watched.push(Arc::new(Watched {
            node: Node::start(machine)?,
            memory_ends: AtomicU64::new(0),
            other_ends: AtomicU64::new(0),
            peak: AtomicU64::new(0),
        }));
    }
    let work = Work {
        ms: 290,
        one_in_fails: 0,
    };
    for machine in &machines {
        Endpoint::start(machine, "v1", 18, work, record)?;
    }
    if !watched.iter().all(|watched| watched.node.wait_ready(Duration::from_secs(20))) {
        record.say("a node did not become ready");
        watched.iter().for_each(|watched| watched.node.kill());
        return Ok(2);
    }
    let is_over = Arc::new(AtomicBool::new(false));
    for watched in &watched {
        let (watched, is_over, record) = (Arc::clone(watched), Arc::clone(&is_over), Arc::clone(record));
        thread::spawn(move || watch_memory(&watched, &is_over, &record));
    }
    // The endpoints' heartbeats reach all nodes.
    thread::sleep(Duration::from_secs(4));

    // Ordinary bookings go on at all machines.
    let cut = Arc::new(Mutex::new(0));
    for machine in &machines {
        let (machine, is_over) = (machine.clone(), Arc::clone(&is_over));
        let (record, cut) = (Arc::clone(record), Arc::clone(&cut));
        thread::spawn(move || {
            while !is_over.load(Ordering::Relaxed) {
                let (machine, record, cut) = (machine.clone(), Arc::clone(&record), Arc::clone(&cut));
                thread::spawn(move || {
                    let id = format!("b-{:016x}", unique());
                    let result = book(&machine, &id, SMALL_BODY_BYTES, &record);
                    if result.is_err_and(|error| error.contains("UnexpectedEof") || error.contains("Reset")) {
                        *cut.lock().unwrap() += 1;
                    }
                });
                thread::sleep(Duration::from_millis(200));
            }
        });
    }
    thread::sleep(Duration::from_secs(1));
    let bytes = if is_disturbed { LARGE_BODY_BYTES } else { SMALL_BODY_BYTES };
    let mut answers = Vec::new();
    for _ in 0..ROUNDS {
        for index in [1, 3] {
            let id = format!("large-{:016x}", unique());
            answers.push(book(&machines[index], &id, bytes, record));
            thread::sleep(Duration::from_secs(1));
            watched[index].node.wait_ready(Duration::from_secs(10));
        }
        thread::sleep(Duration::from_secs(3));
    }
    is_over.store(true, Ordering::Relaxed);
    thread::sleep(Duration::from_secs(5));
    watched.iter().for_each(|watched| watched.node.kill());

    let mut machines_with_three = 0;
    for watched in &watched {
        let memory_ends = watched.memory_ends.load(Ordering::Relaxed);
        let other_ends = watched.other_ends.load(Ordering::Relaxed);
        record.say(&format!(
            "{}: over {MEMORY_MB} MB and killed {memory_ends} times, ended otherwise {other_ends} times, \
            peak {} MB",
            watched.node.machine.name,
            watched.peak.load(Ordering::Relaxed) >> 20,
        ));
        if memory_ends + other_ends >= 3 {
            machines_with_three += 1;
        }
    }
    record.say(&format!(
        "bodies of {bytes} bytes (limit {MAX_BODY_BYTES}): {answers:?}; ordinary bookings cut without an answer: {}",
        cut.lock().unwrap()
    ));
    // A tenth of the machines in use, two at least.
    if machines_with_three >= 2 {
        record.say("rule Fault broken");
        return Ok(1);
    }
    record.say("rule Fault held");
    Ok(0)
}

/// What the platform does: it kills a process over `memory_mb`, and starts ended ones again.
fn watch_memory(watched: &Watched, is_over: &AtomicBool, record: &Record) {
    let name = &watched.node.machine.name;
    while !is_over.load(Ordering::Relaxed) {
        thread::sleep(MEMORY_INTERVAL);
        let ended = watched.node.has_ended();
        let memory = watched.node.memory().unwrap_or(0);
        watched.peak.fetch_max(memory, Ordering::Relaxed);
        let is_too_large = memory > MEMORY_MB << 20;
        if !ended && !is_too_large {
            continue;
        }
        if is_too_large {
            watched.node.kill();
            watched.memory_ends.fetch_add(1, Ordering::Relaxed);
            record.line(&format!("platform kills {name}: {} MB", memory >> 20));
        } else {
            watched.other_ends.fetch_add(1, Ordering::Relaxed);
            record.line(&format!("{name} has ended"));
        }
        let until = Instant::now() + RESTART_DELAY;
        thread::sleep(until.saturating_duration_since(Instant::now()));
        if let Err(error) = watched.node.start_again() {
            record.line(&format!("{name} not started again: {error}"));
        }
    }
}
