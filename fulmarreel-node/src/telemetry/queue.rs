//! A non-blocking log output: if the reader of the log stalls, lines are dropped and calls go on.

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

/// Capacity of the queue in lines; further lines are dropped.
const QUEUED_LINES: usize = 4_096;

/// The longest time that a flush waits for a slow output.
const FLUSH_LIMIT: Duration = Duration::from_millis(200);

/// How often a flush checks whether all lines are written.
const FLUSH_INTERVAL: Duration = Duration::from_millis(2);

/// Buffers its input up to a line break, and queues it for a thread that writes it.
#[derive(Debug)]
pub struct LogQueue {
    /// The start of a line whose end was not written yet.
    partial_line: Vec<u8>,
    lines: SyncSender<Vec<u8>>,
    /// The number of lines that are not written yet.
    unwritten: Arc<AtomicUsize>,
}

impl LogQueue {
    /// Creates a queue and starts the thread that writes its lines to `output`.
    ///
    /// # Errors
    ///
    /// The thread cannot be started.
    pub fn start(output: impl Write + Send + 'static) -> io::Result<Self> {
        let (lines, queued) = sync_channel(QUEUED_LINES);
        let unwritten = Arc::new(AtomicUsize::new(0));
        let unwritten_by_thread = Arc::clone(&unwritten);
        thread::Builder::new()
            .name("log".to_owned())
            .spawn(move || write_lines(&queued, &unwritten_by_thread, output))?;
        Ok(Self {
            partial_line: Vec::new(),
            lines,
            unwritten,
        })
    }
}

impl Write for LogQueue {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        self.partial_line.extend_from_slice(bytes);
        if self.partial_line.ends_with(b"\n") {
            let line = std::mem::take(&mut self.partial_line);
            self.unwritten.fetch_add(1, Ordering::AcqRel);
            if self.lines.try_send(line).is_err() {
                self.unwritten.fetch_sub(1, Ordering::AcqRel);
                metrics::line_dropped();
            }
        }
        Ok(bytes.len())
    }

    /// Waits until all lines are written, for [`FLUSH_LIMIT`] at most.
    fn flush(&mut self) -> io::Result<()> {
        let until = Instant::now() + FLUSH_LIMIT;
        while self.unwritten.load(Ordering::Acquire) > 0 && Instant::now() < until {
            thread::sleep(FLUSH_INTERVAL);
        }
        Ok(())
    }
}

fn write_lines(queued: &Receiver<Vec<u8>>, unwritten: &AtomicUsize, mut output: impl Write) {
    while let Ok(line) = queued.recv() {
        if output.write_all(&line).is_err() {
            metrics::line_dropped();
        }
        unwritten.fetch_sub(1, Ordering::AcqRel);
    }
}
