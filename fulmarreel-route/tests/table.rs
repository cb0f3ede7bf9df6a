//! Which route matches a request, and which service of the route gets it.

use fulmarreel_route::{Account, Accounts, Limits, Route, Table, WeightedService, WeightedSplit};
use rstest::rstest;
use std::time::Duration;

fn route(name: &str, host: &str, prefix: &str) -> Route {
    Route {
        name: name.to_owned(),
        host: host.to_owned(),
        prefix: prefix.to_owned(),
        services: services(&[1.0]),
        idempotent: true,
        is_bulk: false,
        auth_exempt: false,
        allowed_regions: Vec::new(),
        timeout: Duration::from_secs(1),
        objective: Duration::from_secs(1),
        max_attempts: 2,
        priority: 0,
    }
}

fn services(weights: &[f64]) -> Vec<WeightedService> {
    let service = |(index, weight): (usize, &f64)| WeightedService {
        service: index.to_string(),
        weight: *weight,
    };
    weights.iter().enumerate().map(service).collect()
}

/// Fails if a shorter prefix wins, the host is ignored, or the query is matched.
#[rstest]
#[case::plain("a.example", "/one/x", Some("one"))]
#[case::longest("a.example", "/one/two/x", Some("two"))]
#[case::exact("a.example", "/one/", Some("one"))]
#[case::no_slash("a.example", "/one", None)]
#[case::other_host("b.example", "/one/x", Some("other"))]
#[case::unknown_host("c.example", "/one/x", None)]
#[case::with_port("a.example:80", "/one/x", Some("one"))]
#[case::upper_case("A.Example", "/one/x", Some("one"))]
#[case::query("a.example", "/nowhere?/one/", None)]
fn the_longest_prefix_of_the_host_wins(
    #[case] host: &str,
    #[case] path: &str,
    #[case] expected: Option<&str>,
) {
    let routes = vec![
        route("one", "a.example", "/one/"),
        route("two", "a.example", "/one/two/"),
        route("other", "b.example", "/one/"),
    ];
    let table = Table::new(1, 1, Limits::default(), routes);
    let found = table
        .find_route(host, path)
        .map(|entry| entry.route.name.as_str());
    assert_eq!(found, expected);
}

/// Fails if services are selected at random, which would be off by more than 1 in 100 requests.
#[rstest]
#[case::halves(&[50.0, 50.0], &[50, 50])]
#[case::small_part(&[95.0, 5.0], &[95, 5])]
#[case::three(&[1.0, 2.0, 7.0], &[10, 20, 70])]
#[case::part_without_weight(&[0.0, 1.0], &[0, 100])]
fn a_split_follows_its_weights(#[case] weights: &[f64], #[case] expected: &[i32]) {
    for phase in [0.0, 0.3, 0.99] {
        let split = WeightedSplit::new(&services(weights));
        let mut counts = vec![0; weights.len()];
        for _ in 0..100 {
            counts[split.next_service(phase)] += 1;
        }
        for (count, expected) in counts.iter().zip(expected) {
            assert!((count - expected).abs() <= 1, "phase {phase}: {counts:?}");
        }
    }
}

/// Fails if one of the lists of a route and of an account binds without the other, or an empty one binds.
#[rstest]
#[case::neither(&[], &[], true)]
#[case::route(&["a", "b"], &[], true)]
#[case::other_route(&["a"], &[], false)]
#[case::account(&[], &["b"], true)]
#[case::other_account(&[], &["a"], false)]
#[case::both(&["a", "b"], &["b", "c"], true)]
#[case::disjoint(&["b"], &["a"], false)]
fn a_region_has_to_be_allowed_by_route_and_account(
    #[case] of_route: &[&str],
    #[case] of_account: &[&str],
    #[case] expected: bool,
) {
    let to_list = |regions: &[&str]| regions.iter().map(ToString::to_string).collect();
    let mut restricted = route("one", "a.example", "/one/");
    restricted.allowed_regions = to_list(of_route);
    let account = Account {
        name: "account".to_owned(),
        priority: 0,
        quota: None,
        allowed_regions: to_list(of_account),
    };
    assert_eq!(restricted.allows_region(Some(&account), "b"), expected);
    let mut table = Table::new(1, 1, Limits::default(), vec![restricted]);
    table.accounts = Accounts::new([0; 16]);
    table.accounts.add(account, ["key"]).expect("account");
    let is_restricted = !of_route.is_empty() || !of_account.is_empty();
    assert_eq!(table.has_allowed_regions(), is_restricted);
}
