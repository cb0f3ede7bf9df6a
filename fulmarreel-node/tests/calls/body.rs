//! Responses of any size: whole, or an error.

use super::support::{
    BOOKINGS, CALLERS, RESERVAS, check_all_answered, check_history, load_options, run_load,
    run_load_with, set_target_control, start_mesh,
};
use anyhow::ensure;
use fulmarreel_testing::{
    load::{Options, Outcome, body},
    target::{CALL_HEADER, Control},
};
use rstest::rstest;
use smol::{io::AsyncWriteExt, net::TcpStream};
use std::time::Duration;

const MEGABYTE: usize = 1_048_576;

/// Verified to fail when the chunks of a streamed response overlap by a byte.
#[test]
fn answers_of_any_size_are_whole_and_reach_their_own_caller() -> anyhow::Result<()> {
    let mesh = start_mesh(&[RESERVAS; 2])?;
    smol::block_on(async {
        let options = Options {
            rate: 40.0,
            sizes: vec![
                0,
                1,
                32_768,
                32_769,
                65_535,
                65_536,
                65_537,
                300_000,
                3 * MEGABYTE,
            ],
            ..load_options(&mesh, BOOKINGS)
        };
        let (report, ()) = run_load_with(&mesh, &options, async { Ok(()) }).await?;
        check_history(&mesh, &report)?;
        check_all_answered(&report)
    })
}

/// Verified to fail when a truncated response is taken for a whole one. For a buffered response one
/// check has to be removed for that. For a streamed one it takes three, since each of them is
/// enough: that of the sender, that of the reader, and the length in the response's head.
#[rstest]
#[case::buffered(60_000)]
#[case::streamed(MEGABYTE)]
fn a_cut_answer_is_never_a_short_answer(#[case] size: usize) -> anyhow::Result<()> {
    let mesh = start_mesh(&[RESERVAS])?;
    smol::block_on(async {
        let cut = Control {
            cut: true,
            ..Control::default()
        };
        set_target_control(mesh.instances[1].target_address, &cut).await?;
        let options = Options {
            rate: 20.0,
            duration: Duration::from_secs(1),
            sizes: vec![size],
            ..load_options(&mesh, BOOKINGS)
        };
        let (report, ()) = run_load_with(&mesh, &options, async { Ok(()) }).await?;
        check_history(&mesh, &report)?;
        let errors = report.count(Outcome::Unknown) + report.count(Outcome::Failed);
        ensure!(errors == report.records.len(), "{}", report.summary());
        Ok(())
    })
}

/// Verified to hang when the task that reads a connection between nodes waits for the caller of one
/// call to take its bytes.
#[test]
fn a_caller_that_takes_no_bytes_holds_up_no_other() -> anyhow::Result<()> {
    let mesh = start_mesh(&[RESERVAS])?;
    smol::block_on(async {
        let node = mesh.instances[CALLERS].callers;
        let size = 7 * MEGABYTE;
        let mut slow = Vec::new();
        for number in 0..3 {
            let mut caller = TcpStream::connect(node).await?;
            let name = format!("slow-{number}");
            let head = format!(
                "POST {BOOKINGS} HTTP/1.1\r\nhost: reservas\r\n{CALL_HEADER}: {name}\r\ncontent-length: {size}\r\n\r\n"
            );
            caller.write_all(head.as_bytes()).await?;
            caller.write_all(&body(&name, size)).await?;
            // Its response is never read, and it stays open until the other calls have ended.
            slow.push(caller);
        }
        let others = Options {
            rate: 100.0,
            ..load_options(&mesh, BOOKINGS)
        };
        let report = run_load(&mesh, &others)?;
        check_history(&mesh, &report)?;
        check_all_answered(&report)
    })
}
