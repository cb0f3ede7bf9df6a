//! Names of services and versions.

use std::fmt;

/// Longest accepted name in bytes, as for a DNS label.
pub const MAX_NAME_BYTES: usize = 63;

/// Why a name was refused.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
#[error(
    "'{given}' is not a name: expected 1 to {MAX_NAME_BYTES} of a-z, 0-9, '.', '-', starting with a letter or digit"
)]
pub struct Error {
    /// The refused text.
    pub given: String,
}

fn check(given: &str) -> Result<String, Error> {
    let allowed = |c: char| c.is_ascii_lowercase() || c.is_ascii_digit() || c == '-' || c == '.';
    let starts_well = given.starts_with(|c: char| c.is_ascii_alphanumeric());
    if starts_well && given.len() <= MAX_NAME_BYTES && given.chars().all(allowed) {
        Ok(given.to_owned())
    } else {
        Err(Error {
            given: given.to_owned(),
        })
    }
}

macro_rules! name {
    ($(#[$doc:meta])* $name:ident) => {
        $(#[$doc])*
        #[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash)]
        pub struct $name(String);

        impl $name {
            /// The name as text.
            pub fn as_str(&self) -> &str {
                &self.0
            }
        }

        impl TryFrom<&str> for $name {
            type Error = Error;

            fn try_from(given: &str) -> Result<Self, Error> {
                check(given).map(Self)
            }
        }

        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                f.write_str(&self.0)
            }
        }
    };
}

name! {
    /// The name of a service.
    Service
}

name! {
    /// The name of one version of a service.
    Version
}
