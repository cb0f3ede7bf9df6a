//! What an exchange makes of what a server sends.

use fulmarreel_http::{Connection, Error, Quota, Request, Response};
use rstest::rstest;
use smol::{
    Timer,
    io::{AsyncReadExt, AsyncWriteExt},
    net::TcpListener,
};
use std::{io, net::SocketAddr, time::Duration};

/// Bytes of answers that may be held.
const QUOTA: usize = 8_388_608;

/// A server that answers each request on its first connection with the next bytes, and closes the
/// connection after the last.
async fn server(answers: Vec<&'static [u8]>) -> io::Result<SocketAddr> {
    let listener = TcpListener::bind("127.0.0.1:0").await?;
    let address = listener.local_addr()?;
    smol::spawn(async move {
        let (mut tcp, _) = listener.accept().await?;
        let mut buffer = [0; 4_096];
        for answer in answers {
            if tcp.read(&mut buffer).await? == 0 {
                break;
            }
            tcp.write_all(answer).await?;
        }
        io::Result::Ok(())
    })
    .detach();
    Ok(address)
}

async fn get(connection: &mut Connection, id: &str) -> Result<Response, Error> {
    let request = Request {
        method: "GET",
        target: "/",
        headers: &[("Host", b"h"), ("x-id", id.as_bytes())],
        body: &[],
    };
    let is_own = |_, headers: &[fulmarreel_http::Header]| {
        let answered = fulmarreel_http::message::find(headers, "x-id");
        answered.is_none_or(|answered| answered == id.as_bytes())
    };
    connection
        .exchange(&request, is_own, &Quota::new(QUOTA))
        .await
}

/// Fails if a body is cut short, taken too long, or handed on with its coding.
#[rstest]
#[case::length(b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nhi", b"hi", true)]
#[case::no_body(b"HTTP/1.1 204 No Content\r\n\r\n", b"", true)]
#[case::chunks(
    b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1\r\nh\r\n1;x=y\r\ni\r\n0\r\nt: u\r\n\r\n",
    b"hi",
    true
)]
#[case::until_close(b"HTTP/1.1 200 OK\r\n\r\nhi", b"hi", false)]
#[case::closes(
    b"HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: 2\r\n\r\nhi",
    b"hi",
    false
)]
#[case::old_protocol(b"HTTP/1.0 200 OK\r\nContent-Length: 2\r\n\r\nhi", b"hi", false)]
#[case::interim(
    b"HTTP/1.1 103 Early Hints\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nhi",
    b"hi",
    true
)]
#[case::extra_bytes(
    b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nhiHTTP/1.1",
    b"hi",
    false
)]
fn a_whole_answer_is_taken(
    #[case] answer: &'static [u8],
    #[case] body: &[u8],
    #[case] reusable: bool,
) {
    smol::block_on(async {
        let address = server(vec![answer]).await.expect("server");
        let mut connection = Connection::open(address).await.expect("open");
        let response = get(&mut connection, "1").await.expect("answer");
        assert_eq!(response.body, body);
        assert_eq!(connection.is_reusable(), reusable);
    });
}

/// Fails if an answer that ended early, or bytes that are none, pass for an answer.
#[rstest]
#[case::cut_head(b"HTTP/1.1 200 OK\r\nContent-Le")]
#[case::cut_body(b"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nhi")]
#[case::cut_chunk(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n9\r\nhi")]
#[case::no_last_chunk(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nhi\r\n")]
#[case::no_answer(b"")]
fn an_answer_that_ends_early_is_lost(#[case] answer: &'static [u8]) {
    smol::block_on(async {
        let address = server(vec![answer]).await.expect("server");
        let mut connection = Connection::open(address).await.expect("open");
        let error = get(&mut connection, "1")
            .await
            .expect_err("no whole answer");
        assert!(matches!(error, Error::Lost { .. }), "{error}");
        assert!(!connection.is_reusable());
    });
}

/// Fails if the length is guessed, or a chunk's end is not looked at.
#[rstest]
#[case::no_http(b"ZZZ garbage\r\n\r\n")]
#[case::two_lengths(b"HTTP/1.1 200 OK\r\nContent-Length: 1\r\nContent-Length: 2\r\n\r\nhi")]
#[case::length_and_chunks(
    b"HTTP/1.1 200 OK\r\nContent-Length: 1\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n"
)]
#[case::unknown_coding(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: gzip\r\n\r\n")]
#[case::bad_chunk(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1\r\nhi\r\n0\r\n\r\n")]
#[case::no_number(b"HTTP/1.1 200 OK\r\nContent-Length: two\r\n\r\nhi")]
fn what_is_no_answer_is_malformed(#[case] answer: &'static [u8]) {
    smol::block_on(async {
        let address = server(vec![answer]).await.expect("server");
        let mut connection = Connection::open(address).await.expect("open");
        let error = get(&mut connection, "1").await.expect_err("malformed");
        assert!(matches!(error, Error::Malformed { .. }), "{error}");
    });
}

/// Fails if the late answer to an earlier request is taken for the present one's.
#[test]
fn an_answer_to_another_request_is_passed_over() {
    smol::block_on(async {
        let late = b"HTTP/1.1 200 OK\r\nx-id: 0\r\nContent-Length: 3\r\n\r\nold\
            HTTP/1.1 200 OK\r\nx-id: 1\r\nContent-Length: 3\r\n\r\nnew";
        let address = server(vec![late]).await.expect("server");
        let mut connection = Connection::open(address).await.expect("open");
        let response = get(&mut connection, "1").await.expect("answer");
        assert_eq!(response.body, b"new");
    });
}

/// Fails if a request is written to a connection that the server has closed.
#[test]
fn a_closed_connection_takes_no_request() {
    smol::block_on(async {
        let answer = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nhi";
        let address = server(vec![answer]).await.expect("server");
        let mut connection = Connection::open(address).await.expect("open");
        get(&mut connection, "1").await.expect("answer");
        Timer::after(Duration::from_millis(100)).await;
        let error = get(&mut connection, "2").await.expect_err("closed");
        assert!(matches!(error, Error::Stale { .. }), "{error}");
    });
}
