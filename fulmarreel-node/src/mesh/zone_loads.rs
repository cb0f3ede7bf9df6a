//! How loaded the targets of each zone are, as this node's own requests have lately shown.

use super::view::Target;
use fulmarreel_balance::zones::ZoneLoad;
use std::{collections::HashMap, sync::Mutex, time::Instant};

/// The loads of zones by service, then by zone.
#[derive(Debug, Default)]
pub struct ZoneLoads(Mutex<HashMap<String, HashMap<String, ZoneLoad>>>);

impl ZoneLoads {
    /// Records the load that a target reported.
    pub fn record(&self, service: &str, target: &Target, load: u16) {
        self.update(service, target, |zone, now| {
            zone.record(u32::from(load), target.slots, now);
        });
    }

    /// Records that a target refused a request for lack of room.
    pub fn record_refusal(&self, service: &str, target: &Target) {
        self.update(service, target, ZoneLoad::record_refusal);
    }

    /// The load of a zone, in requests that run or wait, per slot.
    pub fn busy(&self, service: &str, zone: &str) -> f64 {
        let now = Instant::now();
        let loads = self.0.lock().expect("zone loads lock");
        let known = loads.get(service).and_then(|zones| zones.get(zone));
        known.copied().unwrap_or(ZoneLoad::new(now)).busy(now)
    }

    fn update(&self, service: &str, target: &Target, update: impl FnOnce(&mut ZoneLoad, Instant)) {
        let now = Instant::now();
        let mut loads = self.0.lock().expect("zone loads lock");
        if !loads.contains_key(service) {
            loads.insert(service.to_owned(), HashMap::new());
        }
        let zones = loads.entry(service.to_owned()).or_default();
        let zone = zones.entry(target.zone.clone());
        update(zone.or_insert(ZoneLoad::new(now)), now);
    }
}
