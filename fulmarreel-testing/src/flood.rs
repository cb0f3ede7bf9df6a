//! A server that sends bytes without end.

use smol::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{TcpListener, TcpStream},
};
use std::{
    io,
    net::SocketAddr,
    sync::{
        Arc,
        atomic::{AtomicUsize, Ordering},
    },
};

/// Bytes after which the server closes a connection that its client has not closed.
const FLOOD_BYTES: usize = 536_870_912;

/// Bytes of one write, at least.
const WRITE_BYTES: usize = 16_384;

/// Starts a server that responds to a request with `prefix` and then `repeated` without end; if
/// `repeated` is empty, it closes the connection instead. Returns its address, and the number of bytes
/// of the flood that were taken from it so far, those in the system's buffers included.
///
/// # Errors
///
/// No address is free.
pub async fn start(
    prefix: &'static [u8],
    repeated: &'static [u8],
) -> io::Result<(SocketAddr, Arc<AtomicUsize>)> {
    let listener = TcpListener::bind("127.0.0.1:0").await?;
    let address = listener.local_addr()?;
    let taken = Arc::new(AtomicUsize::new(0));
    let counted = Arc::clone(&taken);
    smol::spawn(async move {
        while let Ok((tcp, _)) = listener.accept().await {
            let counted = Arc::clone(&counted);
            // Fails once the client closes the connection, as it should.
            smol::spawn(async move { serve(tcp, prefix, repeated, &counted).await.ok() }).detach();
        }
    })
    .detach();
    Ok((address, taken))
}

async fn serve(
    mut tcp: TcpStream,
    prefix: &[u8],
    repeated: &[u8],
    taken: &AtomicUsize,
) -> io::Result<()> {
    let mut buffer = [0; 4_096];
    if tcp.read(&mut buffer).await? == 0 {
        return Ok(());
    }
    tcp.write_all(prefix).await?;
    if repeated.is_empty() {
        return Ok(());
    }
    let batch = repeated.repeat(WRITE_BYTES.div_ceil(repeated.len()));
    while taken.load(Ordering::Acquire) < FLOOD_BYTES {
        write_counted(&mut tcp, &batch, taken).await?;
    }
    Ok(())
}

/// Writes all bytes, and counts each as soon as it is taken.
async fn write_counted(tcp: &mut TcpStream, bytes: &[u8], taken: &AtomicUsize) -> io::Result<()> {
    let mut written = 0;
    while written < bytes.len() {
        let count = tcp.write(&bytes[written..]).await?;
        taken.fetch_add(count, Ordering::AcqRel);
        written += count;
    }
    Ok(())
}
