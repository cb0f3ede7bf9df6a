//! Long request bodies, statuses of endpoints, and stops while an answer is delivered.

use crate::{
    http::{Message, Request, read_head, read_message},
    machine::{MEMORY_MB, Machine, Reply},
    run::{HOST, Run, new_id, request, sleep_until, sound, wait_served},
};
use std::{
    io::{self, BufReader, Read, Write},
    net::TcpStream,
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, AtomicU64, Ordering},
    },
    thread,
    time::Duration,
};

/// The length of a long body, within `max_body_bytes` (64 MiB) of the configuration.
const LONG_BODY: usize = 64_000_000;

/// The length of a usual body.
const USUAL_BODY: usize = 7_200;

/// The time that an endpoint works on most requests.
const QUICK_WORK: Duration = Duration::from_millis(20);

/// The time that an endpoint works on a slow request.
const SLOW_WORK: Duration = Duration::from_millis(2_500);

/// The clients that keep a connection while the long body is sent.
const KEPT_CONNECTIONS: usize = 8;

/// More requests than this on kept connections may not be left without an answer.
const MAX_UNANSWERED: usize = 3;

/// Sends a request on a kept connection and reads its answer.
fn exchange(run: &Run, tcp: &mut BufReader<TcpStream>, path: &str, id: &str) -> io::Result<u16> {
    let headers = vec![
        ("X-Request-Id", id.to_owned()),
        ("X-Deadline-Ms", "4000".to_owned()),
    ];
    let request = Request {
        method: "POST",
        path,
        host: HOST,
        headers,
        body: &[b'b'; USUAL_BODY],
    };
    run.record
        .line(&format!("sent {id} POST {path} on a kept connection"));
    tcp.get_mut().write_all(&request.encode())?;
    let answer = read_message(tcp)?.ok_or(io::ErrorKind::UnexpectedEof)?;
    run.record.line(&format!("answer {id} {}", answer.status()));
    Ok(answer.status())
}

/// While clients' requests run at the endpoint of their machine, another client sends one whose body is
/// as long as the configuration's limits allow. The platform kills a process that exceeds `memory_mb`.
pub fn long_body(run: &mut Run) -> io::Result<bool> {
    run.configure(
        &[("r-alpha", "/alpha/", "unsafe", "alpha", 4.0)],
        &["alpha", "beta"],
    );
    let behaviour = |request: &Message| {
        let work = if request.word(1).ends_with("slow") {
            SLOW_WORK
        } else {
            QUICK_WORK
        };
        Reply {
            status: 200,
            work,
            body: b"booked".to_vec(),
        }
    };
    let machine = run.machine("alpha", "v1", Arc::new(behaviour))?;
    let other = run.machine("beta", "v1", sound(QUICK_WORK))?;
    machine.wait_ready()?;
    other.wait_ready()?;
    wait_served(run, machine.outbound, "/alpha/x", &[&machine])?;
    let outbound = machine.outbound;
    thread::sleep(Duration::from_secs(3));
    let machine = Mutex::new(machine);
    let (peak, is_over) = (AtomicU64::new(0), AtomicBool::new(false));
    let run = &*run;
    let mut unanswered = 0;
    thread::scope(|scope| -> io::Result<()> {
        scope.spawn(|| {
            while !is_over.load(Ordering::Acquire) {
                enforce_memory_limit(run, &mut machine.lock().expect("machine lock"), &peak);
                thread::sleep(Duration::from_millis(1));
            }
        });
        let mut clients = Vec::new();
        for _ in 0..KEPT_CONNECTIONS {
            clients.push(scope.spawn(move || -> io::Result<bool> {
                let mut tcp = BufReader::new(TcpStream::connect(outbound)?);
                exchange(run, &mut tcp, "/alpha/quick", &new_id("k"))?;
                let id = new_id("k");
                let result = exchange(run, &mut tcp, "/alpha/slow", &id);
                if let Err(error) = &result {
                    run.record.say(&format!(
                        "{id}: the connection ended without an answer: {error}"
                    ));
                }
                Ok(result.is_ok())
            }));
        }
        thread::sleep(Duration::from_millis(700));
        let length = if run.trouble { LONG_BODY } else { USUAL_BODY };
        let body = vec![b'b'; length];
        let answer = request(
            &run.record,
            outbound,
            "POST",
            "/alpha/quick",
            &new_id("u"),
            4_000,
            &body,
        );
        let answer = answer.map(|answer| answer.status());
        run.record.say(&format!(
            "the request with a body of {length} bytes: {answer:?}"
        ));
        for client in clients {
            unanswered += usize::from(!client.join().expect("client thread")?);
        }
        is_over.store(true, Ordering::Release);
        Ok(())
    })?;
    let runs = machine.lock().expect("machine lock").endpoint.runs().len();
    run.record.say(&format!(
        "{unanswered} of {KEPT_CONNECTIONS} kept connections ended without an answer; the node's peak was {} MB \
        of {MEMORY_MB} MB; {runs} requests ran",
        peak.load(Ordering::Relaxed)
    ));
    Ok(unanswered <= MAX_UNANSWERED)
}

/// Kills a machine's node if it exceeds its memory limit, and starts it again, as the platform does.
fn enforce_memory_limit(run: &Run, machine: &mut Machine, peak: &AtomicU64) {
    let memory = machine.memory_mb();
    peak.fetch_max(memory, Ordering::Relaxed);
    if memory > MEMORY_MB {
        run.record.say(&format!(
            "{} uses {memory} MB of {MEMORY_MB} MB",
            machine.name
        ));
        machine.kill();
        thread::sleep(Duration::from_millis(300));
        let _ = machine.restart();
    }
}

/// An endpoint answers with a status that is not in the usual list.
pub fn status(run: &mut Run) -> io::Result<bool> {
    run.configure(
        &[
            ("r-alpha", "/alpha/", "safe", "alpha", 1.5),
            ("r-book", "/book/", "unsafe", "alpha", 1.5),
        ],
        &["alpha", "beta"],
    );
    let work = Duration::from_millis(20);
    let given = if run.trouble {
        [208, 419, 460, 499, 509, 520]
    } else {
        [200, 202, 409, 422, 500, 507]
    };
    let target = run.machine(
        "alpha",
        "v1",
        Arc::new(move |request| {
            let status = request
                .word(1)
                .rsplit('/')
                .next()
                .and_then(|text| text.parse().ok());
            Reply {
                status: status.unwrap_or(200),
                work,
                body: b"the answer".to_vec(),
            }
        }),
    )?;
    let caller = run.machine("beta", "v1", sound(work))?;
    target.wait_ready()?;
    caller.wait_ready()?;
    wait_served(run, caller.outbound, "/alpha/200", &[&target])?;
    let mut changed = 0;
    for (method, prefix) in [("GET", "alpha"), ("POST", "book")] {
        for status in given {
            let path = format!("/{prefix}/{status}");
            let answer = request(
                &run.record,
                caller.outbound,
                method,
                &path,
                &new_id("s"),
                1_500,
                b"",
            )?;
            let (got, seal) = (answer.status(), answer.header("x-server-seal"));
            run.record.say(&format!(
                "{method} {path}: the endpoint gave {status}, the client got {got}, seal {seal:?}"
            ));
            changed += u32::from(got != status);
        }
    }
    Ok(changed == 0)
}

/// The length of an answer that takes some seconds to deliver over a slow link.
const LONG_ANSWER: usize = 13_000_000;

/// Bytes that the client's link delivers in each 10 ms, 19.2 Mbit/s.
const LINK_BYTES: usize = 24_000;

/// A node is told to stop while it delivers an answer over a slow link.
pub fn stop_in_answer(run: &mut Run) -> io::Result<bool> {
    run.configure(
        &[("r-alpha", "/alpha/", "safe", "alpha", 10.0)],
        &["alpha", "beta"],
    );
    let work = Duration::from_millis(20);
    let target = run.machine(
        "alpha",
        "v1",
        Arc::new(move |_| Reply {
            status: 200,
            work,
            body: vec![b'a'; LONG_ANSWER],
        }),
    )?;
    let caller = run.machine("beta", "v1", sound(work))?;
    target.wait_ready()?;
    caller.wait_ready()?;
    wait_served(run, caller.outbound, "/alpha/x", &[&target])?;
    let mut whole = true;
    let id = new_id("l");
    let headers = vec![
        ("X-Request-Id", id.clone()),
        ("X-Deadline-Ms", "10000".to_owned()),
    ];
    let request = Request {
        method: "GET",
        path: "/alpha/x",
        host: HOST,
        headers,
        body: &[],
    };
    let mut tcp = TcpStream::connect(caller.outbound)?;
    tcp.write_all(&request.encode())?;
    run.record.say(&format!("sent {id}"));
    let sent = run.record.now();
    let mut reader = BufReader::with_capacity(4_096, tcp);
    let head = read_head(&mut reader)?.ok_or(io::ErrorKind::UnexpectedEof)?;
    let length: usize = head.header("content-length").parse().unwrap_or(0);
    run.record.say(&format!(
        "answer {id} {} begins, {length} bytes",
        head.status()
    ));
    if head.status() != 200 {
        return Err(io::Error::other("the answer is not the endpoint's"));
    }
    if run.trouble {
        caller.signal("TERM")?;
    }
    let mut read = 0;
    let mut buffer = vec![0; LINK_BYTES];
    while read < length {
        let most = buffer.len().min(length - read);
        match reader.read(&mut buffer[..most]) {
            Ok(0) => {
                run.record.say(&format!(
                    "the connection ended after {read} of {length} bytes"
                ));
                whole = false;
                break;
            }
            Ok(bytes) => read += bytes,
            Err(error) => {
                run.record.say(&format!(
                    "the connection failed after {read} of {length} bytes: {error}"
                ));
                whole = false;
                break;
            }
        }
        sleep_until(
            &run.record,
            sent + Duration::from_millis(10) * (read / LINK_BYTES) as u32,
        );
    }
    run.record.say(&format!("{read} of {length} bytes arrived"));
    Ok(whole)
}
