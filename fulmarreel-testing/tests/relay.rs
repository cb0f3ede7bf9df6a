//! Tests of relays: injected faults, and shared links of limited rate.

use anyhow::ensure;
use fulmarreel_testing::{
    process::free_address,
    relay::{CarriedBytes, Control, Faults, Link, start, start_on},
};
use smol::{
    Timer,
    future::{or, zip},
    io::{AsyncReadExt, AsyncWriteExt},
    net::{TcpListener, TcpStream, UdpSocket},
};
use std::{
    net::SocketAddr,
    sync::Arc,
    time::{Duration, Instant},
};

const BYTES_PER_SECOND: u64 = 1_000_000;

const QUEUE_BYTES: u64 = 64_000;

/// Limit of each wait.
const TIMEOUT: Duration = Duration::from_secs(10);

/// Starts a server that sends a number of bytes on each connection and closes it.
async fn start_sender(bytes: usize) -> anyhow::Result<SocketAddr> {
    let listener = TcpListener::bind("127.0.0.1:0").await?;
    let address = listener.local_addr()?;
    smol::spawn(async move {
        while let Ok((mut tcp, _)) = listener.accept().await {
            smol::spawn(async move { tcp.write_all(&vec![7; bytes]).await.ok() }).detach();
        }
    })
    .detach();
    Ok(address)
}

/// Starts a relay over a link; returns its address.
async fn relay(forward: SocketAddr, link: &Arc<Link>) -> anyhow::Result<SocketAddr> {
    let listen = free_address()?;
    start_on(listen, forward, Arc::new(Control::default()), link).await?;
    Ok(listen)
}

/// Reads a connection to its end; returns the number of bytes.
async fn receive_all(address: SocketAddr) -> anyhow::Result<usize> {
    let mut tcp = TcpStream::connect(address).await?;
    let mut bytes = Vec::new();
    let read = async { Ok(tcp.read_to_end(&mut bytes).await?) };
    let timeout = async {
        Timer::after(TIMEOUT).await;
        anyhow::bail!("no end in {TIMEOUT:?}")
    };
    or(read, timeout).await
}

/// Fails if delayed bytes are lost when the connection is closed right after them.
#[test]
fn delayed_bytes_arrive_before_the_end() -> anyhow::Result<()> {
    smol::block_on(async {
        let control = Arc::new(Control::default());
        control.set(Faults {
            delay_ms: 50,
            ..Faults::default()
        });
        let relay = free_address()?;
        start(relay, start_sender(100_000).await?, control).await?;
        ensure!(receive_all(relay).await? == 100_000);
        Ok(())
    })
}

/// Fails if each relay on a link has the full rate, or if bytes are lost at the end of a connection.
#[test]
fn connections_of_two_relays_share_the_rate() -> anyhow::Result<()> {
    smol::block_on(async {
        let link = Arc::new(Link::new(BYTES_PER_SECOND, QUEUE_BYTES));
        let sender = start_sender(500_000).await?;
        let (first_relay, second_relay) =
            (relay(sender, &link).await?, relay(sender, &link).await?);
        let start_time = Instant::now();
        let (first, second) = zip(receive_all(first_relay), receive_all(second_relay)).await;
        let took = start_time.elapsed();
        ensure!(first? == 500_000 && second? == 500_000);
        ensure!(took > Duration::from_millis(950), "{took:?}");
        ensure!(took < Duration::from_millis(2_000), "{took:?}");
        let carried = link.carried_bytes();
        let expected = CarriedBytes {
            upstream: 0,
            downstream: 1_000_000,
        };
        ensure!(carried == expected, "{carried:?}");
        Ok(())
    })
}

/// Fails if a link without a limit slows a connection down.
#[test]
fn an_unlimited_link_adds_no_time() -> anyhow::Result<()> {
    smol::block_on(async {
        let link = Arc::new(Link::unlimited());
        let relay = relay(start_sender(1_000_000).await?, &link).await?;
        let start_time = Instant::now();
        ensure!(receive_all(relay).await? == 1_000_000);
        ensure!(start_time.elapsed() < Duration::from_millis(900));
        Ok(())
    })
}

/// Fails if a relay keeps reading while the queue of its link is full.
#[test]
fn a_full_queue_stops_the_reader() -> anyhow::Result<()> {
    smol::block_on(async {
        let link = Arc::new(Link::new(BYTES_PER_SECOND, QUEUE_BYTES));
        let relay = relay(start_sender(20_000_000).await?, &link).await?;
        let start_time = Instant::now();
        let _tcp = TcpStream::connect(relay).await?;
        Timer::after(Duration::from_millis(500)).await;
        let carried = link.carried_bytes().downstream;
        let transmitted = BYTES_PER_SECOND as f64 * start_time.elapsed().as_secs_f64();
        let read_bytes = 16_384.0;
        ensure!(carried > 300_000, "{carried}");
        let limit = transmitted + QUEUE_BYTES as f64 + read_bytes;
        ensure!(carried as f64 <= limit, "{carried} of {limit}");
        Ok(())
    })
}

/// Fails if datagrams are queued in a full queue, or are not counted.
#[test]
fn a_full_queue_drops_datagrams() -> anyhow::Result<()> {
    smol::block_on(async {
        let link = Arc::new(Link::new(BYTES_PER_SECOND, QUEUE_BYTES));
        let sink = UdpSocket::bind("127.0.0.1:0").await?;
        let relay = relay(sink.local_addr()?, &link).await?;
        let sender = UdpSocket::bind("127.0.0.1:0").await?;
        for _ in 0..150 {
            sender.send_to(&[7; 1_000], relay).await?;
        }
        let mut arrived = 0_u64;
        let receive = async {
            let mut buffer = [0; 2_000];
            while sink.recv_from(&mut buffer).await.is_ok() {
                arrived += 1;
            }
        };
        or(receive, async {
            Timer::after(Duration::from_millis(500)).await;
        })
        .await;
        ensure!((60..140).contains(&arrived), "{arrived}");
        ensure!(link.carried_bytes().upstream == 1_000 * arrived);
        Ok(())
    })
}
