//! Connections through a relay.

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

/// Bytes read at once.
const READ_BYTES: usize = 16_384;

/// Reads that may be on their way in one direction.
const READS_UNDERWAY: usize = 256;

/// How often an idle connection looks whether it was cut.
const CUT_INTERVAL: Duration = Duration::from_millis(20);

pub(super) async fn run(
    listener: &TcpListener,
    forward: SocketAddr,
    control: &Arc<Control>,
    link: &Arc<Link>,
) {
    loop {
        let Ok((near, _)) = listener.accept().await else {
            continue;
        };
        if control.is_cut() {
            continue;
        }
        let (control, link) = (Arc::clone(control), Arc::clone(link));
        smol::spawn(async move {
            let _ = relay(near, forward, &control, &link).await;
        })
        .detach();
    }
}

async fn relay(
    near: TcpStream,
    forward: SocketAddr,
    control: &Control,
    link: &Link,
) -> io::Result<()> {
    let connection = control.accept();
    let far = TcpStream::connect(forward).await?;
    near.set_nodelay(true)?;
    far.set_nodelay(true)?;
    let there = pipe(near.clone(), far.clone(), connection, control, &link.there);
    let back = pipe(far.clone(), near.clone(), connection, control, &link.back);
    race(race(there, back), cut(control)).await;
    let _ = near.shutdown(Shutdown::Both);
    let _ = far.shutdown(Shutdown::Both);
    Ok(())
}

async fn cut(control: &Control) {
    while !control.is_cut() {
        Timer::after(CUT_INTERVAL).await;
    }
}

async fn pipe(
    from: TcpStream,
    to: TcpStream,
    connection: u64,
    control: &Control,
    link: &Direction,
) {
    let (sender, receiver) = bounded(READS_UNDERWAY);
    let reading = async {
        read(from, sender, connection, control, link).await;
        // The writer ends once it has written what was read.
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
        if control.swallows(connection) {
            // Not even the end of the connection may be seen on the other side.
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
        if control.swallows(connection) {
            continue;
        }
        if to.write_all(&bytes).await.is_err() {
            return;
        }
    }
}
