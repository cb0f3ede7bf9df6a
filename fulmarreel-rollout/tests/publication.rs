//! A stored publication is read back unchanged, and malformed ones are rejected.

use fulmarreel_document::rollout::Timestamp;
use fulmarreel_rollout::{Publication, State};
use rstest::rstest;
use std::error::Error;

fn publication() -> Result<Publication, Box<dyn Error>> {
    Ok(Publication {
        owner: "127.0.0.1:7000".parse()?,
        state: State::waiting(7, Timestamp(1)),
    })
}

/// Fails if a field is left out of the wire type.
#[test]
fn a_stored_publication_is_read_back() -> Result<(), Box<dyn Error>> {
    let given = publication()?;
    assert_eq!(Publication::decode(&given.encode()?)?, given);
    Ok(())
}

/// Fails if the value is read without being checked.
#[rstest]
#[case::not_json("owner")]
#[case::no_state(r#"{"owner":"127.0.0.1:7000"}"#)]
#[case::unknown_field(r#"{"extra":1}"#)]
#[case::share_in_a_phase_without_one(
    r#"{"owner":"127.0.0.1:7000","state":{"revision":1,"step":0,"share_ppm":5,"phase":"waiting","reason":"declared","at_ms":0,"moved_at_ms":null}}"#
)]
fn anything_else_is_refused(#[case] value: &str) {
    assert!(Publication::decode(value.as_bytes()).is_err());
}
