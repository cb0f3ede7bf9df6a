//! The layout of the keys.

use std::{
    fmt,
    net::{AddrParseError, SocketAddr},
    num::ParseIntError,
};

/// What every key begins with.
pub const ROOT: &str = "fulmarreel/";
/// The operators' documents.
pub const DOCUMENTS: &str = "fulmarreel/documents/";
/// The states of moves to a new version.
pub const MOVES: &str = "fulmarreel/moves/";
/// The owners of moves, each under its owner's lease.
pub const OWNERS: &str = "fulmarreel/owners/";
/// The nodes that watch the store for their zone, each under its lease.
pub const WATCHERS: &str = "fulmarreel/watchers/";
/// Addresses of first contact, each under its node's lease.
pub const SEEDS: &str = "fulmarreel/seeds/";
/// The outcomes of moves.
pub const HISTORY: &str = "fulmarreel/history/";
/// The claims of idempotency keys.
pub const CLAIMS: &str = "fulmarreel/keys/";

/// The longest name of a service or zone, in bytes: that of a DNS label.
pub const MAX_NAME: usize = 63;
/// The longest hash of an idempotency key, in hexadecimal digits.
pub const MAX_HASH: usize = 64;
/// The digits of a history number, so that the order of keys is that of numbers.
const NUMBER_DIGITS: usize = 20;

/// A key taken apart; `Display` puts it together, `TryFrom<&str>` and [`Key::checked`] check it.
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
    /// A zone's watcher.
    Watcher {
        /// The zone.
        zone: &'a str,
        /// Its place among the zone's watchers.
        slot: u32,
    },
    /// An address of first contact.
    Seed {
        /// The zone.
        zone: &'a str,
        /// The advertised address.
        addr: SocketAddr,
    },
    /// The outcome of one of a service's moves.
    History {
        /// The service.
        service: &'a str,
        /// The number of the move.
        number: u64,
    },
    /// The claim of an idempotency key.
    Claim {
        /// The key's hash in lower-case hexadecimal digits.
        hash: &'a str,
    },
}

/// A key outside the layout.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// No known kind of key.
    #[error("key {key:?} is of no known kind")]
    Kind {
        /// The key.
        key: String,
    },
    /// A bad name of a service or zone.
    #[error("name {name:?}: expected 1 to {MAX_NAME} of a-z, 0-9 and '-', no '-' at either end")]
    Name {
        /// The name.
        name: String,
    },
    /// A bad hash.
    #[error("hash {hash:?}: expected 1 to {MAX_HASH} of 0-9 and a-f")]
    Hash {
        /// The hash.
        hash: String,
    },
    /// A bad number.
    #[error("number {text:?}")]
    Number {
        /// The text in its place.
        text: String,
        /// What is wrong with it.
        source: ParseIntError,
    },
    /// A number not written as the layout writes it.
    #[error("key {key:?}: expected the form {expected:?}")]
    Form {
        /// The key.
        key: String,
        /// The one form of this key.
        expected: String,
    },
    /// A bad address.
    #[error("address {text:?}")]
    Addr {
        /// The text in its place.
        text: String,
        /// What is wrong with it.
        source: AddrParseError,
    },
}

impl Key<'_> {
    /// The key's text, if its parts are well formed.
    pub fn checked(&self) -> Result<String, Error> {
        match *self {
            Self::Document { service }
            | Self::Move { service }
            | Self::Owner { service }
            | Self::History { service, .. } => check_name(service)?,
            Self::Watcher { zone, .. } | Self::Seed { zone, .. } => check_name(zone)?,
            Self::Claim { hash } => check_hash(hash)?,
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
        let unknown = || Error::Kind {
            key: text.to_owned(),
        };
        let rest = text.strip_prefix(ROOT).ok_or_else(unknown)?;
        let (kind, rest) = rest.split_once('/').ok_or_else(unknown)?;
        let pair = || rest.split_once('/').ok_or_else(unknown);
        let key = match kind {
            "documents" => Self::Document { service: rest },
            "moves" => Self::Move { service: rest },
            "owners" => Self::Owner { service: rest },
            "keys" => Self::Claim { hash: rest },
            "watchers" => {
                let (zone, slot) = pair()?;
                let slot = slot.parse().map_err(|source| number(slot, source))?;
                Self::Watcher { zone, slot }
            }
            "seeds" => {
                let (zone, addr) = pair()?;
                let addr = addr.parse().map_err(|source| Error::Addr {
                    text: addr.into(),
                    source,
                })?;
                Self::Seed { zone, addr }
            }
            "history" => {
                let (service, n) = pair()?;
                Self::History {
                    service,
                    number: n.parse().map_err(|source| number(n, source))?,
                }
            }
            _ => return Err(unknown()),
        };
        let expected = key.checked()?;
        if expected != text {
            return Err(Error::Form {
                key: text.to_owned(),
                expected,
            });
        }
        Ok(key)
    }
}

/// The prefix of a zone's watchers.
pub fn watchers(zone: &str) -> Result<String, Error> {
    check_name(zone)?;
    Ok(format!("{WATCHERS}{zone}/"))
}

/// The prefix of a zone's seeds.
pub fn seeds(zone: &str) -> Result<String, Error> {
    check_name(zone)?;
    Ok(format!("{SEEDS}{zone}/"))
}

/// The prefix of a service's history.
pub fn history(service: &str) -> Result<String, Error> {
    check_name(service)?;
    Ok(format!("{HISTORY}{service}/"))
}

fn number(text: &str, source: ParseIntError) -> Error {
    Error::Number {
        text: text.to_owned(),
        source,
    }
}

fn check_name(name: &str) -> Result<(), Error> {
    let plain = |b: u8| b.is_ascii_lowercase() || b.is_ascii_digit() || b == b'-';
    let ends = name.starts_with('-') || name.ends_with('-');
    if name.is_empty() || name.len() > MAX_NAME || ends || !name.bytes().all(plain) {
        return Err(Error::Name {
            name: name.to_owned(),
        });
    }
    Ok(())
}

fn check_hash(hash: &str) -> Result<(), Error> {
    let hex = |b: u8| b.is_ascii_digit() || (b'a'..=b'f').contains(&b);
    if hash.is_empty() || hash.len() > MAX_HASH || !hash.bytes().all(hex) {
        return Err(Error::Hash {
            hash: hash.to_owned(),
        });
    }
    Ok(())
}
