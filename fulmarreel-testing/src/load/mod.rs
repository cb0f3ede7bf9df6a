//! An open-loop load generator: it sends calls at a fixed rate, however long answers take, and checks
//! each answer.

mod call;
mod program;
mod report;

pub use call::{Caller, body};
pub use program::LoadProcess;
pub use report::{Outcome, Record, Report};

use smol::Timer;
use std::{
    net::SocketAddr,
    sync::{Arc, Mutex},
    time::{Duration, Instant},
};

/// The calls to send.
#[derive(Debug, Clone)]
pub struct Options {
    /// Nodes that are called in turn. The address of the target itself gives a baseline without nodes.
    pub nodes: Vec<SocketAddr>,
    /// The service that is called.
    pub service: String,
    /// The path of every call.
    pub path: String,
    /// Calls per second.
    pub rate: f64,
    /// How long new calls are started.
    pub duration: Duration,
    /// Body sizes in bytes, used in turn.
    pub sizes: Vec<usize>,
    /// Prefix of the calls' names; must be unique among the callers of one run.
    pub prefix: String,
    /// How long the caller waits for a complete answer.
    pub timeout: Duration,
}

/// Sends calls for the whole duration and waits for the last answer.
pub async fn run(options: Options) -> Report {
    let caller = Arc::new(Caller::new(&options));
    let records = Arc::new(Mutex::new(Vec::new()));
    let start = Instant::now();
    let calls = (options.rate * options.duration.as_secs_f64()).round() as u64;
    let mut running = Vec::new();
    for number in 0..calls {
        let due = start + Duration::from_secs_f64(number as f64 / options.rate);
        Timer::at(due).await;
        let (caller, records) = (Arc::clone(&caller), Arc::clone(&records));
        let name = format!("{}-{number}", options.prefix);
        let size = options.sizes[number as usize % options.sizes.len()];
        running.push(smol::spawn(async move {
            let record = caller.call(number as usize, &name, size, due).await;
            records.lock().expect("records lock").push(record);
        }));
    }
    for call in running {
        call.await;
    }
    let records = std::mem::take(&mut *records.lock().expect("records lock"));
    Report::new(records, start.elapsed())
}
