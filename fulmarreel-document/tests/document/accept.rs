use fulmarreel_document::{parse, rollout};
use std::time::Duration;

const DOCUMENT: &str = r#"{
    // Bookings are not idempotent.
    "service": "reservas",
    "version": "v1.2",
    "routes": [
        { "path": "/reservas", "timeout_ms": 1500 },
        { "path": "/reservas/libres", "idempotent": true },
        { "path": "/parcelas", "service": "parcelas", "idempotent": true },
    ],
    "move": { "to": "v1.3", "complete_by": "2026-12-04T18:00:00-06:00" },
}"#;

#[test]
fn a_valid_document_is_read() {
    let document = parse(DOCUMENT).unwrap();
    assert_eq!(document.service().as_str(), "reservas");
    let rollout = document.rollout().unwrap();
    assert_eq!(rollout.to().as_str(), "v1.3");
    assert_eq!(rollout.complete_by(), rollout::Timestamp(1_796_428_800_000));
    let dependencies: Vec<_> = document.dependencies().map(|s| s.as_str()).collect();
    assert_eq!(dependencies, ["parcelas"]);
}

#[rstest::rstest]
#[case("/reservas", Some(("/reservas", 1500)))]
#[case("/reservas?day=4", Some(("/reservas", 1500)))]
#[case("/reservas/libres/7", Some(("/reservas/libres", 2000)))]
#[case("/reservasx", None)]
#[case("/otro", None)]
fn the_longest_matching_route_is_taken(#[case] path: &str, #[case] expected: Option<(&str, u64)>) {
    let document = parse(DOCUMENT).unwrap();
    let found = document.route(path).map(|r| (r.path(), r.timeout()));
    let expected = expected.map(|(path, ms)| (path, Duration::from_millis(ms)));
    assert_eq!(found, expected);
}

/// Fails if a service with one non-idempotent route gets the default of fully idempotent services.
#[rstest::rstest]
#[case(false, rollout::DEFAULT_UNPROVEN_PERCENT)]
#[case(true, rollout::DEFAULT_UNPROVEN_PERCENT_IDEMPOTENT)]
fn an_unproven_version_gets_a_smaller_share_if_any_route_is_not_idempotent(
    #[case] idempotent: bool,
    #[case] expected_percent: f64,
) {
    let text = format!(
        r#"{{ "service": "a", "version": "v1",
        "routes": [{{ "path": "/", "idempotent": true }}, {{ "path": "/b", "idempotent": {idempotent} }}],
        "move": {{ "to": "v2", "complete_by": "2026-12-04T18:00:00Z" }} }}"#
    );
    let document = parse(&text).unwrap();
    assert_eq!(
        document.rollout().unwrap().unproven_percent(),
        expected_percent
    );
}
