//! A demonstration on one machine: while calls go on, a good version takes over all calls by its
//! deadline, a bad version is rolled back, and a node is restarted.
//!
//! The last line of the output is a JSON object with the measurements of the run. The program fails if
//! the run violates one of the guarantees that it checks.

mod cli;
mod deployment;
mod moves;
mod verdict;
mod watch;

use anyhow::{Context, ensure};
use cli::Cli;
use deployment::Deployment;
use fulmarreel_testing::load;
use moves::{BAD_MOVE, GOOD_MOVE, MoveOutcomes};
use std::{
    net::SocketAddr,
    process::ExitCode,
    time::{Duration, Instant},
};
use verdict::{Observed, Verdict};

/// How long new calls are started.
const LOAD_TIME: Duration = Duration::from_secs(125);

/// How long calls are sent before the first change.
const INITIAL_CALLS_TIME: Duration = Duration::from_secs(3);

/// Bookings per second.
const BOOKING_RATE: f64 = 60.0;

/// Lookups per second.
const LOOKUP_RATE: f64 = 300.0;

/// How long a caller waits for an answer.
const CALL_TIMEOUT: Duration = Duration::from_secs(10);

/// How long a node may take to leave gracefully.
const LEAVE_TIMEOUT: Duration = Duration::from_secs(40);

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
    cli.apply(&deployment.write_documents()?)?;
    deployment.wait_until_serving().await?;
    say("every node answers; calls begin");
    let nodes = deployment.caller_addresses();
    let bookings = smol::spawn(load::run(load_options(
        "reservas",
        "/reservas",
        BOOKING_RATE,
        &nodes,
    )));
    let lookups = smol::spawn(load::run(load_options(
        "parcelas",
        "/parcelas",
        LOOKUP_RATE,
        &nodes,
    )));
    smol::Timer::after(INITIAL_CALLS_TIME).await;

    say("a good version of parcelas and a bad one of reservas start beside the old ones");
    deployment.start_new_versions().await?;
    let mut observed = Observed::default();
    for planned in [&GOOD_MOVE, &BAD_MOVE] {
        let path = deployment.write_move(planned)?;
        let took = watch::apply_and_measure_convergence(
            &cli,
            &path,
            planned.service,
            &deployment.admin_addresses(),
        )
        .await?;
        observed.convergence = observed.convergence.max(took);
        let (service, by) = (planned.service, planned.deadline_seconds);
        say(&format!(
            "{service}: move to v2 within {by} s accepted and known to every node after {took:?}"
        ));
    }
    let mut outcomes = MoveOutcomes::default();
    outcomes.follow(&cli, Duration::from_secs(10), &say).await?;

    say("one node is told to leave, and started again");
    observed.restart = deployment.restart(0, LEAVE_TIMEOUT).await;
    match &observed.restart {
        Ok(took) => say(&format!("it left in order and is back after {took:?}")),
        Err(error) => say(&format!("it did not leave in order: {error:#}")),
    }
    let remaining = LOAD_TIME.saturating_sub(start.elapsed());
    outcomes.follow(&cli, remaining, &say).await?;

    say("waiting for the last answers");
    let (bookings, lookups) = (bookings.await, lookups.await);
    say(&format!("bookings: {}", bookings.summary()));
    say(&format!("lookups:  {}", lookups.summary()));
    for line in verdict::failures([&bookings, &lookups]) {
        say(&line);
    }
    let executions = deployment.executions().await?;
    drop(deployment);
    let verdict = Verdict::new(&bookings, &lookups, &executions, &outcomes, &observed);
    let violations = verdict.violations();
    for violation in &violations {
        eprintln!("broken: {violation}");
    }
    println!("{}", serde_json::to_string(&verdict).context("verdict")?);
    ensure!(
        violations.is_empty(),
        "{} promises were broken",
        violations.len()
    );
    Ok(())
}

fn load_options(service: &str, path: &str, rate: f64, nodes: &[SocketAddr]) -> load::Options {
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
