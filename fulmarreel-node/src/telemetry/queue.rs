//! An output that never makes its writers wait: a reader that stalls costs lines, not calls.

use super::metrics;
use std::{
    io::{self, Write},
    sync::{
        Arc,
        atomic::{AtomicUsize, Ordering},
        mpsc::{Receiver, SyncSender, sync_channel},
    },
    thread,
    time::{Duration, Instant},
};

/// Lines that may wait for the output.
const QUEUED_LINES: usize = 4_096;

/// How long a flush waits at most for an output that is slow.
const FLUSH_LIMIT: Duration = Duration::from_millis(200);

/// How often a flush looks whether all is written.
const FLUSH_INTERVAL: Duration = Duration::from_millis(2);

/// Collects lines and passes them on to a thread that writes them.
#[derive(Debug)]
pub struct Queue {
    line: Vec<u8>,
    lines: SyncSender<Vec<u8>>,
    /// Lines that are not written yet.
    waiting: Arc<AtomicUsize>,
}

impl Queue {
    /// A queue before an output, with a thread of its own.
    ///
    /// # Errors
    ///
    /// The thread cannot be started.
    pub fn start(output: impl Write + Send + 'static) -> io::Result<Self> {
        let (lines, queued) = sync_channel(QUEUED_LINES);
        let waiting = Arc::new(AtomicUsize::new(0));
        let written = Arc::clone(&waiting);
        thread::Builder::new()
            .name("log".to_owned())
            .spawn(move || drain(&queued, &written, output))?;
        Ok(Self {
            line: Vec::new(),
            lines,
            waiting,
        })
    }
}

impl Write for Queue {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        self.line.extend_from_slice(bytes);
        if self.line.ends_with(b"\n") {
            let line = std::mem::take(&mut self.line);
            self.waiting.fetch_add(1, Ordering::AcqRel);
            if self.lines.try_send(line).is_err() {
                self.waiting.fetch_sub(1, Ordering::AcqRel);
                metrics::line_dropped();
            }
        }
        Ok(bytes.len())
    }

    /// Waits until all lines are written, for [`FLUSH_LIMIT`] at most.
    fn flush(&mut self) -> io::Result<()> {
        let until = Instant::now() + FLUSH_LIMIT;
        while self.waiting.load(Ordering::Acquire) > 0 && Instant::now() < until {
            thread::sleep(FLUSH_INTERVAL);
        }
        Ok(())
    }
}

fn drain(queued: &Receiver<Vec<u8>>, waiting: &AtomicUsize, mut output: impl Write) {
    while let Ok(line) = queued.recv() {
        if output.write_all(&line).is_err() {
            metrics::line_dropped();
        }
        waiting.fetch_sub(1, Ordering::AcqRel);
    }
}
