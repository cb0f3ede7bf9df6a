//! Converts settings from the form in the file to the checked form.

use super::{DEFAULT_DECISIONS_PER_SECOND, DEFAULT_REQUEST_BYTES, Limits, Log, Settings, raw};
use fulmarreel_document::{Service, source::InvalidField};
use log::LevelFilter;
use std::net::SocketAddr;

/// Highest accepted value of `limits.request_bytes`.
const MAX_REQUEST_BYTES: u64 = 1_073_741_824;

impl TryFrom<raw::Settings> for Settings {
    type Error = InvalidField;

    fn try_from(raw: raw::Settings) -> Result<Self, InvalidField> {
        let peers = bind_address("peers.bind", &raw.peers.bind)?;
        let (field, given) = match &raw.peers.advertise {
            Some(given) => ("peers.advertise", given),
            None => ("peers.bind", &raw.peers.bind),
        };
        let settings = Self {
            zone: checked_name("zone", &raw.zone)?,
            region: checked_name("region", &raw.region)?,
            callers: bind_address("callers.bind", &raw.callers.bind)?,
            peers,
            advertise: connect_address(field, given)?,
            admin: bind_address("admin.bind", &raw.admin.bind)?,
            target: connect_address("target", &raw.target)?,
            store: connect_addresses("store", &raw.store)?,
            seeds: connect_addresses("seeds", &raw.seeds)?,
            limits: raw.limits.try_into()?,
            log: raw.log.into(),
        };
        if settings.store.is_empty() {
            return Err(InvalidField::new(
                "store",
                &"an empty list",
                "at least one address",
            ));
        }
        check_distinct_binds(&settings)?;
        Ok(settings)
    }
}

impl TryFrom<raw::Limits> for Limits {
    type Error = InvalidField;

    fn try_from(raw: raw::Limits) -> Result<Self, InvalidField> {
        match raw.request_bytes {
            None => Ok(Self {
                request_bytes: DEFAULT_REQUEST_BYTES,
            }),
            Some(request_bytes @ 1..=MAX_REQUEST_BYTES) => Ok(Self { request_bytes }),
            Some(given) => {
                let expected = "1 to 1073741824 bytes";
                Err(InvalidField::new("limits.request_bytes", &given, expected))
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

/// Checks the name of a zone or region by the rules for service names: all three are parts of store
/// keys.
fn checked_name(field: &str, given: &str) -> Result<String, InvalidField> {
    match Service::try_from(given) {
        Ok(_) => Ok(given.to_owned()),
        Err(error) => Err(InvalidField::new(
            field,
            &format!("'{given}'"),
            error.expected,
        )),
    }
}

/// Parses an address to listen on.
fn bind_address(field: &str, given: &str) -> Result<SocketAddr, InvalidField> {
    match given.parse::<SocketAddr>() {
        Ok(address) if address.port() != 0 => Ok(address),
        _ => {
            let expected = "an IP number and a port such as 127.0.0.1:7000";
            Err(InvalidField::new(field, &format!("'{given}'"), expected))
        }
    }
}

/// Parses an address to connect to.
fn connect_address(field: &str, given: &str) -> Result<SocketAddr, InvalidField> {
    let address = bind_address(field, given)?;
    if address.ip().is_unspecified() {
        let expected = "an IP number that can be connected to";
        return Err(InvalidField::new(field, &format!("'{given}'"), expected));
    }
    Ok(address)
}

/// Parses a list of addresses to connect to.
fn connect_addresses(field: &str, given: &[String]) -> Result<Vec<SocketAddr>, InvalidField> {
    let given = given.iter().enumerate();
    given
        .map(|(index, given)| connect_address(&format!("{field}[{index}]"), given))
        .collect()
}

/// Refuses settings in which two TCP listeners have the same address.
fn check_distinct_binds(settings: &Settings) -> Result<(), InvalidField> {
    let binds = [
        ("callers.bind", settings.callers),
        ("peers.bind", settings.peers),
        ("admin.bind", settings.admin),
    ];
    for (index, (field, address)) in binds.iter().enumerate() {
        if let Some((other, _)) = binds[..index].iter().find(|(_, other)| other == address) {
            let expected = format!("an address other than that of '{other}'");
            return Err(InvalidField::new(field, address, &expected));
        }
    }
    Ok(())
}
