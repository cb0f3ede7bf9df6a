//! Which node aggregates a zone's reports, up to when the owner of a rollout has evidence of most
//! availability zones, and that verdicts are final.

use fulmarreel_document::{parse, rollout::Timestamp};
use fulmarreel_node::rollout::{
    Rollout,
    fleet::{Fleet, Member},
};
use fulmarreel_rollout::{Evidence, Plan};
use rstest::rstest;
use std::{collections::BTreeSet, error::Error, net::SocketAddr, sync::Arc};

fn address(port: u16) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], port))
}

/// Nine members in three zones, without the one of port `lost`, as seen by the member of port
/// `own`.
fn fleet(own: u16, lost: Option<u16>) -> Fleet {
    let ports = (1..=9).filter(|port| Some(*port) != lost);
    let members = ports.map(|port| Member {
        address: address(port),
        zone: format!("zone-{}", port % 3),
    });
    Fleet::new(
        address(own),
        &format!("zone-{}", own % 3),
        members.collect(),
    )
}

/// Fails if the choice of the aggregator depends on the node that makes it.
#[test]
fn members_of_a_zone_agree_on_its_aggregator() {
    let chosen: BTreeSet<_> = [1, 4, 7]
        .map(|own| fleet(own, None).aggregator("reservas"))
        .into();
    assert_eq!(chosen.len(), 1);
}

/// Fails if services are not spread over aggregators: one node would then aggregate all reports.
#[test]
fn services_have_different_aggregators() {
    let names = (0..30).map(|n| format!("service-{n}"));
    let chosen: BTreeSet<_> = names.map(|name| fleet(1, None).aggregator(&name)).collect();
    assert_eq!(chosen.len(), 3);
}

/// Fails if two members have the same rank: two nodes, or none, would then be the first standby.
#[test]
fn ranks_are_a_permutation() {
    let ranks: BTreeSet<_> = (1..=9)
        .map(|own| fleet(own, None).rank("reservas"))
        .collect();
    assert_eq!(ranks, (0..9).collect());
}

/// Fails if the loss of a member reassigns services that other members aggregate.
#[test]
fn the_loss_of_a_member_moves_its_duties_alone() {
    for service in (0..30).map(|n| format!("service-{n}")) {
        let before = fleet(1, None).aggregator(&service);
        let after = fleet(1, Some(4)).aggregator(&service);
        assert!(before == after || before == address(4));
    }
}

const DOCUMENT: &str = r#"{
    "service": "reservas",
    "version": "v1",
    "routes": [{ "path": "/" }],
    "move": { "to": "v2", "complete_by": "2030-01-01T00:00:00Z" }
}"#;

fn declared_rollout() -> Result<Rollout, Box<dyn Error>> {
    let document = Arc::new(parse(DOCUMENT)?);
    let plan = Plan::from_document(&document).ok_or("no move")?;
    Ok(Rollout::new(&document, 5, plan, 9, Timestamp(0)))
}

/// Fails if a single zone decides how fresh the evidence is, be it silent or ahead of the others,
/// or if a zone counts that has no members.
#[rstest]
#[case::none(&[], 0)]
#[case::one_of_three(&[("a", 10)], 0)]
#[case::two_of_three(&[("a", 10), ("b", 20)], 10)]
#[case::all(&[("a", 10), ("b", 20), ("c", 30)], 20)]
#[case::one_of_three_and_an_unknown_zone(&[("a", 10), ("x", 20)], 0)]
fn most_zones_decide_how_fresh_evidence_is(
    #[case] heard: &[(&str, u64)],
    #[case] expected: u64,
) -> Result<(), Box<dyn Error>> {
    let declared = declared_rollout()?;
    for (zone, at) in heard {
        declared.add_zone_sum(zone, Evidence::default(), Timestamp(*at));
    }
    let zones = ["a", "b", "c"].map(str::to_owned);
    assert_eq!(declared.evidence_until(&zones), Timestamp(expected));
    Ok(())
}

/// Fails if a verdict without call counts is dropped, or a state of the rollout undoes it.
#[test]
fn a_verdict_is_never_undone() -> Result<(), Box<dyn Error>> {
    let declared = declared_rollout()?;
    let earlier = declared.state();
    declared.take_back(Timestamp(7));
    let verdict = declared.state();
    assert!(verdict.is_final());
    assert!(!declared.adopt(&earlier));
    declared.take_back(Timestamp(9));
    assert_eq!(declared.state(), verdict);
    Ok(())
}
