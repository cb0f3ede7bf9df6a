//! Datagrams through a relay.
//!
//! Each sender gets a socket of its own towards the node, so that answers find their way back.

use super::{Control, Link, link::Direction};
use smol::{Timer, net::UdpSocket};
use std::{
    collections::{HashMap, hash_map::Entry},
    net::SocketAddr,
    sync::Arc,
};

/// The largest datagram in bytes.
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
        let own = match sockets.entry(sender) {
            Entry::Occupied(known) => known.into_mut(),
            Entry::Vacant(vacant) => {
                let Ok(own) = UdpSocket::bind(("127.0.0.1", 0)).await else {
                    continue;
                };
                let (back, answers) = (socket.clone(), own.clone());
                let (control, link) = (Arc::clone(&control), Arc::clone(&link));
                smol::spawn(async move {
                    relay_back(&answers, &back, sender, &control, &link.back).await;
                })
                .detach();
                vacant.insert(own)
            }
        };
        send(
            own,
            buffer[..bytes].to_vec(),
            forward,
            &control,
            &link.there,
        );
    }
}

async fn relay_back(
    answers: &UdpSocket,
    back: &UdpSocket,
    sender: SocketAddr,
    control: &Control,
    link: &Direction,
) {
    let mut buffer = vec![0; MAX_DATAGRAM_BYTES];
    loop {
        if let Ok((bytes, _)) = answers.recv_from(&mut buffer).await {
            send(back, buffer[..bytes].to_vec(), sender, control, link);
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
    let Some(sent) = link.push_datagram(datagram.len()) else {
        return;
    };
    let (socket, due) = (socket.clone(), sent + control.delay());
    smol::spawn(async move {
        Timer::at(due).await;
        let _ = socket.send_to(&datagram, to).await;
    })
    .detach();
}
