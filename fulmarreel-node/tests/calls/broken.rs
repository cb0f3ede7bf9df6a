//! Targets in trouble, on the own interface: their broken answers reach no caller, and their sound ones do.

use super::support::{BOOKINGS, CALLERS, LOOKUPS, RESERVAS, TestMesh, start_mesh};
use anyhow::{Context, ensure};
use fulmarreel_testing::{
    answers::{self, Broken, End, Fault, Script, Server, Timing},
    process::eventually,
};
use rstest::rstest;
use smol::{
    Task, Timer,
    future::{or, zip},
    io::{AsyncReadExt, AsyncWriteExt},
    net::{TcpListener, TcpStream},
};
use std::{io, net::SocketAddr, time::Duration};

/// The body of the answers.
const BODY: &str = "what the target said";

/// The length of uploads, more than the buffers of the target's connection hold.
const LONG_BODY_BYTES: usize = 6_291_456;

/// The length of a part of a body that a node passes on before the rest has arrived.
const STREAMED_BYTES: usize = 300_000;

/// How often an answer is tried where the outcome depends on when its connection ends.
const ROUNDS: usize = 6;

/// Interval between announcements of the target.
const ANNOUNCE_INTERVAL: Duration = Duration::from_millis(300);

/// Time after which what a target has sent of an answer has been passed on.
const STREAMED_AFTER: Duration = Duration::from_secs(1);

/// Limit on the time of one call.
const TIMEOUT: Duration = Duration::from_secs(10);

/// A mesh whose only target of the service is a server of given answers.
struct Deployment {
    mesh: TestMesh,
    server: Server,
    _announcements: Task<()>,
}

/// What a caller got.
#[derive(Debug)]
struct Reply {
    /// Head and body, as far as they arrived.
    text: String,
    /// Whether its connection ended by a reset.
    is_reset: bool,
}

impl Deployment {
    async fn start() -> anyhow::Result<Self> {
        let mut mesh = start_mesh(&[RESERVAS])?;
        let instance = &mut mesh.instances[1];
        instance.target.signal("KILL")?;
        instance.target.wait_for_exit(Duration::from_secs(2))?;
        let listener = TcpListener::bind(instance.target_address).await?;
        let sound = b"HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nwarm";
        let server = Server::start(listener, Script::closing(sound.to_vec()));
        let announcements = smol::spawn(announce(instance.admin));
        let deployment = Self {
            mesh,
            server,
            _announcements: announcements,
        };
        eventually(|| async {
            let reply = deployment.call(LOOKUPS, "1.1", "").await?;
            ensure!(reply.text.starts_with("HTTP/1.1 200"), "{}", reply.text);
            Ok(())
        })
        .await?;
        Ok(deployment)
    }

    /// Sends a request over a new connection, and reads to the end of that.
    async fn call(&self, path: &str, version: &str, body: &str) -> anyhow::Result<Reply> {
        let node = self.mesh.instances[CALLERS].callers;
        let exchange = async { Ok(exchange(node, path, version, body).await?) };
        let timeout = async {
            Timer::after(TIMEOUT).await;
            anyhow::bail!("not answered in {TIMEOUT:?}")
        };
        or(exchange, timeout).await
    }
}

impl Reply {
    /// Whether this is a whole answer of the target, as far as its caller can tell.
    fn is_whole_answer(&self) -> bool {
        let Some((head, body)) = self.text.split_once("\r\n\r\n") else {
            return false;
        };
        let head = head.to_ascii_lowercase();
        if !head.contains("x-fulmarreel-outcome: answered") {
            return false;
        }
        let length = head.split_once("content-length: ");
        let length = length.and_then(|(_, rest)| rest.lines().next()?.parse::<usize>().ok());
        match length {
            Some(length) => body.len() == length,
            None if head.contains("transfer-encoding: chunked") => body.ends_with("0\r\n\r\n"),
            None => !self.is_reset,
        }
    }
}

async fn exchange(node: SocketAddr, path: &str, version: &str, body: &str) -> io::Result<Reply> {
    let mut tcp = TcpStream::connect(node).await?;
    let head = format!(
        "POST {path} HTTP/{version}\r\nHost: reservas\r\nConnection: close\r\n\
        Content-Length: {}\r\n\r\n",
        body.len()
    );
    tcp.write_all(head.as_bytes()).await?;
    tcp.write_all(body.as_bytes()).await?;
    let mut bytes = Vec::new();
    let end = tcp.read_to_end(&mut bytes).await;
    Ok(Reply {
        text: String::from_utf8_lossy(&bytes).into_owned(),
        is_reset: end.is_err(),
    })
}

/// Announces the target to its node again and again.
async fn announce(admin: SocketAddr) {
    let body = r#"{"service":"reservas","version":"v1","slots":20}"#;
    let request = format!(
        "POST /announce HTTP/1.1\r\nHost: node\r\nConnection: close\r\nContent-Length: {}\r\n\r\n{body}",
        body.len()
    );
    loop {
        let sent = async {
            let mut tcp = TcpStream::connect(admin).await?;
            tcp.write_all(request.as_bytes()).await?;
            tcp.read_to_end(&mut Vec::new()).await
        };
        sent.await.ok();
        Timer::after(ANNOUNCE_INTERVAL).await;
    }
}

/// Fails if an answer that the protocol calls invalid or incomplete reaches a caller.
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
    #[values(BOOKINGS, LOOKUPS)] path: &str,
) -> anyhow::Result<()> {
    smol::block_on(async {
        let deployment = Deployment::start().await?;
        let mut taken = Vec::new();
        for Broken { name, bytes } in answers::broken(fault, "", BODY) {
            deployment.server.set_script(Script::closing(bytes));
            let reply = deployment.call(path, "1.1", "").await?;
            if reply.is_whole_answer() || reply.text.contains(BODY) {
                taken.push(format!("{name}: {}", reply.text));
            }
        }
        ensure!(taken.is_empty(), "{taken:#?}");
        Ok(())
    })
}

/// Fails if a sound answer does not reach the caller.
#[test]
fn a_sound_answer_reaches_the_caller() -> anyhow::Result<()> {
    smol::block_on(async {
        let deployment = Deployment::start().await?;
        for answer in answers::sound("", BODY) {
            deployment.server.set_script(Script::closing(answer.bytes));
            let reply = deployment.call(BOOKINGS, "1.1", "").await?;
            ensure_whole(answer.name, &reply)?;
        }
        Ok(())
    })
}

/// Fails if a status that the HTTP library does not list reaches the caller as another one.
#[test]
fn the_targets_status_reaches_the_caller() -> anyhow::Result<()> {
    smol::block_on(async {
        let deployment = Deployment::start().await?;
        for status in [208, 200, 299, 399, 419, 499, 500, 509, 520, 599] {
            let answer = format!("HTTP/1.1 {status} Said\r\nContent-Length: 2\r\n\r\nhi");
            let script = Script::closing(answer.into_bytes());
            deployment.server.set_script(script);
            let reply = deployment.call(BOOKINGS, "1.1", "").await?;
            let line = format!("HTTP/1.1 {status} ");
            ensure!(reply.text.starts_with(&line), "{status}: {reply:?}");
            ensure!(reply.is_whole_answer(), "{status}: {reply:?}");
        }
        Ok(())
    })
}

fn ensure_whole(name: &str, reply: &Reply) -> anyhow::Result<()> {
    ensure!(reply.is_whole_answer(), "{name}: {reply:?}");
    ensure!(reply.text.ends_with(BODY), "{name}: {reply:?}");
    Ok(())
}

/// Fails if part of an answer reaches the caller as a whole one, where the target answers a long upload
/// at once and resets the connection; also where the node has passed on the head already.
#[rstest]
fn an_answer_that_is_reset_reaches_no_caller(
    #[values("", "Content-Length: 1000000\r\n", "Transfer-Encoding: chunked\r\n")] length: &str,
    #[values(Timing::DuringRequest, Timing::AfterRequest)] timing: Timing,
    #[values(End::Reset, End::LateReset)] end: End,
    #[values("1.0", "1.1")] version: &str,
    #[values(10, STREAMED_BYTES)] part_bytes: usize,
) -> anyhow::Result<()> {
    let body = "b".repeat(LONG_BODY_BYTES);
    smol::block_on(async {
        let deployment = Deployment::start().await?;
        let mut part = "p".repeat(part_bytes);
        if length.starts_with("Transfer") {
            part = format!("{part_bytes:x}\r\n{part}\r\n");
        }
        let answer = format!("HTTP/1.1 200 OK\r\n{length}\r\n{part}").into_bytes();
        let script = Script {
            answer,
            timing,
            end,
        };
        deployment.server.set_script(script);
        for round in 0..ROUNDS {
            let reply = deployment.call(BOOKINGS, version, &body).await;
            let reply = reply.with_context(|| format!("round {round}"))?;
            ensure!(!reply.is_whole_answer(), "{round}: {:.400}", reply.text);
        }
        Ok(())
    })
}

/// Fails if a whole answer is lost that the target sent before it had read a long upload.
#[rstest]
fn a_whole_answer_during_an_upload_reaches_the_caller(
    #[values(End::Close, End::CloseThenReset, End::LateReset)] end: End,
) -> anyhow::Result<()> {
    let body = "b".repeat(LONG_BODY_BYTES);
    smol::block_on(async {
        let deployment = Deployment::start().await?;
        for answer in answers::sound("", BODY) {
            if answer.ends_by_close && end == End::LateReset {
                continue;
            }
            deployment.server.set_script(Script {
                answer: answer.bytes,
                timing: Timing::DuringRequest,
                end,
            });
            let reply = deployment.call(BOOKINGS, "1.1", &body).await?;
            ensure_whole(answer.name, &reply)?;
        }
        Ok(())
    })
}

/// Fails if a caller of HTTP/1.0, for whom a close ends an answer without a length, cannot tell a whole one
/// from one that ended early because its node was killed.
#[rstest]
#[case::whole(End::Close, false)]
#[case::killed(End::Never, true)]
fn a_caller_of_http_1_0_knows_a_whole_answer(
    #[case] end: End,
    #[case] is_killed: bool,
) -> anyhow::Result<()> {
    smol::block_on(async {
        let deployment = Deployment::start().await?;
        let body = "p".repeat(STREAMED_BYTES);
        let answer = format!("HTTP/1.1 200 OK\r\n\r\n{body}").into_bytes();
        let timing = Timing::AfterRequest;
        deployment.server.set_script(Script {
            answer,
            timing,
            end,
        });
        let node = &deployment.mesh.instances[CALLERS].node;
        let kill = async {
            Timer::after(STREAMED_AFTER).await;
            if is_killed {
                node.signal("KILL")?;
            }
            anyhow::Ok(())
        };
        let call = deployment.call(BOOKINGS, "1.0", "");
        let (reply, killed) = zip(call, kill).await;
        killed?;
        let reply = reply?;
        ensure!(reply.is_whole_answer() != is_killed, "{:.400}", reply.text);
        ensure!(
            is_killed || reply.text.ends_with(&body),
            "{:.400}",
            reply.text
        );
        Ok(())
    })
}
