//! Endpoints that leave, beside nodes whose processes are killed and started again.

use crate::{
    machine::{self, Machine},
    run::{Load, Run, sleep_until, sound, wait_served},
};
use std::{io, sync::atomic::Ordering, thread, time::Duration};

/// `drain_s` of the settings.
const DRAIN: Duration = Duration::from_secs(2);

/// `stability_window_s` of the settings.
const STABILITY_WINDOW: Duration = Duration::from_secs(3);

/// The time after a kill until the platform starts the process again.
const RESTART_DELAY: Duration = Duration::from_millis(500);

/// How long an endpoint still serves after the acknowledgement of its leaving.
const SERVES_ON: Duration = Duration::from_secs(9);

/// How late the last heartbeat before the leaving arrives.
const HEARTBEAT_DELAY: Duration = Duration::from_millis(5_000);

/// The time that endpoints work on a request.
const WORK: Duration = Duration::from_millis(290);

/// The clients' requests: lookups, which may be repeated, and bookings, which may not.
const REQUESTS: [(&str, &str); 2] = [("GET", "/alpha/x"), ("POST", "/book/x")];

/// Two endpoints of a service, one of which leaves, and a machine whose clients call the service.
struct Deployment {
    leaver: Machine,
    _other: Machine,
    _caller: Machine,
    load: Load,
}

fn start(run: &mut Run) -> io::Result<Deployment> {
    let routes = [
        ("r-alpha", "/alpha/", "safe", "alpha", 1.5),
        ("r-book", "/book/", "unsafe", "alpha", 1.5),
    ];
    run.configure(&routes, &["alpha", "beta"]);
    let leaver = run.machine("alpha", "v1", sound(WORK))?;
    let other = run.machine("alpha", "v1", sound(WORK))?;
    let caller = run.machine("beta", "v1", sound(WORK))?;
    for machine in [&leaver, &other, &caller] {
        machine.wait_ready()?;
    }
    wait_served(run, caller.outbound, "/alpha/x", &[&leaver, &other])?;
    let load = Load::start(&run.record, caller.outbound, &REQUESTS, 20);
    thread::sleep(Duration::from_secs(4));
    Ok(Deployment {
        leaver,
        _other: other,
        _caller: caller,
        load,
    })
}

/// Counts the requests that reach the endpoint later than `drain_s` after the acknowledgement, and sent
/// on when the machine's process has run for `stability_window_s`.
fn check(
    run: &Run,
    deployment: Deployment,
    acknowledged: Duration,
    restarted: Option<Duration>,
) -> bool {
    let Deployment { leaver, load, .. } = deployment;
    sleep_until(&run.record, acknowledged + SERVES_ON);
    leaver.endpoint.end();
    run.record.say(&format!("{} exits", leaver.endpoint.id));
    let answers = load.stop();
    let from = restarted.map_or(Duration::ZERO, |at| at + STABILITY_WINDOW);
    let from = from.max(acknowledged + DRAIN);
    let runs = leaver.endpoint.runs();
    let late: Vec<_> = runs.iter().filter(|run| run.at > from).collect();
    run.record.say(&format!(
        "{} requests ran at {} after {:.3} s; its leaving was acknowledged at {:.3} s",
        late.len(),
        leaver.endpoint.id,
        from.as_secs_f64(),
        acknowledged.as_secs_f64()
    ));
    if let (Some(first), Some(last)) = (late.first(), late.last()) {
        let (from, to) = (first.at.as_secs_f64(), last.at.as_secs_f64());
        run.record.say(&format!(
            "first {} at {from:.3} s, last {} at {to:.3} s",
            first.id, last.id
        ));
    }
    let answers = answers.lock().expect("answers lock");
    let is_lost = |run: &&&machine::Run| answers.get(&run.id) != Some(&200);
    let lost = late.iter().filter(is_lost).count();
    run.record.say(&format!(
        "{lost} of them have no answer of the endpoint, as it exited"
    ));
    late.is_empty()
}

/// An endpoint that never reports `draining` sends `DELETE`, which its node acknowledges. The node is
/// killed. An earlier heartbeat arrives late, at the new process.
pub fn late_heartbeat(run: &mut Run) -> io::Result<bool> {
    let mut deployment = start(run)?;
    let endpoint = deployment.leaver.endpoint.clone();
    endpoint.quiet.store(true, Ordering::Release);
    let heartbeat = endpoint.heartbeat_body("ready");
    run.record
        .say(&format!("heartbeat sent, on its way: {heartbeat}"));
    let sent = run.record.now();
    thread::sleep(Duration::from_millis(100));
    endpoint.leaving.store(true, Ordering::Release);
    if !endpoint.say_gone() {
        return Err(io::Error::other("the leaving was not acknowledged"));
    }
    let acknowledged = run.record.now();
    run.record
        .say(&format!("DELETE of {} acknowledged", endpoint.id));
    let mut restarted = None;
    if run.trouble {
        thread::sleep(Duration::from_millis(300));
        deployment.leaver.kill();
        thread::sleep(RESTART_DELAY);
        deployment.leaver.restart()?;
        restarted = Some(run.record.now());
    }
    sleep_until(&run.record, sent + HEARTBEAT_DELAY);
    let is_acknowledged = endpoint.deliver(&heartbeat);
    run.record.say(&format!(
        "the late heartbeat arrives, acknowledged: {is_acknowledged}"
    ));
    Ok(check(run, deployment, acknowledged, restarted))
}

/// The node is killed and started again, and takes the endpoint up from its entry in the store. The
/// endpoint, which never reports `draining`, sends `DELETE`, which the new process acknowledges. A
/// heartbeat from before the leaving arrives late.
pub fn resumed_target(run: &mut Run) -> io::Result<bool> {
    let mut deployment = start(run)?;
    let endpoint = deployment.leaver.endpoint.clone();
    endpoint.quiet.store(true, Ordering::Release);
    let mut restarted = None;
    if run.trouble {
        deployment.leaver.kill();
        thread::sleep(RESTART_DELAY);
        deployment.leaver.restart()?;
        restarted = Some(run.record.now());
    }
    thread::sleep(Duration::from_millis(800));
    let heartbeat = endpoint.heartbeat_body("ready");
    run.record
        .say(&format!("heartbeat sent, on its way: {heartbeat}"));
    let sent = run.record.now();
    thread::sleep(Duration::from_millis(200));
    endpoint.leaving.store(true, Ordering::Release);
    if !endpoint.say_gone() {
        return Err(io::Error::other("the leaving was not acknowledged"));
    }
    let acknowledged = run.record.now();
    run.record
        .say(&format!("DELETE of {} acknowledged", endpoint.id));
    sleep_until(&run.record, sent + HEARTBEAT_DELAY);
    let is_acknowledged = endpoint.deliver(&heartbeat);
    run.record.say(&format!(
        "the late heartbeat arrives, acknowledged: {is_acknowledged}"
    ));
    Ok(check(run, deployment, acknowledged, restarted))
}
