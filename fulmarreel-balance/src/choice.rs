//! Selects a target by power of two choices: the less loaded of two random targets of the nearest
//! tier.

/// Distance between a target and the node that selects it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Tier {
    /// In the same availability zone.
    SameZone,
    /// In another availability zone of the region.
    SameRegion,
    /// In another region, behind a slow link that is billed by traffic.
    OtherRegion,
}

/// A target that may be selected, and what is known about it.
#[derive(Debug, Clone, Copy)]
pub struct Candidate {
    /// Its distance from this node.
    pub tier: Tier,
    /// Calls from this node that it has not completed yet.
    pub in_flight: u32,
    /// Calls in its slots and its queue as of its last response; only a hint, since it lags.
    pub reported_load: u16,
    /// Calls that it runs concurrently.
    pub slots: u16,
    /// Fraction of an equal share of the calls that it may get: just above 0 while cold, 1 once
    /// warm.
    pub warmth: f64,
    /// Whether it recently refused or failed a call.
    pub avoided: bool,
}

/// Load per slot from which calls spill over to a more distant tier.
const SPILL_LOAD: f64 = 1.0;

/// Weight of the reported calls of other nodes, relative to this node's own calls.
const REPORTED_WEIGHT: f64 = 0.5;

/// Load per slot that is added to a target to be avoided.
const AVOID_PENALTY: f64 = 2.0;

/// Returns the index of the selected candidate, or `None` if there are no candidates.
pub fn choose(candidates: &[Candidate], random: &mut fastrand::Rng) -> Option<usize> {
    let mut best: Option<(f64, usize)> = None;
    for tier in [Tier::SameZone, Tier::SameRegion, Tier::OtherRegion] {
        let Some((load, index)) = choose_in_tier(candidates, tier, random) else {
            continue;
        };
        if load < SPILL_LOAD {
            return Some(index);
        }
        if best.is_none_or(|(lowest_load, _)| load < lowest_load) {
            best = Some((load, index));
        }
    }
    best.map(|(_, index)| index)
}

fn choose_in_tier(
    candidates: &[Candidate],
    tier: Tier,
    random: &mut fastrand::Rng,
) -> Option<(f64, usize)> {
    let tier_indexes: Vec<usize> = (0..candidates.len())
        .filter(|index| candidates[*index].tier == tier)
        .collect();
    let first = sample(candidates, &tier_indexes, random)?;
    let second = sample(candidates, &tier_indexes, random)?;
    let (first_load, second_load) = (load(candidates[first]), load(candidates[second]));
    if second_load < first_load {
        Some((second_load, second))
    } else {
        Some((first_load, first))
    }
}

/// Samples one index. A cold candidate is kept only with the probability of its warmth and sampled
/// anew otherwise, so that it starts with a small share of the calls.
fn sample(
    candidates: &[Candidate],
    tier_indexes: &[usize],
    random: &mut fastrand::Rng,
) -> Option<usize> {
    let sampled = *random.choice(tier_indexes)?;
    if random.f64() < candidates[sampled].warmth {
        return Some(sampled);
    }
    random.choice(tier_indexes).copied()
}

/// Calls per slot; calls of other nodes count by [`REPORTED_WEIGHT`].
fn load(candidate: Candidate) -> f64 {
    let from_others = u32::from(candidate.reported_load).saturating_sub(candidate.in_flight);
    let calls = f64::from(candidate.in_flight) + REPORTED_WEIGHT * f64::from(from_others);
    let avoid_penalty = if candidate.avoided {
        AVOID_PENALTY
    } else {
        0.0
    };
    calls / f64::from(candidate.slots.max(1)) + avoid_penalty
}
