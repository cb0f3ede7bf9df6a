//! A sum of evidence that knows what the loudest reporters brought into it.

/// Reporters whose part in a sum is kept.
const MAX_PARTS: usize = 16;

/// A log-likelihood ratio, added up over batches.
#[derive(Debug, Clone, Default)]
pub(super) struct Sum {
    value: f64,
    /// Reporters and what they brought in, most first.
    parts: Vec<(u32, f64)>,
}

impl Sum {
    /// Adds evidence.
    pub fn add(&mut self, evidence: f64) {
        self.value += evidence;
    }

    /// Says which part of the evidence came from one reporter.
    pub fn attribute(&mut self, reporter: u32, evidence: f64) {
        if let Some(part) = self.parts.iter_mut().find(|part| part.0 == reporter) {
            part.1 += evidence;
        } else if self.parts.len() < MAX_PARTS {
            self.parts.push((reporter, evidence));
        } else if let Some(least) = self.parts.last_mut() {
            *least = (reporter, evidence);
        }
        self.parts.sort_by(|a, b| b.1.total_cmp(&a.1));
    }

    /// The sum.
    pub fn value(&self) -> f64 {
        self.value
    }

    /// The sum without what so many of the loudest reporters brought in.
    pub fn without(&self, left_out: usize) -> f64 {
        let parts: f64 = self.parts.iter().take(left_out).map(|part| part.1).sum();
        self.value - parts
    }

    /// Starts again at a value.
    pub fn restart(&mut self, value: f64) {
        self.value = value;
        self.parts.clear();
    }
}
