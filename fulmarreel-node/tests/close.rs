//! A listener that closes while callers connect.

use fulmarreel_node::ingress::close;
use std::{
    io::{self, Read},
    net::{SocketAddr, TcpListener, TcpStream},
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
    thread,
    time::Duration,
};

/// Listeners that are opened and closed.
const ROUNDS: usize = 20;

/// The longest wait for the end of a connection.
const READ_TIMEOUT: Duration = Duration::from_secs(1);

/// The longest time for which a caller waits for a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(50);

/// Connections that a caller opens at most.
const MAX_CONNECTIONS: usize = 20;

/// Callers that connect at the same time.
const CALLERS: usize = 4;

/// Opens connections until this is refused; returns how many of them were reset.
fn connect_until_refused(address: SocketAddr, closed: &AtomicBool) -> usize {
    let mut opened = Vec::new();
    while opened.len() < MAX_CONNECTIONS && !closed.load(Ordering::Acquire) {
        opened.extend(TcpStream::connect_timeout(&address, CONNECT_TIMEOUT));
    }
    let reset = opened.into_iter().filter_map(|mut tcp| {
        tcp.set_read_timeout(Some(READ_TIMEOUT)).expect("a timeout");
        // The server closes each connection that it accepts without having read anything.
        tcp.read(&mut [0; 1]).err().filter(is_reset)
    });
    reset.count()
}

fn is_reset(error: &io::Error) -> bool {
    error.kind() == io::ErrorKind::ConnectionReset
}

/// Fails if a connection is reset that was opened before the listener was closed.
#[test]
fn no_connection_is_reset_as_the_listener_closes() {
    let mut reset = 0;
    for _ in 0..ROUNDS {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
        let address = listener.local_addr().expect("an address");
        listener.set_nonblocking(true).expect("non-blocking");
        let closed = Arc::new(AtomicBool::new(false));
        let callers: Vec<_> = (0..CALLERS)
            .map(|_| {
                let closed = Arc::clone(&closed);
                thread::spawn(move || connect_until_refused(address, &closed))
            })
            .collect();
        thread::sleep(Duration::from_micros(100));
        drop(smol::block_on(close(listener)));
        closed.store(true, Ordering::Release);
        let counts = callers.into_iter().map(|caller| caller.join());
        reset += counts.map(|count| count.expect("a caller")).sum::<usize>();
    }
    assert_eq!(reset, 0, "of {ROUNDS} listeners");
}
