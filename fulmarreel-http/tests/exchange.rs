//! Exchanges with valid, truncated and malformed responses.

use fulmarreel_http::{Connection, Error, Quota, Request, Response};
use rstest::rstest;
use smol::{
    Timer,
    io::{AsyncReadExt, AsyncWriteExt},
    net::TcpListener,
};
use std::{io, net::SocketAddr, time::Duration};

/// The quota of a connection.
const QUOTA_BYTES: usize = 8_388_608;

/// Starts a server that responds to each request on its first connection with the next of `responses`
/// and closes the connection after the last.
async fn start_server(responses: Vec<&'static [u8]>) -> io::Result<SocketAddr> {
    let listener = TcpListener::bind("127.0.0.1:0").await?;
    let address = listener.local_addr()?;
    smol::spawn(async move {
        let (mut tcp, _) = listener.accept().await?;
        let mut buffer = [0; 4_096];
        for response in responses {
            if tcp.read(&mut buffer).await? == 0 {
                break;
            }
            tcp.write_all(response).await?;
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
        let response_id = fulmarreel_http::message::find(headers, "x-id");
        response_id.is_none_or(|response_id| response_id == id.as_bytes())
    };
    connection
        .exchange(&request, is_own, &Quota::new(QUOTA_BYTES))
        .await
}

/// Fails if a body is truncated, includes bytes after its end, or keeps its transfer coding.
#[rstest]
#[case::length(b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nhi", b"hi", true)]
#[case::no_body(b"HTTP/1.1 204 No Content\r\n\r\n", b"", true)]
#[case::chunked(
    b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1\r\nh\r\n1;x=y\r\ni\r\n0\r\nt: u\r\n\r\n",
    b"hi",
    true
)]
#[case::repeated_length(
    b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\nContent-Length: 2\r\n\r\nhi",
    b"hi",
    true
)]
#[case::length_of_no_body(b"HTTP/1.1 304 Not Modified\r\nContent-Length: 9\r\n\r\n", b"", true)]
#[case::until_close(b"HTTP/1.1 200 OK\r\n\r\nhi", b"hi", false)]
#[case::server_closes(
    b"HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: 2\r\n\r\nhi",
    b"hi",
    false
)]
#[case::http_10(b"HTTP/1.0 200 OK\r\nContent-Length: 2\r\n\r\nhi", b"hi", false)]
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
fn complete_response_is_returned(
    #[case] response: &'static [u8],
    #[case] body: &[u8],
    #[case] reusable: bool,
) {
    smol::block_on(async {
        let address = start_server(vec![response]).await.expect("server");
        let mut connection = Connection::open(address).await.expect("open");
        let response = get(&mut connection, "1").await.expect("response");
        assert_eq!(response.body, body);
        assert_eq!(connection.is_reusable(), reusable);
    });
}

/// Fails if a truncated or missing response is returned as a complete one.
#[rstest]
#[case::cut_head(b"HTTP/1.1 200 OK\r\nContent-Le")]
#[case::cut_body(b"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nhi")]
#[case::cut_chunk(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n9\r\nhi")]
#[case::no_last_chunk(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nhi\r\n")]
#[case::no_response(b"")]
fn an_answer_that_ends_early_is_lost(#[case] response: &'static [u8]) {
    smol::block_on(async {
        let address = start_server(vec![response]).await.expect("server");
        let mut connection = Connection::open(address).await.expect("open");
        let error = get(&mut connection, "1")
            .await
            .expect_err("no complete response");
        assert!(matches!(error, Error::ConnectionLost { .. }), "{error}");
        assert!(!connection.is_reusable());
    });
}

/// Fails if an ambiguous length is guessed, the line end of a chunk is not checked, or a status that is
/// none is taken for one or waited out as an interim response.
#[rstest]
#[case::status_000(b"HTTP/1.1 000 Trouble\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nhi")]
#[case::status_099(b"HTTP/1.1 099 Trouble\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nhi")]
#[case::four_digits(b"HTTP/1.1 1000 Trouble\r\nContent-Length: 2\r\n\r\nhi")]
#[case::sign(b"HTTP/1.1 +200 OK\r\nContent-Length: 2\r\n\r\nhi")]
#[case::spaced_digits(b"HTTP/1.1 2 0 0 OK\r\nContent-Length: 2\r\n\r\nhi")]
#[case::no_status(b"HTTP/1.1 OK\r\nContent-Length: 2\r\n\r\nhi")]
#[case::not_http(b"ZZZ garbage\r\n\r\n")]
#[case::two_lengths(b"HTTP/1.1 200 OK\r\nContent-Length: 1\r\nContent-Length: 2\r\n\r\nhi")]
#[case::length_and_chunks(
    b"HTTP/1.1 200 OK\r\nContent-Length: 1\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n"
)]
#[case::unknown_coding(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: gzip\r\n\r\n")]
#[case::bad_chunk(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1\r\nhi\r\n0\r\n\r\n")]
#[case::not_a_number(b"HTTP/1.1 200 OK\r\nContent-Length: two\r\n\r\nhi")]
#[case::not_a_number_without_a_body(b"HTTP/1.1 204 None\r\nContent-Length: +0\r\n\r\n")]
fn invalid_response_is_malformed(#[case] response: &'static [u8]) {
    smol::block_on(async {
        let address = start_server(vec![response]).await.expect("server");
        let mut connection = Connection::open(address).await.expect("open");
        let error = get(&mut connection, "1").await.expect_err("malformed");
        assert!(matches!(error, Error::Malformed { .. }), "{error}");
    });
}

/// Fails if a late response to an earlier request is returned for the current one.
#[test]
fn an_answer_to_another_request_is_passed_over() {
    smol::block_on(async {
        let responses = b"HTTP/1.1 200 OK\r\nx-id: 0\r\nContent-Length: 3\r\n\r\nold\
            HTTP/1.1 200 OK\r\nx-id: 1\r\nContent-Length: 3\r\n\r\nnew";
        let address = start_server(vec![responses]).await.expect("server");
        let mut connection = Connection::open(address).await.expect("open");
        let response = get(&mut connection, "1").await.expect("response");
        assert_eq!(response.body, b"new");
    });
}

/// Fails if a request is written to a connection that the server has closed.
#[test]
fn closed_connection_is_stale() {
    smol::block_on(async {
        let response = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nhi";
        let address = start_server(vec![response]).await.expect("server");
        let mut connection = Connection::open(address).await.expect("open");
        get(&mut connection, "1").await.expect("response");
        Timer::after(Duration::from_millis(100)).await;
        let error = get(&mut connection, "2").await.expect_err("closed");
        assert!(matches!(error, Error::Stale { .. }), "{error}");
    });
}
