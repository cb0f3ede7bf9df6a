//! Names of services and versions.

use std::fmt;

/// Limit of a name in bytes, as for a DNS label.
pub const MAX_NAME_BYTES: usize = 63;

/// Form of a service's name, which is part of keys in the store.
const SERVICE_FORM: &str = "1 to 63 of a-z, 0-9 and '-', with a letter or digit at both ends";

/// Form of a version's name.
const VERSION_FORM: &str = "1 to 63 of a-z, 0-9, '.' and '-', with a letter or digit at both ends";

/// A text that is not a valid name.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
#[error("'{given}' is not a name, expected {expected}")]
pub struct Error {
    /// The refused text.
    pub given: String,
    /// The accepted form.
    pub expected: &'static str,
}

fn validate(given: &str, punctuation: &[char], expected: &'static str) -> Result<String, Error> {
    let alphanumeric = |c: char| c.is_ascii_lowercase() || c.is_ascii_digit();
    let allowed = |c: char| alphanumeric(c) || punctuation.contains(&c);
    let valid_ends = given.starts_with(alphanumeric) && given.ends_with(alphanumeric);
    if valid_ends && given.len() <= MAX_NAME_BYTES && given.chars().all(allowed) {
        Ok(given.to_owned())
    } else {
        Err(Error {
            given: given.to_owned(),
            expected,
        })
    }
}

macro_rules! name {
    ($(#[$doc:meta])* $name:ident, $punctuation:expr, $expected:expr) => {
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
                validate(given, $punctuation, $expected).map(Self)
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
    Service, &['-'], SERVICE_FORM
}

name! {
    /// The name of one version of a service.
    Version, &['-', '.'], VERSION_FORM
}
