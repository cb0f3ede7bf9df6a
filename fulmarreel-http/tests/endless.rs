//! What an exchange makes of a server whose bytes do not end.

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

/// Bytes after which a server that was not stopped ends.
const FLOOD_BYTES: usize = 268_435_456;

/// Bytes that may be on their way when the connection is closed.
const KERNEL_BYTES: usize = 8_388_608;

/// Bytes of answers that may be held; one answer may have half of them.
const QUOTA: usize = 8_388_608;

/// Bytes that are written at once.
const WRITE_BYTES: usize = 16_384;

const CHUNKED: &[u8] = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";

/// A server that answers each request with `first` and then `again` without end.
#[derive(Debug, Clone)]
struct Server {
    address: SocketAddr,
    sent: Arc<AtomicUsize>,
    closed: Arc<AtomicBool>,
}

impl Server {
    async fn start(first: Vec<u8>, again: Vec<u8>) -> io::Result<Self> {
        let listener = TcpListener::bind("127.0.0.1:0").await?;
        let server = Self {
            address: listener.local_addr()?,
            sent: Arc::default(),
            closed: Arc::default(),
        };
        let serving = server.clone();
        let again = again.repeat(WRITE_BYTES.div_ceil(again.len()));
        smol::spawn(async move {
            let (tcp, _) = listener.accept().await?;
            serving.flood(tcp, &first, &again).await.ok();
            serving.closed.store(true, Ordering::Release);
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

    /// Bytes that were sent until the connection was closed.
    async fn sent_until_closed(&self) -> usize {
        for _ in 0..500 {
            if self.closed.load(Ordering::Acquire) {
                break;
            }
            Timer::after(Duration::from_millis(10)).await;
        }
        assert!(self.closed.load(Ordering::Acquire), "not closed in 5 s");
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
    let is_own = |_, headers: &[fulmarreel_http::Header]| {
        find(headers, "x-id").is_none_or(|answered| answered == b"1")
    };
    connection
        .exchange(&request, is_own, &Quota::new(QUOTA))
        .await
}

fn chunked(rest: &[u8]) -> Vec<u8> {
    [CHUNKED, rest].concat()
}

/// Fails if a head without end is read on, or counted anew with each interim answer.
#[rstest]
#[case::status_line(b"HTTP/1.1 200 ", b"a")]
#[case::header_lines(b"HTTP/1.1 200 OK\r\n", b"x: y\r\n")]
#[case::header_line(b"HTTP/1.1 200 OK\r\nx: ", b"y")]
#[case::empty_lines(b"", b"\r\n")]
#[case::interim_answers(b"", b"HTTP/1.1 103 Early Hints\r\n\r\n")]
#[case::long_interim_answers(b"", b"HTTP/1.1 100 Continue\r\nx: yyyyyyyyyyyyyyyyyyyyyyyy\r\n\r\n")]
fn a_head_without_end_is_given_up(#[case] first: &[u8], #[case] again: &[u8]) {
    gives_up(first.to_vec(), again.to_vec(), 65_536);
}

/// Fails if a body's coding is read on without end.
#[rstest]
#[case::size_line(b"", b"0")]
#[case::extension(b"1;", b"x=y;")]
#[case::trailers(b"0\r\n", b"t: u\r\n")]
#[case::trailer(b"0\r\nt: ", b"u")]
fn a_coding_without_end_is_given_up(#[case] first: &[u8], #[case] again: &[u8]) {
    gives_up(chunked(first), again.to_vec(), 65_536);
}

/// Fails if one answer may take more than its part of the memory.
#[rstest]
#[case::chunks(CHUNKED, b"8\r\nabcdefgh\r\n")]
#[case::extensions(
    CHUNKED,
    b"1;x=yyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyy\r\na\r\n"
)]
#[case::no_length(b"HTTP/1.1 200 OK\r\n\r\n", b"a")]
#[case::known_length(b"HTTP/1.1 200 OK\r\nContent-Length: 99999999999\r\n\r\n", b"a")]
#[case::others(b"", b"HTTP/1.1 200 OK\r\nx-id: 0\r\nContent-Length: 3\r\n\r\nold")]
fn a_body_without_end_is_given_up(#[case] first: &[u8], #[case] again: &[u8]) {
    gives_up(first.to_vec(), again.to_vec(), 4_194_304);
}

fn gives_up(first: Vec<u8>, again: Vec<u8>, limit: usize) {
    smol::block_on(async {
        let server = Server::start(first, again).await.expect("server");
        let mut connection = Connection::open(server.address).await.expect("open");
        let answered = get(&mut connection).await;
        assert!(!connection.is_reusable());
        drop(connection);
        let sent = server.sent_until_closed().await;
        let most = limit + KERNEL_BYTES;
        assert!(sent <= most, "{sent} bytes of {most}: {answered:.80?}");
        assert!(answered.is_err());
    });
}

/// Fails if bytes behind a whole answer are taken for the next one, or the connection is used on.
#[test]
fn bytes_without_end_behind_an_answer_end_the_connection() {
    smol::block_on(async {
        let first = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nhi".to_vec();
        let server = Server::start(first, b"a".to_vec()).await.expect("server");
        let mut connection = Connection::open(server.address).await.expect("open");
        let answer = get(&mut connection).await.expect("answer");
        assert_eq!(answer.body, b"hi");
        Timer::after(Duration::from_millis(100)).await;
        let error = get(&mut connection).await.expect_err("not usable");
        assert!(matches!(error, Error::Stale { .. }), "{error}");
        drop(connection);
        let sent = server.sent_until_closed().await;
        assert!(sent <= KERNEL_BYTES, "{sent} bytes");
    });
}
