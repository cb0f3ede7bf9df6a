//! Leases: attached keys, renewal, expiry and revocation.

use super::support::{IDLE_TIMEOUT, events, put, value, with_store, written};
use fulmarreel_store::{Error, Event, LeaseId, Outcome, Store, Transaction, watch::Watch};
use rstest::rstest;
use smol::Timer;
use std::time::Duration;

/// The shortest time to live.
const TTL: Duration = Duration::from_secs(1);

#[rstest]
#[case::whole(Duration::from_secs(2), 2)]
#[case::rounded_up(Duration::from_millis(1500), 2)]
#[case::shortest(Duration::ZERO, 1)]
fn time_to_live(#[case] ttl: Duration, #[case] seconds: u64) {
    with_store(async |_server, store| {
        let lease = store.grant(ttl).await.unwrap();
        assert_eq!(
            store.keep_alive(lease).await.unwrap(),
            Duration::from_secs(seconds)
        );
    });
}

#[test]
fn expiry_deletes_the_key_and_shuts_out_its_former_holder() {
    with_store(async |_server, store| {
        let lease = store.grant(TTL).await.unwrap();
        let acquire = Transaction::new()
            .when_absent("owner")
            .put_leased("owner", b"first", lease);
        let created = written(store.commit(&acquire).await.unwrap());
        assert_eq!(
            store.get("owner").await.unwrap().unwrap().lease,
            Some(lease)
        );
        let mut watch = store
            .watch("owner", created.next(), IDLE_TIMEOUT)
            .await
            .unwrap();
        let deletion = loop {
            if let Some(event) = watch.next().await.unwrap().events.pop() {
                break event;
            }
        };
        assert!(matches!(deletion, Event::Delete { ref key, .. } if key == "owner"));
        assert_eq!(value(&store, "owner").await, None);
        assert!(matches!(
            store.keep_alive(lease).await,
            Err(Error::LeaseExpired { .. })
        ));
        // The former holder resumes while another one holds the key.
        let lease = store.grant(TTL).await.unwrap();
        let acquire = Transaction::new()
            .when_absent("owner")
            .put_leased("owner", b"second", lease);
        written(store.commit(&acquire).await.unwrap());
        let late_step = Transaction::new()
            .when_create_revision("owner", created)
            .put("step", b"late");
        assert!(matches!(
            store.commit(&late_step).await.unwrap(),
            Outcome::Conflict(_)
        ));
        assert_eq!(value(&store, "step").await, None);
    });
}

#[test]
fn renewal_keeps_the_key() {
    with_store(async |_server, store| {
        let lease = store.grant(TTL).await.unwrap();
        let acquire = Transaction::new().put_leased("owner", b"v", lease);
        written(store.commit(&acquire).await.unwrap());
        for _ in 0..4 {
            Timer::after(TTL * 2 / 5).await;
            store.keep_alive(lease).await.unwrap();
        }
        assert!(value(&store, "owner").await.is_some());
    });
}

#[test]
fn revocation_deletes_the_keys_at_once() {
    with_store(async |_server, store| {
        let lease = store.grant(Duration::from_secs(60)).await.unwrap();
        let acquire = Transaction::new()
            .put_leased("a", b"v", lease)
            .put_leased("b", b"v", lease);
        let created = written(store.commit(&acquire).await.unwrap());
        put(&store, "c", b"v").await;
        store.revoke(lease).await.unwrap();
        store.revoke(lease).await.unwrap();
        let listing = store.list("").await.unwrap();
        assert_eq!(listing.entries.len(), 1);
        let mut watch = store.watch("", created.next(), IDLE_TIMEOUT).await.unwrap();
        let deleted: Vec<_> = events(&mut watch, listing.revision)
            .await
            .into_iter()
            .filter(|event| matches!(event, Event::Delete { .. }))
            .map(|event| event.revision())
            .collect();
        assert_eq!(deleted, [listing.revision; 2]);
    });
}

#[test]
fn write_under_an_unknown_lease_fails() {
    with_store(async |_server, store| {
        let acquire = Transaction::new().put_leased("a", b"v", LeaseId(77));
        assert!(matches!(
            store.commit(&acquire).await,
            Err(Error::LeaseExpired { .. })
        ));
        assert_eq!(value(&store, "a").await, None);
    });
}
