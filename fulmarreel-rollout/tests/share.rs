//! Which calls belong to a share.

use fulmarreel_document::Service;
use fulmarreel_rollout::{Share, share::includes_call};
use rstest::rstest;

fn service(name: &str) -> Service {
    name.try_into().expect("a name")
}

/// Fails if the hash of the call is used without mixing, or the low bits of the mixed hash decide.
#[rstest]
#[case::none(0, 0..=0)]
#[case::two_percent(20_000, 1_800..=2_200)]
#[case::half(500_000, 49_000..=51_000)]
#[case::all(1_000_000, 100_000..=100_000)]
fn a_share_takes_its_fraction_of_calls(
    #[case] ppm: u32,
    #[case] expected: std::ops::RangeInclusive<usize>,
) {
    let (service, share) = (service("reservas"), Share::try_from(ppm).expect("a share"));
    let picked = (0..100_000).filter(|&call| includes_call(&service, share, call));
    let picked = picked.count();
    assert!(expected.contains(&picked), "{picked} of 100000 calls");
}

/// Fails if the share is mixed into the hash.
#[test]
fn a_larger_share_keeps_the_calls_of_a_smaller_one() {
    let service = service("reservas");
    let mut rng = fastrand::Rng::with_seed(6);
    for _ in 0..20_000 {
        let (one, other) = (rng.u32(0..=1_000_000), rng.u32(0..=1_000_000));
        let [less, more] =
            [one.min(other), one.max(other)].map(|ppm| Share::try_from(ppm).expect("a share"));
        let call = rng.u64(..);
        assert!(!includes_call(&service, less, call) || includes_call(&service, more, call));
    }
}

/// Fails if the service's name is not mixed into the hash.
#[test]
fn services_of_one_chain_move_different_calls() {
    let half = Share::from_fraction(0.5);
    let (one, other) = (service("reservas"), service("agronomia"));
    let both = (0..10_000)
        .filter(|&call| includes_call(&one, half, call) && includes_call(&other, half, call));
    let both = both.count();
    assert!((2_300..=2_700).contains(&both), "{both} of 10000 calls");
}
