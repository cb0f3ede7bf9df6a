//! Membership over UDP: the socket and the clock around [`fulmarreel_membership::Group`].

use crate::{
    state::{
        State,
        traffic::{self, Direction},
    },
    sync,
};
use fulmarreel_membership::{Claim, Outgoing, group::TICK};
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

/// A gap between two ticks that shows that this process was paused.
const PAUSE: Duration = Duration::from_millis(700);

/// Sends and receives until the process ends.
///
/// # Errors
///
/// The address cannot be bound.
pub async fn run(state: Arc<State>) -> io::Result<()> {
    let socket = UdpSocket::bind(state.settings.peers).await?;
    let (sending, ticking) = (Arc::clone(&state), Arc::clone(&state));
    let sender = socket.clone();
    crate::runtime::spawn(async move { send_all(&sending, &sender).await });
    crate::runtime::spawn(async move { tick(&ticking).await });
    receive(&state, &socket).await;
    Ok(())
}

async fn tick(state: &State) {
    let mut last = Instant::now();
    loop {
        Timer::after(TICK).await;
        let now = Instant::now();
        if now.duration_since(last) > PAUSE {
            state.excuse_target(now);
        }
        last = now;
        state.expire_target(now);
        state.tick(now);
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

async fn send(state: &State, socket: &UdpSocket, outgoing: &Outgoing, datagram: &Datagram) {
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
    count(
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
                count(
                    state,
                    datagram.from,
                    datagram.kind,
                    Direction::Received,
                    length,
                );
                take(state, datagram);
            }
            Ok(datagram) => log::warn!("gossip from {peer}: protocol {}", datagram.protocol),
            Err(error) => log::warn!("gossip from {peer}: {error}"),
        }
    }
}

fn take(state: &Arc<State>, datagram: Datagram) {
    let from = datagram.from;
    let claims: Vec<Claim> = datagram.records.into_iter().map(Claim::from).collect();
    state.receive(from, datagram.kind, &claims, &datagram.digest);
    // News says little of what its sender holds a moment later.
    if datagram.kind != Kind::News && state.admit_exchange(from, &datagram.digest) {
        let state = Arc::clone(state);
        crate::runtime::spawn(async move { sync::compare(&state, from).await });
    }
}

fn count(state: &State, peer: SocketAddr, kind: Kind, direction: Direction, bytes: usize) {
    let kind = match kind {
        Kind::Ping { .. } | Kind::Relay { .. } => traffic::Kind::Ping,
        Kind::Ack { .. } => traffic::Kind::Ack,
        Kind::News => traffic::Kind::News,
    };
    let distance = state.distance(peer);
    state.traffic.count(kind, distance, direction, bytes);
}
