use fulmarreel_node::telemetry::{
    Decision, Sampler, decision::Kind, logger::Logger, queue::LogQueue, sampler::Admission,
};
use log::LevelFilter;
use serde_json::{Value, json};
use std::{
    io::{self, Write},
    sync::{Arc, Mutex, mpsc},
    time::{Duration, Instant},
};

/// An output whose bytes the test reads.
#[derive(Clone, Default)]
struct SharedOutput(Arc<Mutex<Vec<u8>>>);

impl Write for SharedOutput {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        self.0.lock().unwrap().extend_from_slice(bytes);
        Ok(bytes.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

/// No other test of this process may log, since a process has one logger.
#[test]
fn each_line_is_json_with_typed_fields_in_the_levels_asked_for() {
    let output = SharedOutput::default();
    Logger::new(LevelFilter::Info, output.clone())
        .install()
        .unwrap();
    log::debug!("below the level");
    log::info!(target: "trillium_http::conn", "a library's chatter");
    log::warn!(target: "m", attempt = 3, at = "not this"; "quoted \"text\"\nin two lines");
    Decision {
        call: Some(u64::MAX),
        version: Some("v2"),
        ..Decision::new(Kind::Route, "reservas", "own zone")
    }
    .log();
    let text = String::from_utf8(output.0.lock().unwrap().clone()).unwrap();
    let lines: Vec<Value> = text
        .lines()
        .map(|line| {
            let mut line: Value = serde_json::from_str(line).unwrap();
            let at = line.as_object_mut().unwrap().remove("at").unwrap();
            assert!(at.as_str().unwrap().ends_with('Z'), "{at}");
            line
        })
        .collect();
    let expected = [
        json!({
            "level": "warn", "module": "m", "attempt": 3,
            "message": "quoted \"text\"\nin two lines",
        }),
        json!({
            "level": "info", "module": "decision", "decision": "route", "call": u64::MAX,
            "service": "reservas", "version": "v2", "reason": "own zone",
        }),
    ];
    assert_eq!(lines, expected);
}

/// Fails if the number of dropped lines is not reported with the next admitted line of a later
/// second, or is reported twice.
#[test]
fn lines_over_the_limit_are_dropped_and_counted() {
    let sampler = Sampler::new(2);
    let seconds = [5, 5, 5, 5, 6, 6, 9, 8];
    let admission = |admitted, dropped_before| Admission {
        admitted,
        dropped_before,
    };
    let expected = [
        admission(true, 0),
        admission(true, 0),
        admission(false, 0),
        admission(false, 0),
        admission(true, 2),
        admission(true, 0),
        admission(true, 0),
        admission(true, 0),
    ];
    assert_eq!(seconds.map(|second| sampler.admit(second)), expected);
}

/// An output whose writes block until the test releases it.
struct StalledOutput(mpsc::Receiver<()>);

impl Write for StalledOutput {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        // Returns an error once the test has dropped the sender.
        let _ = self.0.recv();
        Ok(bytes.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

/// Hangs if writers of the log wait for a stalled output.
#[test]
fn writers_do_not_wait_for_a_stalled_output() {
    let (release, stalled) = mpsc::channel();
    let mut queue = LogQueue::start(StalledOutput(stalled)).unwrap();
    for _ in 0..10_000 {
        queue.write_all(b"line\n").unwrap();
    }
    drop(release);
}

/// Fails if a flush, which a process does before it exits, does not wait for the last lines to be
/// written, or waits without limit for a stalled output.
#[test]
fn a_flush_waits_for_the_output_but_not_for_a_stalled_one() {
    let (release, stalled) = mpsc::channel();
    let mut queue = LogQueue::start(StalledOutput(stalled)).unwrap();
    queue.write_all(b"last\n").unwrap();
    let started = Instant::now();
    queue.flush().unwrap();
    assert!(started.elapsed() >= Duration::from_millis(150));
    assert!(started.elapsed() < Duration::from_secs(2));
    drop(release);
    let started = Instant::now();
    queue.flush().unwrap();
    assert!(started.elapsed() < Duration::from_millis(150));
}
