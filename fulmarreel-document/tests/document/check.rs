use fulmarreel_document::{check, parse, rollout::Timestamp};

const TEXT: &str = r#"{
  "service": "reservas",
  "version": "v1",
  "routes": [
    { "path": "/" },
    { "path": "/parcelas/1", "service": "parcelas" },
    { "path": "/suelos", "service": "agronomia" }
  ],
  "move": {
    "to": "v2",
    "complete_by": "2026-12-04T18:00:00Z"
  }
}"#;

/// The deadline of [`TEXT`], in milliseconds since the Unix epoch.
const DEADLINE_MS: u64 = 1_796_407_200_000;

#[rstest::rstest]
#[case(DEADLINE_MS - 1, None)]
#[case(
    DEADLINE_MS,
    Some("11:5: field 'move.complete_by': 2026-12-04T18:00:00Z, expected a time in the future")
)]
fn a_past_deadline_is_refused(#[case] now_ms: u64, #[case] expected: Option<&str>) {
    let document = parse(TEXT).unwrap();
    let result = check::deadline(TEXT, &document, Timestamp(now_ms));
    let error = result.err().map(|error| error.to_string());
    assert_eq!(error.as_deref(), expected);
}

#[rstest::rstest]
#[case(&["parcelas", "agronomia"], None)]
#[case(
    &["parcelas", "reservas"],
    Some("7:26: field 'routes[2].service': 'agronomia', expected a service with a document, given here or in the store")
)]
fn a_route_to_an_unknown_service_is_refused(
    #[case] known: &[&str],
    #[case] expected: Option<&str>,
) {
    let document = parse(TEXT).unwrap();
    let result = check::destinations(TEXT, &document, |service| known.contains(&service.as_str()));
    let error = result.err().map(|error| error.to_string());
    assert_eq!(error.as_deref(), expected);
}
