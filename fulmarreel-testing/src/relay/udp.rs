//! Datagrams through a relay.
//!
//! Each sender gets a socket of its own towards the node, so that answers find their way back.

use super::Control;
use smol::{Timer, net::UdpSocket};
use std::{
    collections::{HashMap, hash_map::Entry},
    net::SocketAddr,
    sync::Arc,
};

/// The largest datagram in bytes.
const MAX_DATAGRAM_BYTES: usize = 65_536;

pub(super) async fn run(socket: UdpSocket, forward: SocketAddr, control: Arc<Control>) {
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
                let (back, answers, control) = (socket.clone(), own.clone(), Arc::clone(&control));
                smol::spawn(async move { relay_back(&answers, &back, sender, &control).await })
                    .detach();
                vacant.insert(own)
            }
        };
        send(own, buffer[..bytes].to_vec(), forward, &control);
    }
}

async fn relay_back(
    answers: &UdpSocket,
    back: &UdpSocket,
    sender: SocketAddr,
    control: &Arc<Control>,
) {
    let mut buffer = vec![0; MAX_DATAGRAM_BYTES];
    loop {
        if let Ok((bytes, _)) = answers.recv_from(&mut buffer).await {
            send(back, buffer[..bytes].to_vec(), sender, control);
        }
    }
}

fn send(socket: &UdpSocket, datagram: Vec<u8>, to: SocketAddr, control: &Control) {
    if control.drops_datagram() {
        return;
    }
    let (socket, delay) = (socket.clone(), control.delay());
    smol::spawn(async move {
        Timer::after(delay).await;
        let _ = socket.send_to(&datagram, to).await;
    })
    .detach();
}
