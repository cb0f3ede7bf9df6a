//! Membership records over UDP.

use crate::state::State;
use fulmarreel_membership::Record;
use fulmarreel_wire::{PROTOCOL, gossip};
use smol::{Timer, net::UdpSocket};
use std::{io, net::SocketAddr, sync::Arc, time::Duration};

/// Time between two datagrams to a random peer.
const INTERVAL: Duration = Duration::from_millis(200);

/// Records in one datagram, which keeps it below the MTU.
const RECORDS_PER_DATAGRAM: usize = 8;

/// Sends and receives records until the process ends.
pub async fn run(state: Arc<State>) -> io::Result<()> {
    let socket = UdpSocket::bind(state.settings.peers).await?;
    let receiver = socket.clone();
    let receiving = Arc::clone(&state);
    crate::runtime::spawn(async move { receive(&receiving, &receiver).await });
    loop {
        Timer::after(INTERVAL).await;
        if let Some((peer, datagram)) = next_datagram(&state)
            && let Err(error) = socket.send_to(&datagram, peer).await
        {
            log::debug!("gossip to {peer}: {error}");
        }
    }
}

fn next_datagram(state: &State) -> Option<(SocketAddr, Vec<u8>)> {
    let mut records = state.records();
    let own = state.settings.advertise;
    let peer = choose_peer(&records, &state.settings.seeds, own)?;
    fastrand::shuffle(&mut records);
    // The own record always travels: it is how others learn of this node at all.
    records.sort_by_key(|record| record.address != own);
    records.truncate(RECORDS_PER_DATAGRAM);
    let datagram = gossip::Datagram {
        protocol: PROTOCOL,
        from: own,
        records: records.iter().map(gossip::Record::from).collect(),
    };
    datagram.encode().ok().map(|bytes| (peer, bytes))
}

fn choose_peer(records: &[Record], seeds: &[SocketAddr], own: SocketAddr) -> Option<SocketAddr> {
    let known = records.iter().map(|record| record.address);
    let peers: Vec<SocketAddr> = known
        .chain(seeds.iter().copied())
        .filter(|address| *address != own)
        .collect();
    fastrand::choice(peers)
}

async fn receive(state: &State, socket: &UdpSocket) {
    let mut buffer = [0; gossip::MAX_DATAGRAM_BYTES];
    loop {
        let (length, peer) = match socket.recv_from(&mut buffer).await {
            Ok(received) => received,
            Err(error) => {
                log::debug!("gossip: {error}");
                continue;
            }
        };
        match gossip::Datagram::decode(&buffer[..length]) {
            Ok(datagram) if datagram.protocol == PROTOCOL => {
                let records: Vec<Record> = datagram.records.into_iter().map(Record::from).collect();
                state.merge(&records);
            }
            Ok(datagram) => log::warn!("gossip from {peer}: protocol {}", datagram.protocol),
            Err(error) => log::warn!("gossip from {peer}: {error}"),
        }
    }
}
