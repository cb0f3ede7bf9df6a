//! Exchanges with servers that send bytes without end must fail within bounded memory.

use fulmarreel_http::{Connection, Error, Quota, Request, Response, message::find};
use rstest::rstest;
use smol::{
    Timer,
    io::{AsyncReadExt, AsyncWriteExt},
    net::{TcpListener, TcpStream},
};
use socket2::SockRef;
use std::{
    io,
    net::SocketAddr,
    sync::{
        Arc,
        atomic::{AtomicBool, AtomicUsize, Ordering},
    },
    time::Duration,
};

/// Bytes after which the server gives up if the client has not closed the connection.
const FLOOD_BYTES: usize = 268_435_456;

/// Bytes that may be in socket buffers when the connection is closed.
const SOCKET_BUFFER_BYTES: usize = 8_388_608;

/// The quota of a connection; one response may take half of it.
const QUOTA_BYTES: usize = 8_388_608;

/// Bytes of one write.
const WRITE_BYTES: usize = 16_384;

const CHUNKED_HEAD: &[u8] = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";

/// A server that responds to a request with `first` and then `again` without end.
#[derive(Debug, Clone)]
struct EndlessServer {
    address: SocketAddr,
    sent: Arc<AtomicUsize>,
    closed: Arc<AtomicBool>,
}

impl EndlessServer {
    async fn start(first: Vec<u8>, again: Vec<u8>) -> io::Result<Self> {
        let listener = TcpListener::bind("127.0.0.1:0").await?;
        let server = Self {
            address: listener.local_addr()?,
            sent: Arc::default(),
            closed: Arc::default(),
        };
        let task_server = server.clone();
        let again = again.repeat(WRITE_BYTES.div_ceil(again.len()));
        smol::spawn(async move {
            let (tcp, _) = listener.accept().await?;
            task_server.flood(tcp, &first, &again).await.ok();
            task_server.closed.store(true, Ordering::Release);
            io::Result::Ok(())
        })
        .detach();
        Ok(server)
    }

    async fn flood(&self, mut tcp: TcpStream, first: &[u8], again: &[u8]) -> io::Result<()> {
        SockRef::from(&tcp).set_send_buffer_size(WRITE_BYTES)?;
        let mut buffer = [0; 4_096];
        if tcp.read(&mut buffer).await? == 0 {
            return Ok(());
        }
        tcp.write_all(first).await?;
        while self.sent.load(Ordering::Acquire) < FLOOD_BYTES {
            tcp.write_all(again).await?;
            self.sent.fetch_add(again.len(), Ordering::AcqRel);
        }
        Ok(())
    }

    /// Waits until the connection is closed; returns the bytes sent.
    async fn sent_bytes_at_close(&self) -> usize {
        for _ in 0..500 {
            if self.closed.load(Ordering::Acquire) {
                break;
            }
            Timer::after(Duration::from_millis(10)).await;
        }
        assert!(
            self.closed.load(Ordering::Acquire),
            "the connection was not closed within 5 s"
        );
        self.sent.load(Ordering::Acquire)
    }
}

async fn get(connection: &mut Connection) -> Result<Response, Error> {
    let request = Request {
        method: "GET",
        target: "/",
        headers: &[("Host", b"h")],
        body: &[],
    };
    let is_own =
        |_, headers: &[fulmarreel_http::Header]| find(headers, "x-id").is_none_or(|id| id == b"1");
    connection
        .exchange(&request, is_own, &Quota::new(QUOTA_BYTES))
        .await
}

fn chunked_response(rest: &[u8]) -> Vec<u8> {
    [CHUNKED_HEAD, rest].concat()
}

/// Fails if an endless head is read without limit, or if the limit starts anew with each interim
/// response.
#[rstest]
#[case::status_line(b"HTTP/1.1 200 ", b"a")]
#[case::header_lines(b"HTTP/1.1 200 OK\r\n", b"x: y\r\n")]
#[case::header_line(b"HTTP/1.1 200 OK\r\nx: ", b"y")]
#[case::empty_lines(b"", b"\r\n")]
#[case::interim_responses(b"", b"HTTP/1.1 103 Early Hints\r\n\r\n")]
#[case::long_interim_responses(
    b"",
    b"HTTP/1.1 100 Continue\r\nx: yyyyyyyyyyyyyyyyyyyyyyyy\r\n\r\n"
)]
fn endless_head_fails_the_exchange(#[case] first: &[u8], #[case] again: &[u8]) {
    assert_bounded(first.to_vec(), again.to_vec(), 65_536);
}

/// Fails if chunk-size lines, chunk extensions or trailers are read without limit.
#[rstest]
#[case::size_line(b"", b"0")]
#[case::extension(b"1;", b"x=y;")]
#[case::trailers(b"0\r\n", b"t: u\r\n")]
#[case::trailer(b"0\r\nt: ", b"u")]
fn endless_chunk_framing_fails_the_exchange(#[case] first: &[u8], #[case] again: &[u8]) {
    assert_bounded(chunked_response(first), again.to_vec(), 65_536);
}

/// Fails if one response, or skipped responses together, may take more than half of the quota.
#[rstest]
#[case::chunks(CHUNKED_HEAD, b"8\r\nabcdefgh\r\n")]
#[case::extensions(
    CHUNKED_HEAD,
    b"1;x=yyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyy\r\na\r\n"
)]
#[case::no_length(b"HTTP/1.1 200 OK\r\n\r\n", b"a")]
#[case::known_length(b"HTTP/1.1 200 OK\r\nContent-Length: 99999999999\r\n\r\n", b"a")]
#[case::skipped_responses(b"", b"HTTP/1.1 200 OK\r\nx-id: 0\r\nContent-Length: 3\r\n\r\nold")]
fn endless_body_fails_the_exchange(#[case] first: &[u8], #[case] again: &[u8]) {
    assert_bounded(first.to_vec(), again.to_vec(), 4_194_304);
}

/// Asserts that an exchange fails and the connection is closed after at most `limit_bytes`, beside
/// what socket buffers hold.
fn assert_bounded(first: Vec<u8>, again: Vec<u8>, limit_bytes: usize) {
    smol::block_on(async {
        let server = EndlessServer::start(first, again).await.expect("server");
        let mut connection = Connection::open(server.address).await.expect("open");
        let result = get(&mut connection).await;
        assert!(!connection.is_reusable());
        drop(connection);
        let sent = server.sent_bytes_at_close().await;
        let max_bytes = limit_bytes + SOCKET_BUFFER_BYTES;
        assert!(
            sent <= max_bytes,
            "sent {sent} bytes, at most {max_bytes} allowed: {result:.80?}"
        );
        assert!(result.is_err());
    });
}

/// Fails if bytes after a complete response are read as the next one, or the connection is reused.
#[test]
fn endless_bytes_after_a_response_make_the_connection_stale() {
    smol::block_on(async {
        let first = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nhi".to_vec();
        let server = EndlessServer::start(first, b"a".to_vec())
            .await
            .expect("server");
        let mut connection = Connection::open(server.address).await.expect("open");
        let response = get(&mut connection).await.expect("response");
        assert_eq!(response.body, b"hi");
        Timer::after(Duration::from_millis(100)).await;
        let error = get(&mut connection)
            .await
            .expect_err("the connection is stale");
        assert!(matches!(error, Error::Stale { .. }), "{error}");
        drop(connection);
        let sent = server.sent_bytes_at_close().await;
        assert!(sent <= SOCKET_BUFFER_BYTES, "sent {sent} bytes");
    });
}
