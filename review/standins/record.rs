//! The record of a run: one line for each event, with the time since the start of the run.

use std::{
    fs::File,
    io::Write,
    path::Path,
    sync::Mutex,
    time::{Duration, Instant},
};

/// The record of a run.
#[derive(Debug)]
pub struct Record {
    start: Instant,
    file: Mutex<File>,
}

impl Record {
    /// Starts a new record.
    pub fn create(path: &Path) -> std::io::Result<Self> {
        let file = Mutex::new(File::create(path)?);
        Ok(Self {
            start: Instant::now(),
            file,
        })
    }

    /// The time since the start of the run.
    pub fn now(&self) -> Duration {
        self.start.elapsed()
    }

    /// Writes a line.
    pub fn line(&self, text: &str) {
        let at = self.now().as_secs_f64();
        let mut file = self.file.lock().expect("record lock");
        let _ = writeln!(file, "{at:9.3} {text}");
    }

    /// Writes a line to the record and to standard output.
    pub fn say(&self, text: &str) {
        self.line(text);
        println!("{:9.3} {text}", self.now().as_secs_f64());
    }
}
