//! Which routes carry calls of targets.

use fulmarreel_balance::overload::{Hint, Origins};
use std::time::{Duration, Instant};

const SERVICES: [&str; 4] = ["a", "b", "c", "d"];

/// Records requests of clients at the nodes of several services, and returns the last decision.
fn record_clients(origins: &mut Origins, now: Instant, route: &str, hint: Hint) -> bool {
    let requests = SERVICES.iter().cycle().take(40);
    let decisions = requests.map(|service| origins.record(now, route, service, hint));
    decisions.last().unwrap_or_default()
}

/// Records calls of one service's targets, and returns the last decision.
fn record_calls(origins: &mut Origins, now: Instant, route: &str, hint: Hint, count: u32) -> bool {
    let decisions = (0..count).map(|_| origins.record(now, route, "a", hint));
    decisions.last().unwrap_or_default()
}

/// Fails if calls of targets are not told from requests of clients where no account names them.
#[test]
fn a_route_of_one_service_is_internal_where_others_are_called_by_several() {
    let mut origins = Origins::default();
    let now = Instant::now();
    assert!(!record_calls(
        &mut origins,
        now,
        "internal",
        Hint::NoAccounts,
        60
    ));
    assert!(!record_clients(
        &mut origins,
        now,
        "public",
        Hint::NoAccounts
    ));
    assert!(record_calls(
        &mut origins,
        now,
        "internal",
        Hint::NoAccounts,
        1
    ));
}

/// Fails if a route is called internal after a few requests that happen to come from one service.
#[test]
fn a_few_requests_of_one_service_decide_nothing() {
    let mut origins = Origins::default();
    let now = Instant::now();
    record_clients(&mut origins, now, "public", Hint::NoAccounts);
    assert!(!record_calls(
        &mut origins,
        now,
        "other",
        Hint::NoAccounts,
        10
    ));
}

/// Fails if the first calls on a route without keys are taken for new work, or if a public route without
/// keys stays internal.
#[test]
fn routes_without_keys_are_internal_until_several_services_call_them() {
    let mut origins = Origins::default();
    let now = Instant::now();
    assert!(origins.record(now, "route", "a", Hint::NeedsNoKey));
    assert!(!record_clients(
        &mut origins,
        now,
        "route",
        Hint::NeedsNoKey
    ));
    assert!(!origins.record(now, "keyed", "a", Hint::NeedsKey));
}

/// Fails if one request of another service, such as a probe, ends the order of a route's calls.
#[test]
fn one_request_of_another_service_changes_nothing() {
    let mut origins = Origins::default();
    let now = Instant::now();
    record_calls(&mut origins, now, "route", Hint::NeedsNoKey, 60);
    origins.record(now, "route", "b", Hint::NeedsNoKey);
    assert!(origins.record(now, "route", "a", Hint::NeedsNoKey));
}

/// Fails if what was learned stays for good: the evidence of public routes is too old after a minute.
#[test]
fn what_was_learned_is_forgotten() {
    let mut origins = Origins::default();
    let now = Instant::now();
    record_clients(&mut origins, now, "public", Hint::NoAccounts);
    assert!(record_calls(
        &mut origins,
        now,
        "internal",
        Hint::NoAccounts,
        60
    ));
    let later = now + Duration::from_secs(120);
    assert!(!record_calls(
        &mut origins,
        later,
        "internal",
        Hint::NoAccounts,
        60
    ));
}
