//! The logger: `simplelog` for level and output, with each record turned into a line of JSON.

use super::line;
use log::{LevelFilter, Log, Metadata, Record, SetLoggerError};
use simplelog::{Config, ConfigBuilder, SharedLogger, WriteLogger};
use std::io::Write;

/// Libraries whose lines below `warn` are no decisions of this system.
const QUIET: [&str; 3] = ["trillium", "async_io", "polling"];

/// A logger that writes lines of JSON.
pub struct Logger {
    inner: Box<dyn SharedLogger>,
}

impl Logger {
    /// A logger for records up to a level.
    pub fn new(level: LevelFilter, output: impl Write + Send + 'static) -> Self {
        Self {
            inner: WriteLogger::new(level, bare(), output),
        }
    }

    /// Makes this the logger of the process.
    ///
    /// # Errors
    ///
    /// There is one already.
    pub fn install(self) -> Result<(), SetLoggerError> {
        log::set_max_level(self.inner.level());
        log::set_boxed_logger(Box::new(self))
    }
}

impl Log for Logger {
    fn enabled(&self, metadata: &Metadata<'_>) -> bool {
        let quiet = QUIET.iter().any(|name| metadata.target().starts_with(name));
        let loud = !quiet || metadata.level() <= log::Level::Warn;
        loud && metadata.level() <= self.inner.level()
    }

    fn log(&self, record: &Record<'_>) {
        if !self.enabled(record.metadata()) {
            return;
        }
        let at = format!("{:.3}", jiff::Timestamp::now());
        let line = line::json(at, record);
        self.inner.log(
            &Record::builder()
                .metadata(record.metadata().clone())
                .args(format_args!("{line}"))
                .build(),
        );
    }

    fn flush(&self) {
        self.inner.flush();
    }
}

/// Has `simplelog` write the message alone.
fn bare() -> Config {
    ConfigBuilder::new()
        .set_time_level(LevelFilter::Off)
        .set_max_level(LevelFilter::Off)
        .set_thread_level(LevelFilter::Off)
        .set_target_level(LevelFilter::Off)
        .set_location_level(LevelFilter::Off)
        .build()
}
