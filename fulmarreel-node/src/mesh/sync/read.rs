//! Reads the store, for the region and for a node that nobody tells.

use crate::{mesh::context::Context, telemetry::metrics};
use fulmarreel_distribution::{
    backoff::Backoff,
    contact::WATCH_WAIT,
    mirror::{Change, Item},
};
use fulmarreel_store::{Batch, Entry, Error, Event, Revision, Store, watch::Watch};
use smol::{Timer, future::or};
use std::{
    sync::{
        Arc,
        atomic::{AtomicU64, Ordering},
    },
    time::Duration,
};

/// Pause after a change, so that changes in quick succession come together.
const BATCH_PAUSE: Duration = Duration::from_millis(500);

/// The longest pause after a failed call, the first time.
const MIN_BACKOFF: Duration = Duration::from_millis(200);

/// The longest such pause.
const MAX_BACKOFF: Duration = Duration::from_millis(1_500);

/// Waits for changes in a row that fail before the whole store is read in their place: the history may
/// be longer than what one answer can bring.
const MAX_UNREAD: u32 = 2;

/// How often it is looked whether an answer arrives.
const PROGRESS_INTERVAL: Duration = Duration::from_millis(100);

/// Reads the whole store once, then follows it whenever this node is one of its region's readers,
/// until the process ends.
pub async fn run(context: Arc<Context>) {
    let mut backoff = Backoff::new(MIN_BACKOFF, MAX_BACKOFF);
    let mut lost = false;
    let mut unread = 0;
    loop {
        if context.revision() > 0 {
            context.reading(true).await;
        }
        let Err(error) = follow(&context, &mut backoff, &mut lost).await else {
            unread = 0;
            continue;
        };
        metrics::store_watched("failed");
        context.miss();
        let answered = matches!(error, Error::Unanswered { .. } | Error::Malformed { .. });
        unread = if answered { unread + 1 } else { 0 };
        if matches!(error, Error::Compacted { .. }) || unread >= MAX_UNREAD {
            log::info!("the store's history cannot be read, reading the whole store: {error}");
            unread = 0;
            if list(&context).await.is_ok() {
                continue;
            }
        }
        if !lost {
            log::warn!(revision = context.revision(); "store lost: {error}");
            lost = true;
        }
        Timer::after(backoff.next(&mut fastrand::Rng::new())).await;
    }
}

/// Follows the store until a call fails or this node is no reader any more.
async fn follow(context: &Context, backoff: &mut Backoff, lost: &mut bool) -> Result<(), Error> {
    if context.revision() == 0 {
        return list(context).await;
    }
    let from = Revision(context.revision()).next();
    // The first answer comes at once, so that others soon hear that this node reads.
    let mut watch = context.store.watch("", from, Duration::ZERO).await?;
    let received = watch.counter();
    loop {
        let before = received.load(Ordering::Relaxed);
        let next = or(watch.next(), observe(context, &received));
        let next = or(async { next.await.map(Some) }, async {
            context.reading(false).await;
            Ok(None)
        });
        let Some(batch) = next.await? else {
            return Ok(());
        };
        if std::mem::take(lost) {
            log::info!(revision = batch.revision.0; "store regained");
        }
        backoff.reset();
        watch.set_wait(WATCH_WAIT);
        let bytes = received.load(Ordering::Relaxed) - before;
        let changed = take(context, batch, bytes);
        metrics::store_watched(if changed { "events" } else { "quiet" });
        if changed {
            Timer::after(BATCH_PAUSE).await;
            context.mark_contact();
        }
    }
}

/// Notes contact with the store while an answer arrives; never ends.
async fn observe<T>(context: &Context, received: &AtomicU64) -> T {
    let mut last = received.load(Ordering::Relaxed);
    loop {
        Timer::after(PROGRESS_INTERVAL).await;
        let now = received.load(Ordering::Relaxed);
        if now > std::mem::replace(&mut last, now) {
            context.mark_contact();
        }
    }
}

/// Reads the whole store.
async fn list(context: &Context) -> Result<(), Error> {
    let listing = context.store.list("").await?;
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
    context.replace(listing.revision.0, items.collect());
    context.touch();
    Ok(())
}

/// Takes in what a watch brought; whether there was any change.
fn take(context: &Context, batch: Batch, bytes: u64) -> bool {
    let (revision, events) = (batch.revision.0, batch.events.len());
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
    context.apply(revision, changes.collect());
    context.touch();
    if events > 0 {
        log::info!(revision, events, bytes; "store changed");
    }
    events > 0
}
