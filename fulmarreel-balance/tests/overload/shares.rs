//! What callers get of a target that is asked for more than it can run.

use crate::play::{CAPACITY, OBJECTIVE, Stream, play, served_share};
use rstest::rstest;
use std::ops::Range;

/// Fails if new work takes the slots or the queue from calls of targets. On the heaviest day a quarter of
/// all runs failed because such a call was refused.
#[rstest]
fn calls_of_targets_are_served_while_new_work_is_twice_the_capacity(
    #[values(1, 2, 3)] seed: u64,
    #[values(0.2, 0.5, 0.8)] internal: f64,
) {
    let streams = [
        Stream::internal(internal * CAPACITY),
        Stream::new_work(1, 0, 1.0, CAPACITY),
        Stream::new_work(2, 1, 1.0, CAPACITY),
    ];
    let results = play(&streams, seed);
    let refused = results[0].refused_share();
    assert!(refused < 0.02, "{refused}");
}

/// Fails if requests are served in the order of their arrival: an account that sends seven times its
/// usual demand then costs all others most of their requests.
#[rstest]
fn an_account_with_many_times_its_demand_costs_others_nothing(#[values(1, 2, 3)] seed: u64) {
    let served_share_of_others = |excess: f64| {
        let usual = 0.08 * CAPACITY;
        let others = (1..=9).map(|account| Stream::new_work(account, 0, 1.0, usual));
        let mut streams: Vec<Stream> = others.collect();
        streams.push(Stream::new_work(10, 0, 1.0, excess * usual));
        let results = play(&streams, seed);
        served_share(&results[..9])
    };
    let (usual, in_excess) = (served_share_of_others(1.0), served_share_of_others(7.0));
    assert!(in_excess > usual - 0.015, "{in_excess} instead of {usual}");
}

/// Fails if large accounts, whose weight is their quota, get another share of what they ask for than small
/// ones. Requests of small accounts come at uneven intervals, and were refused more often.
#[rstest]
fn accounts_of_all_sizes_get_the_same_share(#[values(1.2, 2.0)] load: f64) {
    let sizes: Vec<f64> = (1..=77).map(|rank| f64::from(rank).powf(-1.2)).collect();
    let total: f64 = sizes.iter().sum();
    let streams = sizes.iter().zip(0..).map(|(size, account)| {
        let per_s = load * CAPACITY * size / total;
        Stream::new_work(account, 0, 750.0 * size, per_s)
    });
    let streams: Vec<Stream> = streams.collect();
    let plays: Vec<Vec<_>> = (1..=3).map(|seed| play(&streams, seed)).collect();
    let share_of = |accounts: Range<usize>| {
        let results: Vec<_> = plays
            .iter()
            .flat_map(|results| results[accounts.clone()].to_vec())
            .collect();
        served_share(&results)
    };
    let overall = share_of(0..77);
    for (accounts, least) in [(0..3, 0.85), (3..10, 0.9), (10..30, 0.9), (30..77, 0.95)] {
        let share = share_of(accounts.clone()) / overall;
        assert!(share > least, "{share} of {overall}: {accounts:?}");
    }
    assert!(overall > 0.93 / load, "{overall}");
}

/// Fails if priorities have no effect, or starve accounts: each is to get at least a quarter of the
/// overall share.
#[rstest]
fn urgent_accounts_go_first_and_none_is_starved(#[values(1, 2, 3)] seed: u64) {
    let streams = [
        Stream::new_work(1, 0, 1.0, 0.6 * CAPACITY),
        Stream::new_work(2, 1, 1.0, 0.6 * CAPACITY),
        Stream::new_work(3, 2, 1.0, 0.6 * CAPACITY),
        Stream::new_work(4, 2, 0.1, 0.06 * CAPACITY),
    ];
    let results = play(&streams, seed);
    let shares: Vec<f64> = results.iter().map(|result| result.served_share()).collect();
    let overall = served_share(&results);
    assert!(shares[0] > 0.85 && shares[0] > shares[1], "{shares:?}");
    assert!(shares[1] > shares[2], "{shares:?}");
    for share in &shares {
        assert!(*share > overall / 4.0, "{shares:?} of {overall}");
    }
}

/// Fails if requests that get no slot are told so late.
#[rstest]
fn refusals_come_early(#[values(1, 2, 3)] seed: u64) {
    let streams = [
        Stream::internal(0.3 * CAPACITY),
        Stream::new_work(1, 0, 1.0, CAPACITY),
        Stream::new_work(2, 1, 1.0, CAPACITY),
    ];
    let results = play(&streams, seed);
    let refused = results.iter().flat_map(|result| &result.refused_after);
    let late = refused.clone().filter(|after| **after > OBJECTIVE / 8);
    let late_share = late.count() as f64 / refused.count() as f64;
    assert!(late_share < 0.05, "{late_share}");
}
