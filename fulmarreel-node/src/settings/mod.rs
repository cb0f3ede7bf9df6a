//! A node's settings: JSON with comments, checked as a whole at start.

mod check;
mod raw;

use fulmarreel_document::source::{self, InvalidField};
use log::LevelFilter;
use std::{
    io,
    net::SocketAddr,
    path::{Path, PathBuf},
};

/// Default of `limits.request_bytes`.
pub const DEFAULT_REQUEST_BYTES: u64 = 8 * 1_048_576;

/// Default of `log.decisions_per_second`.
pub const DEFAULT_DECISIONS_PER_SECOND: u32 = 100;

/// A node's checked settings.
#[derive(Debug, Clone)]
pub struct Settings {
    /// Availability zone of the instance.
    pub zone: String,
    /// Region of the availability zone.
    pub region: String,
    /// Address on which callers' requests are accepted.
    pub callers: SocketAddr,
    /// Address on which peers are accepted, over TCP and UDP.
    pub peers: SocketAddr,
    /// Peer address that is advertised to other nodes.
    pub advertise: SocketAddr,
    /// Address on which the target and operators are accepted.
    pub admin: SocketAddr,
    /// Address on which the target accepts calls.
    pub target: SocketAddr,
    /// Addresses of the platform's store.
    pub store: Vec<SocketAddr>,
    /// Peers to contact first when joining.
    pub seeds: Vec<SocketAddr>,
    /// Resource limits.
    pub limits: Limits,
    /// Log settings.
    pub log: Log,
}

/// Resource limits.
#[derive(Debug, Clone, Copy)]
pub struct Limits {
    /// The largest accepted request body in bytes.
    pub request_bytes: u64,
}

/// Log settings.
#[derive(Debug, Clone, Copy)]
pub struct Log {
    /// The least severe level that is written.
    pub level: LevelFilter,
    /// Limit of decisions that are written per second; further ones are only counted.
    pub decisions_per_second: u32,
}

/// Why settings were refused; each message begins with the file.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// The file cannot be read.
    #[error("{}: cannot be read: {source}, expected a readable file", path.display())]
    Read {
        /// The file.
        path: PathBuf,
        /// The operating system's error.
        source: io::Error,
    },
    /// The text or one of its fields was refused.
    #[error("{}:{source}", path.display())]
    Refused {
        /// The file.
        path: PathBuf,
        /// What is wrong, with line and column.
        source: source::Error,
    },
}

/// Reads and checks a settings file.
pub fn load(path: &Path) -> Result<Settings, Error> {
    let text = std::fs::read_to_string(path).map_err(|source| Error::Read {
        path: path.to_owned(),
        source,
    })?;
    parse(&text).map_err(|source| Error::Refused {
        path: path.to_owned(),
        source,
    })
}

/// Checks the text of a settings file.
pub fn parse(text: &str) -> Result<Settings, source::Error> {
    let raw: raw::Settings = source::read(text)?;
    let settings: Result<Settings, InvalidField> = raw.try_into();
    settings.map_err(|invalid| invalid.with_position_in(text))
}
