//! Callers that send further requests before the first is answered.

use crate::{
    backend::{Behavior, header},
    support::{Instance, configure, eventually, start_pair},
};
use anyhow::ensure;
use fulmarreel_testing::kv::FakePlatformStore;
use rstest::rstest;
use smol::{
    Timer,
    io::{AsyncReadExt, AsyncWriteExt},
    net::TcpStream,
};
use std::{
    net::SocketAddr,
    time::{Duration, Instant},
};

/// Time that each request takes; the target has four slots.
const WORK: Duration = Duration::from_millis(300);

/// Requests that are sent without waiting for a response.
const REQUESTS: usize = 4;

/// Limit on the time until all of them are answered: they run at the same time.
const LIMIT: Duration = Duration::from_millis(900);

/// Starts an instance for callers and one with the target, whose requests take [`WORK`].
async fn start() -> anyhow::Result<(FakePlatformStore, Instance, Instance)> {
    let (store, caller, target) = start_pair().await?;
    target.backend.set_behavior(Behavior {
        delay: WORK,
        ..Behavior::default()
    });
    Ok((store, caller, target))
}

fn request(method: &str, path: &str, id: &str, body: &str) -> String {
    let length = match body.len() {
        0 => String::new(),
        bytes => format!("Content-Length: {bytes}\r\n"),
    };
    format!(
        "{method} {path} HTTP/1.1\r\nHost: h.example\r\nX-Request-Id: {id}\r\n\
        X-Deadline-Ms: 3000\r\n{length}\r\n{body}"
    )
}

fn lookup(number: usize) -> String {
    request(
        "GET",
        &format!("/s/{number}?n={number}"),
        &format!("r-{number}"),
        "",
    )
}

/// A caller's connection, from which one response after the other is read.
struct Caller {
    tcp: TcpStream,
    /// Bytes that arrived and belong to later responses.
    unread: Vec<u8>,
}

impl Caller {
    async fn connect(to: SocketAddr) -> anyhow::Result<Self> {
        let tcp = TcpStream::connect(to).await?;
        let unread = Vec::new();
        Ok(Self { tcp, unread })
    }

    async fn send(&mut self, bytes: &[u8]) -> anyhow::Result<()> {
        Ok(self.tcp.write_all(bytes).await?)
    }

    /// Reads a response whose body ends by its `Content-Length`.
    async fn read(&mut self) -> anyhow::Result<String> {
        loop {
            let text = String::from_utf8_lossy(&self.unread).into_owned();
            if let Some((head, body)) = text.split_once("\r\n\r\n") {
                let length = header(head, "content-length").unwrap_or("0").parse()?;
                if body.len() >= length {
                    let bytes = head.len() + 4 + length;
                    self.unread.drain(..bytes);
                    return Ok(text[..bytes].to_owned());
                }
            }
            let mut buffer = [0; 4_096];
            let read = self.tcp.read(&mut buffer).await?;
            ensure!(read > 0, "the connection ended after {text:?}");
            self.unread.extend_from_slice(&buffer[..read]);
        }
    }

    /// Reads a response, and checks that it is that of the request with an id.
    async fn expect(&mut self, id: &str) -> anyhow::Result<String> {
        let answer = self.read().await?;
        ensure!(answer.starts_with("HTTP/1.1 200"), "{id}: {answer}");
        let seal = header(&answer, "x-server-seal").map(str::to_owned);
        ensure!(seal == Some(format!("seal-{id}")), "{id}: {answer}");
        Ok(answer)
    }
}

async fn send_lookups(to: SocketAddr, gap: Duration) -> anyhow::Result<Caller> {
    let mut caller = Caller::connect(to).await?;
    for number in 0..REQUESTS {
        caller.send(lookup(number).as_bytes()).await?;
        Timer::after(gap).await;
    }
    Ok(caller)
}

/// Fails if lookups that were sent one behind the other run one after the other, or are answered in
/// another order or with another's response.
#[rstest]
#[case::at_once(Duration::ZERO)]
#[case::while_the_first_runs(Duration::from_millis(20))]
fn lookups_behind_a_lookup_run_at_once_and_are_answered_in_order(
    #[case] gap: Duration,
) -> anyhow::Result<()> {
    smol::block_on(async {
        let (_store, caller, target) = start().await?;
        let started_at = Instant::now();
        let mut connection = send_lookups(caller.callers, gap).await?;
        for number in 0..REQUESTS {
            connection.expect(&format!("r-{number}")).await?;
        }
        let elapsed = started_at.elapsed();
        ensure!(elapsed < LIMIT, "{elapsed:?}");
        let arrivals = target.backend.arrivals();
        for number in 0..REQUESTS {
            let line = format!("GET /s/{number}?n={number} HTTP/1.1\r\n");
            let runs = arrivals.iter().filter(|arrival| arrival.starts_with(&line));
            ensure!(runs.count() == 1, "{line}");
        }
        Ok(())
    })
}

/// Fails if a booking runs before the lookup ahead of it is answered, or a body, a lookup behind one,
/// or a request whose head arrives in parts is served wrongly.
#[test]
fn requests_of_each_kind_on_one_connection_are_answered_in_order() -> anyhow::Result<()> {
    smol::block_on(async {
        let (_store, caller, target) = start().await?;
        let mut connection = Caller::connect(caller.callers).await?;
        let requests = [
            lookup(0),
            lookup(1),
            request("POST", "/s-do/", "booking", "body of it\r\n\r\nGET /"),
            lookup(2),
            request("GET", "/none/", "none", ""),
            lookup(3),
        ];
        for part in requests.concat().as_bytes().chunks(97) {
            connection.send(part).await?;
            Timer::after(Duration::from_millis(2)).await;
        }
        for id in ["r-0", "r-1", "booking", "r-2"] {
            let answer = connection.expect(id).await?;
            if id == "r-0" {
                let arrivals = target.backend.arrivals();
                let booked = arrivals.iter().any(|arrival| arrival.starts_with("POST"));
                ensure!(!booked, "a booking ran early: {answer}");
            }
        }
        let answer = connection.read().await?;
        ensure!(answer.starts_with("HTTP/1.1 404"), "{answer}");
        connection.expect("r-3").await?;
        let arrivals = target.backend.arrivals();
        let booking = arrivals.iter().find(|arrival| arrival.starts_with("POST"));
        ensure!(booking.is_some_and(|booking| booking.ends_with("body of it\r\n\r\nGET /")));
        Ok(())
    })
}

/// Fails if a lookup runs that stands in the header of another request, behind a body of chunks.
#[test]
fn what_only_looks_like_a_request_does_not_run() -> anyhow::Result<()> {
    smol::block_on(async {
        let (_store, caller, target) = start().await?;
        let hidden = lookup(7);
        let disguise = "x".repeat(3_000);
        let carrier = format!("GET /s/ HTTP/1.1\r\nX-Long: {disguise}{hidden}");
        let chunked = "POST /s-do/ HTTP/1.1\r\nHost: h.example\r\nX-Request-Id: booking\r\n\
            X-Deadline-Ms: 3000\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\n\r\n";
        // Wherever the carrier is cut, the rest of it must not count as a request.
        for behind in [10, 100, 1_000, 3_026, 3_040] {
            let mut connection = Caller::connect(caller.callers).await?;
            let (first, rest) = carrier.split_at(behind);
            connection
                .send(format!("{chunked}{first}").as_bytes())
                .await?;
            Timer::after(WORK / 3).await;
            connection.send(rest.as_bytes()).await?;
            connection.expect("booking").await?;
            connection.expect("r-7").await?;
        }
        let arrivals = target.backend.arrivals();
        let ran = arrivals
            .iter()
            .any(|request| request.starts_with("GET /s/7"));
        ensure!(!ran, "ran");
        Ok(())
    })
}

/// Fails if work on requests goes on after their caller closed the connection.
#[test]
fn the_callers_leaving_ends_all_of_its_requests() -> anyhow::Result<()> {
    smol::block_on(async {
        let (_store, caller, target) = start().await?;
        target.backend.set_behavior(Behavior {
            delay: Duration::from_secs(3),
            ..Behavior::default()
        });
        let before = target.backend.arrivals().len();
        let connection = send_lookups(caller.callers, Duration::ZERO).await?;
        eventually("all run", || async {
            target.backend.arrivals().len() == before + REQUESTS
        })
        .await?;
        drop(connection);
        let left_at = Instant::now();
        eventually("aborted", || async { target.backend.aborted() == REQUESTS }).await?;
        ensure!(
            left_at.elapsed() < Duration::from_millis(500),
            "{:?}",
            left_at.elapsed()
        );
        Ok(())
    })
}

/// Fails if a stop of the callers' node leaves a request that runs without an answer.
#[test]
fn a_stop_answers_each_request_that_runs() -> anyhow::Result<()> {
    smol::block_on(async {
        let (store, caller, _target) = start().await?;
        configure(&store, 2, &["s", "own"]);
        let mut connection = send_lookups(caller.callers, Duration::ZERO).await?;
        Timer::after(WORK / 3).await;
        caller.process.signal("TERM")?;
        for number in 0..REQUESTS {
            let answer = connection.expect(&format!("r-{number}")).await?;
            let closes = header(&answer, "connection") == Some("close");
            ensure!(closes == (number + 1 == REQUESTS), "{answer}");
        }
        Ok(())
    })
}
