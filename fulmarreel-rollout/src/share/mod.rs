//! Shares of a service's calls, and which calls belong to a share.

mod picks;

pub use picks::includes_call;

/// The share of all calls, in parts per million.
pub const WHOLE_PPM: u32 = 1_000_000;

/// A share of calls, in parts per million.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct Share(u32);

/// Why a number is not a share.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
#[error("{given} parts per million is not a share: expected at most {WHOLE_PPM}")]
pub struct Error {
    /// The rejected number of parts per million.
    pub given: u32,
}

impl Share {
    /// No calls.
    pub const NONE: Self = Self(0);
    /// The smallest share above none.
    pub const SMALLEST: Self = Self(1);
    /// All calls.
    pub const ALL: Self = Self(WHOLE_PPM);

    /// The share nearest to a fraction; fractions outside 0 to 1 are clamped.
    pub fn from_fraction(fraction: f64) -> Self {
        Self((fraction.clamp(0.0, 1.0) * f64::from(WHOLE_PPM)).round() as u32)
    }

    /// The share as a fraction from 0 to 1.
    pub fn fraction(self) -> f64 {
        f64::from(self.0) / f64::from(WHOLE_PPM)
    }

    /// The share in parts per million.
    pub fn ppm(self) -> u32 {
        self.0
    }
}

impl TryFrom<u32> for Share {
    type Error = Error;

    fn try_from(given: u32) -> Result<Self, Error> {
        if given <= WHOLE_PPM {
            Ok(Self(given))
        } else {
            Err(Error { given })
        }
    }
}
