//! Which target a request is sent to.

use fulmarreel_balance::{
    choice::Tier,
    placement::{Candidate, Request, choose},
};
use rstest::rstest;
use std::time::Duration;

/// Chooses for [`REQUEST`], with the same chance each time.
fn choose_target(candidates: &[Candidate]) -> Option<usize> {
    choose(candidates, &REQUEST, &mut fastrand::Rng::with_seed(1))
}

const REQUEST: Request = Request {
    until_objective: Duration::from_millis(600),
    until_deadline: Duration::from_millis(1_200),
    kilobytes: 5.0,
};

fn candidate(tier: Tier, load: u32) -> Candidate {
    Candidate {
        tier,
        load,
        slots: 6,
        mean_hold_time: Duration::from_millis(250),
        processing_time: Duration::from_millis(220),
        failure_rate: 0.0,
        avoided: false,
    }
}

/// Loads of a target in the own zone, one elsewhere in the region and one in another region.
#[rstest]
#[case::all_idle(0, 0, 0, Tier::SameZone)]
#[case::zone_full(6, 0, 0, Tier::SameZone)]
#[case::zone_late(20, 0, 0, Tier::SameRegion)]
#[case::region_late(20, 20, 0, Tier::OtherRegion)]
#[case::all_late(20, 20, 20, Tier::SameZone)]
fn a_paid_link_is_crossed_only_to_be_in_time(
    #[case] zone: u32,
    #[case] region: u32,
    #[case] remote: u32,
    #[case] expected: Tier,
) {
    let candidates = [
        candidate(Tier::SameZone, zone),
        candidate(Tier::SameRegion, region),
        candidate(Tier::OtherRegion, remote),
    ];
    let chosen = choose_target(&candidates).expect("a target");
    assert_eq!(candidates[chosen].tier, expected);
}

/// Fails if failures, refusals, load or processing time are ignored.
#[rstest]
#[case::failing(|candidate: &mut Candidate| candidate.failure_rate = 0.5)]
#[case::avoided(|candidate: &mut Candidate| candidate.avoided = true)]
#[case::busier(|candidate: &mut Candidate| candidate.load = 3)]
#[case::slower(|candidate: &mut Candidate| candidate.processing_time = Duration::from_millis(800))]
fn the_worse_of_two_is_not_chosen(#[case] worsen: fn(&mut Candidate)) {
    let mut candidates = [candidate(Tier::SameZone, 1), candidate(Tier::SameZone, 1)];
    worsen(&mut candidates[0]);
    assert_eq!(choose_target(&candidates), Some(1));
    candidates.reverse();
    assert_eq!(choose_target(&candidates), Some(0));
}

#[test]
fn without_a_candidate_there_is_no_choice() {
    assert_eq!(choose_target(&[]), None);
}
