//! Planned stops: of a target, of a node, and of every node in turn.

use super::support::{
    BOOKINGS, LOOKUPS, RESERVAS, await_targets, check_all_answered, check_history, load_options,
    run_load_with, set_target_control, slow_down, start_mesh,
};
use fulmarreel_testing::{
    load::{LoadProcess, Options},
    target::Control,
};
use rstest::rstest;
use smol::Timer;
use std::time::Duration;

/// Limit on the time that a node takes to exit.
const EXIT_TIMEOUT: Duration = Duration::from_secs(10);

/// Verified to fail when the `leaving` of announcements is ignored.
#[test]
fn a_leaving_target_gets_no_new_work_and_no_call_fails() -> anyhow::Result<()> {
    let mesh = start_mesh(&[RESERVAS; 3])?;
    smol::block_on(async {
        slow_down(&mesh, 10).await?;
        let leaving = async {
            let state = Control {
                leaving: true,
                ..Control::default()
            };
            set_target_control(mesh.instances[1].target_address, &state).await?;
            Timer::after(Duration::from_secs(2)).await;
            mesh.executions()
        };
        let mut options = load_options(&mesh, BOOKINGS);
        options.duration = Duration::from_secs(4);
        options.rate = 100.0;
        let (report, _) = run_load_with(&mesh, &options, leaving).await?;
        check_history(&mesh, &report)?;
        check_all_answered(&report)?;
        let port = mesh.instances[1].target_address.port();
        let file = mesh.folder().join(format!("executions-{port}"));
        let executed = std::fs::read_to_string(file)?;
        // The last calls, from number 350 on, were sent more than two seconds after the
        // announcement.
        let late = executed.lines().filter(|name| {
            let number = name.rsplit('-').next().and_then(|text| text.parse().ok());
            number.is_some_and(|number: u64| number >= 350)
        });
        assert_eq!(late.count(), 0);
        Ok(())
    })
}

/// Verified to fail, in the case of bookings, when the node exits at the signal without draining.
/// The case of lookups passes even then, since lookups are retried.
#[rstest]
#[case::bookings(BOOKINGS)]
#[case::lookups(LOOKUPS)]
fn a_node_that_is_told_to_end_cuts_off_no_call(#[case] path: &str) -> anyhow::Result<()> {
    let mut mesh = start_mesh(&[RESERVAS; 3])?;
    smol::block_on(async {
        slow_down(&mesh, 20).await?;
        let ending = async { mesh.instances[1].node.signal("TERM") };
        let (report, ()) = run_load_with(&mesh, &load_options(&mesh, path), ending).await?;
        mesh.instances[1].node.wait(EXIT_TIMEOUT)?;
        check_history(&mesh, &report)?;
        check_all_answered(&report)
    })
}

/// Verified to fail when nodes exit at the signal without draining.
#[rstest]
#[case::bookings(BOOKINGS)]
#[case::lookups(LOOKUPS)]
fn a_rolling_restart_of_every_node_fails_no_call(#[case] path: &str) -> anyhow::Result<()> {
    let mut mesh = start_mesh(&[RESERVAS; 3])?;
    smol::block_on(async {
        slow_down(&mesh, 5).await?;
        let options = Options {
            // Callers go to the next node if one refuses their connection.
            nodes: mesh
                .instances
                .iter()
                .map(|instance| instance.callers)
                .collect(),
            duration: Duration::from_secs(12),
            rate: 60.0,
            ..load_options(&mesh, path)
        };
        let load = LoadProcess::start(&options, mesh.folder())?;
        for index in 0..mesh.instances.len() {
            let instance = &mut mesh.instances[index];
            instance.node.signal("TERM")?;
            instance.node.wait(EXIT_TIMEOUT)?;
            instance.restart_node()?;
            await_targets(&mesh, 3).await?;
        }
        let report = load.finish()?;
        check_history(&mesh, &report)?;
        check_all_answered(&report)
    })
}
