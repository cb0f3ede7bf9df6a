//! Case files of the experiment: which are rejected, and with which message.

#[path = "../examples/policy/case.rs"]
#[allow(dead_code)] // the experiment uses the rest
mod case;

use case::Verdict;
use rstest::rstest;

const BASE: &str =
    r#""name":"x","nodes":12,"calls_per_s":40,"idempotent":false,"seconds_to_hour":60"#;

/// Fails if unknown fields are accepted, a rule is not checked or the message does not name the
/// case.
#[rstest]
#[case::not_json("[{", "not JSON with comments")]
#[case::empty("", "holds nothing")]
#[case::no_case("[]", "holds no case")]
#[case::another_object(r#"{"cases":[],"more":1}"#, "holds another object")]
#[case::unknown_field(&format!(r#"[{{{BASE}}},{{{BASE},"speed":1}}]"#), "case 2 (x): unknown field `speed`")]
#[case::missing_field(r#"[{"name":"x"}]"#, "case 1 (x): missing field `nodes`")]
#[case::mistyped(&format!(r#"[{{{BASE},"soak_seconds":"1"}}]"#), "case 1 (x): invalid type: string \"1\", expected u64")]
#[case::unknown_in_fault(&format!(r#"[{{{BASE},"fault":{{"kind":"errors","magnitude":1,"size":2}}}}]"#), "unknown field `size`")]
#[case::unknown_kind(&format!(r#"[{{{BASE},"fault":{{"kind":"crash","magnitude":1}}}}]"#), "unknown variant `crash`")]
#[case::routes(&format!(r#"[{{{BASE},"routes":[0.5,0.4]}}]"#), "case 1 (x): field 'routes': [0.5, 0.4], expected shares over 0 that add up to 1")]
#[case::fault_route(&format!(r#"[{{{BASE},"fault":{{"kind":"errors","magnitude":1,"route":1}}}}]"#), "field 'fault.route': 1, expected an index of 'routes'")]
#[case::fault_part(&format!(r#"[{{{BASE},"fault":{{"kind":"errors","magnitude":1.5}}}}]"#), "field 'fault.magnitude': 1.5, expected a fraction from 0 to 1")]
#[case::fault_factor(&format!(r#"[{{{BASE},"fault":{{"kind":"slowness","magnitude":0.5}}}}]"#), "field 'fault.magnitude': 0.5, expected a factor of at least 1")]
#[case::misleading(&format!(r#"[{{{BASE},"misleading":{{"nodes":13,"report":"failed"}}}}]"#), "field 'misleading.nodes': 13, expected at most 'nodes'")]
fn a_bad_case_file_is_refused(#[case] text: &str, #[case] error: &str) {
    let rejection = case::parse(text).expect_err("a bad case file").to_string();
    assert!(rejection.contains(error), "{rejection}");
}

/// Fails if the size of a fault is not measured over all of the version's calls, or per route for
/// slowness.
#[rstest]
#[case::none("null", Verdict::Good)]
#[case::two_percent(r#"{"kind":"errors","magnitude":0.02}"#, Verdict::Bad)]
#[case::one_percent(r#"{"kind":"errors","magnitude":0.01}"#, Verdict::Minor)]
#[case::small_route(r#"{"kind":"errors","magnitude":0.1,"route":1}"#, Verdict::Minor)]
#[case::twice_as_slow(r#"{"kind":"slowness","magnitude":2,"route":1}"#, Verdict::Bad)]
#[case::somewhat_slow(r#"{"kind":"slowness","magnitude":1.9}"#, Verdict::Minor)]
fn a_fault_counts_as_bad_from_a_certain_size(#[case] fault: &str, #[case] verdict: Verdict) {
    let text = format!(r#"[{{{BASE},"routes":[0.9,0.1],"fault":{fault}}}]"#);
    let cases = case::parse(&text).expect("a good case file");
    assert_eq!(cases[0].expected_verdict(), verdict);
}

/// Fails if the repository's own cases are not all accepted.
#[test]
fn the_repositorys_cases_are_accepted() {
    let cases = case::parse(include_str!("../cases/repository.jsonc")).expect("cases");
    assert!(cases.iter().any(|case| case.nodes == 1_400));
    assert!(
        cases
            .iter()
            .all(|case| case.expected_verdict() != Verdict::Minor)
    );
}
