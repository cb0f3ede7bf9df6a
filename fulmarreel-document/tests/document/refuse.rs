use fulmarreel_document::{MAX_BYTES, parse};
use rstest::rstest;

/// A valid document with one line replaced; lines are counted from 1.
fn with_line(line_number: usize, line: &str) -> String {
    let lines = [
        "{",
        r#"  "service": "reservas","#,
        r#"  "version": "v1","#,
        r#"  "routes": [{ "path": "/reservas" },"#,
        r#"    { "path": "/otros" }],"#,
        r#"  "move": {"#,
        r#"    "to": "v2","#,
        r#"    "complete_by": "2026-12-04T18:00:00-06:00","#,
        r#"    "unproven_percent": 2"#,
        "  }",
        "}",
    ];
    let mut lines = lines.map(str::to_owned);
    lines[line_number - 1] = line.to_owned();
    lines.join("\n")
}

/// Fails if a position is that of the object around the field, as in the parser's own errors.
#[rstest]
#[case::unknown_field(
    3,
    r#"  "verzion": "v1","#,
    "3:3: field 'verzion': unknown field `verzion`, expected one of `service`, `version`, `routes`, `move`"
)]
#[case::unknown_field_in_a_route(
    5,
    r#"    { "path": "/otros", "idempotente": true }],"#,
    "5:25: field 'routes[1].idempotente': unknown field `idempotente`, expected one of `path`, `service`, `idempotent`, `timeout_ms`"
)]
#[case::unknown_value(
    9,
    r#"    "unproven_at_deadline": "wait""#,
    "9:5: field 'move.unproven_at_deadline': unknown variant `wait`, expected `complete` or `hold`"
)]
#[case::missing_field(3, "", "1:1: field '(root)': missing field `version`")]
#[case::missing_field_in_a_move(7, "", "6:3: field 'move': missing field `to`")]
#[case::wrong_type(
    9,
    r#"    "unproven_percent": "2""#,
    "9:5: field 'move.unproven_percent': invalid type: string \"2\", expected f64"
)]
#[case::list_for_text(
    2,
    r#"  "service": [],"#,
    "2:3: field 'service': invalid type: sequence, expected a string"
)]
#[case::negative_timeout(
    5,
    r#"    { "path": "/otros", "timeout_ms": -1 }],"#,
    "5:25: field 'routes[1].timeout_ms': invalid value: integer `-1`, expected u64"
)]
#[case::zero_timeout(
    5,
    r#"    { "path": "/otros", "timeout_ms": 0 }],"#,
    "5:25: field 'routes[1].timeout_ms': 0, expected 1 to 600000 milliseconds"
)]
#[case::duplicate(
    8,
    r#"    "to": "v3","#,
    "8:5: field 'move.to': given a second time, expected once (line 7)"
)]
#[case::share_over_100(
    9,
    r#"    "unproven_percent": 140"#,
    "9:5: field 'move.unproven_percent': 140, expected more than 0 and at most 100"
)]
#[case::share_of_0(
    9,
    r#"    "unproven_percent": 0"#,
    "9:5: field 'move.unproven_percent': 0, expected more than 0 and at most 100"
)]
#[case::long_soak(
    9,
    r#"    "soak_seconds": 604801"#,
    "9:5: field 'move.soak_seconds': 604801, expected 0 to 604800 seconds"
)]
#[case::low_ratio(
    9,
    r#"    "fault": { "latency_ratio": 1 }"#,
    "9:16: field 'move.fault.latency_ratio': 1, expected a number over 1"
)]
#[case::not_a_time(
    8,
    r#"    "complete_by": "tonight","#,
    "8:5: field 'move.complete_by': tonight, expected a time with offset such as 2026-12-04T18:00:00-06:00"
)]
#[case::same_version(
    7,
    r#"    "to": "v1","#,
    "7:5: field 'move.to': v1, expected a version other than 'version'"
)]
#[case::relative_path(
    5,
    r#"    { "path": "otros" }],"#,
    "5:7: field 'routes[1].path': 'otros', expected a path that starts with '/', without whitespace, '?' and '#'"
)]
#[case::path_twice(
    5,
    r#"    { "path": "/reservas" }],"#,
    "5:7: field 'routes[1].path': /reservas, expected a path that no other route has"
)]
#[case::name_not_allowed_in_keys_of_the_store(
    2,
    r#"  "service": "a.b","#,
    "2:3: field 'service': 'a.b', expected 1 to 63 of a-z, 0-9 and '-', with a letter or digit at both ends"
)]
#[case::missing_comma(
    2,
    r#"  "service": "reservas""#,
    "2:24: expected comma, expected JSON with comments"
)]
#[case::single_quotes(
    2,
    "  'service': 'reservas',",
    "2:3: single-quoted strings are not allowed, expected JSON with comments"
)]
fn errors_state_position_field_and_accepted_values(
    #[case] line_number: usize,
    #[case] line: &str,
    #[case] expected: &str,
) {
    let error = parse(&with_line(line_number, line)).unwrap_err();
    assert_eq!(error.to_string(), expected);
}

#[test]
fn the_document_without_a_replaced_line_is_accepted() {
    parse(&with_line(1, "{")).unwrap();
}

#[rstest]
#[case("", "1:1: the text is empty, expected an object")]
#[case(
    r#"{ "service": "a", "version": "v1", "routes": [] }"#,
    "1:36: field 'routes': an empty list, expected at least one route"
)]
fn incomplete_texts_are_refused(#[case] text: &str, #[case] expected: &str) {
    assert_eq!(parse(text).unwrap_err().to_string(), expected);
}

#[test]
fn a_document_over_the_size_limit_is_refused() {
    let text = |bytes: usize| {
        let unpadded = with_line(1, "{");
        format!("{unpadded}{}", " ".repeat(bytes - unpadded.len()))
    };
    parse(&text(MAX_BYTES)).unwrap();
    let error = parse(&text(MAX_BYTES + 1)).unwrap_err().to_string();
    assert_eq!(
        error,
        "1:1: the whole document: 1048577 bytes, expected at most 1048576"
    );
}
