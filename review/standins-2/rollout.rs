//! A new version of `bookings` is brought in that answers half of its requests with 404, the status of a
//! route that it has lost.

use crate::{
    fleet::{Endpoint, Machine, Node, Record, Work, free_block, unique},
    http,
    store::Store,
};
use std::{
    io,
    path::PathBuf,
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
    thread,
    time::{Duration, Instant},
};

/// `expose_share`, `expose_slack` and `rollback_s` of sites/tavua-reel.toml.
const EXPOSE_SHARE: f64 = 0.1;
const EXPOSE_SLACK: f64 = 50.0;
const ROLLBACK: Duration = Duration::from_secs(5);

/// `duration_s` of the order, `for_s` of `rollout_bad` in that file.
const DURATION: Duration = Duration::from_secs(16);

/// One in so many answers of the bad version is a failure; `share` 0.5 in that file.
const ONE_IN_FAILS: u64 = 2;

/// Clients, each of which sends a booking every [`CLIENT_INTERVAL`].
const CLIENTS: usize = 24;
const CLIENT_INTERVAL: Duration = Duration::from_millis(400);

/// How long clients go on after the order.
const OBSERVED: Duration = Duration::from_secs(24);

/// After how long the endpoints of a version that was taken back end: "some seconds later".
const DRAIN_DELAY: Duration = Duration::from_secs(3);

const STATUS_KEY: &str = "status/rollout/bookings";

fn configuration() -> String {
    "{\"version\":7,\"routes\":[{\"name\":\"book-visit\",\"host\":\"tavua.example\",\
    \"prefix\":\"/book/\",\"route_kind\":\"unsafe\",\"timeout_s\":2.0,\"target_latency_s\":0.8,\
    \"priority\":1,\"service\":\"bookings\",\"max_attempts\":2}],\"services\":[\
    {\"name\":\"bookings\",\"health_path\":\"/health\",\"max_connections\":130}],\
    \"limits\":{\"max_header_bytes\":16384,\"max_body_bytes\":67108864,\
    \"header_timeout_s\":3,\"idle_timeout_s\":15}}"
        .to_owned()
}

fn book(machine: &Machine, record: &Record) {
    let id = format!("b-{:016x}", unique());
    let headers = [
        ("Host", "tavua.example"),
        ("X-Request-Id", id.as_str()),
        ("X-Deadline-Ms", "2000"),
    ];
    record.line(&format!("client sends {id} to {}", machine.name));
    let timeout = Duration::from_millis(2_300);
    let body = [b'b'; 300];
    let answer = http::request(machine.callers(), "POST", "/book/visit", &headers, &body, timeout);
    let result = answer.map(|answer| answer.status()).map_err(|error| error.kind());
    record.line(&format!("client of {id}: {result:?}"));
}

pub fn run(record: &Arc<Record>, folder: PathBuf, failure: Option<u16>) -> io::Result<i32> {
    let block = free_block()?;
    let store = Store::start(&format!("{block}.9"))?;
    store.put("op/config", &configuration());
    let zones = ["suva", "lautoka"];
    let machines: Vec<Machine> = (0..6)
        .map(|index| Machine {
            name: format!("sidecar-{}-{}", zones[index % 2], index + 1),
            ip: format!("{block}.{}", index + 1),
            zone: zones[index % 2].to_owned(),
            region: "viti-levu".to_owned(),
            service: "bookings".to_owned(),
            memory_mb: 110,
            store: store.address,
            folder: folder.clone(),
        })
        .collect();
    let (old_machines, new_machines) = machines.split_at(3);
    let mut nodes = Vec::new();
    for machine in &machines {
        nodes.push(Node::start(machine)?);
    }
    let good = Work {
        ms: 290,
        one_in_fails: 0,
        failure: 200,
    };
    let new_work = Work {
        one_in_fails: if failure.is_some() { ONE_IN_FAILS } else { 0 },
        failure: failure.unwrap_or(200),
        ..good
    };
    let mut old = Vec::new();
    for machine in old_machines {
        old.push(Endpoint::start(machine, "v1", 18, good, record)?);
    }
    if !nodes.iter().all(|node| node.wait_ready(Duration::from_secs(20))) {
        record.say("a node did not become ready");
        nodes.iter().for_each(|node| node.kill());
        return Ok(2);
    }
    thread::sleep(Duration::from_secs(4));
    let is_over = Arc::new(AtomicBool::new(false));
    for client in 0..CLIENTS {
        // Clients call the machines beside which the old endpoints run.
        let machine = old_machines[client % old_machines.len()].clone();
        let (record, is_over) = (Arc::clone(record), Arc::clone(&is_over));
        thread::spawn(move || {
            thread::sleep(CLIENT_INTERVAL / CLIENTS as u32 * client as u32);
            while !is_over.load(Ordering::Relaxed) {
                let (machine, record) = (machine.clone(), Arc::clone(&record));
                thread::spawn(move || book(&machine, &record));
                thread::sleep(CLIENT_INTERVAL);
            }
        });
    }
    thread::sleep(Duration::from_secs(5));

    let ordered = Instant::now();
    record.say("the operator orders v2");
    let seconds = DURATION.as_secs();
    store.put(
        "op/rollout/bookings",
        &format!("{{\"service\":\"bookings\",\"target_version\":\"v2\",\"duration_s\":{seconds}}}"),
    );
    let mut new = Vec::new();
    for machine in new_machines {
        new.push(Endpoint::start(machine, "v2", 18, new_work, record)?);
    }
    let mut state = String::new();
    let mut stop_new_at = None;
    while ordered.elapsed() < OBSERVED {
        thread::sleep(Duration::from_millis(20));
        let text = store.text(STATUS_KEY);
        if text != state {
            record.say(&format!("{:.1} s after the order: {text}", ordered.elapsed().as_secs_f64()));
            if text.contains("completed") {
                old.iter().for_each(|endpoint| endpoint.stop());
            }
            if text.contains("rolled_back") {
                stop_new_at = Some(Instant::now() + DRAIN_DELAY);
            }
            state = text;
        }
        if stop_new_at.is_some_and(|at| Instant::now() >= at) {
            new.iter().for_each(|endpoint| endpoint.stop());
            stop_new_at = None;
        }
    }
    is_over.store(true, Ordering::Relaxed);
    thread::sleep(Duration::from_secs(3));
    nodes.iter().for_each(|node| node.kill());
    Ok(judge(record, &old, &new, ordered))
}

/// The rule EXPOSURE, by what the endpoints saw.
fn judge(record: &Record, old: &[Arc<Endpoint>], new: &[Arc<Endpoint>], ordered: Instant) -> i32 {
    let runs = |endpoints: &[Arc<Endpoint>]| {
        let mut runs = Vec::new();
        for endpoint in endpoints {
            runs.extend(endpoint.runs.lock().unwrap().iter().map(|run| (run.at, run.status)));
        }
        runs.sort();
        runs
    };
    let (old, new) = (runs(old), runs(new));
    let counted = |runs: &[(Instant, u16)]| {
        let in_time = runs.iter().filter(|run| run.0 >= ordered && run.0 < ordered + DURATION);
        in_time.count() as f64
    };
    let total = counted(&old) + counted(&new);
    let allowed = EXPOSE_SHARE * total + EXPOSE_SLACK;
    let bad: Vec<Instant> = new.iter().filter(|run| run.1 != 200).map(|run| run.0).collect();
    let late = bad.get(49).map_or(0, |fiftieth| {
        // A request is sent up to its deadline of 2 s before it runs.
        let limit = *fiftieth + ROLLBACK + Duration::from_secs(2);
        new.iter().filter(|run| run.0 > limit).count()
    });
    record.say(&format!(
        "v2 got {} of {total} requests from the order to its deadline, {allowed:.0} allowed; {} bad answers; \
        {late} requests later than {} s after the 50th bad answer",
        counted(&new),
        bad.len(),
        ROLLBACK.as_secs(),
    ));
    if bad.is_empty() {
        record.say("v2 is not bad: rule EXPOSURE does not bind");
        return 0;
    }
    if counted(&new) > allowed || late > 0 {
        record.say("rule EXPOSURE broken");
        return 1;
    }
    record.say("rule EXPOSURE held");
    0
}
