//! Targets in trouble: their broken answers reach no caller, and their sound ones do.

use crate::{
    backend::{Behavior, header},
    support::{Answer, Instance, Pair, call, start_pair},
};
use anyhow::{Context, ensure};
use fulmarreel_testing::{
    answers::{self, Broken, End, Fault, Script, Timing},
    kv::Faults,
};
use rstest::rstest;
use smol::Timer;
use std::time::{Duration, Instant};

/// Fields that all answers bear.
const FIELDS: &str = "X-Request-Id: $ID\r\nX-Server-Seal: seal-$ID\r\n";

/// The body of the answers.
const BODY: &str = "what the target said";

/// The length of uploads, more than the buffers of the target's connection hold.
const LONG_BODY_BYTES: usize = 12_582_912;

/// How often an answer is tried where the outcome depends on when its connection ends.
const ROUNDS: usize = 6;

fn answer_by(target: &Instance, script: Script) {
    target.backend.set_behavior(Behavior {
        script: Some(script),
        ..Behavior::default()
    });
}

/// Sends a request with a body.
async fn upload(to: &Instance, path: &str, id: &str, body: &str) -> anyhow::Result<Answer> {
    let headers = [("X-Request-Id", id), ("X-Deadline-Ms", "9000")];
    call(to.callers, "POST", path, "h.example", &headers, body).await
}

/// Fails if the target did not get a request.
fn ensure_arrived(target: &Instance, id: &str) -> anyhow::Result<()> {
    let arrivals = target.backend.arrivals();
    let mut ids = arrivals
        .iter()
        .filter_map(|head| header(head, "x-request-id"));
    ensure!(ids.any(|arrived| arrived == id), "{id} did not arrive");
    Ok(())
}

/// Fails if anything that the target said reaches the caller by an answer that the protocol calls invalid
/// or incomplete.
#[rstest]
fn a_broken_answer_reaches_no_caller(
    #[values(
        Fault::StatusLine,
        Fault::Field,
        Fault::Length,
        Fault::Coding,
        Fault::Chunks,
        Fault::End
    )]
    fault: Fault,
    #[values("/s/", "/s-do/", "/own/", "/own-do/")] path: &str,
) -> anyhow::Result<()> {
    smol::block_on(async {
        let pair = Pair::start().await?;
        let (caller, target) = (&pair.caller, pair.serving(path));
        let mut taken = Vec::new();
        for (number, Broken { name, bytes }) in
            answers::broken(fault, FIELDS, BODY).into_iter().enumerate()
        {
            answer_by(target, Script::closing(bytes));
            let id = format!("r-{number}");
            let answer = caller.request("GET", path, &id).await?;
            ensure_arrived(target, &id)?;
            let is_own = matches!(answer.status, 502 | 504) && !answer.text.contains(BODY);
            if !is_own || header(&answer.text, "x-server-seal").is_some() {
                taken.push(format!("{name}: {}", answer.text));
            }
        }
        ensure!(taken.is_empty(), "{taken:#?}");
        Ok(())
    })
}

/// Fails if a sound answer does not reach the caller as the target sent it.
#[rstest]
fn a_sound_answer_reaches_the_caller(
    #[values("/s/", "/s-do/", "/own/", "/own-do/")] path: &str,
) -> anyhow::Result<()> {
    smol::block_on(async {
        let pair = Pair::start().await?;
        let (caller, target) = (&pair.caller, pair.serving(path));
        for (number, answer) in answers::sound(FIELDS, BODY).into_iter().enumerate() {
            answer_by(target, Script::closing(answer.bytes));
            let id = format!("r-{number}");
            let reply = caller.request("GET", path, &id).await?;
            ensure_whole(answer.name, &id, &reply)?;
        }
        Ok(())
    })
}

/// Fails unless a caller got the target's whole answer.
fn ensure_whole(name: &str, id: &str, answer: &Answer) -> anyhow::Result<()> {
    let text = &answer.text;
    ensure!(answer.status == 200, "{name}: {text}");
    ensure!(text.ends_with(&format!("\r\n\r\n{BODY}")), "{name}: {text}");
    let seal = format!("seal-{id}");
    ensure!(
        header(text, "x-server-seal") == Some(&*seal),
        "{name}: {text}"
    );
    Ok(())
}

/// Fails if part of an answer reaches the caller as a whole one, where the target answers a long upload
/// at once and resets the connection (issue 46, rule MIXED).
#[rstest]
fn an_answer_that_is_reset_during_an_upload_reaches_no_caller(
    #[values("/s-do/", "/own-do/")] path: &str,
    #[values("", "Content-Length: 1000\r\n", "Transfer-Encoding: chunked\r\n")] length: &str,
    #[values(End::Reset, End::LateReset)] end: End,
) -> anyhow::Result<()> {
    let body = "b".repeat(LONG_BODY_BYTES);
    smol::block_on(async {
        let pair = Pair::start().await?;
        let (caller, target) = (&pair.caller, pair.serving(path));
        let part = if length.starts_with("Transfer") {
            format!("{:x}\r\n{BODY}\r\n", BODY.len())
        } else {
            BODY.to_owned()
        };
        let answer = format!("HTTP/1.1 200 OK\r\n{FIELDS}{length}\r\n{part}").into_bytes();
        let timing = Timing::DuringRequest;
        answer_by(
            target,
            Script {
                answer,
                timing,
                end,
            },
        );
        for round in 0..ROUNDS {
            let id = format!("r-{round}");
            let reply = upload(caller, path, &id, &body).await?;
            ensure_arrived(target, &id)?;
            ensure!(matches!(reply.status, 502 | 504), "{round}: {}", reply.text);
        }
        Ok(())
    })
}

/// Fails if a whole answer is lost that the target sent before it had read a long upload.
#[rstest]
fn a_whole_answer_during_an_upload_reaches_the_caller(
    #[values("/s-do/", "/own-do/")] path: &str,
    #[values(End::Close, End::CloseThenReset, End::LateReset)] end: End,
) -> anyhow::Result<()> {
    let body = "b".repeat(LONG_BODY_BYTES);
    smol::block_on(async {
        let pair = Pair::start().await?;
        let (caller, target) = (&pair.caller, pair.serving(path));
        for (number, answer) in answers::sound(FIELDS, BODY).into_iter().enumerate() {
            if answer.ends_by_close && end == End::LateReset {
                continue;
            }
            let timing = Timing::DuringRequest;
            answer_by(
                target,
                Script {
                    answer: answer.bytes,
                    timing,
                    end,
                },
            );
            let id = format!("r-{number}");
            let reply = upload(caller, path, &id, &body).await?;
            ensure_whole(answer.name, &id, &reply)?;
        }
        Ok(())
    })
}

/// The fields of the answer to a health check.
const HEALTH_FIELDS: &str = "X-Instance-Id: $TARGET\r\n";

/// Time in which a node's questions about a target's health have all been asked. Later it goes by the
/// target's announcements alone.
const CONFIRMATION_TIME: Duration = Duration::from_millis(1_500);

/// Fails if a broken answer to a health check confirms an announcement, and the target gets a request.
#[rstest]
#[case::status_line(Fault::StatusLine, "switched protocols before an answer")]
#[case::length(Fault::Length, "plus sign")]
#[case::coding(Fault::Coding, "unknown coding in a second line")]
#[case::size(Fault::Chunks, "signed size")]
#[case::trailer(Fault::Chunks, "trailer line that is no field")]
#[case::field(Fault::Field, "blank in a name")]
#[case::part(Fault::End, "part of a body")]
fn a_broken_answer_to_a_health_check_confirms_nothing(
    #[case] fault: Fault,
    #[case] name: &str,
) -> anyhow::Result<()> {
    smol::block_on(async {
        let answers = answers::broken(fault, HEALTH_FIELDS, BODY);
        let broken = answers.into_iter().find(|answer| answer.name == name);
        let broken = broken.context("the answer")?.bytes;
        let (store, _caller, mut instance) = start_pair().await?;
        instance.wait_served("/s/").await?;
        instance.stop_announcing();
        instance.process.signal("KILL")?;
        instance.process.wait_for_exit(Duration::from_secs(2))?;
        // The node cannot read what its earlier process recorded.
        store.set_faults(Faults {
            silent: true,
            ..Faults::default()
        });
        answer_health_checks_by(&instance, broken);
        instance.restart()?;
        instance.wait_ready().await?;
        let announcement = instance.announcement("ready").replace("SEQ", "1000");
        instance.announce(&announcement).await?;
        let started = Instant::now();
        while started.elapsed() < CONFIRMATION_TIME {
            let answer = instance.request("GET", "/s/", "r-early").await?;
            ensure!(answer.status == 503, "{}", answer.text);
            Timer::after(Duration::from_millis(50)).await;
        }
        let sound = format!("HTTP/1.1 200 OK\r\n{HEALTH_FIELDS}\r\n{BODY}");
        answer_health_checks_by(&instance, sound.into_bytes());
        instance.announce(&announcement).await?;
        instance.wait_served("/s/").await
    })
}

fn answer_health_checks_by(instance: &Instance, answer: Vec<u8>) {
    instance.backend.set_behavior(Behavior {
        health_script: Some(Script::closing(answer)),
        ..Behavior::default()
    });
}
