//! Bytes that are no response: an exchange ends with an error or a response, and not with the
//! process.

use fulmarreel_http::{Connection, Quota, Request};
use proptest::{collection::vec, prelude::*, test_runner::RngSeed};
use smol::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::TcpListener,
};
use std::io;

/// The quota of a connection.
const QUOTA_BYTES: usize = 1_048_576;

/// Pieces of responses, so that some of the bytes go on as a response does.
const PIECES: [&[u8]; 14] = [
    b"HTTP/1.1 200 OK\r\n",
    b"HTTP/1.1 103 Early\r\n",
    b"HTTP/1.1 999 \r\n",
    b"Content-Length: 3\r\n",
    b"Content-Length: 18446744073709551615\r\n",
    b"Content-Length: -1\r\n",
    b"Transfer-Encoding: chunked\r\n",
    b"Keep-Alive: timeout=18446744073709551615\r\n",
    b"\r\n",
    b"3\r\nabc\r\n",
    b"ffffffffffffffff\r\n",
    b"fffffffffffffffd\r\n",
    b"0\r\n",
    b"\0\xff",
];

/// Sends one request to a server that responds with `bytes` and closes the connection.
async fn exchange(bytes: Vec<u8>) -> io::Result<()> {
    let listener = TcpListener::bind("127.0.0.1:0").await?;
    let address = listener.local_addr()?;
    let server = smol::spawn(async move {
        let (mut tcp, _) = listener.accept().await?;
        tcp.read(&mut [0; 1_024]).await?;
        tcp.write_all(&bytes).await
    });
    let mut connection = Connection::open(address).await?;
    let request = Request {
        method: "GET",
        target: "/",
        headers: &[("Host", b"h")],
        body: &[],
    };
    let quota = Quota::new(QUOTA_BYTES);
    let _ = connection.exchange(&request, |_, _| true, &quota).await;
    drop(connection);
    // Fails if the client closed the connection before it had read everything.
    let _ = server.await;
    Ok(())
}

proptest! {
    // `PROPTEST_CASES` sets another number of cases.
    #![proptest_config(ProptestConfig { rng_seed: RngSeed::Fixed(29), failure_persistence: None, ..ProptestConfig::default() })]

    /// Fails if any bytes end the reader's process, or keep an exchange from ending.
    #[test]
    fn arbitrary_bytes_end_the_exchange(
        pieces in vec(prop::sample::select(PIECES.to_vec()), 0..8),
        rest in vec(any::<u8>(), 0..50),
    ) {
        let bytes = [pieces.concat(), rest].concat();
        smol::block_on(exchange(bytes)).expect("a local connection");
    }
}
