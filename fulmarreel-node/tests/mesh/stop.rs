//! Targets that leave, and nodes that stop.

use crate::{
    backend::Behavior,
    support::{Answer, Instance, configure, eventually, start_pair},
};
use anyhow::{Context, ensure};
use fulmarreel_testing::kv::FakePlatformStore;
use rstest::rstest;
use smol::Timer;
use std::time::{Duration, Instant};

/// Fails if a request reaches a target after its node acknowledged that the target is leaving.
#[test]
fn nothing_reaches_a_target_after_its_leaving_was_acknowledged() -> anyhow::Result<()> {
    smol::block_on(async {
        let store = FakePlatformStore::start()?;
        configure(&store, 1, &["s", "own"]);
        let caller = Instance::start(store.address(), "own", "v1").await?;
        let mut instance = Instance::start(store.address(), "s", "v1").await?;
        caller.wait_served("/s/").await?;
        ensure!(instance.drain().await?, "not acknowledged");
        let arrived = instance.backend.arrivals().len();
        for number in 0..5 {
            let answer = caller.request("GET", "/s/", &format!("r-{number}")).await?;
            ensure!(answer.status == 503, "{}", answer.text);
        }
        ensure!(instance.backend.arrivals().len() == arrived);
        Ok(())
    })
}

/// Fails if a stopping node cuts requests that run, does not end in time, or deletes its entry in
/// the store.
#[test]
fn a_stop_lets_requests_end() -> anyhow::Result<()> {
    smol::block_on(async {
        let store = FakePlatformStore::start()?;
        configure(&store, 1, &["s"]);
        let mut instance = Instance::start(store.address(), "s", "v1").await?;
        instance.wait_served("/s/").await?;
        instance.backend.set_behavior(Behavior {
            delay: Duration::from_millis(1_500),
            ..Behavior::default()
        });
        let before = instance.backend.arrivals().len();
        let (lookup, booking) = (
            instance.request("GET", "/s/", "r-1"),
            instance.request("POST", "/s-do/", "r-2"),
        );
        let stopping = async {
            let both_running = || async { instance.backend.arrivals().len() == before + 2 };
            eventually("running", both_running).await?;
            instance.process.signal("TERM")
        };
        let ((lookup, booking), stopped) =
            smol::future::zip(smol::future::zip(lookup, booking), stopping).await;
        stopped?;
        ensure!(lookup?.status == 200);
        ensure!(booking?.status == 200);
        let waiting_since = Instant::now();
        instance.process.wait(Duration::from_secs(6))?;
        ensure!(waiting_since.elapsed() < Duration::from_secs(6));
        // A node that stops while its target works is expected to restart, and leaves its entry.
        ensure!(
            store
                .keys()
                .iter()
                .any(|key| key.starts_with("fulmarreel/nodes/"))
        );
        Ok(())
    })
}

/// Fails if the entry of an instance that has left for good stays in the store.
#[test]
fn a_node_whose_target_has_left_deletes_its_entry() -> anyhow::Result<()> {
    smol::block_on(async {
        let store = FakePlatformStore::start()?;
        configure(&store, 1, &["s"]);
        let mut instance = Instance::start(store.address(), "s", "v1").await?;
        instance.wait_served("/s/").await?;
        ensure!(instance.drain().await?);
        instance.process.signal("TERM")?;
        instance.process.wait(Duration::from_secs(6))?;
        let log = instance.log()?;
        ensure!(log.contains("\"message\":\"stopped\""), "{log}");
        let keys = store.keys();
        ensure!(
            !keys.iter().any(|key| key.starts_with("fulmarreel/nodes/")),
            "{keys:?}"
        );
        Ok(())
    })
}

/// Fails if callers wait for a node that was killed, or it is not used again after its restart.
#[test]
fn a_killed_node_is_back_after_its_restart() -> anyhow::Result<()> {
    smol::block_on(async {
        let store = FakePlatformStore::start()?;
        configure(&store, 1, &["s", "own"]);
        let caller = Instance::start(store.address(), "own", "v1").await?;
        let mut instance = Instance::start(store.address(), "s", "v1").await?;
        caller.wait_served("/s/").await?;
        instance.process.signal("KILL")?;
        instance.process.wait_for_exit(Duration::from_secs(2))?;
        let answer = caller.request("GET", "/s/", "r-1").await?;
        ensure!(matches!(answer.status, 502 | 503), "{}", answer.text);
        let started = Instant::now();
        let answer = caller.request("GET", "/s/", "r-2").await?;
        ensure!(answer.status == 503, "{}", answer.text);
        ensure!(
            started.elapsed() < Duration::from_millis(600),
            "{:?}",
            started.elapsed()
        );
        instance.restart()?;
        caller.wait_served("/s/").await
    })
}

/// Fails if a request that still waits for a slot when its node ends gets neither a response nor a
/// refusal. This was seen (rule LOST of the bench, day trouble-2 of encalado-tlx).
#[test]
fn what_waits_for_a_slot_is_refused_before_the_end() -> anyhow::Result<()> {
    smol::block_on(async {
        let store = FakePlatformStore::start()?;
        configure(&store, 1, &["s", "own"]);
        let caller = Instance::start(store.address(), "own", "v1").await?;
        let instance = Instance::start(store.address(), "s", "v1").await?;
        caller.wait_served("/s/").await?;
        instance.wait_served("/s/").await?;
        instance.backend.set_behavior(Behavior {
            delay: Duration::from_secs(20),
            ..Behavior::default()
        });
        caller.process.signal("TERM")?;
        Timer::after(Duration::from_millis(1_900)).await;
        // These requests take every slot. One of them comes through the stopping node, which goes
        // on until that request ends.
        let ids: Vec<String> = (0..4).map(|number| format!("r-{number}")).collect();
        let from = |number: usize| if number == 0 { &caller } else { &instance };
        let long_requests = ids
            .iter()
            .enumerate()
            .map(|(number, id)| from(number).request("POST", "/s-do/", id));
        let last = async {
            Timer::after(Duration::from_millis(500)).await;
            caller.request("POST", "/s-do/", "r-last").await
        };
        let results = smol::future::zip(join_all(long_requests), last).await;
        let answer = results.1?;
        ensure!(answer.status == 503, "{}", answer.text);
        Ok(())
    })
}

/// Waits until all requests have ended, with any result.
async fn join_all(requests: impl Iterator<Item = impl Future<Output = anyhow::Result<Answer>>>) {
    let executor = smol::LocalExecutor::new();
    let tasks: Vec<_> = requests.map(|request| executor.spawn(request)).collect();
    let all = async {
        for task in tasks {
            // A failed request is as good as an answered one here.
            let _ = task.await;
        }
    };
    executor.run(all).await;
}

/// Fails if a restarted node serves its working target only after the target's next announcement,
/// or serves a target whose health check fails since.
#[rstest]
#[case::working(true)]
#[case::unhealthy(false)]
fn a_restarted_node_takes_up_the_target_that_works(#[case] healthy: bool) -> anyhow::Result<()> {
    smol::block_on(async {
        let store = FakePlatformStore::start()?;
        configure(&store, 1, &["s"]);
        let mut instance = Instance::start(store.address(), "s", "v1").await?;
        instance.wait_served("/s/").await?;
        let has_entry = || {
            store
                .keys()
                .iter()
                .any(|key| key.starts_with("fulmarreel/nodes/"))
        };
        eventually("entry written", || async { has_entry() }).await?;
        instance.stop_announcing();
        instance.process.signal("KILL")?;
        instance.process.wait_for_exit(Duration::from_secs(2))?;
        instance.backend.set_behavior(Behavior {
            unhealthy: !healthy,
            ..Behavior::default()
        });
        instance.restart()?;
        if healthy {
            return instance.wait_served("/s/").await;
        }
        instance.wait_ready().await?;
        Timer::after(Duration::from_millis(700)).await;
        let answer = instance.request("GET", "/s/", "r-1").await?;
        ensure!(answer.status == 503, "{}", answer.text);
        Ok(())
    })
}

/// Fails if a request whose body arrives late in a stop is passed on, or gets no response.
#[rstest]
#[case::lookup("/s/")]
#[case::booking("/s-do/")]
fn a_body_that_arrives_late_in_a_stop_is_refused(#[case] path: &str) -> anyhow::Result<()> {
    smol::block_on(async {
        let (_store, caller, instance) = start_pair().await?;
        caller.wait_served(path).await?;
        instance.backend.set_behavior(Behavior {
            delay: Duration::from_secs(2),
            ..Behavior::default()
        });
        let before = instance.backend.arrivals().len();
        let head = format!(
            "POST {path} HTTP/1.1\r\nHost: h.example\r\nX-Request-Id: r-late\r\n\
            X-Deadline-Ms: 10000\r\nContent-Length: 4\r\n\r\nbo"
        );
        caller.process.signal("TERM")?;
        Timer::after(Duration::from_millis(1_500)).await;
        let mut tcp = smol::net::TcpStream::connect(caller.callers).await?;
        smol::io::AsyncWriteExt::write_all(&mut tcp, head.as_bytes()).await?;
        Timer::after(Duration::from_millis(2_300)).await;
        smol::io::AsyncWriteExt::write_all(&mut tcp, b"dy").await?;
        let answer = crate::backend::read_message(&mut tcp).await?;
        let answer = answer.context("no response")?;
        ensure!(answer.starts_with("HTTP/1.1 503 "), "{answer}");
        ensure!(instance.backend.arrivals().len() == before, "arrived");
        Ok(())
    })
}
