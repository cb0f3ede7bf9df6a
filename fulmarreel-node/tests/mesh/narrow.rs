//! Targets behind a narrow link.

use crate::{
    backend::Behavior,
    support::{Instance, call, configure_bulk, eventually},
};
use anyhow::ensure;
use fulmarreel::explain::{LogLine, explain};
use fulmarreel_testing::kv::FakePlatformStore;
use std::time::Duration;

/// Downloads that are asked for at once.
const DOWNLOADS: usize = 8;

/// Fails if a target runs downloads that its machine's link cannot carry in time, if they are held in place
/// of being refused at once, or if a link that can carry all refuses one. Over 3 Mbit/s a body of 90 KB
/// takes a quarter of the objective.
#[test]
fn downloads_beyond_the_link_are_refused_and_not_run() -> anyhow::Result<()> {
    smol::block_on(async {
        let store = FakePlatformStore::start()?;
        configure_bulk(&store, 1, &["s", "own"]);
        let caller = Instance::start(store.address(), "own", "v1").await?;
        let target = Instance::start(store.address(), "s", "v1").await?;
        target.backend.set_behavior(Behavior {
            delay: Duration::from_millis(50),
            padding_bytes: 90_000,
            ..Behavior::default()
        });
        caller.wait_ready().await?;
        caller.wait_served("/s/").await?;
        let (answered, refused) = download(&caller, &target).await?;
        ensure!(refused == 0, "{answered} answered, {refused} refused");

        target.add_setting("limits.link_mbps=3").await?;
        eventually("narrow", || async {
            let metrics = call(target.metrics, "GET", "/metrics", "node", &[], "").await;
            metrics.is_ok_and(|metrics| metrics.text.contains("fulmarreel_link_backlog_seconds"))
        })
        .await?;
        let (answered, refused) = download(&caller, &target).await?;
        ensure!(
            (2..=5).contains(&answered) && refused == DOWNLOADS - answered,
            "{answered} answered, {refused} refused"
        );
        let line = |text| LogLine {
            file: "target",
            text,
        };
        let log = target.log()?;
        let explanations = (0..DOWNLOADS).filter_map(|number| {
            explain(&format!("download-{number}"), log.lines().map(line)).ok()
        });
        let words = "on its link before";
        let found = explanations
            .filter(|found| found.summary.contains(words))
            .count();
        ensure!(found == refused, "{found} of {refused} explained");
        Ok(())
    })
}

/// Starts downloads at once, and returns how many are answered, and how many refused without being run.
async fn download(caller: &Instance, target: &Instance) -> anyhow::Result<(usize, usize)> {
    let before = target.backend.arrivals().len();
    let callers = caller.callers;
    let downloads: Vec<_> = (0..DOWNLOADS)
        .map(|number| {
            smol::spawn(async move {
                let id = format!("download-{number}");
                let headers = [("X-Request-Id", id.as_str()), ("X-Deadline-Ms", "3000")];
                call(callers, "GET", "/s/", "h.example", &headers, "").await
            })
        })
        .collect();
    let (mut answered, mut refused) = (0, 0);
    for download in downloads {
        match download.await?.status {
            200 => answered += 1,
            503 => refused += 1,
            status => anyhow::bail!("status {status}"),
        }
    }
    let run = target.backend.arrivals().len() - before;
    ensure!(run == answered, "{run} run, {answered} answered");
    Ok((answered, refused))
}

/// Uploads that are sent at once, of which three seconds of the link carry more than all.
const UPLOADS: usize = 4;

/// Fails if a long request body that waits for credit is never sent, or if one whose turn comes late is
/// given up: each takes 170 ms of the link, so most wait for those before them.
#[test]
fn uploads_over_a_narrow_link_take_turns_and_all_arrive() -> anyhow::Result<()> {
    smol::block_on(async {
        let store = FakePlatformStore::start()?;
        configure_bulk(&store, 1, &["s", "own"]);
        let caller = Instance::start(store.address(), "own", "v1").await?;
        let target = Instance::start(store.address(), "s", "v1").await?;
        caller.wait_ready().await?;
        caller.wait_served("/s/").await?;
        target.add_setting("limits.link_mbps=3").await?;
        let before = target.backend.arrivals().len();
        let callers = caller.callers;
        let uploads: Vec<_> = (0..UPLOADS)
            .map(|number| {
                smol::spawn(async move {
                    let id = format!("upload-{number}");
                    let headers = [("X-Request-Id", id.as_str()), ("X-Deadline-Ms", "3000")];
                    let body = number.to_string().repeat(60_000);
                    call(callers, "POST", "/s/", "h.example", &headers, &body).await
                })
            })
            .collect();
        for upload in uploads {
            let answer = upload.await?;
            ensure!(answer.status == 200, "{}", answer.text);
        }
        let run = target.backend.arrivals().len() - before;
        ensure!(run == UPLOADS, "{run} run");
        Ok(())
    })
}
