//! From settings as they are written to checked ones.

use super::{DEFAULT_DECISIONS_PER_SECOND, DEFAULT_REQUEST_BYTES, Limits, Log, Settings, raw};
use fulmarreel_document::{Service, source::Refusal};
use log::LevelFilter;
use std::net::SocketAddr;

/// The largest limit of a request body, in bytes.
const MAX_REQUEST_BYTES: u64 = 1_073_741_824;

impl TryFrom<raw::Settings> for Settings {
    type Error = Refusal;

    fn try_from(raw: raw::Settings) -> Result<Self, Refusal> {
        let peers = bound("peers.bind", &raw.peers.bind)?;
        let (field, given) = match &raw.peers.advertise {
            Some(given) => ("peers.advertise", given),
            None => ("peers.bind", &raw.peers.bind),
        };
        let settings = Self {
            zone: name("zone", &raw.zone)?,
            region: name("region", &raw.region)?,
            callers: bound("callers.bind", &raw.callers.bind)?,
            peers,
            advertise: reachable(field, given)?,
            admin: bound("admin.bind", &raw.admin.bind)?,
            target: reachable("target", &raw.target)?,
            store: addresses("store", &raw.store)?,
            seeds: addresses("seeds", &raw.seeds)?,
            limits: raw.limits.try_into()?,
            log: raw.log.into(),
        };
        if settings.store.is_empty() {
            return Err(Refusal::new(
                "store",
                &"an empty list",
                "at least one address",
            ));
        }
        distinct(&settings)?;
        Ok(settings)
    }
}

impl TryFrom<raw::Limits> for Limits {
    type Error = Refusal;

    fn try_from(raw: raw::Limits) -> Result<Self, Refusal> {
        match raw.request_bytes {
            None => Ok(Self {
                request_bytes: DEFAULT_REQUEST_BYTES,
            }),
            Some(request_bytes @ 1..=MAX_REQUEST_BYTES) => Ok(Self { request_bytes }),
            Some(given) => {
                let expected = "1 to 1073741824 bytes";
                Err(Refusal::new("limits.request_bytes", &given, expected))
            }
        }
    }
}

impl From<raw::Log> for Log {
    fn from(raw: raw::Log) -> Self {
        Self {
            level: raw.level.map_or(LevelFilter::Info, LevelFilter::from),
            decisions_per_second: raw
                .decisions_per_second
                .unwrap_or(DEFAULT_DECISIONS_PER_SECOND),
        }
    }
}

impl From<raw::Level> for LevelFilter {
    fn from(raw: raw::Level) -> Self {
        match raw {
            raw::Level::Off => Self::Off,
            raw::Level::Error => Self::Error,
            raw::Level::Warn => Self::Warn,
            raw::Level::Info => Self::Info,
            raw::Level::Debug => Self::Debug,
            raw::Level::Trace => Self::Trace,
        }
    }
}

/// Zones and regions are parts of the store's keys, as services are.
fn name(field: &str, given: &str) -> Result<String, Refusal> {
    match Service::try_from(given) {
        Ok(_) => Ok(given.to_owned()),
        Err(error) => Err(Refusal::new(field, &format!("'{given}'"), error.expected)),
    }
}

/// An address to listen on.
fn bound(field: &str, given: &str) -> Result<SocketAddr, Refusal> {
    match given.parse::<SocketAddr>() {
        Ok(address) if address.port() != 0 => Ok(address),
        _ => {
            let expected = "an IP number and a port such as 127.0.0.1:7000";
            Err(Refusal::new(field, &format!("'{given}'"), expected))
        }
    }
}

/// An address that others connect to.
fn reachable(field: &str, given: &str) -> Result<SocketAddr, Refusal> {
    let address = bound(field, given)?;
    if address.ip().is_unspecified() {
        let expected = "an IP number that can be connected to";
        return Err(Refusal::new(field, &format!("'{given}'"), expected));
    }
    Ok(address)
}

fn addresses(field: &str, given: &[String]) -> Result<Vec<SocketAddr>, Refusal> {
    let given = given.iter().enumerate();
    given
        .map(|(index, given)| reachable(&format!("{field}[{index}]"), given))
        .collect()
}

/// Each listener needs an address of its own.
fn distinct(settings: &Settings) -> Result<(), Refusal> {
    let bound = [
        ("callers.bind", settings.callers),
        ("peers.bind", settings.peers),
        ("admin.bind", settings.admin),
    ];
    for (index, (field, address)) in bound.iter().enumerate() {
        if let Some((other, _)) = bound[..index].iter().find(|(_, other)| other == address) {
            let expected = format!("an address other than that of '{other}'");
            return Err(Refusal::new(field, address, &expected));
        }
    }
    Ok(())
}
