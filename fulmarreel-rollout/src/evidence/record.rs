//! A node's own calls become its report.

use super::{Evidence, Loudest, Pair, Route, Side, Tally, bucket};

impl Evidence {
    /// The report of one node, from its own tallies of the old and the new version per route.
    pub fn report(reporter: u32, tallies: impl IntoIterator<Item = (Route, Tally, Tally)>) -> Self {
        let pairs = tallies
            .into_iter()
            .map(|(route, old, new)| (route, Pair::report(reporter, old, new)));
        Self {
            reports: 1,
            routes: pairs.collect(),
        }
    }
}

impl Pair {
    /// One node's own tallies.
    pub fn report(reporter: u32, old: Tally, new: Tally) -> Self {
        let loudest = |loud: bool| {
            let own = loud.then(|| Loudest {
                reporter,
                new: new.clone(),
            });
            own.into_iter().collect()
        };
        Self {
            reporters: u64::from(new.calls > 0) << (reporter % u64::BITS),
            failing: loudest(new.errors > 0),
            slowest: loudest(new.calls > 0),
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
