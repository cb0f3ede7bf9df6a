//! Requests with API keys of client accounts.

use crate::{
    backend::{Behavior, header, read_message},
    support::{Answer, Instance, call, eventually, send_request, start_pair},
};
use anyhow::ensure;
use fulmarreel_testing::kv::{FakePlatformStore, Faults};
use rstest::rstest;
use smol::{
    Timer,
    io::{AsyncReadExt, AsyncWriteExt},
    net::TcpStream,
};
use std::time::{Duration, Instant};

const KEY: &str = "k-7f3a9c51";

/// How long a node may serve requests with keys after it lost the store: 0.6 x 5 s, and time for a
/// response that was under way.
const CUT_OFF_LIMIT: Duration = Duration::from_millis(3_500);

/// A store that answers nobody.
const SILENT: Faults = Faults {
    status: None,
    silent: true,
    lost_writes: false,
    page: 0,
};

/// The metric of the proved age of a node's copy of the store.
const PROOF_AGE: &str = "fulmarreel_store_proof_age_seconds";

/// The highest proved age while nothing fails, in seconds.
const MAX_CALM_AGE: f64 = 2.0;

/// Slots of each target.
const SLOTS: usize = 4;

/// A deadline beyond twice the [`CUT_OFF_LIMIT`].
const PATIENT: (&str, &str) = ("X-Deadline-Ms", "9000");

/// Writes a configuration with the routes `/s/` and `/own/` (`safe`), `/s-do/` (`unsafe`) and `/open/`,
/// which needs no key, and an account `acme` with these keys.
fn put_accounts(store: &FakePlatformStore, version: u64, keys: &str) {
    let route = |name: &str, kind: &str, service: &str, exempt: bool| {
        format!(
            "{{\"name\":\"{name}\",\"host\":\"h.example\",\"prefix\":\"/{name}/\",\
            \"route_kind\":\"{kind}\",\"timeout_s\":9,\"target_latency_s\":9,\"priority\":1,\
            \"service\":\"{service}\",\"max_attempts\":2,\"auth_exempt\":{exempt}}}"
        )
    };
    let routes = [
        route("s", "safe", "s", false),
        route("s-do", "unsafe", "s", false),
        route("own", "safe", "own", false),
        route("open", "safe", "s", true),
    ];
    let config = format!(
        "{{\"version\":{version},\"routes\":[{}],\"services\":[],\
        \"tenants\":[{{\"name\":\"acme\",\"api_keys\":[{keys}],\"priority\":1}}]}}",
        routes.join(",")
    );
    store.put("op/config", config.as_bytes());
}

/// Starts a pair as [`start_pair`], and waits until both nodes know the account.
async fn start() -> anyhow::Result<(FakePlatformStore, Instance, Instance)> {
    let (store, caller, target) = start_pair().await?;
    put_accounts(&store, 2, &format!("\"{KEY}\""));
    for node in [&caller, &target] {
        eventually("authenticating", || async {
            let answer = with_key(node, "/s/", KEY).await;
            answer.is_ok_and(|answer| answer.status == 200)
                && without_key(node, "/s/")
                    .await
                    .is_ok_and(|a| a.status == 401)
        })
        .await?;
    }
    Ok((store, caller, target))
}

async fn get(node: &Instance, path: &str, headers: &[(&str, &str)]) -> anyhow::Result<Answer> {
    let mut all = vec![("X-Request-Id", "r"), PATIENT];
    all.extend(headers);
    call(node.callers, "GET", path, "h.example", &all, "").await
}

async fn with_key(node: &Instance, path: &str, key: &str) -> anyhow::Result<Answer> {
    let authorization = format!("Bearer {key}");
    get(node, path, &[("Authorization", &authorization)]).await
}

async fn without_key(node: &Instance, path: &str) -> anyhow::Result<Answer> {
    get(node, path, &[]).await
}

/// The values of a header of a message.
fn values<'a>(message: &'a str, name: &str) -> Vec<&'a str> {
    let lines = message.lines().filter_map(|line| line.split_once(": "));
    lines
        .filter(|(known, _)| known.eq_ignore_ascii_case(name))
        .map(|(_, value)| value)
        .collect()
}

/// Fails if a key reaches a target, another node or a log, or if a client can name an account itself.
#[test]
fn the_account_is_named_to_the_target_and_the_key_goes_nowhere() -> anyhow::Result<()> {
    smol::block_on(async {
        let (_store, caller, target) = start().await?;
        // Without accounts, headers were passed on.
        let before = target.backend.arrivals().len();
        let authorization = format!("bEaReR  {KEY} ");
        let headers = [
            ("x-tenant", "globex"),
            ("AUTHORIZATION", authorization.as_str()),
            ("X-TENANT", "initech"),
        ];
        let answer = get(&caller, "/s/named", &headers).await?;
        ensure!(answer.status == 200, "{}", answer.text);
        let arrivals = target.backend.arrivals().split_off(before);
        let arrival = arrivals.iter().find(|text| text.contains("/s/named"));
        let arrival = arrival.map(String::as_str).unwrap_or_default();
        ensure!(values(arrival, "x-tenant") == ["acme"], "{arrival}");
        let leaked = arrivals.iter().any(|text| text.contains(KEY));
        ensure!(!leaked, "a target got the key");
        ensure!(header(arrival, "authorization").is_none(), "{arrival}");
        for node in [&caller, &target] {
            ensure!(!node.log()?.contains(KEY), "the key is logged");
        }
        Ok(())
    })
}

/// Fails if a request without a valid key runs, or is refused otherwise than for good.
#[rstest]
#[case::none(&[])]
#[case::unknown(&["Bearer k-7f3a9c52"])]
#[case::a_prefix(&["Bearer k-7f3a9c5"])]
#[case::twice(&["Bearer k-7f3a9c51", "Bearer k-7f3a9c51"])]
#[case::other_scheme(&["Basic k-7f3a9c51"])]
#[case::no_scheme(&["k-7f3a9c51"])]
#[case::no_key(&["Bearer "])]
#[case::long(&["Bearer LONG"])]
fn a_request_without_a_valid_key_is_rejected(#[case] lines: &[&str]) -> anyhow::Result<()> {
    smol::block_on(async {
        let (_store, caller, target) = start().await?;
        let long = format!("Bearer {}", "k".repeat(65_536));
        let lines = lines.iter().map(|line| match *line {
            "Bearer LONG" => ("Authorization", long.as_str()),
            line => ("Authorization", line),
        });
        let headers: Vec<(&str, &str)> = lines.collect();
        let answer = get(&caller, "/s/rejected", &headers).await?;
        ensure!(answer.status == 401, "{}", answer.text);
        let challenge = header(&answer.text, "www-authenticate");
        ensure!(challenge == Some("Bearer"), "{}", answer.text);
        let arrivals = target.backend.arrivals();
        let ran = arrivals.iter().any(|text| text.contains("/s/rejected"));
        ensure!(!ran, "ran");
        let metrics = call(caller.metrics, "GET", "/metrics", "node", &[], "").await?;
        ensure!(metrics.text.contains("fulmarreel_keys_rejected_total"));
        Ok(())
    })
}

/// Fails if an exempt route needs a key, forwards what the client names itself, or ignores a valid key.
#[rstest]
#[case::without(None, &[])]
#[case::invalid(Some("k-0"), &[])]
#[case::valid(Some(KEY), &["acme"])]
fn an_exempt_route_needs_no_key(
    #[case] key: Option<&str>,
    #[case] accounts: &[&str],
) -> anyhow::Result<()> {
    smol::block_on(async {
        let (_store, caller, target) = start().await?;
        let authorization = key.map(|key| format!("Bearer {key}"));
        let mut headers = vec![("X-Tenant", "globex")];
        headers.extend(
            authorization
                .iter()
                .map(|line| ("Authorization", line.as_str())),
        );
        let answer = get(&caller, "/open/", &headers).await?;
        ensure!(answer.status == 200, "{}", answer.text);
        let arrivals = target.backend.arrivals();
        let arrival = arrivals.iter().find(|text| text.contains("/open/"));
        let arrival = arrival.map(String::as_str).unwrap_or_default();
        ensure!(values(arrival, "x-tenant") == accounts, "{arrival}");
        ensure!(header(arrival, "authorization").is_none(), "{arrival}");
        Ok(())
    })
}

/// Fails if a request that a client sends before its turn runs without a valid key or names an account
/// itself.
#[test]
fn requests_before_their_turn_are_authenticated() -> anyhow::Result<()> {
    smol::block_on(async {
        let (_store, caller, target) = start().await?;
        target.backend.set_behavior(Behavior {
            delay: Duration::from_millis(300),
            ..Behavior::default()
        });
        let request = |path: &str, key: &str| {
            format!(
                "GET {path} HTTP/1.1\r\nHost: h.example\r\nX-Request-Id: r\r\nX-Tenant: globex\r\n\
                X-Deadline-Ms: 3000\r\nAuthorization: Bearer {key}\r\n\r\n"
            )
        };
        let requests = [
            request("/s/first", KEY),
            request("/s/second", KEY),
            request("/s/third", "k-0"),
        ];
        let mut tcp = TcpStream::connect(caller.callers).await?;
        tcp.write_all(requests.concat().as_bytes()).await?;
        let mut text = String::new();
        while text.matches("HTTP/1.1 ").count() < 3 {
            let mut buffer = [0; 4_096];
            let read = tcp.read(&mut buffer).await?;
            ensure!(read > 0, "the connection ended after {text:?}");
            text.push_str(&String::from_utf8_lossy(&buffer[..read]));
        }
        let statuses: Vec<&str> = text.split("HTTP/1.1 ").skip(1).map(|s| &s[..3]).collect();
        ensure!(statuses == ["200", "200", "401"], "{text}");
        let arrivals = target.backend.arrivals();
        let second = arrivals.iter().find(|text| text.contains("/s/second"));
        let second = second.map(String::as_str).unwrap_or_default();
        ensure!(values(second, "x-tenant") == ["acme"], "{second}");
        ensure!(
            !arrivals.iter().any(|text| text.contains("/s/third")),
            "ran"
        );
        Ok(())
    })
}

/// Fails if a key works on after the nodes got the configuration without it, or if other keys stop.
#[test]
fn a_removed_key_stops_at_every_node() -> anyhow::Result<()> {
    smol::block_on(async {
        let (store, caller, target) = start().await?;
        put_accounts(&store, 3, "\"k-new\"");
        let removed_at = Instant::now();
        for node in [&caller, &target] {
            eventually("stopped", || async {
                let answer = with_key(node, "/s/", KEY).await;
                answer.is_ok_and(|answer| answer.status == 401)
            })
            .await?;
            let answer = with_key(node, "/s/", "k-new").await?;
            ensure!(answer.status == 200, "{}", answer.text);
        }
        let elapsed = removed_at.elapsed();
        ensure!(elapsed < Duration::from_secs(5), "{elapsed:?}");
        Ok(())
    })
}

/// Fails if nodes without the store accept keys that may have been removed meanwhile, reject them for
/// good, or stop serving requests without keys.
#[test]
fn nodes_without_the_store_refuse_keys_and_serve_the_rest() -> anyhow::Result<()> {
    smol::block_on(async {
        let (store, caller, target) = start().await?;
        store.set_faults(SILENT);
        Timer::after(CUT_OFF_LIMIT).await;
        for node in [&caller, &target] {
            let answer = with_key(node, "/s/", KEY).await?;
            ensure!(answer.status == 503, "{}", answer.text);
            ensure!(
                header(&answer.text, "retry-after").is_some(),
                "{}",
                answer.text
            );
            let answer = with_key(node, "/s/", "k-0").await?;
            ensure!(answer.status == 503, "{}", answer.text);
            let answer = without_key(node, "/open/").await?;
            ensure!(answer.status == 200, "{}", answer.text);
        }
        store.set_faults(Faults::default());
        for node in [&caller, &target] {
            eventually("accepting keys again", || async {
                let answer = with_key(node, "/s/", KEY).await;
                answer.is_ok_and(|answer| answer.status == 200)
            })
            .await?;
        }
        Ok(())
    })
}

/// Fails if frequent changes of the store leave a node without a recent proof, so that it would refuse
/// keys.
#[test]
fn the_proof_stays_recent_while_the_configuration_changes() -> anyhow::Result<()> {
    smol::block_on(async {
        let (store, caller, target) = start().await?;
        let mut nodes = vec![caller, target];
        // Two nodes read the store, these hear of it from them.
        for _ in 0..2 {
            let node = Instance::start(store.address(), "own", "v1").await?;
            node.wait_ready().await?;
            nodes.push(node);
        }
        Timer::after(Duration::from_secs(2)).await;
        for change in 0..32 {
            if change < 24 {
                put_accounts(&store, 3 + change, &format!("\"{KEY}\""));
            }
            for _ in 0..4 {
                Timer::after(Duration::from_millis(60)).await;
                for node in &nodes {
                    let metrics = call(node.metrics, "GET", "/metrics", "node", &[], "").await?;
                    let line = metrics
                        .text
                        .lines()
                        .find_map(|line| line.strip_prefix(PROOF_AGE));
                    let age: f64 = line.unwrap_or_default().trim().parse()?;
                    ensure!(age < MAX_CALM_AGE, "{age} s old after change {change}");
                }
            }
        }
        Ok(())
    })
}

/// Fails if a node that was paused takes the notices that waited in its socket for recent.
#[test]
fn a_paused_node_accepts_no_key_by_what_waited_for_it() -> anyhow::Result<()> {
    smol::block_on(async {
        let (store, caller, target) = start().await?;
        caller.process.signal("STOP")?;
        // The other node announces its contact with the store meanwhile.
        Timer::after(Duration::from_millis(700)).await;
        store.set_faults(SILENT);
        put_accounts(&store, 3, "\"k-new\"");
        Timer::after(Duration::from_secs(5)).await;
        let before = target.backend.arrivals().len();
        caller.process.signal("CONT")?;
        let resumed_at = Instant::now();
        while resumed_at.elapsed() < Duration::from_secs(1) {
            let answer = with_key(&caller, "/s/", KEY).await?;
            ensure!(answer.status == 503, "{}", answer.text);
        }
        ensure!(target.backend.arrivals().len() == before, "ran");
        Ok(())
    })
}

/// Fails if a request that waited for its body runs although the store was lost meanwhile.
#[test]
fn a_key_is_checked_again_after_the_body_arrived() -> anyhow::Result<()> {
    smol::block_on(async {
        let (store, caller, target) = start().await?;
        let head = format!(
            "POST /s-do/waited HTTP/1.1\r\nHost: h.example\r\nX-Request-Id: r\r\n\
            X-Deadline-Ms: 9000\r\nAuthorization: Bearer {KEY}\r\nContent-Length: 4\r\n\r\n"
        );
        let mut tcp = TcpStream::connect(caller.callers).await?;
        tcp.write_all(head.as_bytes()).await?;
        store.set_faults(SILENT);
        Timer::after(CUT_OFF_LIMIT).await;
        tcp.write_all(b"body").await?;
        let answer = read_message(&mut tcp).await?.unwrap_or_default();
        ensure!(answer.starts_with("HTTP/1.1 503"), "{answer}");
        let arrivals = target.backend.arrivals();
        ensure!(!arrivals.iter().any(|text| text.contains("/waited")), "ran");
        Ok(())
    })
}

/// Fails if a request that waited for a slot of the own target runs although the store was lost
/// meanwhile.
#[test]
fn a_key_is_checked_again_after_the_wait_for_a_slot() -> anyhow::Result<()> {
    smol::block_on(async {
        let (store, caller, _target) = start().await?;
        caller.backend.set_behavior(Behavior {
            delay: CUT_OFF_LIMIT,
            ..Behavior::default()
        });
        let authorization = format!("Bearer {KEY}");
        let headers = [PATIENT, ("Authorization", authorization.as_str())];
        let mut requests = Vec::new();
        for number in 0..=SLOTS {
            let path = format!("/own/{number}");
            let tcp = send_request(caller.callers, "GET", &path, "h.example", &headers, "");
            requests.push(tcp.await?);
            Timer::after(Duration::from_millis(20)).await;
        }
        store.set_faults(SILENT);
        for (number, tcp) in requests.iter_mut().enumerate() {
            let answer = read_message(tcp).await?.unwrap_or_default();
            let status = if number < SLOTS { "200" } else { "503" };
            ensure!(
                answer.starts_with(&format!("HTTP/1.1 {status}")),
                "{answer}"
            );
        }
        let arrivals = caller.backend.arrivals();
        ensure!(!arrivals.iter().any(|text| text.contains("/own/4")), "ran");
        Ok(())
    })
}
