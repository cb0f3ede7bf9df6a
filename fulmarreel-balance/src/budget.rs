//! Bounds the retries of a service to a share of its calls.

/// Retries that each call pays for.
const RETRIES_PER_CALL: f64 = 0.1;

/// Retries that are saved up at most, so that a short fault of a quiet service is covered.
const MAX_SAVED: f64 = 10.0;

/// The retries that a service may still make.
#[derive(Debug)]
pub struct Budget {
    saved: f64,
}

impl Default for Budget {
    fn default() -> Self {
        Self { saved: MAX_SAVED }
    }
}

impl Budget {
    /// Notes a call that is no retry.
    pub fn earn(&mut self) {
        self.saved = (self.saved + RETRIES_PER_CALL).min(MAX_SAVED);
    }

    /// Takes one retry; false where none is left.
    pub fn spend(&mut self) -> bool {
        let left = self.saved >= 1.0;
        if left {
            self.saved -= 1.0;
        }
        left
    }
}
