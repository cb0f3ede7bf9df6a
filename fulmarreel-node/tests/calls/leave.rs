//! Planned ends: a target that is leaving, a node that is told to end, every node in turn.

use super::support::{
    BOOKINGS, LOOKUPS, RESERVAS, await_targets, calls, check, check_answered, control, mesh,
    run_with, slow_down,
};
use fulmarreel_testing::{
    load::{Options, Program},
    target::Control,
};
use rstest::rstest;
use smol::Timer;
use std::time::Duration;

/// How long a process may take to end.
const PATIENCE: Duration = Duration::from_secs(10);

/// Seen to fail with announcements whose `leaving` is ignored.
#[test]
fn a_leaving_target_gets_no_new_work_and_no_call_fails() -> anyhow::Result<()> {
    let mesh = mesh(&[RESERVAS; 3])?;
    smol::block_on(async {
        slow_down(&mesh, 10).await?;
        let leaving = async {
            let state = Control {
                leaving: true,
                ..Control::default()
            };
            control(mesh.instances[1].target_address, &state).await?;
            Timer::after(Duration::from_secs(2)).await;
            mesh.executions()
        };
        let mut options = calls(&mesh, BOOKINGS);
        options.duration = Duration::from_secs(4);
        options.rate = 100.0;
        let (report, _) = run_with(&mesh, &options, leaving).await?;
        check(&mesh, &report)?;
        check_answered(&report)?;
        let port = mesh.instances[1].target_address.port();
        let file = mesh.folder().join(format!("executions-{port}"));
        let executed = std::fs::read_to_string(file)?;
        // The last quarter of the calls came more than two seconds after the announcement.
        let late = executed.lines().filter(|name| {
            let number = name.rsplit('-').next().and_then(|text| text.parse().ok());
            number.is_some_and(|number: u64| number >= 350)
        });
        assert_eq!(late.count(), 0);
        Ok(())
    })
}

/// Seen to fail with `leave::run` that returns at the signal, in the case of bookings; that of
/// lookups passed then, as these are retried.
#[rstest]
#[case::bookings(BOOKINGS)]
#[case::lookups(LOOKUPS)]
fn a_node_that_is_told_to_end_cuts_off_no_call(#[case] path: &str) -> anyhow::Result<()> {
    let mut mesh = mesh(&[RESERVAS; 3])?;
    smol::block_on(async {
        slow_down(&mesh, 20).await?;
        let ending = async { mesh.instances[1].node.signal("TERM") };
        let (report, ()) = run_with(&mesh, &calls(&mesh, path), ending).await?;
        mesh.instances[1].node.wait(PATIENCE)?;
        check(&mesh, &report)?;
        check_answered(&report)
    })
}

/// Seen to fail with `leave::run` that returns at the signal.
#[rstest]
#[case::bookings(BOOKINGS)]
#[case::lookups(LOOKUPS)]
fn a_rolling_restart_of_every_node_fails_no_call(#[case] path: &str) -> anyhow::Result<()> {
    let mut mesh = mesh(&[RESERVAS; 3])?;
    smol::block_on(async {
        slow_down(&mesh, 5).await?;
        let options = Options {
            // Callers go to the next node where one refuses their connection.
            nodes: mesh
                .instances
                .iter()
                .map(|instance| instance.callers)
                .collect(),
            duration: Duration::from_secs(12),
            rate: 60.0,
            ..calls(&mesh, path)
        };
        let load = Program::start(&options, mesh.folder())?;
        for index in 0..mesh.instances.len() {
            let instance = &mut mesh.instances[index];
            instance.node.signal("TERM")?;
            instance.node.wait(PATIENCE)?;
            instance.restart_node()?;
            await_targets(&mesh, 3).await?;
        }
        let report = load.finish()?;
        check(&mesh, &report)?;
        check_answered(&report)
    })
}
