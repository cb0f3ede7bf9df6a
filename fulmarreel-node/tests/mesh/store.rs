//! Failures of the store, and entries in it that are malformed or deleted.

use crate::support::{Instance, configure, eventually};
use anyhow::ensure;
use fulmarreel_testing::kv::{FakePlatformStore, Faults};
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

/// Limit on the time until a new configuration is active at a node without the store.
const ACTIVATION_LIMIT: Duration = Duration::from_secs(7);

/// Starts a proxy to the store that can go silent: its connections stay open, and carry no byte
/// more.
async fn start_proxy(to: SocketAddr, silent: Arc<AtomicBool>) -> anyhow::Result<SocketAddr> {
    let listener = TcpListener::bind("127.0.0.1:0").await?;
    let address = listener.local_addr()?;
    smol::spawn(async move {
        while let Ok((client, _)) = listener.accept().await {
            let silent = Arc::clone(&silent);
            smol::spawn(async move {
                let server = TcpStream::connect(to).await?;
                let forwarding = smol::future::or(
                    copy(client.clone(), server.clone()),
                    copy(server.clone(), client.clone()),
                );
                let hold_open = async {
                    while !silent.load(Ordering::Relaxed) {
                        Timer::after(Duration::from_millis(5)).await;
                    }
                    std::future::pending().await
                };
                // A connection of the silent time carries nothing and stays open.
                if silent.load(Ordering::Relaxed) {
                    std::future::pending::<()>().await;
                }
                let silenced = async {
                    while !silent.load(Ordering::Relaxed) {
                        Timer::after(Duration::from_millis(5)).await;
                    }
                    Ok(0)
                };
                smol::future::or(forwarding, silenced).await?;
                let _kept = (client, server);
                if silent.load(Ordering::Relaxed) {
                    return hold_open.await;
                }
                std::io::Result::Ok(())
            })
            .detach();
        }
    })
    .detach();
    Ok(address)
}

/// Fails if a node whose connections to the store are silent does not get a new configuration from
/// its peers, or waits for its silent watch first: 21 s were seen (rule CONFIG of the bench).
#[test]
fn a_node_without_the_store_hears_from_its_peers() -> anyhow::Result<()> {
    smol::block_on(async {
        let store = FakePlatformStore::start()?;
        configure(&store, 1, &["s"]);
        let silent = Arc::new(AtomicBool::new(false));
        let proxy = start_proxy(store.address(), Arc::clone(&silent)).await?;
        let isolated = Instance::start(proxy, "s", "v1").await?;
        let connected = Instance::start(store.address(), "s", "v1").await?;
        isolated.wait_served("/s/").await?;
        connected.wait_served("/s/").await?;
        silent.store(true, Ordering::Relaxed);
        configure(&store, 2, &["s", "t"]);
        let written = Instant::now();
        eventually("active", || async {
            let answer = isolated.request("GET", "/t/", "r-1").await;
            answer.is_ok_and(|answer| answer.status != 404)
        })
        .await?;
        ensure!(
            written.elapsed() < ACTIVATION_LIMIT,
            "{:?}",
            written.elapsed()
        );
        Ok(())
    })
}

/// Fails if requests fail while the store does.
#[rstest]
#[case::silent(Faults { silent: true, ..Faults::default() })]
#[case::busy(Faults { status: Some(503), ..Faults::default() })]
fn requests_go_on_without_the_store(#[case] faults: Faults) -> anyhow::Result<()> {
    smol::block_on(async {
        let store = FakePlatformStore::start()?;
        configure(&store, 1, &["s", "own"]);
        let caller = Instance::start(store.address(), "own", "v1").await?;
        let instance = Instance::start(store.address(), "s", "v1").await?;
        caller.wait_served("/s/").await?;
        instance.wait_served("/s/").await?;
        store.set_faults(faults);
        for number in 0..20 {
            let answer = caller.request("GET", "/s/", &format!("r-{number}")).await?;
            ensure!(answer.status == 200, "{}", answer.text);
            Timer::after(Duration::from_millis(100)).await;
        }
        store.set_faults(Faults::default());
        configure(&store, 2, &["s", "own", "t"]);
        eventually("active", || async {
            let answer = caller.request("GET", "/t/", "r").await;
            answer.is_ok_and(|answer| answer.status != 404)
        })
        .await
    })
}

/// Fails if a malformed configuration replaces the active one, or a node keeps an old configuration
/// after the store has compacted its history.
#[test]
fn what_cannot_be_read_leaves_the_last_in_force() -> anyhow::Result<()> {
    smol::block_on(async {
        let store = FakePlatformStore::start()?;
        configure(&store, 1, &["s"]);
        let instance = Instance::start(store.address(), "s", "v1").await?;
        instance.wait_served("/s/").await?;
        store.put("op/config", b"{\"version\":2,\"routes\":[{}]}");
        store.put("op/rollout/s", b"no order");
        store.put("fulmarreel/nodes/odd", b"no node");
        Timer::after(Duration::from_millis(800)).await;
        let answer = instance.request("GET", "/s/", "r-1").await?;
        ensure!(answer.status == 200, "{}", answer.text);
        configure(&store, 3, &["s", "t"]);
        store.compact();
        eventually("active", || async {
            let answer = instance.request("GET", "/t/", "r").await;
            answer.is_ok_and(|answer| answer.status != 404)
        })
        .await
    })
}

/// Fails if a node doesn't write its entry again after that was deleted.
#[test]
fn an_entry_that_was_taken_away_is_put_back() -> anyhow::Result<()> {
    smol::block_on(async {
        let store = FakePlatformStore::start()?;
        configure(&store, 1, &["s"]);
        let instance = Instance::start(store.address(), "s", "v1").await?;
        instance.wait_served("/s/").await?;
        let find_entry = || {
            let mut keys = store.keys().into_iter();
            keys.find(|key| key.starts_with("fulmarreel/nodes/"))
        };
        let key = find_entry().expect("an entry");
        store.remove(&key);
        let removed = Instant::now();
        eventually("back", || async { find_entry().is_some() }).await?;
        ensure!(
            removed.elapsed() < Duration::from_secs(2),
            "{:?}",
            removed.elapsed()
        );
        Ok(())
    })
}
