//! Measures the bytes and the time that two mirrors need for a change of a large configuration:
//! `cargo run --release -p fulmarreel-distribution --example delta [ROUTES]`.

mod support;

use fulmarreel_distribution::{Mirror, mirror::Change};
use fulmarreel_wire::mirror::{Pull, Update, pack, unpack};
use std::{
    env,
    hint::black_box,
    time::{Duration, Instant},
};

/// How often each step is run; the median time is printed.
const RUNS: usize = 101;

const KEY: &str = "op/config";

fn main() {
    let routes = env::args()
        .nth(1)
        .map_or(800, |routes| routes.parse().expect("the number of routes"));
    let old = config((0..routes).collect());
    let mut added: Vec<usize> = (0..routes).collect();
    added.insert(routes / 2, routes);
    let new = config(added);
    println!("value: {} bytes, then {}", old.len(), new.len());

    let peer = mirror(&[&old]);
    let mirror = mirror(&[&old, &new]);
    let pull = peer.pull_request();
    let delta = mirror.update_for(&pull).expect("a change");
    let whole = mirror
        .update_for(&Pull {
            without_deltas: true,
            ..pull.clone()
        })
        .expect("a change");
    report("delta", &delta, &old);
    report("whole", &whole, &old);
    print(
        "update_for",
        time(|| (), |&mut ()| mirror.update_for(&pull)),
    );
    let first = time(Mirror::default, |mirror| write(mirror, 1, &old));
    print("apply with chunking", first);
}

/// A configuration with these routes, each of about 190 bytes.
fn config(routes: Vec<usize>) -> Vec<u8> {
    let routes: Vec<String> = routes
        .into_iter()
        .map(|index| support::route(index, 0))
        .collect();
    format!("{{\"routes\":[{}]}}", routes.join(",")).into_bytes()
}

fn mirror(versions: &[&[u8]]) -> Mirror {
    let mut mirror = Mirror::default();
    for (revision, value) in (1..).zip(versions) {
        write(&mut mirror, revision, value);
    }
    mirror
}

fn write(mirror: &mut Mirror, revision: u64, value: &[u8]) -> bool {
    let change = Change {
        key: KEY.to_owned(),
        revision,
        value: Some(value.to_vec()),
    };
    mirror.apply(revision, vec![change])
}

/// Prints the size of an update, and the time that both sides need for it.
fn report(name: &str, update: &Update, old: &[u8]) {
    let packed = pack(update).expect("an update that can be packed");
    println!("{name}: {} bytes packed", packed.len());
    print("  pack", time(|| (), |&mut ()| pack(update)));
    print("  unpack", time(|| (), |&mut ()| unpack(&packed)));
    let input = || (mirror(&[old]), update.clone());
    let taken = time(input, |(mirror, update)| {
        mirror.apply_update(update.clone())
    });
    print("  take with chunking", taken);
}

/// The median time of a step, without the time to make its input.
fn time<I, O>(input: impl Fn() -> I, step: impl Fn(&mut I) -> O) -> Duration {
    let run = |_| {
        let mut input = input();
        let start = Instant::now();
        black_box(step(black_box(&mut input)));
        start.elapsed()
    };
    let mut times: Vec<Duration> = (0..RUNS).map(run).collect();
    times.sort();
    times[RUNS / 2]
}

fn print(step: &str, time: Duration) {
    println!("{step}: {} us", time.as_micros());
}
