//! What nodes get of a quota.

use crate::support::{COORDINATOR_KEY, account, configure, coordinator, eventually, run, start};
use anyhow::ensure;
use fulmarreel_testing::kv::FakePlatformStore;
use smol::Timer;
use std::time::Duration;

const NODES: usize = 4;

/// Longer than the time for which a new coordinator only renews grants.
const TAKEOVER_TIME: Duration = Duration::from_secs(9);

/// Fails if nodes together run more than an account's quota and its allowance, or far less than it.
#[test]
fn nodes_share_a_quota() -> anyhow::Result<()> {
    run(async {
        let store = FakePlatformStore::start()?;
        configure(&store, 1, &[("a", 40.0)]);
        let nodes = start(&store, NODES).await?;
        eventually("coordinated", || coordinator(&store, &nodes).is_some()).await?;
        Timer::after(TAKEOVER_TIME).await;
        let client = account("a", 40.0);
        let time = Duration::from_secs(5);
        let loads = nodes.iter().map(|node| {
            let client = client.clone();
            async move { node.load(&client, 60.0, time).await.1 }
        });
        let ran: u32 = join(loads).await.into_iter().sum();
        // (40 x 5 + 40) x 1.1 + 20
        ensure!((210..=284).contains(&ran), "{ran} ran");
        Ok(())
    })
}

/// Fails if requests within the quota are refused for long after the coordinator was killed.
#[test]
fn nodes_go_on_without_the_coordinator() -> anyhow::Result<()> {
    run(async {
        let store = FakePlatformStore::start()?;
        configure(&store, 1, &[("a", 100.0)]);
        let mut nodes = start(&store, NODES).await?;
        eventually("coordinated", || coordinator(&store, &nodes).is_some()).await?;
        Timer::after(TAKEOVER_TIME).await;
        let client = account("a", 100.0);
        let loads = nodes
            .iter()
            .map(|node| node.load(&client, 12.0, Duration::from_secs(4)));
        join(loads).await;
        let lost = coordinator(&store, &nodes).expect("a coordinator");
        drop(nodes.remove(lost));
        let loads = nodes
            .iter()
            .map(|node| node.load(&client, 12.0, Duration::from_secs(8)));
        let (sent, ran) = join(loads)
            .await
            .into_iter()
            .fold((0, 0), |sum, load| (sum.0 + load.0, sum.1 + load.1));
        ensure!(
            f64::from(ran) >= f64::from(sent) * 0.9,
            "{ran} of {sent} ran"
        );
        eventually("coordinated again", || {
            coordinator(&store, &nodes).is_some()
        })
        .await
    })
}

/// Fails if a configuration whose accounts have no limit costs a claim, or refuses a request.
#[test]
fn without_limits_there_is_no_coordinator() -> anyhow::Result<()> {
    run(async {
        let store = FakePlatformStore::start()?;
        configure(&store, 1, &[("a", 0.0)]);
        let nodes = start(&store, 2).await?;
        Timer::after(Duration::from_secs(4)).await;
        for _ in 0..100 {
            ensure!(nodes[0].request(&account("a", 0.0)).await, "refused");
        }
        ensure!(store.get(COORDINATOR_KEY).is_none(), "a coordinator");
        Ok(())
    })
}

/// Fails if a limit that is lowered in the configuration does not bind within its time of arrival.
#[test]
fn a_lowered_limit_binds() -> anyhow::Result<()> {
    run(async {
        let store = FakePlatformStore::start()?;
        configure(&store, 1, &[("a", 200.0)]);
        let nodes = start(&store, 2).await?;
        eventually("coordinated", || coordinator(&store, &nodes).is_some()).await?;
        Timer::after(TAKEOVER_TIME).await;
        let client = account("a", 200.0);
        let load = |time| {
            let loads = nodes.iter().map(|node| node.load(&client, 80.0, time));
            join(loads.collect::<Vec<_>>())
        };
        load(Duration::from_secs(3)).await;
        configure(&store, 2, &[("a", 10.0)]);
        for node in &nodes {
            let version = || {
                node.context
                    .view()
                    .table
                    .as_ref()
                    .map(|table| table.version)
            };
            eventually("configured", || version() == Some(2)).await?;
        }
        let ran: u32 = load(Duration::from_secs(5))
            .await
            .into_iter()
            .map(|load| load.1)
            .sum();
        // (10 x 5 + 10) x 1.1 + 20
        ensure!(ran <= 86, "{ran} ran");
        Ok(())
    })
}

/// Awaits all futures at once.
async fn join<F: Future>(futures: impl IntoIterator<Item = F>) -> Vec<F::Output> {
    let mut pending: Vec<_> = futures.into_iter().map(Box::pin).map(Some).collect();
    let mut outputs: Vec<Option<F::Output>> = pending.iter().map(|_| None).collect();
    std::future::poll_fn(|context| {
        for (slot, output) in pending.iter_mut().zip(&mut outputs) {
            if let Some(future) = slot
                && let std::task::Poll::Ready(value) = future.as_mut().poll(context)
            {
                (*output, *slot) = (Some(value), None);
            }
        }
        if pending.iter().all(Option::is_none) {
            return std::task::Poll::Ready(());
        }
        std::task::Poll::Pending
    })
    .await;
    outputs.into_iter().flatten().collect()
}
