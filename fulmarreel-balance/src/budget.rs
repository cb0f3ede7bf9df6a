//! Bounds the retries of a service to a share of its calls.

/// Retries that each call pays for.
const RETRIES_PER_CALL: f64 = 0.1;

/// Retries that are saved up at most, so that a short fault of a quiet service is covered.
const MAX_SAVED: f64 = 10.0;

/// The retries that a service may still make.
#[derive(Debug)]
pub struct Budget {
    per_call: f64,
    max_saved: f64,
    saved: f64,
}

impl Default for Budget {
    fn default() -> Self {
        Self::new(RETRIES_PER_CALL, MAX_SAVED)
    }
}

impl Budget {
    /// A budget of `per_call` retries for each call, of which `max_saved` can be saved up.
    pub fn new(per_call: f64, max_saved: f64) -> Self {
        Self {
            per_call,
            max_saved,
            saved: max_saved,
        }
    }

    /// Notes a call that is no retry.
    pub fn earn(&mut self) {
        self.saved = (self.saved + self.per_call).min(self.max_saved);
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
