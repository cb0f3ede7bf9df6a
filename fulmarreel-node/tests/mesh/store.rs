//! The store in trouble.

use crate::support::{Instance, configure, eventually};
use anyhow::ensure;
use fulmarreel_testing::kv::{Faults, Stand};
use rstest::rstest;
use smol::{
    Timer,
    io::copy,
    net::{TcpListener, TcpStream},
};
use std::{
    net::SocketAddr,
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
    time::{Duration, Instant},
};

/// Time by which a configuration is active at a node that the store does not serve.
const OUTER_LIMIT: Duration = Duration::from_secs(7);

/// A way to the store that can go silent: connections stay open, and nothing passes.
async fn way(to: SocketAddr, silent: Arc<AtomicBool>) -> anyhow::Result<SocketAddr> {
    let listener = TcpListener::bind("127.0.0.1:0").await?;
    let address = listener.local_addr()?;
    smol::spawn(async move {
        while let Ok((near, _)) = listener.accept().await {
            let silent = Arc::clone(&silent);
            smol::spawn(async move {
                let far = TcpStream::connect(to).await?;
                let passing = smol::future::or(
                    copy(near.clone(), far.clone()),
                    copy(far.clone(), near.clone()),
                );
                let stopped = async {
                    while !silent.load(Ordering::Relaxed) {
                        Timer::after(Duration::from_millis(5)).await;
                    }
                    std::future::pending().await
                };
                // What went silent stays so, and keeps its connections.
                if silent.load(Ordering::Relaxed) {
                    std::future::pending::<()>().await;
                }
                let cut = async {
                    while !silent.load(Ordering::Relaxed) {
                        Timer::after(Duration::from_millis(5)).await;
                    }
                    Ok(0)
                };
                smol::future::or(passing, cut).await?;
                let _kept = (near, far);
                if silent.load(Ordering::Relaxed) {
                    return stopped.await;
                }
                std::io::Result::Ok(())
            })
            .detach();
        }
    })
    .detach();
    Ok(address)
}

/// Fails if a node that the store does not serve hears of a configuration from nobody else, or
/// waits for a watch that has gone silent (CONFIG in a hunt: 21 s).
#[test]
fn a_node_without_the_store_hears_from_its_peers() -> anyhow::Result<()> {
    smol::block_on(async {
        let stand = Stand::start()?;
        configure(&stand, 1, &["s"]);
        let silent = Arc::new(AtomicBool::new(false));
        let way = way(stand.address(), Arc::clone(&silent)).await?;
        let cut = Instance::start(way, "s", "v1").await?;
        let served = Instance::start(stand.address(), "s", "v1").await?;
        cut.wait_served("/s/").await?;
        served.wait_served("/s/").await?;
        silent.store(true, Ordering::Relaxed);
        configure(&stand, 2, &["s", "t"]);
        let written = Instant::now();
        eventually("active", || async {
            let answer = cut.request("GET", "/t/", "r-1").await;
            answer.is_ok_and(|answer| answer.status != 404)
        })
        .await?;
        ensure!(written.elapsed() < OUTER_LIMIT, "{:?}", written.elapsed());
        Ok(())
    })
}

/// Fails if requests need the store.
#[rstest]
#[case::silent(Faults { silent: true, ..Faults::default() })]
#[case::busy(Faults { status: Some(503), ..Faults::default() })]
fn requests_go_on_without_the_store(#[case] faults: Faults) -> anyhow::Result<()> {
    smol::block_on(async {
        let stand = Stand::start()?;
        configure(&stand, 1, &["s", "own"]);
        let caller = Instance::start(stand.address(), "own", "v1").await?;
        let one = Instance::start(stand.address(), "s", "v1").await?;
        caller.wait_served("/s/").await?;
        one.wait_served("/s/").await?;
        stand.set_faults(faults);
        for number in 0..20 {
            let answer = caller.request("GET", "/s/", &format!("r-{number}")).await?;
            ensure!(answer.status == 200, "{}", answer.text);
            Timer::after(Duration::from_millis(100)).await;
        }
        stand.set_faults(Faults::default());
        configure(&stand, 2, &["s", "own", "t"]);
        eventually("active", || async {
            let answer = caller.request("GET", "/t/", "r").await;
            answer.is_ok_and(|answer| answer.status != 404)
        })
        .await
    })
}

/// Fails if a configuration that cannot be read takes the place of the active one, or the
/// history's loss leaves a node with an old one.
#[test]
fn what_cannot_be_read_leaves_the_last_in_force() -> anyhow::Result<()> {
    smol::block_on(async {
        let stand = Stand::start()?;
        configure(&stand, 1, &["s"]);
        let one = Instance::start(stand.address(), "s", "v1").await?;
        one.wait_served("/s/").await?;
        stand.put("op/config", b"{\"version\":2,\"routes\":[{}]}");
        stand.put("op/rollout/s", b"no order");
        stand.put("fulmarreel/nodes/odd", b"no node");
        Timer::after(Duration::from_millis(800)).await;
        let answer = one.request("GET", "/s/", "r-1").await?;
        ensure!(answer.status == 200, "{}", answer.text);
        configure(&stand, 3, &["s", "t"]);
        stand.compact();
        eventually("active", || async {
            let answer = one.request("GET", "/t/", "r").await;
            answer.is_ok_and(|answer| answer.status != 404)
        })
        .await
    })
}

/// Fails if an entry that was taken away is not put back.
#[test]
fn an_entry_that_was_taken_away_is_put_back() -> anyhow::Result<()> {
    smol::block_on(async {
        let stand = Stand::start()?;
        configure(&stand, 1, &["s"]);
        let one = Instance::start(stand.address(), "s", "v1").await?;
        one.wait_served("/s/").await?;
        let entry = || {
            let mut keys = stand.keys().into_iter();
            keys.find(|key| key.starts_with("fulmarreel/nodes/"))
        };
        let key = entry().expect("an entry");
        stand.remove(&key);
        let removed = Instant::now();
        eventually("back", || async { entry().is_some() }).await?;
        ensure!(
            removed.elapsed() < Duration::from_secs(2),
            "{:?}",
            removed.elapsed()
        );
        Ok(())
    })
}
