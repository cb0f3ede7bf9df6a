//! Deals requests out by weight, so that any stretch of them keeps close to the weights.

use crate::Part;
use std::sync::Mutex;

/// Deals requests out by weight.
#[derive(Debug)]
pub struct Split {
    weights: Vec<f64>,
    credit: Mutex<Vec<f64>>,
}

impl Split {
    /// A split by the weights of these parts; parts without weight get nothing.
    pub fn new(parts: &[Part]) -> Self {
        let total: f64 = parts.iter().map(|part| part.weight.max(0.0)).sum();
        let weights: Vec<f64> = parts
            .iter()
            .map(|part| {
                if total > 0.0 {
                    part.weight.max(0.0) / total
                } else {
                    0.0
                }
            })
            .collect();
        // Staggered starts keep the nodes of a fleet from dealing in step.
        let credit = weights.iter().map(|_| 0.0).collect();
        Self {
            weights,
            credit: Mutex::new(credit),
        }
    }

    /// The part that takes the next request; `phase` (0 to 1) shifts the first round.
    pub fn next(&self, phase: f64) -> usize {
        if self.weights.len() < 2 {
            return 0;
        }
        let mut credit = self.credit.lock().expect("split lock");
        if credit.iter().all(|credit| *credit == 0.0) {
            let mut point = phase;
            for (credit, weight) in credit.iter_mut().zip(&self.weights) {
                *credit = if (0.0..*weight).contains(&point) {
                    weight / 2.0
                } else {
                    0.0
                };
                point -= weight;
            }
        }
        let mut best = 0;
        for (index, weight) in self.weights.iter().enumerate() {
            credit[index] += weight;
            if credit[index] > credit[best] {
                best = index;
            }
        }
        credit[best] -= 1.0;
        best
    }
}
