//! Names of services, versions and places.

use std::fmt;

/// Longest accepted name in bytes, as for a DNS label.
pub const MAX_NAME_BYTES: usize = 63;

/// What a service's name may be: it is a part of the store's keys.
const SERVICE: &str = "1 to 63 of a-z, 0-9 and '-', with a letter or digit at both ends";

/// What a version's name may be.
const VERSION: &str = "1 to 63 of a-z, 0-9, '.' and '-', with a letter or digit at both ends";

/// Why a name was refused.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
#[error("'{given}' is not a name, expected {expected}")]
pub struct Error {
    /// The refused text.
    pub given: String,
    /// What is accepted.
    pub expected: &'static str,
}

fn check(given: &str, further: &[char], expected: &'static str) -> Result<String, Error> {
    let plain = |c: char| c.is_ascii_lowercase() || c.is_ascii_digit();
    let allowed = |c: char| plain(c) || further.contains(&c);
    let ends = given.starts_with(plain) && given.ends_with(plain);
    if ends && given.len() <= MAX_NAME_BYTES && given.chars().all(allowed) {
        Ok(given.to_owned())
    } else {
        Err(Error {
            given: given.to_owned(),
            expected,
        })
    }
}

macro_rules! name {
    ($(#[$doc:meta])* $name:ident, $further:expr, $expected:expr) => {
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
                check(given, $further, $expected).map(Self)
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
    Service, &['-'], SERVICE
}

name! {
    /// The name of one version of a service.
    Version, &['-', '.'], VERSION
}
