//! The path of requests through the nodes, and of their responses back.

use crate::{
    backend::{self, Behavior, header},
    support::{Instance, Pair, call, configure, eventually, send_request, start_pair},
};
use anyhow::{Context, ensure};
use fulmarreel_testing::kv::FakePlatformStore;
use rstest::rstest;
use smol::{io::AsyncWriteExt, net::TcpStream};
use std::time::Duration;

/// One-byte chunks of a body.
const SMALL_CHUNKS: usize = 50_000;

/// Starts an instance for callers, and two with targets of `s` that the callers' node both uses.
async fn start() -> anyhow::Result<(FakePlatformStore, Instance, Instance, Instance)> {
    let store = FakePlatformStore::start()?;
    configure(&store, 1, &["s", "own"]);
    let caller = Instance::start(store.address(), "own", "v1").await?;
    let first = Instance::start(store.address(), "s", "v1").await?;
    let second = Instance::start(store.address(), "s", "v1").await?;
    caller.wait_ready().await?;
    first.wait_served("/s/").await?;
    second.wait_served("/s/").await?;
    eventually("both targets known", || async {
        let mut from_first = Vec::new();
        for _ in 0..8 {
            if let Ok(answer) = caller.request("GET", "/s/", "warm").await {
                from_first.push(answer.text.contains(&first.backend.id));
            }
        }
        from_first.contains(&true) && from_first.contains(&false)
    })
    .await?;
    Ok((store, caller, first, second))
}

/// How often targets ran the request of an id.
fn run_count(instances: &[&Instance], id: &str) -> usize {
    let arrivals = instances
        .iter()
        .flat_map(|instance| instance.backend.arrivals());
    let own = |request: &String| header(request, "x-request-id") == Some(id);
    arrivals.filter(own).count()
}

/// Fails if the request or a header of the response is altered on the way, or a caller can forge
/// the name of its service.
#[test]
fn a_request_reaches_its_target_and_its_answer_comes_back() -> anyhow::Result<()> {
    smol::block_on(async {
        let (_store, caller, first, second) = start().await?;
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
        let both = [&first, &second];
        let arrivals = both.iter().flat_map(|instance| instance.backend.arrivals());
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

/// Fails if a node that has no configuration yet answers 404, which is final to a caller.
#[test]
fn a_node_without_a_configuration_answers_503() -> anyhow::Result<()> {
    smol::block_on(async {
        let store = FakePlatformStore::start()?;
        let caller = Instance::start(store.address(), "own", "v1").await?;
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

/// Fails if the limit on a request's head and trailers also counts the framing between chunks, or
/// refuses trailers of a usual size.
#[test]
fn a_body_of_many_small_chunks_is_accepted() -> anyhow::Result<()> {
    smol::block_on(async {
        let (_store, caller, first, second) = start().await?;
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
        let chunks = "1\r\na\r\n".repeat(SMALL_CHUNKS);
        let trailers = "t: u\r\n".repeat(200);
        let request = format!(
            "POST /s/ HTTP/1.1\r\nHost: h.example\r\n{head}\r\n{chunks}0\r\n{trailers}\r\n"
        );
        tcp.write_all(request.as_bytes()).await?;
        let answer = backend::read_message(&mut tcp).await?.unwrap_or_default();
        ensure!(answer.starts_with("HTTP/1.1 200 "), "{answer}");
        let arrivals = [&first, &second]
            .map(|instance| instance.backend.arrivals())
            .concat();
        let whole = "a".repeat(SMALL_CHUNKS);
        ensure!(arrivals.iter().any(|request| request.ends_with(&whole)));
        Ok(())
    })
}

/// Fails if a booking is sent to a second target after the first lost or failed it, or a lookup is
/// not.
#[rstest]
#[case::lookup_lost("/s/", true, 0, 2)]
#[case::booking_lost("/s-do/", true, 0, 1)]
#[case::lookup_failed("/s/", false, 500, 2)]
#[case::booking_failed("/s-do/", false, 500, 1)]
fn only_what_may_be_repeated_is_sent_again(
    #[case] path: &str,
    #[case] drop_answer: bool,
    #[case] status: u16,
    #[case] expected: usize,
) -> anyhow::Result<()> {
    smol::block_on(async {
        let (_store, caller, first, second) = start().await?;
        for instance in [&first, &second] {
            instance.backend.set_behavior(Behavior {
                drop_answer,
                status,
                ..Behavior::default()
            });
        }
        let answer = caller.request("POST", path, "r-1").await?;
        ensure!(
            answer.status >= 500 && answer.status != 503,
            "{}",
            answer.text
        );
        let runs = run_count(&[&first, &second], "r-1");
        ensure!(runs == expected, "{runs} runs");
        Ok(())
    })
}

/// Fails if a target's response that it did not run a request is not followed by a retry at another
/// target: a booking then fails that the other could have run.
#[rstest]
#[case::lookup("/s/")]
#[case::booking("/s-do/")]
fn what_was_not_run_goes_to_another_target(#[case] path: &str) -> anyhow::Result<()> {
    smol::block_on(async {
        let (_store, caller, first, second) = start().await?;
        first.backend.set_behavior(Behavior {
            not_executed: true,
            ..Behavior::default()
        });
        for number in 0..4 {
            let id = format!("r-{number}");
            let answer = caller.request("POST", path, &id).await?;
            ensure!(answer.status == 200, "{}", answer.text);
            ensure!(run_count(&[&first, &second], &id) == 1);
        }
        Ok(())
    })
}

/// Fails if a lookup that one target ran and failed is reported as not run because another target
/// refused it.
#[test]
fn a_lookup_that_one_target_ran_is_not_reported_as_not_run() -> anyhow::Result<()> {
    smol::block_on(async {
        let (_store, caller, first, second) = start().await?;
        first.backend.set_behavior(Behavior {
            status: 500,
            ..Behavior::default()
        });
        second.backend.set_behavior(Behavior {
            not_executed: true,
            ..Behavior::default()
        });
        let mut ran = 0;
        for number in 0..12 {
            let id = format!("r-{number}");
            let answer = caller.request("GET", "/s/", &id).await?;
            let runs = run_count(&[&first, &second], &id);
            ensure!(runs == 0 || answer.status == 500, "{runs}: {}", answer.text);
            ran += runs;
        }
        ensure!(ran > 0);
        Ok(())
    })
}

/// Fails if a target goes on with a request whose caller has closed its connection, or with a further
/// request that the caller had sent on that connection.
#[rstest]
#[case::one_request("", &["r-1"])]
#[case::pipelined(
    "GET /s/ HTTP/1.1\r\nHost: h.example\r\nX-Request-Id: r-2\r\nX-Deadline-Ms: 3000\r\n\r\n",
    &["r-1", "r-2"]
)]
fn the_callers_leaving_ends_the_work(
    #[case] pipelined: &str,
    #[case] ids: &[&str],
) -> anyhow::Result<()> {
    smol::block_on(async {
        let (_store, caller, first, second) = start().await?;
        let before = first.backend.finished() + second.backend.finished();
        for instance in [&first, &second] {
            instance.backend.set_behavior(Behavior {
                delay: Duration::from_secs(3),
                ..Behavior::default()
            });
        }
        let headers = [("X-Request-Id", "r-1"), ("X-Deadline-Ms", "3000")];
        let mut tcp = send_request(caller.callers, "GET", "/s/", "h.example", &headers, "").await?;
        smol::io::AsyncWriteExt::write_all(&mut tcp, pipelined.as_bytes()).await?;
        eventually("running", || async {
            let runs = |id: &&str| run_count(&[&first, &second], id);
            ids.iter().map(runs).all(|runs| runs == 1)
        })
        .await?;
        drop(tcp);
        eventually("aborted", || async {
            first.backend.aborted() + second.backend.aborted() == ids.len()
        })
        .await?;
        ensure!(first.backend.finished() + second.backend.finished() == before);
        Ok(())
    })
}

/// Fails if the response waits for the target beyond the request's deadline.
#[test]
fn a_request_is_answered_at_its_limit() -> anyhow::Result<()> {
    smol::block_on(async {
        let (_store, caller, first, second) = start().await?;
        for instance in [&first, &second] {
            instance.backend.set_behavior(Behavior {
                delay: Duration::from_secs(30),
                ..Behavior::default()
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

/// Writes the usual configuration with a limit on idle connections.
fn limit_idle(store: &FakePlatformStore, version: u64, idle_timeout_s: f64) -> anyhow::Result<()> {
    configure(store, version, &["s", "own"]);
    let config = store.get("op/config").unwrap_or_default();
    let config = String::from_utf8(config)?;
    let limits = format!("{{\"limits\":{{\"idle_timeout_s\":{idle_timeout_s}}},");
    store.put("op/config", config.replacen('{', &limits, 1).as_bytes());
    Ok(())
}

/// Fails if an open connection is closed by the idle limit of the time it was accepted, though that
/// was raised since.
#[test]
fn an_open_connection_follows_a_raised_idle_limit() -> anyhow::Result<()> {
    smol::block_on(async {
        let (store, caller, _one, _two) = start().await?;
        limit_idle(&store, 2, 1.0)?;
        // The node keeps idle connections open for one second longer than the configured limit.
        smol::Timer::after(Duration::from_millis(1_500)).await;
        let headers = [("X-Request-Id", "r-1")];
        let mut tcp = send_request(caller.callers, "GET", "/s/", "h.example", &headers, "").await?;
        ensure!(
            backend::read_message(&mut tcp).await?.is_some(),
            "no first answer"
        );
        limit_idle(&store, 3, 20.0)?;
        smol::Timer::after(Duration::from_millis(4_000)).await;
        let request = "GET /s/ HTTP/1.1\r\nHost: h.example\r\nX-Request-Id: r-2\r\n\r\n";
        tcp.write_all(request.as_bytes()).await?;
        let answer = backend::read_message(&mut tcp).await?;
        ensure!(answer.is_some(), "closed by the old limit");
        Ok(())
    })
}

/// Where the response of a target that breaks it off ends, in bytes, at most.
const MAX_CUT_BYTES: usize = 140;

/// Fails if a response that its target broke off, anywhere in its head or its body, reaches the caller as
/// a success.
#[rstest]
#[case::lookups_at_another_node("/s/")]
#[case::bookings_at_another_node("/s-do/")]
#[case::lookups_at_the_own_target("/own/")]
#[case::bookings_at_the_own_target("/own-do/")]
fn a_response_that_breaks_off_is_no_success(#[case] path: &str) -> anyhow::Result<()> {
    smol::block_on(async {
        let pair = Pair::start().await?;
        let (caller, serving) = (&pair.caller, pair.serving(path));
        let whole = caller.request("GET", path, "r-100").await?;
        ensure!(whole.status == 200, "{}", whole.text);
        let (mut cuts, mut successes) = (0, Vec::new());
        for bytes in 0..MAX_CUT_BYTES {
            serving.backend.set_behavior(Behavior {
                cut_after: Some(bytes),
                ..Behavior::default()
            });
            // All ids are of one length, and so are the responses.
            let id = format!("r-{}", 100 + bytes);
            let answer = caller.request("GET", path, &id).await?;
            if answer.status == 200 {
                successes.push(bytes);
            } else {
                cuts += 1;
                ensure!(matches!(answer.status, 502..=504), "{}", answer.text);
            }
        }
        // From some length on nothing is cut off.
        ensure!(cuts > 80, "{cuts} cuts");
        ensure!(
            successes.iter().all(|bytes| *bytes >= cuts),
            "{successes:?}"
        );
        Ok(())
    })
}

/// Fails if a status that the HTTP library does not list reaches the caller as another one (review case 4,
/// rule MIXED: 208 came as 500, with the target's seal), or if the next response on the connection has it.
#[rstest]
#[case::lookups_at_another_node("/s/")]
#[case::bookings_at_another_node("/s-do/")]
#[case::bookings_at_the_own_target("/own-do/")]
fn the_targets_status_reaches_the_caller(#[case] path: &str) -> anyhow::Result<()> {
    smol::block_on(async {
        let (_store, caller, other) = start_pair().await?;
        caller.wait_served("/own/").await?;
        let mut tcp = TcpStream::connect(caller.callers).await?;
        for (number, status) in [
            208, 200, 419, 460, 500, 499, 404, 509, 520, 299, 399, 599, 200,
        ]
        .into_iter()
        .enumerate()
        {
            for serving in [&caller, &other] {
                serving.backend.set_behavior(Behavior {
                    status,
                    ..Behavior::default()
                });
            }
            let request = format!(
                "POST {path} HTTP/1.1\r\nHost: h.example\r\nX-Request-Id: r-{number}\r\n\
                Content-Length: 0\r\n\r\n"
            );
            tcp.write_all(request.as_bytes()).await?;
            let answer = backend::read_message(&mut tcp).await?;
            let answer = answer.context("no response")?;
            let line = format!("HTTP/1.1 {status} ");
            ensure!(answer.starts_with(&line), "{status}: {answer}");
            let seal = format!("seal-r-{number}");
            ensure!(header(&answer, "x-server-seal") == Some(&*seal), "{answer}");
            ensure!(
                answer.ends_with(&format!(
                    "answer of {}",
                    if path.starts_with("/own") {
                        &caller.backend.id
                    } else {
                        &other.backend.id
                    }
                )),
                "{answer}"
            );
        }
        Ok(())
    })
}
