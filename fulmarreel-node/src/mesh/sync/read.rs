//! The node's own reads of the store: once after its start, and while it is one of its region's readers.

use crate::{
    mesh::{boot_clock, context::Context, era},
    telemetry::metrics,
};
use fulmarreel_distribution::{
    backoff::Backoff,
    contact::WATCH_HOLD_TIME,
    copy_proof::StoreCall,
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

/// How long the next watch waits after a change, so that changes in quick succession arrive in one
/// response.
const BATCH_DELAY: Duration = Duration::from_millis(500);

/// The upper bound of the first delay after a failed call.
const MIN_BACKOFF: Duration = Duration::from_millis(200);

/// The upper bound to which that delay grows.
const MAX_BACKOFF: Duration = Duration::from_millis(1_500);

/// Consecutive watches without a complete response after which the whole store is read instead: the
/// history may be longer than what one response can bring.
const MAX_UNREADABLE_WATCHES: u32 = 2;

/// How often the received bytes are checked for a response that is arriving.
const PROGRESS_INTERVAL: Duration = Duration::from_millis(100);

/// Reads the whole store once, then watches it while this node is one of its region's readers, until
/// the process ends.
pub async fn run(context: Arc<Context>) {
    let mut backoff = Backoff::new(MIN_BACKOFF, MAX_BACKOFF);
    let mut store_lost = false;
    let mut unreadable = 0;
    loop {
        if context.revision() > 0 {
            context.wait_reader_role(true).await;
        }
        let Err(error) = follow(&context, &mut backoff, &mut store_lost).await else {
            unreadable = 0;
            continue;
        };
        metrics::store_watch_ended("failed");
        context.mark_store_failure();
        let is_unreadable = matches!(error, Error::NoResponse { .. } | Error::Malformed { .. });
        unreadable = if is_unreadable { unreadable + 1 } else { 0 };
        if matches!(error, Error::Compacted { .. }) || unreadable >= MAX_UNREADABLE_WATCHES {
            log::info!("the store's history cannot be read, reading the whole store: {error}");
            unreadable = 0;
            if read_all(&context).await.is_ok() {
                continue;
            }
        }
        if !store_lost {
            log::warn!(revision = context.revision(); "store lost: {error}");
            store_lost = true;
        }
        Timer::after(backoff.next(&mut fastrand::Rng::new())).await;
    }
}

/// Watches the store until a call fails or this node is no longer a reader; only reads the whole store
/// if nothing is known of it yet.
async fn follow(
    context: &Context,
    backoff: &mut Backoff,
    store_lost: &mut bool,
) -> Result<(), Error> {
    if context.revision() == 0 {
        return read_all(context).await;
    }
    let from = Revision(context.revision()).next();
    // The first watch returns at once, so that other nodes soon hear that this one is in contact.
    let mut hold_time = Duration::ZERO;
    let mut watch = context.store.watch("", from, hold_time).await?;
    let received_bytes = watch.received_bytes_counter();
    loop {
        let bytes_before = received_bytes.load(Ordering::Relaxed);
        let call = StoreCall {
            sent_at: boot_clock::now(),
            hold_time,
        };
        let next = or(watch.next(), observe_progress(context, &received_bytes));
        let next = or(async { next.await.map(Some) }, async {
            context.wait_reader_role(false).await;
            Ok(None)
        });
        let Some(batch) = next.await? else {
            return Ok(());
        };
        if std::mem::take(store_lost) {
            log::info!(revision = batch.revision.0; "store regained");
        }
        backoff.reset();
        let bytes = received_bytes.load(Ordering::Relaxed) - bytes_before;
        let changed = apply_batch(context, batch, bytes, &call);
        hold_time = next_hold_time(context, changed);
        watch.set_max_wait(hold_time);
        metrics::store_watch_ended(if changed { "events" } else { "quiet" });
        if changed {
            Timer::after(BATCH_DELAY).await;
            context.mark_contact();
        }
    }
}

/// How long the store may hold the next watch. The response to a watch that brings changes proves the
/// copy complete only as of when that watch was sent; where that matters, another one follows at once
/// after the batch delay, and is not held.
fn next_hold_time(context: &Context, changed: bool) -> Duration {
    if changed && context.needs_proof() {
        Duration::ZERO
    } else {
        WATCH_HOLD_TIME
    }
}

/// Records contact with the store while bytes of a response arrive; never ends.
async fn observe_progress<T>(context: &Context, received_bytes: &AtomicU64) -> T {
    let mut last = received_bytes.load(Ordering::Relaxed);
    loop {
        Timer::after(PROGRESS_INTERVAL).await;
        let current = received_bytes.load(Ordering::Relaxed);
        if current > std::mem::replace(&mut last, current) {
            context.mark_contact();
        }
    }
}

/// Reads the whole store into the mirror.
async fn read_all(context: &Context) -> Result<(), Error> {
    let call = StoreCall {
        sent_at: boot_clock::now(),
        hold_time: Duration::ZERO,
    };
    let listing = context.store.list("").await?;
    let items = listing.entries.into_iter().map(|entry| {
        let Entry {
            key,
            value,
            mod_revision,
            ..
        } = entry;
        let revision = mod_revision.0;
        (key, Item { revision, value })
    });
    context.replace(listing.revision.0, items.collect());
    // A peer may have told of a later era meanwhile.
    if era::of(listing.revision.0) >= era::of(context.revision()) {
        context.mark_up_to_date(&call, true);
    }
    Ok(())
}

/// Applies the response of a watch to the mirror; returns whether there was any change.
fn apply_batch(context: &Context, batch: Batch, bytes: u64, call: &StoreCall) -> bool {
    let (revision, events) = (batch.revision.0, batch.events.len());
    let changes = batch.events.into_iter().map(|event| match event {
        Event::Put(entry) => Change {
            key: entry.key,
            revision: entry.mod_revision.0,
            value: Some(entry.value),
        },
        Event::Delete { key, revision } => Change {
            key,
            revision: revision.0,
            value: None,
        },
    });
    context.apply(revision, changes.collect());
    context.mark_up_to_date(call, events > 0);
    if events > 0 {
        log::info!(revision, events, bytes; "store changed");
    }
    events > 0
}
