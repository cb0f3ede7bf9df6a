//! The main job on one machine: calls go on while a good version takes over by its deadline, a bad one
//! is taken back, and a node is restarted.
//!
//! The last line of output is one JSON object, measured in this run; the program fails where a
//! promise was broken.

mod cli;
mod deployment;
mod moves;
mod verdict;
mod watch;

use anyhow::{Context, ensure};
use cli::Cli;
use deployment::Deployment;
use fulmarreel_testing::load;
use moves::{BAD, Ends, GOOD};
use std::{
    net::SocketAddr,
    process::ExitCode,
    time::{Duration, Instant},
};
use verdict::{Verdict, Watched};

/// How long calls are sent.
const LOAD_TIME: Duration = Duration::from_secs(125);

/// Calls go alone for that long before anything changes.
const QUIET_TIME: Duration = Duration::from_secs(3);

/// Bookings in a second.
const BOOKING_RATE: f64 = 60.0;

/// Lookups in a second.
const LOOKUP_RATE: f64 = 300.0;

/// How long a caller waits for an answer.
const CALL_TIMEOUT: Duration = Duration::from_secs(10);

/// How long a node may take to leave in order.
const LEAVE_TIME: Duration = Duration::from_secs(40);

fn main() -> ExitCode {
    match smol::block_on(run()) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("quickstart: {error:#}");
            ExitCode::FAILURE
        }
    }
}

async fn run() -> anyhow::Result<()> {
    let start = Instant::now();
    let say = |text: &str| println!("[{:>5.1} s] {text}", start.elapsed().as_secs_f64());
    say("starting a store, and two nodes with targets in each of two availability zones");
    let mut deployment = Deployment::start()?;
    let cli = Cli::new(deployment.mesh.store_address)?;
    cli.apply(&deployment.documents()?)?;
    deployment.serving().await?;
    say("every node answers; calls begin");
    let nodes = deployment.callers();
    let bookings = smol::spawn(load::run(calls(
        "reservas",
        "/reservas",
        BOOKING_RATE,
        &nodes,
    )));
    let lookups = smol::spawn(load::run(calls(
        "parcelas",
        "/parcelas",
        LOOKUP_RATE,
        &nodes,
    )));
    smol::Timer::after(QUIET_TIME).await;

    say("a good version of parcelas and a bad one of reservas start beside the old ones");
    deployment.start_new_versions().await?;
    let mut watched = Watched::default();
    for shift in [&GOOD, &BAD] {
        let path = deployment.write_move(shift)?;
        let took = watch::convergence(&cli, &path, shift.service, &deployment.admins()).await?;
        watched.convergence = watched.convergence.max(took);
        let (service, by) = (shift.service, shift.deadline_seconds);
        say(&format!(
            "{service}: move to v2 within {by} s accepted and known to every node after {took:?}"
        ));
    }
    let mut ends = Ends::default();
    ends.follow(&cli, Duration::from_secs(10), &say).await?;

    say("one node is told to leave, and started again");
    watched.restarted = deployment.restart(0, LEAVE_TIME).await;
    match &watched.restarted {
        Ok(took) => say(&format!("it left in order and is back after {took:?}")),
        Err(error) => say(&format!("it did not leave in order: {error:#}")),
    }
    let remaining = LOAD_TIME.saturating_sub(start.elapsed());
    ends.follow(&cli, remaining, &say).await?;

    say("waiting for the last answers");
    let (bookings, lookups) = (bookings.await, lookups.await);
    say(&format!("bookings: {}", bookings.summary()));
    say(&format!("lookups:  {}", lookups.summary()));
    for line in verdict::failures([&bookings, &lookups]) {
        say(&line);
    }
    let executions = deployment.executions().await?;
    drop(deployment);
    let verdict = Verdict::new(&bookings, &lookups, &executions, &ends, &watched);
    let broken = verdict.broken_promises();
    for promise in &broken {
        eprintln!("broken: {promise}");
    }
    println!("{}", serde_json::to_string(&verdict).context("verdict")?);
    ensure!(broken.is_empty(), "{} promises were broken", broken.len());
    Ok(())
}

fn calls(service: &str, path: &str, rate: f64, nodes: &[SocketAddr]) -> load::Options {
    load::Options {
        nodes: nodes.to_vec(),
        service: service.to_owned(),
        path: path.to_owned(),
        rate,
        duration: LOAD_TIME,
        sizes: vec![64, 512, 4_096, 20_000],
        prefix: service.to_owned(),
        timeout: CALL_TIMEOUT,
    }
}
