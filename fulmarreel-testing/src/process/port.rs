//! Finds free addresses on the loopback interface.

use anyhow::Context;
use std::{
    net::{Ipv4Addr, SocketAddr, TcpListener, UdpSocket},
    sync::atomic::{AtomicU32, Ordering},
};

/// Ports to choose from; below the range from which the operating system takes ports for outgoing
/// connections.
const PORTS: std::ops::Range<u32> = 10_000..32_000;

/// Number of ports tried so far.
static TRIED: AtomicU32 = AtomicU32::new(0);

/// Returns an address that is free for TCP and UDP now. Later calls of this process return others,
/// until all ports were tried.
///
/// # Errors
///
/// No port is free.
pub fn free_address() -> anyhow::Result<SocketAddr> {
    let port_count = PORTS.end - PORTS.start;
    // The first port depends on the process id, so that concurrent test programs choose different ones.
    let first = std::process::id().wrapping_mul(97);
    for _ in 0..port_count {
        let tried = TRIED.fetch_add(1, Ordering::Relaxed);
        let port = PORTS.start + first.wrapping_add(tried) % port_count;
        let address = SocketAddr::from((Ipv4Addr::LOCALHOST, port as u16));
        if TcpListener::bind(address).is_ok() && UdpSocket::bind(address).is_ok() {
            return Ok(address);
        }
    }
    None.context("no free port")
}
