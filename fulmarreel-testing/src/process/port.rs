//! Free addresses on the loopback interface.

use anyhow::Context;
use std::{
    net::{Ipv4Addr, SocketAddr, TcpListener, UdpSocket},
    sync::atomic::{AtomicU32, Ordering},
};

/// Ports below the range that the operating system gives to outgoing connections.
const PORTS: std::ops::Range<u32> = 10_000..32_000;

static NEXT: AtomicU32 = AtomicU32::new(0);

/// An address that is free for TCP and UDP now, and that no later call returns soon.
///
/// # Errors
///
/// No port is free.
pub fn free_address() -> anyhow::Result<SocketAddr> {
    let span = PORTS.end - PORTS.start;
    // Each process begins elsewhere, so that test programs running at once do not meet.
    let base = std::process::id().wrapping_mul(97);
    for _ in 0..span {
        let step = NEXT.fetch_add(1, Ordering::Relaxed);
        let port = PORTS.start + base.wrapping_add(step) % span;
        let address = SocketAddr::from((Ipv4Addr::LOCALHOST, port as u16));
        if TcpListener::bind(address).is_ok() && UdpSocket::bind(address).is_ok() {
            return Ok(address);
        }
    }
    None.context("no free port")
}
