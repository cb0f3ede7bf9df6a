//! Membership over UDP: the socket and the timer that drive [`fulmarreel_membership::Group`].

use crate::{
    state::{
        State,
        traffic::{self, Direction},
    },
    sync,
};
use fulmarreel_membership::{Claim, OutgoingDatagram, group::TICK};
use fulmarreel_wire::{
    PROTOCOL,
    gossip::{Datagram, Kind, MAX_DATAGRAM_BYTES, Record},
};
use smol::{Timer, net::UdpSocket};
use std::{
    io,
    net::SocketAddr,
    sync::Arc,
    time::{Duration, Instant},
};

/// Time between two ticks above which this process is taken to have been paused.
const PAUSE_THRESHOLD: Duration = Duration::from_millis(700);

/// Sends and receives datagrams until the process ends.
///
/// # Errors
///
/// The address cannot be bound.
pub async fn run(state: Arc<State>) -> io::Result<()> {
    let socket = UdpSocket::bind(state.settings.peers).await?;
    let (sending, ticking) = (Arc::clone(&state), Arc::clone(&state));
    let sender = socket.clone();
    crate::runtime::spawn(async move { send_all(&sending, &sender).await });
    crate::runtime::spawn(async move { run_timer(&ticking).await });
    receive(&state, &socket).await;
    Ok(())
}

async fn run_timer(state: &State) {
    let mut last_tick = Instant::now();
    loop {
        Timer::after(TICK).await;
        let now = Instant::now();
        if now.duration_since(last_tick) > PAUSE_THRESHOLD {
            state.restart_target_timeout(now);
        }
        last_tick = now;
        state.withdraw_silent_target(now);
        state.tick_membership(now);
    }
}

async fn send_all(state: &State, socket: &UdpSocket) {
    while let Ok(outgoing) = state.datagrams().recv().await {
        let digest = state.digest();
        for outgoing in outgoing {
            let datagram = Datagram {
                protocol: PROTOCOL,
                from: state.settings.advertise,
                kind: outgoing.kind,
                digest,
                records: outgoing.claims.iter().map(Record::from).collect(),
            };
            send(state, socket, &outgoing, &datagram).await;
        }
    }
}

async fn send(state: &State, socket: &UdpSocket, outgoing: &OutgoingDatagram, datagram: &Datagram) {
    let bytes = match datagram.encode() {
        Ok(bytes) => bytes,
        Err(error) => {
            log::error!("gossip to {}: {error}", outgoing.to);
            return;
        }
    };
    if let Err(error) = socket.send_to(&bytes, outgoing.to).await {
        log::debug!("gossip to {}: {error}", outgoing.to);
    }
    count_traffic(
        state,
        outgoing.to,
        outgoing.kind,
        Direction::Sent,
        bytes.len(),
    );
}

async fn receive(state: &Arc<State>, socket: &UdpSocket) {
    let mut buffer = [0; 2 * MAX_DATAGRAM_BYTES];
    loop {
        let (length, peer) = match socket.recv_from(&mut buffer).await {
            Ok(received) => received,
            Err(error) => {
                log::debug!("gossip: {error}");
                continue;
            }
        };
        match Datagram::decode(&buffer[..length]) {
            Ok(datagram) if datagram.protocol == PROTOCOL => {
                count_traffic(
                    state,
                    datagram.from,
                    datagram.kind,
                    Direction::Received,
                    length,
                );
                handle(state, datagram);
            }
            Ok(datagram) => log::warn!("gossip from {peer}: protocol {}", datagram.protocol),
            Err(error) => log::warn!("gossip from {peer}: {error}"),
        }
    }
}

fn handle(state: &Arc<State>, datagram: Datagram) {
    let from = datagram.from;
    let claims: Vec<Claim> = datagram.records.into_iter().map(Claim::from).collect();
    state.receive_gossip(from, datagram.kind, &claims, &datagram.digest);
    // The digest of a `Gossip` datagram says little about what its sender holds a moment later.
    if datagram.kind != Kind::Gossip && state.admit_exchange(from, &datagram.digest) {
        let state = Arc::clone(state);
        crate::runtime::spawn(async move { sync::compare(&state, from).await });
    }
}

fn count_traffic(state: &State, peer: SocketAddr, kind: Kind, direction: Direction, bytes: usize) {
    let kind = match kind {
        Kind::Ping { .. } | Kind::PingRequest { .. } => traffic::Kind::Ping,
        Kind::Ack { .. } => traffic::Kind::Ack,
        Kind::Gossip => traffic::Kind::Gossip,
    };
    let distance = state.distance(peer);
    state.traffic.count(kind, distance, direction, bytes);
}
