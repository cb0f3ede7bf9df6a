//! More calls than the targets have slots for, and callers that hang up while they wait for a slot.

use super::support::{
    BOOKINGS, CALLERS, RESERVAS, check_history, get, load_options, run_load, run_load_with,
    set_target_control, slow_down, start_mesh,
};
use anyhow::ensure;
use fulmarreel_testing::{
    load::{LoadProcess, Options, Outcome},
    process::InstanceSpec,
    target::{CALL_HEADER, Control},
};
use smol::{Timer, io::AsyncWriteExt, net::TcpStream};
use std::time::Duration;

/// Verified to fail when the target's node admits every call.
#[test]
fn slots_are_never_exceeded_and_refusals_are_true() -> anyhow::Result<()> {
    let few_slots = InstanceSpec {
        slots: 3,
        ..RESERVAS
    };
    let mesh = start_mesh(&[few_slots; 2])?;
    smol::block_on(async {
        // Two targets with three slots each and 40 ms a call can run 150 calls a second.
        slow_down(&mesh, 40).await?;
        let options = Options {
            rate: 300.0,
            ..load_options(&mesh, BOOKINGS)
        };
        let (report, ()) = run_load_with(&mesh, &options, async { Ok(()) }).await?;
        check_history(&mesh, &report)?;
        for instance in &mesh.instances[1..] {
            let peak: u16 = get(instance.target_address, "/peak").await?.parse()?;
            ensure!(peak <= few_slots.slots, "{peak} calls at once");
        }
        ensure!(report.count(Outcome::NotRun) > 0, "{}", report.summary());
        ensure!(report.count(Outcome::Unknown) == 0, "{}", report.summary());
        ensure!(report.count(Outcome::Failed) == 0, "{}", report.summary());
        Ok(())
    })
}

/// Verified to fail when a pending call is dropped without a cancellation.
#[test]
fn a_waiting_call_is_not_run_once_its_caller_hangs_up() -> anyhow::Result<()> {
    let one_slot = InstanceSpec {
        slots: 1,
        ..RESERVAS
    };
    let mesh = start_mesh(&[one_slot])?;
    smol::block_on(async {
        slow_down(&mesh, 1_500).await?;
        let first = Options {
            rate: 10.0,
            duration: Duration::from_millis(100),
            ..load_options(&mesh, BOOKINGS)
        };
        let first = LoadProcess::start(&first, mesh.folder())?;
        let target = mesh.instances[1].target_address;
        while get(target, "/peak").await? == "0" {
            Timer::after(Duration::from_millis(10)).await;
        }
        let mut caller = TcpStream::connect(mesh.instances[CALLERS].callers).await?;
        let request = format!(
            "POST {BOOKINGS} HTTP/1.1\r\nhost: reservas\r\n{CALL_HEADER}: hung-up\r\ncontent-length: 0\r\n\r\n"
        );
        caller.write_all(request.as_bytes()).await?;
        Timer::after(Duration::from_millis(300)).await;
        drop(caller);
        let report = first.finish()?;
        check_history(&mesh, &report)?;
        // The slot is free again, and a later call gets it.
        set_target_control(target, &Control::default()).await?;
        let later = Options {
            prefix: "later".to_owned(),
            rate: 10.0,
            duration: Duration::from_millis(100),
            ..load_options(&mesh, BOOKINGS)
        };
        let report = run_load(&mesh, &later)?;
        check_history(&mesh, &report)?;
        ensure!(report.count(Outcome::Answered) == 1, "{}", report.summary());
        ensure!(!mesh.executions()?.contains_key("hung-up"));
        Ok(())
    })
}
