//! Choice of a target: two random ones of the nearest tier, the less loaded of them.

/// How far a target is from the node that chooses.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Tier {
    /// In the same availability zone.
    Zone,
    /// In another availability zone of the region.
    Region,
    /// In another region, behind a link that is slow and billed.
    Remote,
}

/// What is known of a target that may be chosen.
#[derive(Debug, Clone, Copy)]
pub struct Candidate {
    /// How far it is.
    pub tier: Tier,
    /// Calls of this node that it has at present.
    pub in_flight: u32,
    /// Calls in its slots, as it said on its last answer; a hint, for it lags.
    pub reported: u16,
    /// Its slots.
    pub slots: u16,
    /// Share of its part of the calls that it may have, from above 0 while cold to 1.
    pub warmth: f64,
    /// Whether it refused or failed a moment ago.
    pub avoided: bool,
}

/// The load per slot from which calls go to a tier further away.
const SPILL_LOAD: f64 = 1.0;

/// Weight of what others have there, as far as it was reported.
const REPORT_WEIGHT: f64 = 0.5;

/// Load per slot that is added for a target to be avoided.
const AVOID_LOAD: f64 = 2.0;

/// Chooses one of the candidates; `None` where there is none.
pub fn choose(candidates: &[Candidate], random: &mut fastrand::Rng) -> Option<usize> {
    let mut best: Option<(f64, usize)> = None;
    for tier in [Tier::Zone, Tier::Region, Tier::Remote] {
        let Some((load, index)) = choose_in(candidates, tier, random) else {
            continue;
        };
        if load < SPILL_LOAD {
            return Some(index);
        }
        if best.is_none_or(|(least, _)| load < least) {
            best = Some((load, index));
        }
    }
    best.map(|(_, index)| index)
}

fn choose_in(
    candidates: &[Candidate],
    tier: Tier,
    random: &mut fastrand::Rng,
) -> Option<(f64, usize)> {
    let members: Vec<usize> = (0..candidates.len())
        .filter(|index| candidates[*index].tier == tier)
        .collect();
    let first = draw(candidates, &members, random)?;
    let second = draw(candidates, &members, random)?;
    let (first_load, second_load) = (load(candidates[first]), load(candidates[second]));
    if second_load < first_load {
        Some((second_load, second))
    } else {
        Some((first_load, first))
    }
}

/// Draws one member; a cold one is drawn again in part, so that it starts with a small share.
fn draw(candidates: &[Candidate], members: &[usize], random: &mut fastrand::Rng) -> Option<usize> {
    let drawn = *random.choice(members)?;
    if random.f64() < candidates[drawn].warmth {
        return Some(drawn);
    }
    random.choice(members).copied()
}

/// Calls per slot: those of this node in full, those of others at a weight.
fn load(candidate: Candidate) -> f64 {
    let others = u32::from(candidate.reported).saturating_sub(candidate.in_flight);
    let calls = f64::from(candidate.in_flight) + REPORT_WEIGHT * f64::from(others);
    let avoided = if candidate.avoided { AVOID_LOAD } else { 0.0 };
    calls / f64::from(candidate.slots.max(1)) + avoided
}
