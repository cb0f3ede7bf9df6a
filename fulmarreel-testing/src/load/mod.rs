//! An open-loop caller: it sends at a fixed rate whatever the answers do, and checks each answer.

mod call;
mod program;
mod report;

pub use call::{Caller, body};
pub use program::Program;
pub use report::{Outcome, Record, Report};

use smol::Timer;
use std::{
    net::SocketAddr,
    sync::{Arc, Mutex},
    time::{Duration, Instant},
};

/// What the caller sends, and where to.
#[derive(Debug, Clone)]
pub struct Options {
    /// Nodes that take the calls in turn; the target itself for a baseline.
    pub nodes: Vec<SocketAddr>,
    /// The service called.
    pub service: String,
    /// Path of every call.
    pub path: String,
    /// Calls a second.
    pub rate: f64,
    /// When no further calls start, counted from the first.
    pub duration: Duration,
    /// Sizes of bodies in bytes, taken in turn.
    pub sizes: Vec<usize>,
    /// Begins the name of each call; unique among the callers of one run.
    pub prefix: String,
    /// How long the caller waits for a whole answer.
    pub timeout: Duration,
}

/// Sends calls until the duration ends, and waits for the last answer.
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
