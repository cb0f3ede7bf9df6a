//! Answers that are broken: in their form, or by the end of their connection.

use fulmarreel_http::{Connection, Error, Quota, Request, Response};
use fulmarreel_testing::answers::{self, End, Fault, LONG_BODY_BYTES, Script, Timing};
use rstest::rstest;
use smol::{
    Timer,
    future::{or, poll_once},
};
use socket2::SockRef;
use std::{
    io::{self, Read, Write},
    net::{Shutdown, SocketAddr, TcpListener},
    pin::pin,
    thread,
    time::Duration,
};

/// The quota of a connection.
const QUOTA_BYTES: usize = 8_388_608;

/// Limit on the time of an exchange.
const TIMEOUT: Duration = Duration::from_secs(10);

/// How often an answer is tried where the outcome depends on when its connection ends.
const ROUNDS: usize = 20;

/// Long enough for an answer and the end of its connection to arrive.
const ALL_ARRIVED_AFTER: Duration = Duration::from_millis(500);

/// The length of a request without a body.
const REQUEST_BYTES: usize = b"GET / HTTP/1.1\r\nHost: h\r\n\r\n".len();

/// Time between two bytes of an answer that is sent byte by byte.
const BYTE_INTERVAL: Duration = Duration::from_micros(100);

/// The body of the answers.
const BODY: &str = "whole body";

/// Sends a request, with a body if there is one, over a new connection.
async fn request(server: SocketAddr, body: &[u8]) -> Result<Response, Error> {
    let opened = Connection::open(server).await;
    let mut connection = opened.map_err(|source| Error::ConnectionLost {
        peer: server,
        source,
    })?;
    let request = Request {
        method: if body.is_empty() { "GET" } else { "POST" },
        target: "/",
        headers: &[("Host", b"h")],
        body,
    };
    let quota = Quota::new(QUOTA_BYTES);
    or(
        async { Some(connection.exchange(&request, |_, _| true, &quota).await) },
        async {
            Timer::after(TIMEOUT).await;
            None
        },
    )
    .await
    .expect("the exchange ends")
}

/// Fails if an answer that the protocol calls invalid or incomplete is taken for an answer.
#[rstest]
fn a_broken_answer_is_none(
    #[values(
        Fault::StatusLine,
        Fault::Field,
        Fault::Length,
        Fault::Coding,
        Fault::Chunks,
        Fault::End
    )]
    fault: Fault,
) {
    smol::block_on(async {
        let ask = async |server| {
            let response = request(server, b"").await.ok()?;
            Some(format!("{response:?}"))
        };
        let taken = answers::taken(fault, "", BODY, ask).await.expect("server");
        assert!(taken.is_empty(), "{taken:#?}");
    });
}

/// Fails if a sound answer of any form is rejected, or its body changed.
#[test]
fn a_sound_answer_is_taken() {
    smol::block_on(async {
        for answer in answers::sound("X-Own: y\r\n", BODY) {
            let server = answers::start_closing(answer.bytes).await.expect("server");
            let response = request(server, b"").await;
            let response = response.unwrap_or_else(|error| panic!("{}: {error}", answer.name));
            assert_eq!(response.status, 200, "{}", answer.name);
            assert_eq!(response.body, BODY.as_bytes(), "{}", answer.name);
            assert_eq!(response.text("x-own"), Some("y"), "{}", answer.name);
        }
    });
}

/// Fails if a sound answer is rejected because it arrives byte by byte.
#[test]
fn a_sound_answer_is_taken_in_any_pieces() {
    for answer in answers::sound("", BODY) {
        let server = start_slow(answer.bytes).expect("server");
        let response = smol::block_on(request(server, b""));
        let response = response.unwrap_or_else(|error| panic!("{}: {error}", answer.name));
        assert_eq!(response.body, BODY.as_bytes(), "{}", answer.name);
    }
}

/// Starts a server that sends `answer` byte by byte, and then closes the connection.
fn start_slow(answer: Vec<u8>) -> io::Result<SocketAddr> {
    let listener = TcpListener::bind("127.0.0.1:0")?;
    let address = listener.local_addr()?;
    thread::spawn(move || {
        let (mut tcp, _) = listener.accept()?;
        tcp.set_nodelay(true)?;
        tcp.read_exact(&mut [0; REQUEST_BYTES])?;
        for byte in answer {
            tcp.write_all(&[byte])?;
            thread::sleep(BYTE_INTERVAL);
        }
        io::Result::Ok(())
    });
    Ok(address)
}

/// Fails if an answer that ends with its connection is taken for a whole one though the connection was
/// reset: its part of the body, or any part of another answer, came as a success.
#[rstest]
#[case::no_length(b"HTTP/1.1 200 OK\r\n\r\npart")]
#[case::http_10(b"HTTP/1.0 200 OK\r\n\r\npart")]
#[case::nothing_of_the_body(b"HTTP/1.1 200 OK\r\n\r\n")]
#[case::length(b"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\npart")]
#[case::chunks(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\npart\r\n")]
#[case::head(b"HTTP/1.1 200 OK\r\nX: y\r\n")]
fn an_answer_that_is_reset_is_none(
    #[case] answer: &'static [u8],
    #[values(Timing::BeforeRequest, Timing::DuringRequest, Timing::AfterRequest)] timing: Timing,
    #[values(End::Reset, End::LateReset)] end: End,
    #[values(0, LONG_BODY_BYTES)] body_bytes: usize,
) {
    let body = vec![b'b'; body_bytes];
    smol::block_on(async {
        let answer = answer.to_vec();
        let script = Script {
            answer,
            timing,
            end,
        };
        let server = answers::start(script).await.expect("server");
        for round in 0..ROUNDS {
            let result = request(server, &body).await;
            assert!(result.is_err(), "{round}: {result:?}");
        }
    });
}

/// Fails if the end of its connection spoils a whole answer, also one that came before the request was
/// written.
#[rstest]
fn a_whole_answer_is_taken_however_its_connection_ends(
    #[values(Timing::DuringRequest, Timing::AfterRequest)] timing: Timing,
    #[values(End::Close, End::CloseThenReset, End::LateReset)] end: End,
    #[values(0, LONG_BODY_BYTES)] body_bytes: usize,
) {
    let body = vec![b'b'; body_bytes];
    smol::block_on(async {
        for answer in answers::sound("", BODY) {
            if answer.ends_by_close && end == End::LateReset {
                continue;
            }
            let script = Script {
                answer: answer.bytes,
                timing,
                end,
            };
            let server = answers::start(script).await.expect("server");
            let response = request(server, &body).await;
            let response = response.unwrap_or_else(|error| panic!("{}: {error}", answer.name));
            assert_eq!(response.body, BODY.as_bytes(), "{}", answer.name);
        }
    });
}

/// Starts a server in a thread of its own, which runs while the client's thread sleeps: once the request
/// has begun it sends `answer`, closes its direction if `closes`, and then resets the connection.
fn start_blocking(answer: String, closes: bool) -> io::Result<SocketAddr> {
    let listener = TcpListener::bind("127.0.0.1:0")?;
    let address = listener.local_addr()?;
    thread::spawn(move || {
        let (mut tcp, _) = listener.accept()?;
        tcp.read_exact(&mut [0; 1])?;
        tcp.write_all(answer.as_bytes())?;
        if closes {
            tcp.shutdown(Shutdown::Write)?;
        }
        SockRef::from(&tcp).set_linger(Some(Duration::ZERO))
    });
    Ok(address)
}

/// Fails if a close by the server no longer ends an answer once a reset has followed it, or a reset
/// without a close does, where the client meets both while it writes.
#[rstest]
#[case::close(true, Some(BODY))]
#[case::reset(false, None)]
fn the_end_of_a_connection_is_known_after_its_reset(
    #[case] closes: bool,
    #[case] expected: Option<&str>,
) {
    let answer = format!("HTTP/1.1 200 OK\r\n\r\n{BODY}");
    let server = start_blocking(answer, closes).expect("server");
    let body = vec![b'b'; LONG_BODY_BYTES];
    smol::block_on(async {
        let mut exchange = pin!(request(server, &body));
        // Opens the connection and writes what the buffers take; the rest arrives meanwhile.
        let mut result = None;
        while result.is_none() {
            result = poll_once(exchange.as_mut()).await;
            thread::sleep(ALL_ARRIVED_AFTER);
        }
        let response = result.and_then(Result::ok);
        let body = response.map(|response| response.body);
        assert_eq!(body.as_deref(), expected.map(str::as_bytes));
    });
}
