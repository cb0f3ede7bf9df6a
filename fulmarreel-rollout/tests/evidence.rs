//! Sums of reports, and their encoding.

use fulmarreel_rollout::{
    Evidence,
    evidence::{BUCKETS, Error, MAX_TOP_REPORTERS, Tally, Wire, bucket, bucket_floor_us},
};
use rstest::rstest;

fn tally(rng: &mut fastrand::Rng, calls: u64, center_us: u64) -> Tally {
    let mut tally = Tally::default();
    for _ in 0..calls {
        tally.record(
            rng.u8(0..10) == 0,
            center_us / 2 + rng.u64(0..center_us * 2),
        );
    }
    tally
}

fn report(rng: &mut fastrand::Rng) -> Evidence {
    let reporter = rng.u32(0..30);
    let routes = rng.u16(0..3);
    let tallies: Vec<_> = (0..routes)
        .map(|route| {
            let old = rng.u64(0..5);
            let new = rng.u64(0..5);
            (route, tally(rng, old, 20_000), tally(rng, new, 20_000))
        })
        .collect();
    Evidence::report(reporter, tallies)
}

fn sum(parts: &[&Evidence]) -> Evidence {
    parts.iter().fold(Evidence::default(), |mut sum, part| {
        sum.merge(part);
        sum
    })
}

/// Fails if a tie between top reporters is decided by the order of merging.
#[test]
fn merging_is_commutative_and_associative() {
    let mut rng = fastrand::Rng::with_seed(6);
    for _ in 0..2_000 {
        let [a, b, c] = std::array::from_fn(|_| report(&mut rng));
        assert_eq!(sum(&[&a, &b]), sum(&[&b, &a]));
        assert_eq!(sum(&[&sum(&[&a, &b]), &c]), sum(&[&a, &sum(&[&b, &c])]));
    }
}

/// Fails if a sum keeps every reporter, or not the top ones.
#[test]
fn a_sum_names_the_top_reporters() {
    let reports: Vec<_> = (0..20)
        .map(|node| {
            let mut new = Tally::default();
            (0..=node).for_each(|_| new.record(true, 1_000));
            Evidence::report(node, [(0, Tally::default(), new)])
        })
        .collect();
    let sum = sum(&reports.iter().collect::<Vec<_>>());
    let failing = sum.routes[&0].failing.iter().map(|top| top.reporter);
    assert_eq!(failing.collect::<Vec<_>>(), [19, 18, 17, 16]);
    assert_eq!(sum.routes[&0].slowest.len(), MAX_TOP_REPORTERS);
}

/// Fails if a field is lost, or the index of the first bucket is.
#[test]
fn evidence_survives_the_wire() {
    let mut rng = fastrand::Rng::with_seed(6);
    for _ in 0..500 {
        let one = report(&mut rng);
        let both = sum(&[&one, &report(&mut rng)]);
        for evidence in [one, both] {
            let bytes = postcard::to_allocvec(&Wire::from(&evidence)).expect("bytes");
            let wire: Wire = postcard::from_bytes(&bytes).expect("its own bytes");
            assert_eq!(Evidence::try_from(wire), Ok(evidence));
        }
    }
}

/// Fails if empty buckets are sent, or a single reporter's tallies are sent twice. The sizes are
/// those that docs/ROLLOUT.md states.
#[rstest]
#[case::a_node_of_the_mean_service(1, 2, 1, 13)]
#[case::a_node_with_fifty_calls_a_second(1, 50, 5, 19)]
#[case::a_zone_of_eighty_nodes(80, 50, 5, 120)]
fn evidence_is_small(#[case] nodes: u32, #[case] old: u64, #[case] new: u64, #[case] bytes: usize) {
    let mut rng = fastrand::Rng::with_seed(6);
    let reports: Vec<_> = (0..nodes)
        .map(|node| {
            let (old, new) = (tally(&mut rng, old, 20_000), tally(&mut rng, new, 20_000));
            Evidence::report(node.wrapping_mul(0x9e37_79b9), [(0, old, new)])
        })
        .collect();
    let sum = sum(&reports.iter().collect::<Vec<_>>());
    let sent = postcard::to_allocvec(&Wire::from(&sum)).expect("bytes");
    assert_eq!(sent.len(), bytes);
}

/// Fails if any check of received evidence is left out.
#[rstest]
#[case::past_the_last_bucket(
    r#"{"reports":1,"routes":[{"route":3,"old":{"errors":0,"first":31,"latency":[1,1]},"new":{"errors":0,"first":0,"latency":[]},"loudest":"None"}]}"#,
    Error::Buckets { route: 3, end: BUCKETS + 1 }
)]
#[case::more_errors_than_calls(
    r#"{"reports":1,"routes":[{"route":3,"old":{"errors":0,"first":0,"latency":[]},"new":{"errors":2,"first":4,"latency":[1]},"loudest":"None"}]}"#,
    Error::Errors { route: 3, errors: 2, calls: 1 }
)]
#[case::a_route_twice(
    r#"{"reports":1,"routes":[{"route":3,"old":{"errors":0,"first":0,"latency":[]},"new":{"errors":0,"first":0,"latency":[]},"loudest":"None"},{"route":3,"old":{"errors":0,"first":0,"latency":[]},"new":{"errors":0,"first":0,"latency":[]},"loudest":"None"}]}"#,
    Error::Twice { route: 3 }
)]
fn malformed_evidence_is_refused(#[case] json: &str, #[case] error: Error) {
    let wire: Wire = serde_json::from_str(json).expect("well-formed JSON");
    assert_eq!(Evidence::try_from(wire), Err(error));
}

/// Fails if a bucket's lowest latency belongs to the bucket before it, or buckets overlap.
#[test]
fn buckets_cover_every_latency() {
    for index in 1..BUCKETS {
        assert_eq!(bucket(bucket_floor_us(index)), index);
        assert_eq!(bucket(bucket_floor_us(index) - 1), index - 1);
    }
    assert_eq!(bucket(u64::MAX), BUCKETS - 1);
}
