//! Relays UDP datagrams.
//!
//! Each sender has its own socket towards the node, whose address tells which sender a reply is for.

use super::{Control, Link, link::Direction};
use smol::{Timer, net::UdpSocket};
use std::{
    collections::{HashMap, hash_map::Entry},
    net::SocketAddr,
    sync::Arc,
};

/// Size of the receive buffer; no UDP datagram is larger.
const MAX_DATAGRAM_BYTES: usize = 65_536;

pub(super) async fn run(
    socket: UdpSocket,
    forward: SocketAddr,
    control: Arc<Control>,
    link: Arc<Link>,
) {
    let mut sockets: HashMap<SocketAddr, UdpSocket> = HashMap::new();
    let mut buffer = vec![0; MAX_DATAGRAM_BYTES];
    loop {
        let Ok((bytes, sender)) = socket.recv_from(&mut buffer).await else {
            continue;
        };
        let upstream_socket = match sockets.entry(sender) {
            Entry::Occupied(known) => known.into_mut(),
            Entry::Vacant(vacant) => {
                let Ok(new_socket) = UdpSocket::bind(("127.0.0.1", 0)).await else {
                    continue;
                };
                let (listening_socket, replies) = (socket.clone(), new_socket.clone());
                let (control, link) = (Arc::clone(&control), Arc::clone(&link));
                smol::spawn(async move {
                    relay_replies(
                        &replies,
                        &listening_socket,
                        sender,
                        &control,
                        &link.downstream,
                    )
                    .await;
                })
                .detach();
                vacant.insert(new_socket)
            }
        };
        send(
            upstream_socket,
            buffer[..bytes].to_vec(),
            forward,
            &control,
            &link.upstream,
        );
    }
}

/// Sends what arrives at a sender's own socket back to the sender.
async fn relay_replies(
    upstream_socket: &UdpSocket,
    listening_socket: &UdpSocket,
    sender: SocketAddr,
    control: &Control,
    link: &Direction,
) {
    let mut buffer = vec![0; MAX_DATAGRAM_BYTES];
    loop {
        if let Ok((bytes, _)) = upstream_socket.recv_from(&mut buffer).await {
            send(
                listening_socket,
                buffer[..bytes].to_vec(),
                sender,
                control,
                link,
            );
        }
    }
}

fn send(
    socket: &UdpSocket,
    datagram: Vec<u8>,
    to: SocketAddr,
    control: &Control,
    link: &Direction,
) {
    if control.drops_datagram() {
        return;
    }
    let Some(sent_at) = link.push_datagram(datagram.len()) else {
        return;
    };
    let (socket, due) = (socket.clone(), sent_at + control.delay());
    smol::spawn(async move {
        Timer::at(due).await;
        let _ = socket.send_to(&datagram, to).await;
    })
    .detach();
}
