//! Watches: replay, order, deletions, compaction, idle timeout.

use super::support::{IDLE_TIMEOUT, TIMEOUT, client, events, put, start_server, with_store};
use fulmarreel_store::{Error, Event, Revision, Store, Transaction, watch::Watch};
use fulmarreel_testing::store::Faults;
use rstest::rstest;
use std::{
    sync::Arc,
    time::{Duration, Instant},
};

const WRITES: u64 = 50;

#[rstest]
#[case::from_the_beginning(1)]
#[case::from_the_middle(20)]
#[case::from_the_next_revision(WRITES + 2)]
fn replay_then_live(#[case] from: u64) {
    with_store(async |_server, store| {
        for n in 0..WRITES {
            put(&store, "w/a", n.to_string().as_bytes()).await;
        }
        let mut watch = store
            .watch("w/", Revision(from), IDLE_TIMEOUT)
            .await
            .unwrap();
        let store = Arc::new(store);
        let writer = smol::spawn({
            let store = store.clone();
            async move {
                let mut last = Revision(0);
                for n in 0..WRITES {
                    last = put(&*store, "w/b", n.to_string().as_bytes()).await;
                    // A write under another prefix raises the store's revision without an event.
                    put(&*store, "x", b"").await;
                }
                last
            }
        });
        let last = writer.await;
        let revisions: Vec<_> = events(&mut watch, last)
            .await
            .iter()
            .map(|event| event.revision().0)
            .collect();
        let replayed = from.max(2)..WRITES + 2;
        let live = (0..WRITES).map(|n| WRITES + 2 + 2 * n);
        assert_eq!(revisions, replayed.chain(live).collect::<Vec<_>>());
    });
}

#[test]
fn reopened_watch_has_no_gap_and_no_duplicate() {
    with_store(async |_server, store| {
        let store = Arc::new(store);
        let writer = smol::spawn({
            let store = store.clone();
            async move {
                for _ in 0..WRITES {
                    put(&*store, "a", b"v").await;
                }
            }
        });
        let last = Revision(WRITES + 1);
        let (mut next, mut revisions) = (Revision(1), Vec::new());
        while next <= last {
            let mut watch = store.watch("a", next, IDLE_TIMEOUT).await.unwrap();
            let batch = watch.next().await.unwrap();
            revisions.extend(batch.events.iter().map(|event| event.revision().0));
            next = next.max(batch.revision.next());
        }
        writer.await;
        assert_eq!(revisions, (2..=WRITES + 1).collect::<Vec<_>>());
    });
}

#[test]
fn events_of_one_revision_stay_together() {
    with_store(async |_server, store| {
        let mut watch = store.watch("", Revision(1), IDLE_TIMEOUT).await.unwrap();
        put(&store, "old", b"v").await;
        let all = Transaction::new()
            .put("a", b"1")
            .put("b", b"2")
            .delete("old");
        store.commit(&all).await.unwrap();
        let batch = loop {
            let batch = watch.next().await.unwrap();
            if batch.revision >= Revision(3) {
                break batch;
            }
        };
        let events = batch
            .events
            .iter()
            .filter(|event| event.revision() == Revision(3));
        assert_eq!(events.count(), 3);
        assert!(matches!(batch.events.last(), Some(Event::Delete { key, .. }) if key == "old"));
    });
}

#[test]
fn progress_notification_without_events() {
    with_store(async |_server, store| {
        let mut watch = store.watch("a", Revision(1), IDLE_TIMEOUT).await.unwrap();
        let last = put(&store, "b", b"v").await;
        assert_eq!(events(&mut watch, last).await, []);
    });
}

#[test]
fn compacted_revision_is_reported() {
    with_store(async |server, store| {
        for _ in 0..3 {
            put(&store, "a", b"v").await;
        }
        server.set_faults(Faults {
            compact: true,
            ..Faults::default()
        });
        let mut watch = store.watch("a", Revision(2), IDLE_TIMEOUT).await.unwrap();
        match watch.next().await {
            Err(Error::Compacted { from, oldest, .. }) => {
                assert_eq!((from, oldest), (Revision(2), Revision(5)));
            }
            other => panic!("{other:?}"),
        }
        match store.get_at("a", Revision(2)).await {
            Err(Error::Compacted { from, .. }) => assert_eq!(from, Revision(2)),
            other => panic!("{other:?}"),
        }
        let mut watch = store.watch("a", Revision(5), IDLE_TIMEOUT).await.unwrap();
        let last = put(&store, "a", b"v").await;
        assert_eq!(events(&mut watch, last).await.len(), 1);
    });
}

#[test]
fn silent_watch() {
    const SHORT_IDLE_TIMEOUT: Duration = Duration::from_millis(500);
    with_store(async |server, store| {
        let mut watch = store
            .watch("a", Revision(1), SHORT_IDLE_TIMEOUT)
            .await
            .unwrap();
        // Progress notifications keep a watch without events open past its idle timeout.
        let deadline = Instant::now() + SHORT_IDLE_TIMEOUT * 2;
        while Instant::now() < deadline {
            watch.next().await.unwrap();
        }
        server.set_faults(Faults {
            stall_watches: true,
            ..Faults::default()
        });
        put(&store, "a", b"v").await;
        let err = loop {
            match watch.next().await {
                // Sent before the fault was set.
                Ok(batch) => assert_eq!(batch.events, []),
                Err(err) => break err,
            }
        };
        assert!(
            matches!(err, Error::IdleTimeout { idle, .. } if idle == SHORT_IDLE_TIMEOUT),
            "{err}"
        );
        let mut watch = store.watch("a", Revision(1), IDLE_TIMEOUT).await.unwrap();
        assert_eq!(events(&mut watch, Revision(2)).await.len(), 1);
    });
}

#[test]
fn end_of_the_connection() {
    with_store(async |server, store| {
        let mut watch = store.watch("a", Revision(1), IDLE_TIMEOUT).await.unwrap();
        server.shut_down().await;
        let err = loop {
            if let Err(err) = watch.next().await {
                break err;
            }
        };
        assert!(matches!(err, Error::Disconnected { .. }), "{err}");
    });
}

#[test]
fn dropped_watch_is_closed() {
    smol::block_on(async {
        let server = start_server().await;
        let store = client(&[&server.address().to_string()], TIMEOUT);
        let mut watch = store.watch("a", Revision(1), IDLE_TIMEOUT).await.unwrap();
        watch.next().await.unwrap();
        assert_eq!(server.counts()["open_watches"], 1);
        drop(watch);
        let deadline = Instant::now() + TIMEOUT;
        while server.counts()["open_watches"] > 0 {
            assert!(Instant::now() < deadline, "the dropped watch is still open");
            smol::Timer::after(Duration::from_millis(5)).await;
        }
    });
}
