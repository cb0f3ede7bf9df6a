//! Which document of a service is active.

use fulmarreel_distribution::{
    Catalog,
    catalog::{InactiveReason, Missing, OfferResult, Targets},
};
use rstest::rstest;

fn document(version: &str, more_routes: &str) -> String {
    format!(
        r#"{{ "service": "reservas", "version": "{version}", "routes": [{{ "path": "/" }}{more_routes}] }}"#
    )
}

fn targets(known: &[(&str, &str)]) -> Targets {
    let mut targets = Targets::default();
    for (service, version) in known {
        targets.add(service, version);
    }
    targets
}

fn active(catalog: &Catalog) -> Option<(u64, String)> {
    let (_, revised) = catalog.active().next()?;
    Some((
        revised.revision,
        revised.document.version().as_str().to_owned(),
    ))
}

fn offer(catalog: &mut Catalog, revision: u64, text: Option<&str>) -> OfferResult {
    catalog.offer("reservas", revision, text.map(str::as_bytes))
}

/// Fails if `Catalog::offer` compares revisions with `>` instead of `>=`, or not at all.
#[rstest]
#[case::older(4, Some("v0"))]
#[case::same(5, Some("v0"))]
#[case::older_deletion(4, None)]
fn an_older_revision_changes_nothing(#[case] revision: u64, #[case] version: Option<&str>) {
    let known = targets(&[("reservas", "v0"), ("reservas", "v1")]);
    let mut catalog = Catalog::default();
    offer(&mut catalog, 5, Some(&document("v1", "")));
    catalog.activate_ready(&known);
    let text = version.map(|version| document(version, ""));
    let outcome = offer(&mut catalog, revision, text.as_deref());
    assert!(matches!(outcome, OfferResult::Outdated));
    assert!(catalog.activate_ready(&known).is_empty());
    assert_eq!(active(&catalog), Some((5, "v1".to_owned())));
}

/// Fails if a malformed value replaces the active document.
#[rstest]
#[case::not_json("\u{0}{")]
#[case::cut(r#"{ "service": "reservas", "version": "v2""#)]
#[case::no_routes(r#"{ "service": "reservas", "version": "v2", "routes": [] }"#)]
#[case::of_another_service(
    r#"{ "service": "parcelas", "version": "v2", "routes": [{ "path": "/" }] }"#
)]
fn a_malformed_document_leaves_the_earlier_one_in_force(#[case] text: &str) {
    let known = targets(&[("reservas", "v1"), ("reservas", "v2"), ("parcelas", "v2")]);
    let mut catalog = Catalog::default();
    offer(&mut catalog, 5, Some(&document("v1", "")));
    catalog.activate_ready(&known);
    assert!(matches!(
        offer(&mut catalog, 6, Some(text)),
        OfferResult::Malformed(_)
    ));
    catalog.activate_ready(&known);
    assert_eq!(active(&catalog), Some((5, "v1".to_owned())));
    let inactive: Vec<_> = catalog.inactive().collect();
    assert!(matches!(
        inactive[..],
        [("reservas", InactiveReason::Malformed { revision: 6, .. })]
    ));
    offer(&mut catalog, 7, Some(&document("v2", "")));
    catalog.activate_ready(&known);
    assert_eq!(active(&catalog), Some((7, "v2".to_owned())));
    assert_eq!(catalog.inactive().count(), 0);
}

/// Fails if `Catalog::settle` ignores missing targets, or if `Targets::missing` ignores
/// dependencies.
#[rstest]
#[case::no_target_of_the_version("v2", "", &[("reservas", "v1")], "reservas v2")]
#[case::no_target_of_a_destination(
    "v1", r#", { "path": "/suelo", "service": "agronomia" }"#, &[("reservas", "v1")], "agronomia"
)]
fn a_document_waits_for_the_targets_that_it_names(
    #[case] version: &str,
    #[case] more_routes: &str,
    #[case] known: &[(&str, &str)],
    #[case] named: &str,
) {
    let mut catalog = Catalog::default();
    offer(&mut catalog, 5, Some(&document("v1", "")));
    catalog.activate_ready(&targets(known));
    offer(&mut catalog, 6, Some(&document(version, more_routes)));
    assert!(catalog.activate_ready(&targets(known)).is_empty());
    assert_eq!(active(&catalog), Some((5, "v1".to_owned())));
    let (_, reason) = catalog.inactive().next().unwrap();
    let InactiveReason::Waiting {
        revision: 6,
        missing,
    } = reason
    else {
        panic!("{reason:?}");
    };
    let [missing] = &missing[..] else {
        panic!("{missing:?}")
    };
    assert!(missing.to_string().contains(named), "{missing}");
    let mut complete = targets(known);
    match missing {
        Missing::Version { service, version } => complete.add(service, version),
        Missing::Service { service } => complete.add(service, "v9"),
    }
    assert_eq!(catalog.activate_ready(&complete).len(), 1);
    assert_eq!(active(&catalog).unwrap().0, 6);
    assert_eq!(catalog.inactive().count(), 0);
}

/// Fails if a document is dropped because its targets vanish later.
#[test]
fn a_document_stays_in_force_when_its_targets_vanish() {
    let mut catalog = Catalog::default();
    offer(&mut catalog, 5, Some(&document("v1", "")));
    catalog.activate_ready(&targets(&[("reservas", "v1")]));
    assert!(catalog.activate_ready(&targets(&[])).is_empty());
    assert_eq!(active(&catalog), Some((5, "v1".to_owned())));
}

/// Fails if a deletion resets the newest revision, and if `Catalog::settle` does not report it.
#[test]
fn a_document_deleted_and_created_again_is_never_the_earlier_one() {
    let known = targets(&[("reservas", "v1"), ("reservas", "v2")]);
    let mut catalog = Catalog::default();
    offer(&mut catalog, 5, Some(&document("v1", "")));
    catalog.activate_ready(&known);
    offer(&mut catalog, 8, None);
    let changes = catalog.activate_ready(&known);
    assert_eq!(changes[0].revision, None);
    assert_eq!(active(&catalog), None);
    offer(&mut catalog, 5, Some(&document("v1", "")));
    offer(&mut catalog, 7, Some(&document("v1", "")));
    catalog.activate_ready(&known);
    assert_eq!(active(&catalog), None);
    offer(&mut catalog, 9, Some(&document("v2", "")));
    catalog.activate_ready(&known);
    assert_eq!(active(&catalog), Some((9, "v2".to_owned())));
}
