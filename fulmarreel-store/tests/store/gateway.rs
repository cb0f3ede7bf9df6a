//! Answers of the gateway that the fake etcd never gives, from a server that sends fixed bytes.

use super::support::{IDLE, TIMEOUT, client};
use fulmarreel_store::{Error, Event, Revision, Store, Transaction, etcd::Client, watch::Watch};
use futures_lite::{AsyncReadExt, AsyncWriteExt};
use rstest::rstest;
use smol::{Task, Timer, net::TcpListener};
use std::time::Duration;

/// Serves `pieces`, with a pause after each, as the answer on every connection, and closes it.
async fn fixed(pieces: Vec<String>) -> (Client, Task<()>) {
    const PAUSE: Duration = Duration::from_millis(5);
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let peer = listener.local_addr().unwrap().to_string();
    let server = smol::spawn(async move {
        while let Ok((mut stream, _)) = listener.accept().await {
            let (mut seen, mut buffer) = (Vec::new(), [0; 4096]);
            // The body is one JSON object, sent after the wanted go-ahead.
            while !seen.ends_with(b"}") {
                let count = stream.read(&mut buffer).await.unwrap_or(0);
                if count == 0 {
                    break;
                }
                seen.extend_from_slice(&buffer[..count]);
                if seen.ends_with(b"\r\n\r\n") {
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

fn answer(status: u16, length: usize, body: &str) -> Vec<String> {
    vec![format!(
        "HTTP/1.1 {status} Status\r\nConnection: close\r\nContent-Length: {length}\r\n\r\n{body}"
    )]
}

#[derive(Debug, PartialEq)]
enum Kind {
    Unknown,
    Unanswered,
    Refused,
    Malformed,
    Expired,
}

fn kind(err: &Error) -> Kind {
    match err {
        Error::Unknown { .. } => Kind::Unknown,
        Error::Unanswered { .. } => Kind::Unanswered,
        Error::Refused { .. } => Kind::Refused,
        Error::Malformed { .. } => Kind::Malformed,
        Error::Expired { .. } => Kind::Expired,
        other => panic!("{other}"),
    }
}

const NO_LEASE: &str = r#"{"message":"etcdserver: requested lease not found"}"#;

#[rstest]
#[case::server_fault(503, "{}", 0, Kind::Unknown, Kind::Unanswered)]
#[case::refusal(400, r#"{"message":"no"}"#, 0, Kind::Refused, Kind::Refused)]
#[case::no_lease(404, NO_LEASE, 0, Kind::Expired, Kind::Expired)]
#[case::no_json(200, "<html>", 0, Kind::Unknown, Kind::Malformed)]
#[case::cut(200, "{}", 1, Kind::Unknown, Kind::Unanswered)]
fn unary(
    #[case] status: u16,
    #[case] body: &str,
    #[case] missing: usize,
    #[case] of_write: Kind,
    #[case] of_read: Kind,
) {
    smol::block_on(async {
        let (store, _server) = fixed(answer(status, body.len() + missing, body)).await;
        let err = store
            .commit(&Transaction::new().put("a", b"v"))
            .await
            .unwrap_err();
        assert_eq!(kind(&err), of_write, "{err}");
        let err = store.get("a").await.unwrap_err();
        assert_eq!(kind(&err), of_read, "{err}");
    });
}

#[rstest]
#[case::key(r#"{"key":"%%"}"#)]
#[case::value(r#"{"key":"YQ==","value":"%%"}"#)]
#[case::not_utf8(r#"{"key":"/w=="}"#)]
#[case::revision(r#"{"key":"YQ==","mod_revision":"x"}"#)]
fn malformed_pair(#[case] pair: &str) {
    smol::block_on(async {
        let body = format!(r#"{{"header":{{"revision":"5"}},"kvs":[{pair}]}}"#);
        let (store, _server) = fixed(answer(200, body.len(), &body)).await;
        let err = store.get("a").await.unwrap_err();
        assert_eq!(kind(&err), Kind::Malformed, "{err}");
    });
}

/// Frames `lines` as a stream, broken into chunks of `size` bytes.
fn stream(lines: &[&str], size: usize) -> Vec<String> {
    let text = lines
        .iter()
        .map(|line| format!("{line}\n"))
        .collect::<String>();
    let mut pieces = vec!["HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n".to_owned()];
    for chunk in text.as_bytes().chunks(size) {
        let chunk = std::str::from_utf8(chunk).unwrap();
        pieces.push(format!("{:x}\r\n{chunk}\r\n", chunk.len()));
    }
    pieces
}

const CREATED: &str = r#"{"result":{"header":{"revision":"90"},"created":true}}"#;
/// A replay's piece: the store is at 90, the events go to 12 alone.
const PIECE: &str = r#"{"result":{"header":{"revision":"90"},"events":[
    {"kv":{"key":"YQ==","mod_revision":"9"}},{"kv":{"key":"YQ==","mod_revision":"10"}},
    {"type":"DELETE","kv":{"key":"YQ==","mod_revision":"12"}}]}}"#;

#[rstest]
#[case::whole(10_000)]
#[case::split(40)]
fn piece_of_a_replay(#[case] size: usize) {
    smol::block_on(async {
        let (store, _server) = fixed(stream(&[CREATED, &PIECE.replace('\n', "")], size)).await;
        let mut watch = store.watch("a", Revision(10), IDLE).await.unwrap();
        let batch = watch.next().await.unwrap();
        assert_eq!(
            batch.revision,
            Revision(12),
            "what comes after 12 would be lost"
        );
        let seen: Vec<_> = batch.events.iter().map(Event::revision).collect();
        assert_eq!(seen, [Revision(10), Revision(12)], "9 wasn't asked for");
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
        let (store, _server) = fixed(stream(&[CREATED, line], 10_000)).await;
        let mut watch = store.watch("a", Revision(1), IDLE).await.unwrap();
        match watch.next().await {
            Err(Error::Cancelled { reason, .. }) => assert_eq!(reason, "why"),
            other => panic!("{other:?}"),
        }
    });
}
