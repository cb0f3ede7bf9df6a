//! Failed requests, explained afterwards from logs and metrics alone.

use crate::{
    backend::Behavior,
    support::{Instance, call, configure, eventually, start_pair},
};
use anyhow::ensure;
use fulmarreel::explain::{LogLine, explain};
use std::{
    sync::atomic::{AtomicU64, Ordering},
    time::Duration,
};

/// Waits until the explanation of a request from both nodes' logs contains all of `words`.
async fn ensure_explained(
    id: &str,
    caller: &Instance,
    target: &Instance,
    words: &[&str],
) -> anyhow::Result<()> {
    let summary = || -> anyhow::Result<String> {
        let (callers, targets) = (caller.log()?, target.log()?);
        let log_line = |file, text| LogLine { file, text };
        let lines = callers.lines().map(|line| log_line("caller", line));
        let lines = lines.chain(targets.lines().map(|line| log_line("target", line)));
        Ok(explain(id, lines)?.summary)
    };
    let found = eventually("explained", || async {
        summary().is_ok_and(|text| words.iter().all(|word| text.contains(word)))
    });
    let found = found.await;
    ensure!(found.is_ok(), "{:?}", summary());
    Ok(())
}

/// Fails if the target's node doesn't log the reason of its refusal with the request's id.
#[test]
fn a_refusal_leads_to_the_slots_that_were_taken() -> anyhow::Result<()> {
    smol::block_on(async {
        let (_store, caller, target) = start_pair().await?;
        target.backend.set_behavior(Behavior {
            delay: Duration::from_secs(2),
            ..Behavior::default()
        });
        let before = target.backend.arrivals().len();
        let callers = caller.callers;
        let mut running = Vec::new();
        for number in 0..4 {
            running.push(smol::spawn(async move {
                let id = format!("busy-{number}");
                let headers = [("X-Request-Id", id.as_str()), ("X-Deadline-Ms", "3000")];
                call(callers, "GET", "/s/", "h.example", &headers, "").await
            }));
        }
        let backend = target.backend.clone();
        eventually("slots taken", || async {
            backend.arrivals().len() == before + 4
        })
        .await?;
        let headers = [("X-Request-Id", "failed-1"), ("X-Deadline-Ms", "300")];
        let answer = call(callers, "GET", "/s/", "h.example", &headers, "").await?;
        ensure!(answer.status == 503, "{}", answer.text);
        let words = [
            "Refused after",
            "and not run",
            "target refused it with",
            "at 4 slots",
        ];
        ensure_explained("failed-1", &caller, &target, &words).await
    })
}

/// Fails if the explanation of a booking without a response doesn't name the target that lost it.
#[test]
fn an_unknown_outcome_leads_to_the_connection_that_was_lost() -> anyhow::Result<()> {
    smol::block_on(async {
        let (_store, caller, target) = start_pair().await?;
        target.backend.set_behavior(Behavior {
            drop_answer: true,
            ..Behavior::default()
        });
        let answer = caller.request("POST", "/s-do/", "failed-2").await?;
        ensure!(answer.status == 502, "{}", answer.text);
        let words = ["it may have run", "target had no answer after"];
        ensure_explained("failed-2", &caller, &target, &words).await
    })
}

/// Fails if the explanation of a late response doesn't give the target's own time apart from the
/// whole.
#[test]
fn a_late_answer_leads_to_the_targets_own_time() -> anyhow::Result<()> {
    smol::block_on(async {
        let (_store, caller, target) = start_pair().await?;
        target.backend.set_behavior(Behavior {
            delay: Duration::from_millis(1_200),
            ..Behavior::default()
        });
        let answer = caller.request("GET", "/s/", "failed-3").await?;
        ensure!(answer.status == 200, "{}", answer.text);
        let words = [
            "Answered with 200",
            "the target worked 12",
            "the caller allowed 3000 ms",
        ];
        ensure_explained("failed-3", &caller, &target, &words).await
    })
}

/// Fails if metrics are not served on their own port, or don't count the responses to callers.
#[test]
fn metrics_count_ends_at_their_own_address() -> anyhow::Result<()> {
    smol::block_on(async {
        let (store, caller, target) = start_pair().await?;
        target.backend.set_behavior(Behavior {
            status: 500,
            ..Behavior::default()
        });
        caller.request("POST", "/s-do/", "failed-4").await?;
        let metrics = || call(caller.metrics, "GET", "/metrics", "node", &[], "");
        let version = AtomicU64::new(1);
        // A node begins to read the store some time after its start; each change gives one event.
        eventually("a watch with events", || async {
            let version = version.fetch_add(1, Ordering::Relaxed) + 1;
            configure(&store, version, &["s", "own"]);
            let watched = "fulmarreel_store_watches_total{result=\"events\"}";
            metrics()
                .await
                .is_ok_and(|answer| answer.text.contains(watched))
        })
        .await?;
        let text = metrics().await?.text;
        for expected in [
            "fulmarreel_calls_total{service=\"s\",version=\"v1\",outcome=\"answered\"}",
            "fulmarreel_call_seconds_bucket{service=\"s\"",
            "fulmarreel_ready 1",
            "fulmarreel_store_watches_total{result=\"events\"}",
            "fulmarreel_store_calls_total{call=\"list\",result=\"answered\"}",
        ] {
            ensure!(text.contains(expected), "{expected} of {text}");
        }
        Ok(())
    })
}
