//! Shares of a service's calls, and which calls belong to a share.

mod picks;

pub use picks::picks;

/// Parts of a whole share.
pub const PARTS: u32 = 1_000_000;

/// A share of calls in parts per million.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct Share(u32);

/// Why a number is no share.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
#[error("{given} parts per million is not a share: expected at most {PARTS}")]
pub struct Error {
    /// The refused number of parts.
    pub given: u32,
}

impl Share {
    /// No calls.
    pub const NONE: Self = Self(0);
    /// The smallest share that is not none.
    pub const SMALLEST: Self = Self(1);
    /// Every call.
    pub const ALL: Self = Self(PARTS);

    /// The share that is nearest to a fraction; fractions outside 0 to 1 are clamped.
    pub fn from_fraction(fraction: f64) -> Self {
        Self((fraction.clamp(0.0, 1.0) * f64::from(PARTS)).round() as u32)
    }

    /// The share as a fraction from 0 to 1.
    pub fn fraction(self) -> f64 {
        f64::from(self.0) / f64::from(PARTS)
    }

    /// Parts per million.
    pub fn parts(self) -> u32 {
        self.0
    }
}

impl TryFrom<u32> for Share {
    type Error = Error;

    fn try_from(given: u32) -> Result<Self, Error> {
        if given <= PARTS {
            Ok(Self(given))
        } else {
            Err(Error { given })
        }
    }
}
