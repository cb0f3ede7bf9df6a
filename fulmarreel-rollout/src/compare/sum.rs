//! A sum of evidence that tracks the contributions of its top reporters.

/// Number of reporters whose contributions are tracked.
const MAX_CONTRIBUTIONS: usize = 16;

/// A log-likelihood ratio, added up over batches.
#[derive(Debug, Clone, Default)]
pub(super) struct AttributedSum {
    value: f64,
    /// Reporters and their contributions, largest first.
    contributions: Vec<(u32, f64)>,
}

impl AttributedSum {
    pub fn add(&mut self, evidence: f64) {
        self.value += evidence;
    }

    /// Attributes part of the evidence that was added to one reporter.
    pub fn attribute(&mut self, reporter: u32, evidence: f64) {
        if let Some(contribution) = self
            .contributions
            .iter_mut()
            .find(|contribution| contribution.0 == reporter)
        {
            contribution.1 += evidence;
        } else if self.contributions.len() < MAX_CONTRIBUTIONS {
            self.contributions.push((reporter, evidence));
        } else if let Some(smallest) = self.contributions.last_mut() {
            *smallest = (reporter, evidence);
        }
        self.contributions.sort_by(|a, b| b.1.total_cmp(&a.1));
    }

    pub fn value(&self) -> f64 {
        self.value
    }

    /// The sum without its `count` largest contributions.
    pub fn excluding_top(&self, count: usize) -> f64 {
        let contributions: f64 = self
            .contributions
            .iter()
            .take(count)
            .map(|contribution| contribution.1)
            .sum();
        self.value - contributions
    }

    /// Restarts the sum at a value.
    pub fn restart(&mut self, value: f64) {
        self.value = value;
        self.contributions.clear();
    }
}
