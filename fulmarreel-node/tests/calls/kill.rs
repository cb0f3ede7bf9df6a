//! Processes that are killed or suspended while calls are in progress.

use super::support::{
    BOOKINGS, CALLERS, LOOKUPS, RESERVAS, check_all_answered, check_history, load_options,
    run_load_with, slow_down, slowest, start_mesh,
};
use fulmarreel_testing::{load::Outcome, process::Process};
use rstest::rstest;
use smol::Timer;
use std::time::Duration;

/// Far below the calls' deadline of 8 s, and far above what a busy machine needs.
const FAST: Duration = Duration::from_secs(4);

/// The process that is killed.
#[derive(Debug, Clone, Copy)]
enum Victim {
    TargetNode,
    Target,
    CallersNode,
}

fn kill(process: &Process) -> anyhow::Result<()> {
    process.signal("KILL")
}

/// Verified to fail when non-idempotent calls of unknown outcome are retried, which is the naive
/// baseline: a booking ran twice in the cases of the target and of the node in front of it. The
/// case of the node that took the call has not been seen to fail.
#[rstest]
#[case::node_in_front_of_the_target(Victim::TargetNode)]
#[case::target(Victim::Target)]
#[case::node_that_took_the_call(Victim::CallersNode)]
fn bookings_run_at_most_once_when_a_process_dies(#[case] victim: Victim) -> anyhow::Result<()> {
    let mesh = start_mesh(&[RESERVAS; 3])?;
    smol::block_on(async {
        slow_down(&mesh, 20).await?;
        let killing = async {
            match victim {
                Victim::TargetNode => kill(&mesh.instances[1].node),
                Victim::Target => kill(&mesh.instances[1].target),
                Victim::CallersNode => kill(&mesh.instances[CALLERS].node),
            }
        };
        let (report, ()) = run_load_with(&mesh, &load_options(&mesh, BOOKINGS), killing).await?;
        check_history(&mesh, &report)?;
        assert!(slowest(&report)? < FAST, "{}", report.summary());
        if !matches!(victim, Victim::CallersNode) {
            // Only calls in progress at the victim can have an unknown outcome: six in its slots,
            // as many in its queue, and as many in transit.
            assert_eq!(report.count(Outcome::Failed), 0, "{}", report.summary());
            assert!(report.count(Outcome::Unknown) <= 18, "{}", report.summary());
        }
        Ok(())
    })
}

/// Verified to fail, in the case of the target, when calls of unknown outcome are never retried.
/// The case of its node has not been seen to fail: most of its calls turn out to be not run.
#[rstest]
#[case::node_in_front_of_the_target(Victim::TargetNode)]
#[case::target(Victim::Target)]
fn lookups_are_all_answered_when_a_process_dies(#[case] victim: Victim) -> anyhow::Result<()> {
    let mesh = start_mesh(&[RESERVAS; 3])?;
    smol::block_on(async {
        slow_down(&mesh, 10).await?;
        let instance = &mesh.instances[1];
        let killing = async {
            match victim {
                Victim::Target => kill(&instance.target),
                _ => kill(&instance.node),
            }
        };
        let (report, ()) = run_load_with(&mesh, &load_options(&mesh, LOOKUPS), killing).await?;
        check_history(&mesh, &report)?;
        check_all_answered(&report)
    })
}

/// Verified to fail when a call is reported as not run without a query to the node that had it (a
/// booking ran twice), and when no call is retried (both cases).
#[rstest]
#[case::bookings(BOOKINGS)]
#[case::lookups(LOOKUPS)]
fn a_frozen_node_runs_nothing_that_was_not_run(#[case] path: &str) -> anyhow::Result<()> {
    let mesh = start_mesh(&[RESERVAS; 3])?;
    smol::block_on(async {
        slow_down(&mesh, 20).await?;
        let node = &mesh.instances[1].node;
        let suspending = async {
            node.signal("STOP")?;
            Timer::after(Duration::from_millis(2_500)).await;
            node.signal("CONT")
        };
        let (report, ()) = run_load_with(&mesh, &load_options(&mesh, path), suspending).await?;
        // Gives calls that the node still holds the time to run.
        Timer::after(Duration::from_millis(1_500)).await;
        check_history(&mesh, &report)?;
        // The process has kept its state, so that the outcome of every call can be found out.
        check_all_answered(&report)
    })
}
