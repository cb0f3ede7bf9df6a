//! The layout of the keys in the store.

use std::{
    fmt,
    net::{AddrParseError, SocketAddr},
    num::ParseIntError,
};

/// The prefix of every key.
pub const ROOT: &str = "fulmarreel/";
/// Operators' documents, one for each service.
pub const DOCUMENTS: &str = "fulmarreel/documents/";
/// The state of each move, which is the rollout of a service to a new version.
pub const MOVES: &str = "fulmarreel/moves/";
/// The nodes that own moves, each key under its owner's lease.
pub const OWNERS: &str = "fulmarreel/owners/";
/// The nodes that watch the store on behalf of their zone, each key under its node's lease.
pub const WATCHERS: &str = "fulmarreel/watchers/";
/// Seed addresses, through which a starting node finds its peers, each key under its node's lease.
pub const SEEDS: &str = "fulmarreel/seeds/";
/// The outcomes of finished moves.
pub const HISTORY: &str = "fulmarreel/history/";
/// Claims of idempotency keys.
pub const CLAIMS: &str = "fulmarreel/keys/";

/// The longest name of a service or zone, in bytes: the limit of a DNS label.
pub const MAX_NAME: usize = 63;
/// The longest hash of an idempotency key, in hexadecimal digits.
pub const MAX_HASH: usize = 64;
/// The width of a zero-padded move number, so that keys sort in the order of the numbers.
const NUMBER_DIGITS: usize = 20;

/// A parsed key. `Display` formats it without validation; `TryFrom<&str>` and [`Key::try_format`]
/// validate it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Key<'a> {
    /// A service's document.
    Document {
        /// The service.
        service: &'a str,
    },
    /// The state of a service's move.
    Move {
        /// The service.
        service: &'a str,
    },
    /// The owner of a service's move.
    Owner {
        /// The service.
        service: &'a str,
    },
    /// A node that watches the store on behalf of its zone.
    Watcher {
        /// The zone.
        zone: &'a str,
        /// The index of the watcher in its zone.
        slot: u32,
    },
    /// A seed address.
    Seed {
        /// The zone.
        zone: &'a str,
        /// The address that the node advertises.
        addr: SocketAddr,
    },
    /// The outcome of one move of a service.
    History {
        /// The service.
        service: &'a str,
        /// The number of the move.
        number: u64,
    },
    /// The claim of an idempotency key.
    Claim {
        /// The hash of the idempotency key, in lower-case hexadecimal digits.
        hash: &'a str,
    },
}

/// Why a key does not fit the layout.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// The key has an unknown prefix.
    #[error("key {key:?} is of no known kind")]
    UnknownPrefix {
        /// The key.
        key: String,
    },
    /// An invalid name of a service or zone.
    #[error("name {name:?}: expected 1 to {MAX_NAME} of a-z, 0-9 and '-', no '-' at either end")]
    InvalidName {
        /// The name.
        name: String,
    },
    /// An invalid hash.
    #[error("hash {hash:?}: expected 1 to {MAX_HASH} of 0-9 and a-f")]
    InvalidHash {
        /// The hash.
        hash: String,
    },
    /// An invalid number.
    #[error("number {text:?}")]
    InvalidNumber {
        /// The invalid text.
        text: String,
        /// Why it does not parse.
        source: ParseIntError,
    },
    /// A key that parses but is not in canonical form, such as a number with the wrong padding.
    #[error("key {key:?}: expected the form {expected:?}")]
    NotCanonical {
        /// The key.
        key: String,
        /// The canonical form of this key.
        expected: String,
    },
    /// An invalid address.
    #[error("address {text:?}")]
    InvalidAddress {
        /// The invalid text.
        text: String,
        /// Why it does not parse.
        source: AddrParseError,
    },
}

impl Key<'_> {
    /// Formats the key if its parts are valid.
    pub fn try_format(&self) -> Result<String, Error> {
        match *self {
            Self::Document { service }
            | Self::Move { service }
            | Self::Owner { service }
            | Self::History { service, .. } => validate_name(service)?,
            Self::Watcher { zone, .. } | Self::Seed { zone, .. } => validate_name(zone)?,
            Self::Claim { hash } => validate_hash(hash)?,
        }
        Ok(self.to_string())
    }
}

impl fmt::Display for Key<'_> {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Document { service } => write!(f, "{DOCUMENTS}{service}"),
            Self::Move { service } => write!(f, "{MOVES}{service}"),
            Self::Owner { service } => write!(f, "{OWNERS}{service}"),
            Self::Watcher { zone, slot } => write!(f, "{WATCHERS}{zone}/{slot}"),
            Self::Seed { zone, addr } => write!(f, "{SEEDS}{zone}/{addr}"),
            Self::History { service, number } => {
                write!(f, "{HISTORY}{service}/{number:0NUMBER_DIGITS$}")
            }
            Self::Claim { hash } => write!(f, "{CLAIMS}{hash}"),
        }
    }
}

impl<'a> TryFrom<&'a str> for Key<'a> {
    type Error = Error;

    fn try_from(text: &'a str) -> Result<Self, Error> {
        let unknown_prefix = || Error::UnknownPrefix {
            key: text.to_owned(),
        };
        let rest = text.strip_prefix(ROOT).ok_or_else(unknown_prefix)?;
        let (kind, rest) = rest.split_once('/').ok_or_else(unknown_prefix)?;
        let split_rest = || rest.split_once('/').ok_or_else(unknown_prefix);
        let key = match kind {
            "documents" => Self::Document { service: rest },
            "moves" => Self::Move { service: rest },
            "owners" => Self::Owner { service: rest },
            "keys" => Self::Claim { hash: rest },
            "watchers" => {
                let (zone, slot) = split_rest()?;
                let slot = slot
                    .parse()
                    .map_err(|source| invalid_number(slot, source))?;
                Self::Watcher { zone, slot }
            }
            "seeds" => {
                let (zone, addr) = split_rest()?;
                let addr = addr.parse().map_err(|source| Error::InvalidAddress {
                    text: addr.into(),
                    source,
                })?;
                Self::Seed { zone, addr }
            }
            "history" => {
                let (service, number) = split_rest()?;
                Self::History {
                    service,
                    number: number
                        .parse()
                        .map_err(|source| invalid_number(number, source))?,
                }
            }
            _ => return Err(unknown_prefix()),
        };
        let expected = key.try_format()?;
        if expected != text {
            return Err(Error::NotCanonical {
                key: text.to_owned(),
                expected,
            });
        }
        Ok(key)
    }
}

/// The prefix of the keys of a zone's watchers.
pub fn watchers(zone: &str) -> Result<String, Error> {
    validate_name(zone)?;
    Ok(format!("{WATCHERS}{zone}/"))
}

/// The prefix of the keys of a zone's seeds.
pub fn seeds(zone: &str) -> Result<String, Error> {
    validate_name(zone)?;
    Ok(format!("{SEEDS}{zone}/"))
}

/// The prefix of the keys of a service's history.
pub fn history(service: &str) -> Result<String, Error> {
    validate_name(service)?;
    Ok(format!("{HISTORY}{service}/"))
}

fn invalid_number(text: &str, source: ParseIntError) -> Error {
    Error::InvalidNumber {
        text: text.to_owned(),
        source,
    }
}

fn validate_name(name: &str) -> Result<(), Error> {
    let is_allowed = |b: u8| b.is_ascii_lowercase() || b.is_ascii_digit() || b == b'-';
    let has_outer_hyphen = name.starts_with('-') || name.ends_with('-');
    if name.is_empty() || name.len() > MAX_NAME || has_outer_hyphen || !name.bytes().all(is_allowed)
    {
        return Err(Error::InvalidName {
            name: name.to_owned(),
        });
    }
    Ok(())
}

fn validate_hash(hash: &str) -> Result<(), Error> {
    let is_hex = |b: u8| b.is_ascii_digit() || (b'a'..=b'f').contains(&b);
    if hash.is_empty() || hash.len() > MAX_HASH || !hash.bytes().all(is_hex) {
        return Err(Error::InvalidHash {
            hash: hash.to_owned(),
        });
    }
    Ok(())
}
