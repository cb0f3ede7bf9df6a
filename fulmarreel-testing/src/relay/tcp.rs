//! Relays TCP connections.

use super::{Control, Link, link::Direction};
use futures_lite::{AsyncReadExt, AsyncWriteExt, future::race};
use smol::{
    Timer,
    channel::{Receiver, Sender, bounded},
    net::{Shutdown, TcpListener, TcpStream},
};
use std::{
    io,
    net::SocketAddr,
    sync::Arc,
    time::{Duration, Instant},
};

/// Size of the read buffer in bytes.
const READ_BYTES: usize = 16_384;

/// Limit of reads that wait for their delay in one direction of a connection.
const MAX_DELAYED_READS: usize = 256;

/// How often a connection checks whether the relay is cut.
const CUT_CHECK_INTERVAL: Duration = Duration::from_millis(20);

pub(super) async fn run(
    listener: &TcpListener,
    forward: SocketAddr,
    control: &Arc<Control>,
    link: &Arc<Link>,
) {
    loop {
        let Ok((client, _)) = listener.accept().await else {
            continue;
        };
        if control.is_cut() {
            continue;
        }
        let (control, link) = (Arc::clone(control), Arc::clone(link));
        smol::spawn(async move {
            let _ = relay(client, forward, &control, &link).await;
        })
        .detach();
    }
}

async fn relay(
    client: TcpStream,
    forward: SocketAddr,
    control: &Control,
    link: &Link,
) -> io::Result<()> {
    let connection = control.number_connection();
    let server = TcpStream::connect(forward).await?;
    client.set_nodelay(true)?;
    server.set_nodelay(true)?;
    let upstream = copy(
        client.clone(),
        server.clone(),
        connection,
        control,
        &link.upstream,
    );
    let downstream = copy(
        server.clone(),
        client.clone(),
        connection,
        control,
        &link.downstream,
    );
    race(race(upstream, downstream), wait_for_cut(control)).await;
    let _ = client.shutdown(Shutdown::Both);
    let _ = server.shutdown(Shutdown::Both);
    Ok(())
}

/// Waits until the relay is cut.
async fn wait_for_cut(control: &Control) {
    while !control.is_cut() {
        Timer::after(CUT_CHECK_INTERVAL).await;
    }
}

/// Copies one direction of a connection, with the delay of the link and of the faults.
async fn copy(
    from: TcpStream,
    to: TcpStream,
    connection: u64,
    control: &Control,
    link: &Direction,
) {
    let (sender, receiver) = bounded(MAX_DELAYED_READS);
    let reading = async {
        read(from, sender, connection, control, link).await;
        // The end of the writer ends the copy, so that everything that was read is written.
        std::future::pending::<()>().await;
    };
    race(reading, write(to, receiver, connection, control)).await;
}

async fn read(
    mut from: TcpStream,
    sender: Sender<(Instant, Vec<u8>)>,
    connection: u64,
    control: &Control,
    link: &Direction,
) {
    let mut buffer = vec![0; READ_BYTES];
    loop {
        link.wait_for_room().await;
        let read = from.read(&mut buffer).await;
        if control.blackholes(connection) {
            // The other side must not even see the end of the connection.
            if !matches!(read, Ok(bytes) if bytes > 0) {
                std::future::pending::<()>().await;
            }
            continue;
        }
        let Ok(bytes @ 1..) = read else {
            return;
        };
        let due = link.push(bytes) + control.delay();
        if sender.send((due, buffer[..bytes].to_vec())).await.is_err() {
            return;
        }
    }
}

async fn write(
    mut to: TcpStream,
    receiver: Receiver<(Instant, Vec<u8>)>,
    connection: u64,
    control: &Control,
) {
    while let Ok((due, bytes)) = receiver.recv().await {
        if due > Instant::now() {
            Timer::at(due).await;
        }
        if control.blackholes(connection) {
            continue;
        }
        if to.write_all(&bytes).await.is_err() {
            return;
        }
    }
}
