//! When a new node is ready to serve.

use fulmarreel_distribution::readiness::{Readiness, Unready};
use rstest::rstest;
use std::{
    net::{Ipv4Addr, SocketAddr},
    time::{Duration, Instant},
};

/// Fails with a `REQUIRED_PEERS` of one, with a `SINGLE_PEER_TIMEOUT` of zero, and if
/// `Readiness::check` ignores the store.
#[rstest]
#[case::nothing(false, 0, 60_000, Err(Unready::NoSource))]
#[case::store(true, 0, 0, Ok(()))]
#[case::one_peer_at_once(false, 1, 0, Err(Unready::FewPeers { peers: 1 }))]
#[case::one_peer_in_the_end(false, 1, 3_000, Ok(()))]
#[case::two_peers(false, 2, 0, Ok(()))]
fn a_new_node_waits_for_enough_sources(
    #[case] store: bool,
    #[case] peers: u16,
    #[case] elapsed_ms: u64,
    #[case] expected: Result<(), Unready>,
) {
    let now = Instant::now();
    let mut readiness = Readiness::new(now);
    if store {
        readiness.record_store_read();
    }
    for port in 0..peers {
        // A peer counts once, however often it was heard.
        let peer = SocketAddr::from((Ipv4Addr::LOCALHOST, port));
        readiness.record_peer_synced(peer);
        readiness.record_peer_synced(peer);
    }
    let at = now + Duration::from_millis(elapsed_ms);
    assert_eq!(readiness.check(at), expected);
}
