//! Failed requests, explained afterwards by logs and metrics alone.

use crate::{
    backend::Manner,
    support::{Instance, call, configure, eventually, pair},
};
use anyhow::ensure;
use fulmarreel::explain::{Source, explain};
use std::{
    sync::atomic::{AtomicU64, Ordering},
    time::Duration,
};

/// Waits until the logs of both nodes explain a request in these words.
async fn explained(
    id: &str,
    caller: &Instance,
    target: &Instance,
    words: &[&str],
) -> anyhow::Result<()> {
    let told = || -> anyhow::Result<String> {
        let (callers, targets) = (caller.log()?, target.log()?);
        let source = |file, text| Source { file, text };
        let lines = callers.lines().map(|line| source("caller", line));
        let lines = lines.chain(targets.lines().map(|line| source("target", line)));
        Ok(explain(id, lines)?.summary)
    };
    let held = eventually("explained", || async {
        told().is_ok_and(|summary| words.iter().all(|word| summary.contains(word)))
    });
    let held = held.await;
    ensure!(held.is_ok(), "{:?}", told());
    Ok(())
}

/// Fails if the target's node does not say what its refusal rests on, by the request's id.
#[test]
fn a_refusal_leads_to_the_slots_that_were_taken() -> anyhow::Result<()> {
    smol::block_on(async {
        let (_stand, caller, target) = pair().await?;
        target.backend.set_manner(Manner {
            delay: Duration::from_secs(2),
            ..Manner::default()
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
        explained("failed-1", &caller, &target, &words).await
    })
}

/// Fails if a booking whose answer was lost does not lead to the connection that lost it.
#[test]
fn an_unknown_outcome_leads_to_the_connection_that_was_lost() -> anyhow::Result<()> {
    smol::block_on(async {
        let (_stand, caller, target) = pair().await?;
        target.backend.set_manner(Manner {
            lose: true,
            ..Manner::default()
        });
        let answer = caller.request("POST", "/s-do/", "failed-2").await?;
        ensure!(answer.status == 502, "{}", answer.text);
        let words = ["it may have run", "target had no answer after"];
        explained("failed-2", &caller, &target, &words).await
    })
}

/// Fails if a late answer does not tell the target's own time from the wait before it.
#[test]
fn a_late_answer_leads_to_the_targets_own_time() -> anyhow::Result<()> {
    smol::block_on(async {
        let (_stand, caller, target) = pair().await?;
        target.backend.set_manner(Manner {
            delay: Duration::from_millis(1_200),
            ..Manner::default()
        });
        let answer = caller.request("GET", "/s/", "failed-3").await?;
        ensure!(answer.status == 200, "{}", answer.text);
        let words = [
            "Answered with 200",
            "the target worked 12",
            "the caller allowed 3000 ms",
        ];
        explained("failed-3", &caller, &target, &words).await
    })
}

/// Fails if the metrics' own port is not served, or does not count what callers saw.
#[test]
fn metrics_count_ends_at_their_own_address() -> anyhow::Result<()> {
    smol::block_on(async {
        let (stand, caller, target) = pair().await?;
        target.backend.set_manner(Manner {
            status: 500,
            ..Manner::default()
        });
        caller.request("POST", "/s-do/", "failed-4").await?;
        let metrics = || call(caller.metrics, "GET", "/metrics", "node", &[], "");
        let version = AtomicU64::new(1);
        // A node reads the store some time after its start, and each change is one event.
        eventually("a watch with events", || async {
            let version = version.fetch_add(1, Ordering::Relaxed) + 1;
            configure(&stand, version, &["s", "own"]);
            let watched = "fulmarreel_store_watches_total{result=\"events\"}";
            metrics().await.is_ok_and(|it| it.text.contains(watched))
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
