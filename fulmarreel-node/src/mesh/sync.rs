//! Follows the platform's store; other nodes help where the store cannot be reached.

use super::{keys, world::World};
use crate::{peer::stream, telemetry::metrics};
use fulmarreel_distribution::mirror::{Change, Item};
use fulmarreel_store::{Batch, Entry, Error, Event, Revision, Store, watch::Watch};
use fulmarreel_wire::{Hello, PROTOCOL, Purpose, notice};
use smol::{Timer, future::or, io::BufReader, net::TcpStream};
use std::{
    collections::BTreeMap, convert::Infallible, io, net::SocketAddr, sync::Arc, time::Duration,
};

/// How long the store holds a watch where nothing changes.
const WATCH_WAIT: Duration = Duration::from_secs(20);

/// How often the store is asked whether it answers, on average.
const PROBE_INTERVAL: Duration = Duration::from_secs(4);

/// Pause after a change, so that changes in quick succession come together.
const BATCH_PAUSE: Duration = Duration::from_millis(600);

/// Pause after a failed call, the first time.
const MIN_BACKOFF: Duration = Duration::from_millis(100);

/// The longest pause after a failed call.
const MAX_BACKOFF: Duration = Duration::from_millis(1_000);

/// How long another node may take to send what it holds.
const PULL_TIMEOUT: Duration = Duration::from_millis(800);

/// Follows the store until the process ends.
pub async fn run(world: Arc<World>) {
    let mut backoff = MIN_BACKOFF;
    let mut lost = false;
    loop {
        let Err(error) = follow(&world, &mut backoff, &mut lost).await;
        metrics::store_watched("failed");
        if matches!(error, Error::Compacted { .. }) {
            log::info!("the store's history is gone, reading it anew");
            if list(&world).await.is_ok() {
                continue;
            }
        }
        if !lost {
            log::warn!(revision = world.revision(); "store lost: {error}");
            lost = true;
        }
        Timer::after(backoff.mul_f64(0.5 + fastrand::f64())).await;
        backoff = (backoff * 2).min(MAX_BACKOFF);
    }
}

/// Follows the store until a call fails.
async fn follow(
    world: &World,
    backoff: &mut Duration,
    lost: &mut bool,
) -> Result<Infallible, Error> {
    if world.revision() == 0 {
        list(world).await?;
    }
    let from = Revision(world.revision()).next();
    let mut watch = world.store.watch("", from, WATCH_WAIT).await?;
    let mut received = 0;
    loop {
        let next = async { watch.next().await.map(Some) };
        let next = or(next, async {
            world.is_behind().await;
            Ok(None)
        });
        let Some(batch) = next.await? else {
            // The watch's connection may have gone silent; the next wait opens another one.
            log::info!(
                revision = world.revision(),
                heard = world.heard(),
                bytes = watch.received() - std::mem::replace(&mut received, watch.received());
                "a peer knows more than the watch, which is left"
            );
            continue;
        };
        if std::mem::take(lost) {
            log::info!(revision = batch.revision.0; "store regained");
        }
        *backoff = MIN_BACKOFF;
        let changed = !batch.events.is_empty();
        if changed {
            log::info!(
                revision = batch.revision.0,
                events = batch.events.len(),
                bytes = watch.received() - std::mem::replace(&mut received, watch.received());
                "store changed"
            );
        }
        world.touch();
        metrics::store_watched(if changed { "events" } else { "quiet" });
        take(world, batch);
        if changed {
            Timer::after(BATCH_PAUSE).await;
        }
    }
}

/// Asks the store now and then whether it answers, until the process ends. A watch that waited while
/// the store was silent may never be answered, so it is left once the store is back.
pub async fn probe(world: Arc<World>) {
    let key = format!("{}{}", keys::NODES, world.settings().instance);
    let mut silent = false;
    loop {
        Timer::after(PROBE_INTERVAL.mul_f64(0.5 + fastrand::f64())).await;
        match world.store.probe(&key).await {
            Ok(reached) => {
                let behind = reached.is_some_and(|reached| reached.0 > world.revision());
                if std::mem::take(&mut silent) || behind {
                    Timer::after(BATCH_PAUSE * 2).await;
                    if !behind || reached.is_some_and(|reached| reached.0 > world.revision()) {
                        world.fall_behind();
                    }
                }
            }
            Err(error) => {
                log::info!("store probe: {error}");
                silent = true;
            }
        }
    }
}

/// Reads the whole store.
async fn list(world: &World) -> Result<(), Error> {
    let listing = world.store.list("").await?;
    world.touch();
    let items = listing.entries.into_iter().map(|entry| {
        let Entry {
            key,
            value,
            revision,
            ..
        } = entry;
        let revision = revision.0;
        (key, Item { revision, value })
    });
    world.replace(listing.revision.0, items.collect());
    Ok(())
}

fn take(world: &World, batch: Batch) {
    let changes = batch.events.into_iter().map(|event| match event {
        Event::Put(entry) => Change {
            key: entry.key,
            revision: entry.revision.0,
            value: Some(entry.value),
        },
        Event::Delete { key, revision } => Change {
            key,
            revision: revision.0,
            value: None,
        },
    });
    world.apply(batch.revision.0, changes.collect());
}

/// Sends what this node holds of the store to a peer that asked.
///
/// # Errors
///
/// The connection failed.
pub async fn send_snapshot(world: &World, mut tcp: TcpStream) -> io::Result<()> {
    let snapshot = world.read(|mirror| notice::Snapshot {
        revision: mirror.revision(),
        items: mirror
            .items()
            .map(|(key, item)| notice::Item {
                key: key.to_owned(),
                revision: item.revision,
                value: item.value.clone(),
            })
            .collect(),
    });
    stream::write(&mut tcp, &snapshot).await
}

/// Takes over what a peer holds of the store, where that is more.
///
/// # Errors
///
/// The peer cannot be reached or does not answer in time.
pub async fn pull(world: &World, peer: SocketAddr) -> io::Result<()> {
    or(fetch(world, peer), async {
        Timer::after(PULL_TIMEOUT).await;
        Err(io::ErrorKind::TimedOut.into())
    })
    .await
}

async fn fetch(world: &World, peer: SocketAddr) -> io::Result<()> {
    let mut tcp = TcpStream::connect(peer).await?;
    let hello = Hello {
        protocol: PROTOCOL,
        address: world.settings().peers,
        boot: world.boot,
        purpose: Purpose::Snapshot,
    };
    stream::write(&mut tcp, &hello).await?;
    let mut tcp = BufReader::new(tcp);
    let snapshot: notice::Snapshot = stream::read(&mut tcp).await?;
    let revision = snapshot.revision;
    let items: BTreeMap<String, Item> = snapshot
        .items
        .into_iter()
        .map(|item| {
            let (revision, value) = (item.revision, item.value);
            (item.key, Item { revision, value })
        })
        .collect();
    let bytes: usize = items.values().map(|item| item.value.len()).sum();
    metrics::snapshot_received(bytes as u64);
    if revision > world.revision() {
        log::info!(peer:% = peer, revision, bytes; "took over what a peer knows of the store");
        world.replace(revision, items);
    }
    Ok(())
}
