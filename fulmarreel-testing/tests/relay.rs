//! Relays with faults.

use anyhow::ensure;
use fulmarreel_testing::{
    process::free_address,
    relay::{Control, Fault, start},
};
use smol::{
    Timer,
    future::or,
    io::{AsyncReadExt, AsyncWriteExt},
    net::{TcpListener, TcpStream},
};
use std::{net::SocketAddr, sync::Arc, time::Duration};

/// How long anything may take that is waited for.
const PATIENCE: Duration = Duration::from_secs(10);

/// A server that answers each connection with so many bytes, and ends it.
async fn source(bytes: usize) -> anyhow::Result<SocketAddr> {
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

/// Reads a connection to its end; returns how many bytes came.
async fn drain(address: SocketAddr) -> anyhow::Result<usize> {
    let mut tcp = TcpStream::connect(address).await?;
    let mut bytes = Vec::new();
    let read = async { Ok(tcp.read_to_end(&mut bytes).await?) };
    let late = async {
        Timer::after(PATIENCE).await;
        anyhow::bail!("no end in {PATIENCE:?}")
    };
    or(read, late).await
}

/// Fails if bytes that wait are lost when the connection ends behind them.
#[test]
fn delayed_bytes_arrive_before_the_end() -> anyhow::Result<()> {
    smol::block_on(async {
        let control = Arc::new(Control::default());
        control.set(Fault {
            delay_ms: 50,
            ..Fault::default()
        });
        let relay = free_address()?;
        start(relay, source(100_000).await?, control).await?;
        ensure!(drain(relay).await? == 100_000);
        Ok(())
    })
}
