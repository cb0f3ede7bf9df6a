use fulmarreel_node::settings::parse;
use log::LevelFilter;
use rstest::rstest;

const ALL_SETTINGS: &str = r#"{
  "zone": "alt-apizaco", // where this instance runs
  "region": "altiplano",
  "callers": { "bind": "0.0.0.0:7000" },
  "peers": { "bind": "0.0.0.0:7001", "advertise": "127.0.0.1:7001" },
  "admin": { "bind": "127.0.0.1:7002" },
  "target": "127.0.0.1:8000",
  "store": ["127.0.0.1:2379"],
  "seeds": [],
  "limits": { "request_bytes": 1024 },
  "log": { "level": "debug", "decisions_per_second": 5 },
}"#;

#[test]
fn all_settings_are_read() {
    let settings = parse(ALL_SETTINGS).unwrap();
    assert_eq!(settings.advertise.to_string(), "127.0.0.1:7001");
    assert_eq!(settings.limits.request_bytes, 1024);
    assert_eq!(settings.log.level, LevelFilter::Debug);
}

/// Each case replaces a part of the settings, which makes them invalid.
#[rstest]
#[case(
    "\"zone\"",
    "\"zona\"",
    "2:3: field 'zona': unknown field `zona`, expected one of `zone`, `region`, `callers`, `peers`, `admin`, `target`, `store`, `seeds`, `limits`, `log`"
)]
#[case(
    "alt-apizaco",
    "Alt/Apizaco",
    "2:3: field 'zone': 'Alt/Apizaco', expected 1 to 63 of a-z, 0-9 and '-', with a letter or digit at both ends"
)]
#[case(
    "0.0.0.0:7000",
    "localhost:7000",
    "4:16: field 'callers.bind': 'localhost:7000', expected an IP number and a port such as 127.0.0.1:7000"
)]
#[case(
    "0.0.0.0:7000",
    "0.0.0.0:0",
    "4:16: field 'callers.bind': '0.0.0.0:0', expected an IP number and a port such as 127.0.0.1:7000"
)]
#[case(
    r#", "advertise": "127.0.0.1:7001""#,
    "",
    "5:14: field 'peers.bind': '0.0.0.0:7001', expected an IP number that can be connected to"
)]
#[case(
    "127.0.0.1:7002",
    "0.0.0.0:7001",
    "6:14: field 'admin.bind': 0.0.0.0:7001, expected an address other than that of 'peers.bind'"
)]
#[case(
    r#""bind": "127.0.0.1:7002""#,
    r#""bind": "127.0.0.1:7002", "advertise": "1.2.3.4:5""#,
    "6:40: field 'admin.advertise': unknown field `advertise`, expected `bind`"
)]
#[case(
    r#"["127.0.0.1:2379"]"#,
    "[]",
    "8:3: field 'store': an empty list, expected at least one address"
)]
#[case(
    r#"["127.0.0.1:2379"]"#,
    r#"["127.0.0.1:2379", "store"]"#,
    "8:31: field 'store[1]': 'store', expected an IP number and a port such as 127.0.0.1:7000"
)]
#[case(
    "1024",
    "0",
    "10:15: field 'limits.request_bytes': 0, expected 1 to 1073741824 bytes"
)]
#[case(
    "\"debug\"",
    "\"loud\"",
    "11:12: field 'log.level': unknown variant `loud`, expected one of `off`, `error`, `warn`, `info`, `debug`, `trace`"
)]
#[case(
    "\"decisions_per_second\": 5",
    "\"decisions_per_second\": -5",
    "11:30: field 'log.decisions_per_second': invalid value: integer `-5`, expected u32"
)]
fn a_refusal_names_line_and_field(
    #[case] part: &str,
    #[case] replacement: &str,
    #[case] expected: &str,
) {
    assert!(ALL_SETTINGS.contains(part));
    let error = parse(&ALL_SETTINGS.replacen(part, replacement, 1)).unwrap_err();
    assert_eq!(error.to_string(), expected);
}

#[test]
fn the_example_settings_are_accepted() {
    let path = concat!(
        env!("CARGO_MANIFEST_DIR"),
        "/../examples/settings/node.jsonc"
    );
    fulmarreel_node::settings::load(path.as_ref()).unwrap();
}
