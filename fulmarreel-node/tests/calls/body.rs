//! Answers of any size: whole, or an error.

use super::support::{
    BOOKINGS, CALLERS, RESERVAS, calls, check, check_answered, control, mesh, run, run_with,
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

/// Seen to fail with chunks of a streamed answer whose offsets overlap by a byte.
#[test]
fn answers_of_any_size_are_whole_and_reach_their_own_caller() -> anyhow::Result<()> {
    let mesh = mesh(&[RESERVAS; 2])?;
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
            ..calls(&mesh, BOOKINGS)
        };
        let (report, ()) = run_with(&mesh, &options, async { Ok(()) }).await?;
        check(&mesh, &report)?;
        check_answered(&report)
    })
}

/// Seen to fail with a short answer that is taken for a whole one: kept, by `Call::answer`; streamed,
/// by `Call::stream`, `Stream` and a head without its length, since each of the three stops it alone.
#[rstest]
#[case::kept_whole(60_000)]
#[case::streamed(MEGABYTE)]
fn a_cut_answer_is_never_a_short_answer(#[case] size: usize) -> anyhow::Result<()> {
    let mesh = mesh(&[RESERVAS])?;
    smol::block_on(async {
        let cut = Control {
            cut: true,
            ..Control::default()
        };
        control(mesh.instances[1].target_address, &cut).await?;
        let options = Options {
            rate: 20.0,
            duration: Duration::from_secs(1),
            sizes: vec![size],
            ..calls(&mesh, BOOKINGS)
        };
        let (report, ()) = run_with(&mesh, &options, async { Ok(()) }).await?;
        check(&mesh, &report)?;
        let errors = report.count(Outcome::Unknown) + report.count(Outcome::Failed);
        ensure!(errors == report.records.len(), "{}", report.summary());
        Ok(())
    })
}

/// Seen to fail, by never ending, with a reader of connections that waits for a call's own reader.
#[test]
fn a_caller_that_takes_no_bytes_holds_up_no_other() -> anyhow::Result<()> {
    let mesh = mesh(&[RESERVAS])?;
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
            // Never read, and not closed before the others are done.
            slow.push(caller);
        }
        let others = Options {
            rate: 100.0,
            ..calls(&mesh, BOOKINGS)
        };
        let report = run(&mesh, &others)?;
        check(&mesh, &report)?;
        check_answered(&report)
    })
}
