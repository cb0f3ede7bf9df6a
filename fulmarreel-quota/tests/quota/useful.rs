//! What is served of a demand.

use crate::play::{Play, Rules, ms};
use fulmarreel_quota::limit::Quota;

const NODES: usize = 70;

/// The part of an account's rate that its clients usually ask for.
const USUAL_DEMAND: f64 = 0.62;

/// The least part of the demand, or of the quota, that has to be served.
const MIN_SERVED: f64 = 0.95;

const WARM_UP_MS: u64 = 12_000;
/// The least part of the demand that has to be served in the 9 s after the coordinator was lost, and
/// that of the smallest account. Without deputies 16% were served at 113/s with an even spread.
const MIN_SERVED_LOSS: f64 = 0.8;
const MIN_SERVED_SMALL_LOSS: f64 = 0.5;

/// The length of a play; the smallest account has about 500 requests in it.
fn play_ms(rate: f64) -> u64 {
    match rate {
        rate if rate < 10.0 => 200_000,
        rate if rate < 30.0 => 100_000,
        _ => 20_000,
    }
}

/// The largest account, two in between, and the smallest.
const RATES: [f64; 5] = [750.0, 113.0, 42.0, 21.0, 4.0];

fn rules(rate_per_s: f64) -> Rules {
    let burst = rate_per_s;
    Rules {
        nodes: NODES,
        quota: Quota { rate_per_s, burst },
        clump: 2,
        loss: 0.0,
        late: 0.0,
        not_run: 0.0,
    }
}

/// The part of the demand that each node sees.
fn spreads() -> Vec<(&'static str, Vec<f64>)> {
    let ranked: Vec<f64> = (1..=NODES).map(|rank| 1.0 / rank as f64).collect();
    let sum: f64 = ranked.iter().sum();
    let one = |node| {
        (0..NODES)
            .map(|other| f64::from(u8::from(other == node)))
            .collect()
    };
    vec![
        ("even", vec![1.0 / NODES as f64; NODES]),
        ("by rank", ranked.iter().map(|part| part / sum).collect()),
        ("one", one(3)),
        (
            "seven",
            (0..NODES)
                .map(|node| if node % 10 == 0 { 1.0 / 7.0 } else { 0.0 })
                .collect(),
        ),
    ]
}

fn demand(play: &mut Play, spread: &[f64], per_s: f64) {
    for (node, part) in spread.iter().enumerate() {
        play.set_demand(node, per_s * part);
    }
}

/// Fails if an account within its quota is refused more than 5 in 100 requests in calm, however its
/// clients are spread.
#[test]
fn demand_within_the_quota_is_served() {
    for rate in RATES {
        for (name, spread) in spreads() {
            let mut play = Play::new(rules(rate), 11);
            play.run_until(play.now + ms(WARM_UP_MS));
            demand(&mut play, &spread, rate * USUAL_DEMAND);
            play.run_until(play.now + ms(play_ms(rate)));
            let served = play.ran.len() as f64 / play.within_quota as f64;
            println!(
                "{rate}/s {name}: {served:.3} of {}, {} messages",
                play.offered, play.sent
            );
            assert!(served >= MIN_SERVED, "{rate}/s {name}: {served}");
        }
    }
}

/// Fails if an account that sends seven times its usual demand gets less than 95% of its quota.
#[test]
fn an_account_over_its_quota_gets_its_quota() {
    for rate in RATES {
        for (name, spread) in spreads() {
            let mut play = Play::new(rules(rate), 12);
            play.run_until(play.now + ms(WARM_UP_MS));
            demand(&mut play, &spread, rate * USUAL_DEMAND);
            play.run_until(play.now + ms(3_000));
            let before = play.ran.len();
            demand(&mut play, &spread, rate * USUAL_DEMAND * 7.0);
            play.run_until(play.now + ms(play_ms(rate)));
            let served = (play.ran.len() - before) as f64 / (rate * play_ms(rate) as f64 / 1e3);
            println!(
                "{rate}/s {name}: {served:.3} of the quota, {} messages",
                play.sent
            );
            assert!(served >= MIN_SERVED, "{rate}/s {name}: {served}");
        }
    }
}

/// Fails if requests within the quota are refused because the coordinator is lost.
#[test]
fn the_loss_of_the_coordinator_stops_nobody() {
    for rate in RATES {
        for (name, spread) in spreads() {
            let (mut offered, mut refused) = (0, 0);
            for seed in 0..4 {
                let mut play = Play::new(rules(rate), 100 + seed);
                play.run_until(play.now + ms(WARM_UP_MS));
                demand(&mut play, &spread, rate * USUAL_DEMAND);
                play.run_until(play.now + ms(15_000));
                let before = (play.offered, play.refused);
                play.kill_coordinator();
                play.run_until(play.now + ms(9_000));
                offered += play.offered - before.0;
                refused += play.refused - before.1;
            }
            let served = 1.0 - refused as f64 / offered as f64;
            println!("{rate}/s {name}: {served:.3} of {offered} after the loss");
            let least = if rate < 10.0 {
                MIN_SERVED_SMALL_LOSS
            } else {
                MIN_SERVED_LOSS
            };
            assert!(served >= least, "{rate}/s {name}: {served}");
        }
    }
}
