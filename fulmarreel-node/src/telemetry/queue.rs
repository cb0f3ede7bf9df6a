//! An output that never makes its writers wait: a reader that stalls costs lines, not calls.

use super::metrics;
use std::{
    io::{self, Write},
    sync::mpsc::{Receiver, SyncSender, sync_channel},
    thread,
};

/// Lines that may wait for the output.
const QUEUED_LINES: usize = 4_096;

/// Collects lines and passes them on to a thread that writes them.
#[derive(Debug)]
pub struct Queue {
    line: Vec<u8>,
    lines: SyncSender<Vec<u8>>,
}

impl Queue {
    /// A queue before an output, with a thread of its own.
    ///
    /// # Errors
    ///
    /// The thread cannot be started.
    pub fn start(output: impl Write + Send + 'static) -> io::Result<Self> {
        let (lines, queued) = sync_channel(QUEUED_LINES);
        thread::Builder::new()
            .name("log".to_owned())
            .spawn(move || drain(&queued, output))?;
        let line = Vec::new();
        Ok(Self { line, lines })
    }
}

impl Write for Queue {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        self.line.extend_from_slice(bytes);
        if self.line.ends_with(b"\n") {
            let line = std::mem::take(&mut self.line);
            if self.lines.try_send(line).is_err() {
                metrics::line_dropped();
            }
        }
        Ok(bytes.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

fn drain(queued: &Receiver<Vec<u8>>, mut output: impl Write) {
    while let Ok(line) = queued.recv() {
        if output.write_all(&line).is_err() {
            metrics::line_dropped();
        }
    }
}
