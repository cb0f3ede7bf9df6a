//! Broken answers of the store are no answers, and sound ones are.

use super::support::{TIMEOUT, client};
use fulmarreel_store::{Error, Outcome, Revision, Store, Transaction, etcd::Client, watch::Watch};
use fulmarreel_testing::answers::{self, Broken, End, Fault, Script, Timing};
use rstest::rstest;
use std::{net::SocketAddr, time::Duration};

/// The response to a read, an entry of the key "a".
const RANGE: &str = r#"{"header":{"revision":"7"},"kvs":[{"key":"YQ==","value":"dg==","create_revision":"3","mod_revision":"5","version":"1"}],"count":"1"}"#;

/// The response to a write that took effect.
const WRITTEN: &str = r#"{"header":{"revision":"7"},"succeeded":true}"#;

/// The responses to a watch: that it was created, and one event.
const WATCHED: &str = "{\"result\":{\"header\":{\"revision\":\"7\"},\"created\":true}}\n\
    {\"result\":{\"header\":{\"revision\":\"8\"},\"events\":[{\"kv\":{\"key\":\"YQ==\",\"value\":\"dg==\",\
    \"create_revision\":\"8\",\"mod_revision\":\"8\",\"version\":\"1\"}}]}}\n";

/// Limit on the time of each call; a call that gets no response at all takes this long.
const CALL_TIMEOUT: Duration = Duration::from_secs(5);

/// The length of a write's values, more than the buffers of its connection hold.
const LONG_VALUES_BYTES: usize = 12_582_912;

/// How often an answer is tried where the outcome depends on when its connection ends.
const ROUNDS: usize = 3;

fn client_of(store: SocketAddr) -> Client {
    client(&[&store.to_string()], CALL_TIMEOUT)
}

/// Fails if a broken answer counts as the result of a call, or leaves a write's outcome as known.
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
        let get = async |store| {
            let entry = client_of(store).get("a").await.ok()?;
            Some(format!("{entry:?}"))
        };
        let taken = answers::taken(fault, "", RANGE, get).await;
        let mut taken = taken.expect("store");
        let commit = async |store| {
            let transaction = Transaction::new().put("a", b"v");
            let outcome = client_of(store).commit(&transaction).await;
            let is_unknown = matches!(outcome, Err(Error::OutcomeUnknown { .. }));
            (!is_unknown).then(|| format!("{outcome:?}"))
        };
        let written = answers::taken(fault, "", WRITTEN, commit).await;
        taken.extend(written.expect("store"));
        assert!(taken.is_empty(), "{taken:#?}");
    });
}

/// Fails if a sound answer is rejected.
#[test]
fn a_sound_answer_is_taken() {
    smol::block_on(async {
        for answer in answers::sound("", RANGE) {
            let store = answers::start_closing(answer.bytes).await.expect("store");
            let entry = client_of(store).get("a").await;
            let entry = entry.unwrap_or_else(|error| panic!("{}: {error}", answer.name));
            assert_eq!(entry.expect("an entry").value, b"v", "{}", answer.name);
        }
        for answer in answers::sound("", WRITTEN) {
            let store = answers::start_closing(answer.bytes).await.expect("store");
            let transaction = Transaction::new().put("a", b"v");
            let outcome = client_of(store).commit(&transaction).await;
            let outcome = outcome.unwrap_or_else(|error| panic!("{}: {error}", answer.name));
            assert_eq!(outcome, Outcome::Written(Revision(7)), "{}", answer.name);
        }
    });
}

/// Fails if an answer that ends with its connection is taken for a whole one though the connection was
/// reset while a long write was sent.
#[rstest]
#[case::no_length("")]
#[case::chunks("Transfer-Encoding: chunked\r\n")]
fn an_answer_that_is_reset_is_none(
    #[case] length: &str,
    #[values(Timing::DuringRequest, Timing::AfterRequest)] timing: Timing,
    #[values(End::Reset, End::LateReset)] end: End,
) {
    smol::block_on(async {
        let body = if length.is_empty() {
            WRITTEN.to_owned()
        } else {
            format!("{:x}\r\n{WRITTEN}\r\n", WRITTEN.len())
        };
        let answer = format!("HTTP/1.1 200 OK\r\n{length}\r\n{body}").into_bytes();
        let script = Script {
            answer,
            timing,
            end,
        };
        let store = answers::start(script).await.expect("store");
        let value = vec![b'v'; fulmarreel_store::store::MAX_VALUE_BYTES];
        let mut transaction = Transaction::new();
        for number in 0..LONG_VALUES_BYTES / value.len() {
            transaction = transaction.put(&format!("key-{number}"), &value);
        }
        let client = client_of(store);
        for round in 0..ROUNDS {
            let outcome = client.commit(&transaction).await;
            let is_unknown = matches!(outcome, Err(Error::OutcomeUnknown { .. }));
            assert!(is_unknown, "{round}: {outcome:?}");
        }
    });
}

/// Fails if a watch reads events from a broken answer to its end, or none from a sound one.
#[test]
fn a_watch_follows_sound_answers_only() {
    smol::block_on(async {
        for answer in answers::sound("", WATCHED) {
            let store = answers::start_closing(answer.bytes).await.expect("store");
            let opened = client_of(store).watch("a", Revision(8), TIMEOUT).await;
            let mut watch = opened.unwrap_or_else(|error| panic!("{}: {error}", answer.name));
            let batch = watch.next().await;
            let batch = batch.unwrap_or_else(|error| panic!("{}: {error}", answer.name));
            assert_eq!(batch.events.len(), 1, "{}", answer.name);
            let end = watch.next().await;
            assert!(matches!(end, Err(Error::Disconnected { .. })), "{end:?}");
        }
        let mut taken = Vec::new();
        for fault in [
            Fault::StatusLine,
            Fault::Field,
            Fault::Length,
            Fault::Coding,
        ] {
            for Broken { name, bytes } in answers::broken(fault, "", WATCHED) {
                let store = answers::start_closing(bytes).await.expect("store");
                if client_of(store)
                    .watch("a", Revision(8), TIMEOUT)
                    .await
                    .is_ok()
                {
                    taken.push(name);
                }
            }
        }
        assert!(taken.is_empty(), "{taken:#?}");
    });
}
