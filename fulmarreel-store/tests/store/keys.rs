//! The key layout.

use fulmarreel_store::keys::{self, Error, Key};
use rstest::rstest;

#[rstest]
#[case("fulmarreel/documents/parcelas", Key::Document { service: "parcelas" })]
#[case("fulmarreel/moves/parcelas", Key::Move { service: "parcelas" })]
#[case("fulmarreel/owners/parcelas", Key::Owner { service: "parcelas" })]
#[case("fulmarreel/watchers/suva/3", Key::Watcher { zone: "suva", slot: 3 })]
#[case(
    "fulmarreel/seeds/suva/127.0.0.1:7000",
    Key::Seed { zone: "suva", addr: "127.0.0.1:7000".parse().unwrap() }
)]
#[case(
    "fulmarreel/history/parcelas/00000000000000000012",
    Key::History { service: "parcelas", number: 12 }
)]
#[case("fulmarreel/keys/00ff", Key::Claim { hash: "00ff" })]
fn keys_round_trip(#[case] text: &str, #[case] key: Key<'_>) {
    assert_eq!(key.try_format().unwrap(), text);
    assert_eq!(Key::try_from(text).unwrap(), key);
}

#[rstest]
#[case::root("other/documents/a")]
#[case::kind("fulmarreel/others/a")]
#[case::no_name("fulmarreel/documents/")]
#[case::upper_case("fulmarreel/documents/A")]
#[case::slash("fulmarreel/documents/a/b")]
#[case::dash_first("fulmarreel/moves/-a")]
#[case::dash_last("fulmarreel/owners/a-")]
#[case::no_slot("fulmarreel/watchers/suva")]
#[case::slot("fulmarreel/watchers/suva/x")]
#[case::slot_form("fulmarreel/watchers/suva/03")]
#[case::addr("fulmarreel/seeds/suva/host:1")]
#[case::number_form("fulmarreel/history/a/12")]
#[case::hash("fulmarreel/keys/XY")]
fn invalid_keys_are_rejected(#[case] text: &str) {
    let err = Key::try_from(text).unwrap_err();
    assert!(!err.to_string().is_empty());
}

#[test]
fn name_limit() {
    let longest = "a".repeat(keys::MAX_NAME);
    let longer = "a".repeat(keys::MAX_NAME + 1);
    assert!(Key::Document { service: &longest }.try_format().is_ok());
    assert!(matches!(
        Key::Document { service: &longer }.try_format(),
        Err(Error::InvalidName { .. })
    ));
}

#[test]
fn prefixes_hold_their_keys() {
    let addr = "127.0.0.1:7000".parse().unwrap();
    let cases = [
        (
            keys::watchers("suva"),
            Key::Watcher {
                zone: "suva",
                slot: 1,
            },
        ),
        (keys::seeds("suva"), Key::Seed { zone: "suva", addr }),
        (
            keys::history("a"),
            Key::History {
                service: "a",
                number: 1,
            },
        ),
    ];
    for (prefix, key) in cases {
        assert!(key.try_format().unwrap().starts_with(&prefix.unwrap()));
    }
}
