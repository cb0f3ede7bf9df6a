//! Smooth weighted round-robin: every run of consecutive requests is distributed close to the
//! weights.

use crate::WeightedService;
use std::sync::Mutex;

/// Distributes requests over the services of a route by smooth weighted round-robin.
#[derive(Debug)]
pub struct WeightedSplit {
    /// Fractions of the requests, with a sum of 1 unless no service has a weight.
    weights: Vec<f64>,
    /// How far each service is behind its weight, in requests; negative if it is ahead.
    credits: Mutex<Vec<f64>>,
}

impl WeightedSplit {
    /// Creates a split by the weights of the services; a service without a positive weight gets no
    /// requests while another service has one.
    pub fn new(services: &[WeightedService]) -> Self {
        let total: f64 = services.iter().map(|service| service.weight.max(0.0)).sum();
        let weights: Vec<f64> = services
            .iter()
            .map(|service| {
                if total > 0.0 {
                    service.weight.max(0.0) / total
                } else {
                    0.0
                }
            })
            .collect();
        // `next_service` sets the initial credits by its phase. The different phases keep the nodes
        // of a fleet from sending to the same service in lockstep.
        let credits = weights.iter().map(|_| 0.0).collect();
        Self {
            weights,
            credits: Mutex::new(credits),
        }
    }

    /// Returns the index of the service that gets the next request. `phase`, from 0 to 1, selects
    /// where the distribution starts; only the first call uses it.
    pub fn next_service(&self, phase: f64) -> usize {
        if self.weights.len() < 2 {
            return 0;
        }
        let mut credits = self.credits.lock().expect("split lock");
        if credits.iter().all(|credit| *credit == 0.0) {
            let mut point = phase;
            for (credit, weight) in credits.iter_mut().zip(&self.weights) {
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
            credits[index] += weight;
            if credits[index] > credits[best] {
                best = index;
            }
        }
        credits[best] -= 1.0;
        best
    }
}
