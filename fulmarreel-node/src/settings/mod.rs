//! A node's settings: JSON with comments, checked whole at start.

mod raw;

use jsonc_parser::{ParseOptions, errors::ParseError, parse_to_serde_value};
use std::{io, net::SocketAddr, path::Path};

/// What a node must know before it starts.
#[derive(Debug, Clone)]
pub struct Settings {
    /// Availability zone of the instance.
    pub zone: String,
    /// Region of the availability zone.
    pub region: String,
    /// Where callers are accepted.
    pub callers: SocketAddr,
    /// Where peers are accepted, TCP and UDP.
    pub peers: SocketAddr,
    /// What peers are told to connect to.
    pub advertise: SocketAddr,
    /// Where the target and operators are accepted.
    pub admin: SocketAddr,
    /// Where the target accepts calls.
    pub target: SocketAddr,
    /// Addresses of the platform's store.
    pub store: Vec<SocketAddr>,
    /// Peers to contact first.
    pub seeds: Vec<SocketAddr>,
}

/// Why settings were refused.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// The file cannot be read.
    #[error("cannot read settings '{path}': {source}")]
    Read {
        /// The file.
        path: String,
        /// The operating system's error.
        source: io::Error,
    },
    /// The text is no JSON with comments, or has a missing, unknown or mistyped field.
    #[error("{0}")]
    Syntax(#[from] ParseError),
    /// A field's value breaks a rule.
    #[error("field '{field}': '{given}', expected {expected}")]
    Field {
        /// Name of the field.
        field: &'static str,
        /// What was found.
        given: String,
        /// What is accepted.
        expected: &'static str,
    },
}

/// Reads and checks a settings file.
pub fn load(path: &Path) -> Result<Settings, Error> {
    let text = std::fs::read_to_string(path).map_err(|source| Error::Read {
        path: path.display().to_string(),
        source,
    })?;
    parse(&text)
}

/// Checks the text of a settings file.
pub fn parse(text: &str) -> Result<Settings, Error> {
    let raw: raw::Settings = parse_to_serde_value(text, &ParseOptions::default())?;
    raw.try_into()
}

impl TryFrom<raw::Settings> for Settings {
    type Error = Error;

    fn try_from(raw: raw::Settings) -> Result<Self, Error> {
        let peers = address("peers.bind", &raw.peers.bind)?;
        let advertise = match raw.peers.advertise {
            Some(given) => address("peers.advertise", &given)?,
            None => peers,
        };
        Ok(Self {
            zone: raw.zone,
            region: raw.region,
            callers: address("callers.bind", &raw.callers.bind)?,
            peers,
            advertise,
            admin: address("admin.bind", &raw.admin.bind)?,
            target: address("target", &raw.target)?,
            store: addresses("store", &raw.store)?,
            seeds: addresses("seeds", &raw.seeds)?,
        })
    }
}

fn address(field: &'static str, given: &str) -> Result<SocketAddr, Error> {
    given.parse().map_err(|_| Error::Field {
        field,
        given: given.to_owned(),
        expected: "an IP number and a port such as 127.0.0.1:7000",
    })
}

fn addresses(field: &'static str, given: &[String]) -> Result<Vec<SocketAddr>, Error> {
    given.iter().map(|given| address(field, given)).collect()
}
