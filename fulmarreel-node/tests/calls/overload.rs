//! More calls than the slots allow, callers that hang up, and targets that close connections.

use super::support::{
    BOOKINGS, CALLERS, RESERVAS, calls, check, control, get, mesh, run, run_with, slow_down,
};
use anyhow::ensure;
use fulmarreel_testing::{
    load::{Options, Outcome, Program},
    process::Spec,
    target::{CALL_HEADER, Control},
};
use smol::{Timer, io::AsyncWriteExt, net::TcpStream};
use std::time::Duration;

/// Seen to fail with `Admission::arrive` that always admits.
#[test]
fn slots_are_never_exceeded_and_refusals_are_true() -> anyhow::Result<()> {
    let few_slots = Spec {
        slots: 3,
        ..RESERVAS
    };
    let mesh = mesh(&[few_slots; 2])?;
    smol::block_on(async {
        // Two targets with three slots of 40 ms: 150 calls a second.
        slow_down(&mesh, 40).await?;
        let options = Options {
            rate: 300.0,
            ..calls(&mesh, BOOKINGS)
        };
        let (report, ()) = run_with(&mesh, &options, async { Ok(()) }).await?;
        check(&mesh, &report)?;
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

/// Seen to fail without the cancellation when a `Pending` call is dropped.
#[test]
fn a_waiting_call_is_not_run_once_its_caller_hangs_up() -> anyhow::Result<()> {
    let one_slot = Spec {
        slots: 1,
        ..RESERVAS
    };
    let mesh = mesh(&[one_slot])?;
    smol::block_on(async {
        slow_down(&mesh, 1_500).await?;
        let first = Options {
            rate: 10.0,
            duration: Duration::from_millis(100),
            ..calls(&mesh, BOOKINGS)
        };
        let first = Program::start(&first, mesh.folder())?;
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
        check(&mesh, &report)?;
        // The slot is free again, and a later call gets it.
        control(target, &Control::default()).await?;
        let later = Options {
            prefix: "later".to_owned(),
            rate: 10.0,
            duration: Duration::from_millis(100),
            ..calls(&mesh, BOOKINGS)
        };
        let report = run(&mesh, &later)?;
        check(&mesh, &report)?;
        ensure!(report.count(Outcome::Answered) == 1, "{}", report.summary());
        ensure!(!mesh.executions()?.contains_key("hung-up"));
        Ok(())
    })
}
