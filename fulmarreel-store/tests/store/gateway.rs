//! Gateway responses that the fake store never sends, from a server that sends fixed bytes.

use super::support::{IDLE_TIMEOUT, TIMEOUT, client};
use fulmarreel_store::{Error, Event, Revision, Store, Transaction, etcd::Client, watch::Watch};
use futures_lite::{AsyncReadExt, AsyncWriteExt};
use rstest::rstest;
use smol::{Task, Timer, net::TcpListener};
use std::time::Duration;

/// Starts a server that sends `pieces` as the response on every connection, with a pause after each,
/// and then closes the connection; returns a client for it.
async fn serve_fixed(pieces: Vec<String>) -> (Client, Task<()>) {
    const PAUSE: Duration = Duration::from_millis(5);
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let peer = listener.local_addr().unwrap().to_string();
    let server = smol::spawn(async move {
        while let Ok((mut stream, _)) = listener.accept().await {
            let (mut request, mut buffer) = (Vec::new(), [0; 4096]);
            // The request body is one JSON object; the client sends it after `100 Continue`.
            while !request.ends_with(b"}") {
                let count = stream.read(&mut buffer).await.unwrap_or(0);
                if count == 0 {
                    break;
                }
                request.extend_from_slice(&buffer[..count]);
                if request.ends_with(b"\r\n\r\n") {
                    stream
                        .write_all(b"HTTP/1.1 100 Continue\r\n\r\n")
                        .await
                        .ok();
                }
            }
            for piece in &pieces {
                stream.write_all(piece.as_bytes()).await.ok();
                Timer::after(PAUSE).await;
            }
        }
    });
    (client(&[&peer], TIMEOUT), server)
}

fn response(status: u16, length: usize, body: &str) -> Vec<String> {
    vec![format!(
        "HTTP/1.1 {status} Status\r\nConnection: close\r\nContent-Length: {length}\r\n\r\n{body}"
    )]
}

#[derive(Debug, PartialEq)]
enum ErrorKind {
    OutcomeUnknown,
    NoResponse,
    Refused,
    Malformed,
    LeaseExpired,
}

fn error_kind(err: &Error) -> ErrorKind {
    match err {
        Error::OutcomeUnknown { .. } => ErrorKind::OutcomeUnknown,
        Error::NoResponse { .. } => ErrorKind::NoResponse,
        Error::Refused { .. } => ErrorKind::Refused,
        Error::Malformed { .. } => ErrorKind::Malformed,
        Error::LeaseExpired { .. } => ErrorKind::LeaseExpired,
        other => panic!("{other}"),
    }
}

const LEASE_NOT_FOUND: &str = r#"{"message":"etcdserver: requested lease not found"}"#;

#[rstest]
#[case::server_error(503, "{}", 0, ErrorKind::OutcomeUnknown, ErrorKind::NoResponse)]
#[case::client_error(400, r#"{"message":"no"}"#, 0, ErrorKind::Refused, ErrorKind::Refused)]
#[case::lease_not_found(
    404,
    LEASE_NOT_FOUND,
    0,
    ErrorKind::LeaseExpired,
    ErrorKind::LeaseExpired
)]
#[case::not_json(200, "<html>", 0, ErrorKind::OutcomeUnknown, ErrorKind::Malformed)]
#[case::truncated(200, "{}", 1, ErrorKind::OutcomeUnknown, ErrorKind::NoResponse)]
fn failed_unary_calls(
    #[case] status: u16,
    #[case] body: &str,
    #[case] missing_bytes: usize,
    #[case] write_error: ErrorKind,
    #[case] read_error: ErrorKind,
) {
    smol::block_on(async {
        let (store, _server) =
            serve_fixed(response(status, body.len() + missing_bytes, body)).await;
        let err = store
            .commit(&Transaction::new().put("a", b"v"))
            .await
            .unwrap_err();
        assert_eq!(error_kind(&err), write_error, "{err}");
        let err = store.get("a").await.unwrap_err();
        assert_eq!(error_kind(&err), read_error, "{err}");
    });
}

#[rstest]
#[case::key(r#"{"key":"%%"}"#)]
#[case::value(r#"{"key":"YQ==","value":"%%"}"#)]
#[case::not_utf8(r#"{"key":"/w=="}"#)]
#[case::revision(r#"{"key":"YQ==","mod_revision":"x"}"#)]
fn malformed_key_value(#[case] pair: &str) {
    smol::block_on(async {
        let body = format!(r#"{{"header":{{"revision":"5"}},"kvs":[{pair}]}}"#);
        let (store, _server) = serve_fixed(response(200, body.len(), &body)).await;
        let err = store.get("a").await.unwrap_err();
        assert_eq!(error_kind(&err), ErrorKind::Malformed, "{err}");
    });
}

/// A streaming response of `lines`, split into HTTP chunks of `chunk_bytes`.
fn streaming_response(lines: &[&str], chunk_bytes: usize) -> Vec<String> {
    let text = lines
        .iter()
        .map(|line| format!("{line}\n"))
        .collect::<String>();
    let mut pieces = vec!["HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n".to_owned()];
    for chunk in text.as_bytes().chunks(chunk_bytes) {
        let chunk = std::str::from_utf8(chunk).unwrap();
        pieces.push(format!("{:x}\r\n{chunk}\r\n", chunk.len()));
    }
    pieces
}

const CREATED: &str = r#"{"result":{"header":{"revision":"90"},"created":true}}"#;
/// One message of a replay: the store is at revision 90, the events reach only 12.
const REPLAY_MESSAGE: &str = r#"{"result":{"header":{"revision":"90"},"events":[
    {"kv":{"key":"YQ==","mod_revision":"9"}},{"kv":{"key":"YQ==","mod_revision":"10"}},
    {"type":"DELETE","kv":{"key":"YQ==","mod_revision":"12"}}]}}"#;

#[rstest]
#[case::whole(10_000)]
#[case::split(40)]
fn partial_replay(#[case] chunk_bytes: usize) {
    smol::block_on(async {
        let (store, _server) = serve_fixed(streaming_response(
            &[CREATED, &REPLAY_MESSAGE.replace('\n', "")],
            chunk_bytes,
        ))
        .await;
        let mut watch = store.watch("a", Revision(10), IDLE_TIMEOUT).await.unwrap();
        let batch = watch.next().await.unwrap();
        assert_eq!(
            batch.revision,
            Revision(12),
            "events after 12 would be lost"
        );
        let revisions: Vec<_> = batch.events.iter().map(Event::revision).collect();
        assert_eq!(
            revisions,
            [Revision(10), Revision(12)],
            "9 was not requested"
        );
        let deletion = Event::Delete {
            key: "a".into(),
            revision: Revision(12),
        };
        assert_eq!(batch.events[1], deletion);
    });
}

#[rstest]
#[case::cancelled(r#"{"result":{"canceled":true,"cancel_reason":"why"}}"#)]
#[case::failed(r#"{"error":{"message":"why"}}"#)]
fn cancelled_watch(#[case] line: &str) {
    smol::block_on(async {
        let (store, _server) = serve_fixed(streaming_response(&[CREATED, line], 10_000)).await;
        let mut watch = store.watch("a", Revision(1), IDLE_TIMEOUT).await.unwrap();
        match watch.next().await {
            Err(Error::Cancelled { reason, .. }) => assert_eq!(reason, "why"),
            other => panic!("{other:?}"),
        }
    });
}
