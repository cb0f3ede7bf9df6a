//! Requests from their arrival to their answer.

use crate::{
    backend::{self, Manner, header},
    support::{Instance, call, configure, eventually, open},
};
use anyhow::ensure;
use fulmarreel_testing::kv::Stand;
use rstest::rstest;
use smol::{io::AsyncWriteExt, net::TcpStream};
use std::time::Duration;

/// Parts of one byte that make a body.
const SMALL_PARTS: usize = 50_000;

/// A caller's instance and two targets of `s`.
async fn start() -> anyhow::Result<(Stand, Instance, Instance, Instance)> {
    let stand = Stand::start()?;
    configure(&stand, 1, &["s", "own"]);
    let caller = Instance::start(stand.address(), "own", "v1").await?;
    let one = Instance::start(stand.address(), "s", "v1").await?;
    let two = Instance::start(stand.address(), "s", "v1").await?;
    caller.wait_ready().await?;
    one.wait_served("/s/").await?;
    two.wait_served("/s/").await?;
    eventually("both known", || async {
        let mut seen = Vec::new();
        for _ in 0..8 {
            if let Ok(answer) = caller.request("GET", "/s/", "warm").await {
                seen.push(answer.text.contains(&one.backend.id));
            }
        }
        seen.contains(&true) && seen.contains(&false)
    })
    .await?;
    Ok((stand, caller, one, two))
}

fn runs(instances: &[&Instance], id: &str) -> usize {
    let arrivals = instances.iter().flat_map(|one| one.backend.arrivals());
    let own = |request: &String| header(request, "x-request-id") == Some(id);
    arrivals.filter(own).count()
}

/// Fails if the answer's headers or body are changed, or the caller's service is the target's.
#[test]
fn a_request_reaches_its_target_and_its_answer_comes_back() -> anyhow::Result<()> {
    smol::block_on(async {
        let (_stand, caller, one, two) = start().await?;
        let headers = [
            ("X-Request-Id", "r-1"),
            ("X-Deadline-Ms", "2500"),
            ("X-Caller-Service", "forged"),
            ("X-Own", "kept"),
        ];
        let path = "/s/a?b=c";
        let answer = call(caller.callers, "POST", path, "h.example", &headers, "body").await?;
        ensure!(answer.status == 200, "{}", answer.text);
        let seal = header(&answer.text, "x-server-seal");
        ensure!(seal == Some("seal-r-1"), "{}", answer.text);
        let both = [&one, &two];
        let arrivals = both.iter().flat_map(|one| one.backend.arrivals());
        let request = arrivals
            .into_iter()
            .find(|request| header(request, "x-request-id") == Some("r-1"))
            .expect("the request");
        ensure!(
            request.starts_with("POST /s/a?b=c HTTP/1.1\r\n"),
            "{request}"
        );
        ensure!(request.ends_with("\r\n\r\nbody"), "{request}");
        ensure!(
            header(&request, "x-caller-service") == Some("own"),
            "{request}"
        );
        ensure!(header(&request, "x-own") == Some("kept"), "{request}");
        let left = header(&request, "x-deadline-ms").and_then(|left| left.parse::<u64>().ok());
        ensure!(
            left.is_some_and(|left| (1..=2_500).contains(&left)),
            "{request}"
        );
        let none = caller.request("GET", "/nowhere/", "r-2").await?;
        ensure!(none.status == 404, "{}", none.text);
        Ok(())
    })
}

/// Fails if an instance that knows no configuration says that a route is not there.
#[test]
fn without_a_configuration_nothing_is_refused_for_good() -> anyhow::Result<()> {
    smol::block_on(async {
        let stand = Stand::start()?;
        let caller = Instance::start(stand.address(), "own", "v1").await?;
        eventually("up", || async {
            caller.request("GET", "/s/", "r").await.is_ok()
        })
        .await?;
        let answer = caller.request("GET", "/s/", "r-1").await?;
        ensure!(answer.status == 503, "{}", answer.text);
        ensure!(
            header(&answer.text, "retry-after").is_some(),
            "{}",
            answer.text
        );
        let ready = call(caller.ready, "GET", "/-/ready", "node", &[], "").await?;
        ensure!(ready.status == 503);
        Ok(())
    })
}

/// Fails if the bound on what stands around a body counts what stands between its parts, or refuses
/// trailers of a usual size.
#[test]
fn a_body_of_many_small_parts_is_taken() -> anyhow::Result<()> {
    smol::block_on(async {
        let (_stand, caller, one, two) = start().await?;
        let headers = [
            ("X-Request-Id", "r-1"),
            ("Transfer-Encoding", "chunked"),
            ("Connection", "close"),
        ];
        let mut tcp = TcpStream::connect(caller.callers).await?;
        let head: String = headers
            .iter()
            .map(|(name, value)| format!("{name}: {value}\r\n"))
            .collect();
        let parts = "1\r\na\r\n".repeat(SMALL_PARTS);
        let trailers = "t: u\r\n".repeat(200);
        let request =
            format!("POST /s/ HTTP/1.1\r\nHost: h.example\r\n{head}\r\n{parts}0\r\n{trailers}\r\n");
        tcp.write_all(request.as_bytes()).await?;
        let answer = backend::read(&mut tcp).await?.unwrap_or_default();
        ensure!(answer.starts_with("HTTP/1.1 200 "), "{answer}");
        let arrivals = [&one, &two].map(|one| one.backend.arrivals()).concat();
        let whole = "a".repeat(SMALL_PARTS);
        ensure!(arrivals.iter().any(|request| request.ends_with(&whole)));
        Ok(())
    })
}

/// What is repeated where the target that has the request fails it.
#[rstest]
#[case::lookup_lost("/s/", true, 0, 2)]
#[case::booking_lost("/s-do/", true, 0, 1)]
#[case::lookup_failed("/s/", false, 500, 2)]
#[case::booking_failed("/s-do/", false, 500, 1)]
fn only_what_may_be_repeated_is_sent_again(
    #[case] path: &str,
    #[case] lose: bool,
    #[case] status: u16,
    #[case] expected: usize,
) -> anyhow::Result<()> {
    smol::block_on(async {
        let (_stand, caller, one, two) = start().await?;
        for instance in [&one, &two] {
            instance.backend.set_manner(Manner {
                lose,
                status,
                ..Manner::default()
            });
        }
        let answer = caller.request("POST", path, "r-1").await?;
        ensure!(
            answer.status >= 500 && answer.status != 503,
            "{}",
            answer.text
        );
        let runs = runs(&[&one, &two], "r-1");
        ensure!(runs == expected, "{runs} runs");
        Ok(())
    })
}

/// Fails if a target's word that it did not run a request is passed over: a booking is then lost
/// that another target could have run.
#[rstest]
#[case::lookup("/s/")]
#[case::booking("/s-do/")]
fn what_was_not_run_goes_to_another_target(#[case] path: &str) -> anyhow::Result<()> {
    smol::block_on(async {
        let (_stand, caller, one, two) = start().await?;
        one.backend.set_manner(Manner {
            shed: true,
            ..Manner::default()
        });
        for number in 0..4 {
            let id = format!("r-{number}");
            let answer = caller.request("POST", path, &id).await?;
            ensure!(answer.status == 200, "{}", answer.text);
            ensure!(runs(&[&one, &two], &id) == 1);
        }
        Ok(())
    })
}

/// Fails if a lookup that one target ran and failed is said to be not run, since another refused it.
#[test]
fn what_one_target_ran_is_not_said_to_be_not_run() -> anyhow::Result<()> {
    smol::block_on(async {
        let (_stand, caller, one, two) = start().await?;
        one.backend.set_manner(Manner {
            status: 500,
            ..Manner::default()
        });
        two.backend.set_manner(Manner {
            shed: true,
            ..Manner::default()
        });
        let mut ran = 0;
        for number in 0..12 {
            let id = format!("r-{number}");
            let answer = caller.request("GET", "/s/", &id).await?;
            let runs = runs(&[&one, &two], &id);
            ensure!(runs == 0 || answer.status == 500, "{runs}: {}", answer.text);
            ran += runs;
        }
        ensure!(ran > 0);
        Ok(())
    })
}

/// Fails if a target works on what its caller no longer waits for, also where further requests
/// stand behind it on its connection.
#[rstest]
#[case::one_request("")]
#[case::pipelined(
    "GET /s/ HTTP/1.1\r\nHost: h.example\r\nX-Request-Id: r-2\r\nX-Deadline-Ms: 3000\r\n\r\n"
)]
fn the_callers_leaving_ends_the_work(#[case] behind: &str) -> anyhow::Result<()> {
    smol::block_on(async {
        let (_stand, caller, one, two) = start().await?;
        let before = one.backend.finished() + two.backend.finished();
        for instance in [&one, &two] {
            instance.backend.set_manner(Manner {
                delay: Duration::from_secs(3),
                ..Manner::default()
            });
        }
        let headers = [("X-Request-Id", "r-1"), ("X-Deadline-Ms", "3000")];
        let mut tcp = open(caller.callers, "GET", "/s/", "h.example", &headers, "").await?;
        smol::io::AsyncWriteExt::write_all(&mut tcp, behind.as_bytes()).await?;
        eventually("running", || async { runs(&[&one, &two], "r-1") == 1 }).await?;
        drop(tcp);
        eventually("broken off", || async {
            one.backend.broken_off() + two.backend.broken_off() == 1
        })
        .await?;
        ensure!(one.backend.finished() + two.backend.finished() == before);
        Ok(())
    })
}

/// Fails if an answer waits for its target beyond the request's time.
#[test]
fn a_request_is_answered_at_its_limit() -> anyhow::Result<()> {
    smol::block_on(async {
        let (_stand, caller, one, two) = start().await?;
        for instance in [&one, &two] {
            instance.backend.set_manner(Manner {
                delay: Duration::from_secs(30),
                ..Manner::default()
            });
        }
        let headers = [("X-Request-Id", "r-1"), ("X-Deadline-Ms", "500")];
        let started = std::time::Instant::now();
        let answer = call(caller.callers, "POST", "/s-do/", "h.example", &headers, "").await?;
        ensure!(answer.status == 504, "{}", answer.text);
        let took = started.elapsed();
        ensure!(took < Duration::from_millis(1_000), "{took:?}");
        Ok(())
    })
}

/// A configuration of `s` with an idle limit, in seconds.
fn limit_idle(stand: &Stand, version: u64, seconds: f64) -> anyhow::Result<()> {
    configure(stand, version, &["s", "own"]);
    let config = stand.get("op/config").unwrap_or_default();
    let config = String::from_utf8(config)?;
    let limits = format!("{{\"limits\":{{\"idle_timeout_s\":{seconds}}},");
    stand.put("op/config", config.replacen('{', &limits, 1).as_bytes());
    Ok(())
}

/// Fails if an open connection is closed by an idle limit that was raised since it was accepted.
#[test]
fn an_open_connection_follows_a_raised_idle_limit() -> anyhow::Result<()> {
    smol::block_on(async {
        let (stand, caller, _one, _two) = start().await?;
        limit_idle(&stand, 2, 1.0)?;
        // The platform's limit is one second short of the node's own.
        smol::Timer::after(Duration::from_millis(1_500)).await;
        let headers = [("X-Request-Id", "r-1")];
        let mut tcp = open(caller.callers, "GET", "/s/", "h.example", &headers, "").await?;
        ensure!(backend::read(&mut tcp).await?.is_some(), "no first answer");
        limit_idle(&stand, 3, 20.0)?;
        smol::Timer::after(Duration::from_millis(4_000)).await;
        let request = "GET /s/ HTTP/1.1\r\nHost: h.example\r\nX-Request-Id: r-2\r\n\r\n";
        tcp.write_all(request.as_bytes()).await?;
        let answer = backend::read(&mut tcp).await?;
        ensure!(answer.is_some(), "closed by the former limit");
        Ok(())
    })
}
