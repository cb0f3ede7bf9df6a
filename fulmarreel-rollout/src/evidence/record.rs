//! Recording of a node's own calls, and the report made of them.

use super::{Evidence, Route, Side, Tally, TopReporter, VersionTallies, bucket};

impl Evidence {
    /// The report of one node, from its own tallies of the old and the new version per route.
    pub fn report(reporter: u32, tallies: impl IntoIterator<Item = (Route, Tally, Tally)>) -> Self {
        let pairs = tallies
            .into_iter()
            .map(|(route, old, new)| (route, VersionTallies::report(reporter, old, new)));
        Self {
            reports: 1,
            routes: pairs.collect(),
        }
    }
}

impl VersionTallies {
    /// The report of one node on one route, from its own tallies.
    pub fn report(reporter: u32, old: Tally, new: Tally) -> Self {
        let own_entry_if = |has_any: bool| {
            let own = has_any.then(|| TopReporter {
                reporter,
                new: new.clone(),
            });
            own.into_iter().collect()
        };
        Self {
            reporters: u64::from(new.calls > 0) << (reporter % u64::BITS),
            failing: own_entry_if(new.errors > 0),
            slowest: own_entry_if(new.calls > 0),
            old,
            new,
        }
    }

    /// The tally of one version.
    pub fn side_mut(&mut self, side: Side) -> &mut Tally {
        match side {
            Side::Old => &mut self.old,
            Side::New => &mut self.new,
        }
    }
}

impl Tally {
    /// Counts one finished call.
    pub fn record(&mut self, failed: bool, latency_us: u64) {
        self.calls += 1;
        self.errors += u64::from(failed);
        self.latency[bucket(latency_us)] += 1;
    }
}
