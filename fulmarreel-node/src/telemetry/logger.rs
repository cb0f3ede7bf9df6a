//! The logger: formats each record as a line of JSON; `simplelog` filters by level and writes.

use super::line;
use log::{LevelFilter, Log, Metadata, Record, SetLoggerError};
use simplelog::{Config, ConfigBuilder, SharedLogger, WriteLogger};
use std::io::Write;

/// Libraries whose records are logged at level `warn` and above only, since their lower levels concern
/// the library's internals.
const QUIET_LIBRARIES: [&str; 3] = ["trillium", "async_io", "polling"];

/// A logger that writes lines of JSON.
pub struct Logger {
    inner: Box<dyn SharedLogger>,
}

impl Logger {
    /// Creates a logger for records up to a level.
    pub fn new(level: LevelFilter, output: impl Write + Send + 'static) -> Self {
        Self {
            inner: WriteLogger::new(level, message_only(), output),
        }
    }

    /// Makes this the logger of the process.
    ///
    /// # Errors
    ///
    /// The process has a logger already.
    pub fn install(self) -> Result<(), SetLoggerError> {
        log::set_max_level(self.inner.level());
        log::set_boxed_logger(Box::new(self))
    }
}

impl Log for Logger {
    fn enabled(&self, metadata: &Metadata<'_>) -> bool {
        let is_quiet = QUIET_LIBRARIES
            .iter()
            .any(|name| metadata.target().starts_with(name));
        let passes_library_filter = !is_quiet || metadata.level() <= log::Level::Warn;
        passes_library_filter && metadata.level() <= self.inner.level()
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

/// Configures `simplelog` to write the message only.
fn message_only() -> Config {
    ConfigBuilder::new()
        .set_time_level(LevelFilter::Off)
        .set_max_level(LevelFilter::Off)
        .set_thread_level(LevelFilter::Off)
        .set_target_level(LevelFilter::Off)
        .set_location_level(LevelFilter::Off)
        .build()
}
