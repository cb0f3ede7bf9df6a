//! A target that breaks its response off, or sends one without end.

use crate::support::{call, exchange, run};
use anyhow::{Context, ensure};
use fulmarreel_node::target::Client;
use fulmarreel_testing::{
    answers::{self, End, Fault, LONG_BODY_BYTES, Script, Timing},
    flood,
};
use rstest::rstest;
use smol::{Timer, future::or};
use std::{sync::atomic::Ordering, time::Duration};

/// How much of a head without end may be taken. The system's own buffers of a connection count, which may
/// hold some 10 MB; the client's limit is far below.
const MAX_TAKEN_BYTES: usize = 33_554_432;

/// Limit on the time until the client gives a head without end up by itself.
const FLOOD_TIMEOUT: Duration = Duration::from_secs(15);

/// The body of the answers.
const BODY: &str = "what the target said";

/// How often an answer is tried where the outcome depends on when its connection ends.
const ROUNDS: usize = 6;

/// Fails if an answer that the protocol calls invalid or incomplete is taken for an answer.
#[rstest]
fn a_broken_answer_is_none(
    #[values(
        Fault::StatusLine,
        Fault::Field,
        Fault::Length,
        Fault::Coding,
        Fault::Chunks,
        Fault::End
    )]
    fault: Fault,
) -> anyhow::Result<()> {
    run(async {
        let ask = async |target| {
            let (status, body) = exchange(&Client::new(target), Vec::new()).await.ok()?;
            Some(format!("{status} {}", String::from_utf8_lossy(&body)))
        };
        let taken = answers::taken(fault, "", BODY, ask).await?;
        ensure!(taken.is_empty(), "{taken:#?}");
        Ok(())
    })
}

/// Fails if a sound answer of any form is rejected, or its body changed.
#[test]
fn a_sound_answer_is_taken() -> anyhow::Result<()> {
    run(async {
        for answer in answers::sound("X-Own: y\r\n", BODY) {
            let client = Client::new(answers::start_closing(answer.bytes).await?);
            let (status, body) = exchange(&client, Vec::new()).await.context(answer.name)?;
            ensure!(status == 200, "{}: {status}", answer.name);
            ensure!(body == BODY.as_bytes(), "{}: {body:?}", answer.name);
        }
        Ok(())
    })
}

/// Fails if part of an answer is taken for a whole one though its connection was reset.
#[rstest]
#[case::no_length(b"HTTP/1.1 200 OK\r\n\r\npart")]
#[case::length(b"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\npart")]
#[case::chunks(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\npart\r\n")]
fn an_answer_that_is_reset_is_none(
    #[case] answer: &'static [u8],
    #[values(Timing::BeforeRequest, Timing::DuringRequest, Timing::AfterRequest)] timing: Timing,
    #[values(End::Reset, End::LateReset)] end: End,
    #[values(0, LONG_BODY_BYTES)] body_bytes: usize,
) -> anyhow::Result<()> {
    run(async {
        let answer = answer.to_vec();
        let client = Client::new(
            answers::start(Script {
                answer,
                timing,
                end,
            })
            .await?,
        );
        for round in 0..ROUNDS {
            let result = exchange(&client, vec![b'b'; body_bytes]).await;
            ensure!(result.is_err(), "{round}: {result:?}");
        }
        Ok(())
    })
}

/// Fails if the end of its connection spoils a whole answer, also one that came before the request was
/// written.
#[rstest]
fn a_whole_answer_is_taken_however_its_connection_ends(
    #[values(Timing::DuringRequest, Timing::AfterRequest)] timing: Timing,
    #[values(End::Close, End::CloseThenReset, End::LateReset)] end: End,
    #[values(0, LONG_BODY_BYTES)] body_bytes: usize,
) -> anyhow::Result<()> {
    run(async {
        for answer in answers::sound("", BODY) {
            if answer.ends_by_close && end == End::LateReset {
                continue;
            }
            let script = Script {
                answer: answer.bytes,
                timing,
                end,
            };
            let client = Client::new(answers::start(script).await?);
            let exchanged = exchange(&client, vec![b'b'; body_bytes]).await;
            let (_, body) = exchanged.context(answer.name)?;
            ensure!(body == BODY.as_bytes(), "{}: {body:?}", answer.name);
        }
        Ok(())
    })
}

/// Fails if a response whose head was broken off anywhere is taken for a response.
#[rstest]
#[case::length(b"HTTP/1.1 200 OK\r\nX-Seal: s\r\nContent-Length: 12\r\n\r\n")]
#[case::chunked(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")]
#[case::no_length(b"HTTP/1.1 200 OK\r\nX-Seal: s\r\n\r\n")]
fn a_head_that_breaks_off_is_no_response(#[case] head: &'static [u8]) -> anyhow::Result<()> {
    run(async {
        let mut taken = Vec::new();
        for end in 0..head.len() {
            let (target, _) = flood::start(&head[..end], b"").await?;
            if call(&Client::new(target), 1).await.is_ok() {
                taken.push(String::from_utf8_lossy(&head[..end]).into_owned());
            }
        }
        ensure!(taken.is_empty(), "{taken:#?}");
        Ok(())
    })
}

/// Fails if a status line whose status is none is passed on as a response.
#[rstest]
#[case::zero(b"HTTP/1.1 000 Trouble\r\nContent-Length: 0\r\n\r\n")]
#[case::below_100(b"HTTP/1.1 099 Trouble\r\nContent-Length: 0\r\n\r\n")]
#[case::four_digits(b"HTTP/1.1 1000 Trouble\r\nContent-Length: 0\r\n\r\n")]
#[case::sign(b"HTTP/1.1 +200 OK\r\nContent-Length: 0\r\n\r\n")]
#[case::spaced_digits(b"HTTP/1.1 2 0 0 OK\r\nContent-Length: 0\r\n\r\n")]
#[case::missing(b"HTTP/1.1 OK\r\nContent-Length: 0\r\n\r\n")]
fn a_status_that_is_none_is_no_response(#[case] head: &'static [u8]) -> anyhow::Result<()> {
    run(async {
        let (target, _) = flood::start(head, b"").await?;
        let response = call(&Client::new(target), 1).await;
        ensure!(response.is_err(), "{response:?}");
        Ok(())
    })
}

/// Fails if a head without end is kept in memory beyond a limit.
#[rstest]
#[case::status_line(b"HTTP/1.1 200 ", b"a")]
#[case::header_lines(b"HTTP/1.1 200 OK\r\n", b"x: y\r\n")]
#[case::header_line(b"HTTP/1.1 200 OK\r\nx: ", b"y")]
#[case::empty_lines(b"", b"\r\n")]
#[case::interim(b"", b"HTTP/1.1 103 Early Hints\r\n\r\n")]
#[case::no_response(b"", b"a")]
fn a_head_without_end_is_cut_off(
    #[case] prefix: &'static [u8],
    #[case] repeated: &'static [u8],
) -> anyhow::Result<()> {
    run(async {
        let (target, taken) = flood::start(prefix, repeated).await?;
        let flooded = async { Some(call(&Client::new(target), 1).await.is_ok()) };
        let timeout = async {
            Timer::after(FLOOD_TIMEOUT).await;
            None
        };
        let is_response = or(flooded, timeout).await;
        ensure!(is_response == Some(false), "response: {is_response:?}");
        let taken = taken.load(Ordering::Acquire);
        ensure!(taken < MAX_TAKEN_BYTES, "{taken} bytes taken");
        Ok(())
    })
}
