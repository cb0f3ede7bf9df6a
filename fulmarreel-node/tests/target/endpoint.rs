//! The platform's client of the local target: requests and health checks whose answers are broken.

use crate::support::{self, run};
use anyhow::{Context, ensure};
use fulmarreel_http::{Quota, Response};
use fulmarreel_node::mesh::endpoint::{Endpoint, Error};
use fulmarreel_testing::answers::{self, End, Fault, LONG_BODY_BYTES, Script, Timing};
use rstest::rstest;
use std::{
    net::SocketAddr,
    time::{Duration, Instant},
};

/// The quota of responses.
const QUOTA_BYTES: usize = 8_388_608;

/// Limit on the time of a request.
const TIMEOUT: Duration = Duration::from_secs(10);

/// How often an answer is tried where the outcome depends on when its connection ends.
const ROUNDS: usize = 6;

/// The body of the answers.
const BODY: &str = "what the target said";

/// The fields of the answers.
const FIELDS: &str = "X-Instance-Id: i-1\r\n";

/// What a target is asked.
#[derive(Debug, Clone, Copy)]
enum Question {
    Request,
    HealthCheck,
}

async fn ask(target: SocketAddr, question: Question, body: &[u8]) -> Result<Response, Error> {
    let endpoint = Endpoint::new(target, Quota::new(QUOTA_BYTES));
    match question {
        Question::Request => {
            let open = support::open(1, body.len());
            let deadline = Instant::now() + TIMEOUT;
            endpoint.call(&open, body, "i-1", deadline).await
        }
        Question::HealthCheck => endpoint.check_health("/health").await,
    }
}

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
    #[values(Question::Request, Question::HealthCheck)] question: Question,
) -> anyhow::Result<()> {
    run(async {
        let ask = async |target| {
            let response = ask(target, question, b"").await.ok()?;
            Some(format!("{response:?}"))
        };
        let taken = answers::taken(fault, FIELDS, BODY, ask).await?;
        ensure!(taken.is_empty(), "{taken:#?}");
        Ok(())
    })
}

/// Fails if a sound answer of any form is rejected.
#[rstest]
fn a_sound_answer_is_taken(
    #[values(Question::Request, Question::HealthCheck)] question: Question,
) -> anyhow::Result<()> {
    run(async {
        for answer in answers::sound(FIELDS, BODY) {
            let target = answers::start_closing(answer.bytes).await?;
            let response = ask(target, question, b"").await.context(answer.name)?;
            ensure!(response.status == 200, "{}: {response:?}", answer.name);
            ensure!(
                response.body == BODY.as_bytes(),
                "{}: {response:?}",
                answer.name
            );
        }
        Ok(())
    })
}

/// Fails if part of an answer is taken for a whole one though its connection was reset.
#[rstest]
#[case::request(Question::Request, 0)]
#[case::long_request(Question::Request, LONG_BODY_BYTES)]
#[case::health_check(Question::HealthCheck, 0)]
fn an_answer_that_is_reset_is_none(
    #[case] question: Question,
    #[case] body_bytes: usize,
    #[values(Timing::BeforeRequest, Timing::DuringRequest, Timing::AfterRequest)] timing: Timing,
    #[values(End::Reset, End::LateReset)] end: End,
) -> anyhow::Result<()> {
    let body = vec![b'b'; body_bytes];
    run(async {
        let answer = format!("HTTP/1.1 200 OK\r\n{FIELDS}\r\n{BODY}").into_bytes();
        let target = answers::start(Script {
            answer,
            timing,
            end,
        })
        .await?;
        for round in 0..ROUNDS {
            let result = ask(target, question, &body).await;
            ensure!(result.is_err(), "{round}: {result:?}");
        }
        Ok(())
    })
}
