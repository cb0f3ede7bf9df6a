//! Requests beyond what a target can run, where the configuration has accounts.

use crate::{
    backend::Behavior,
    support::{Answer, Instance, call, eventually},
};
use anyhow::ensure;
use fulmarreel_testing::kv::FakePlatformStore;
use smol::{Task, Timer};
use std::{net::SocketAddr, time::Duration};

/// A route of new work, which needs a key, and one of calls of targets, which needs none.
const CONFIG: &str = r#"{"version":1,"tenants":[{"name":"t","api_keys":["key"],"priority":0}],
    "services":[{"name":"s","health_path":"/health"}],"routes":[
    {"name":"new","host":"h.example","prefix":"/new/","route_kind":"safe","timeout_s":3,
     "target_latency_s":1,"priority":0,"service":"s","max_attempts":2},
    {"name":"call","host":"h.example","prefix":"/call/","route_kind":"safe","timeout_s":3,
     "target_latency_s":1,"priority":9,"service":"s","max_attempts":2,"auth_exempt":true}]}"#;

fn start_requests(
    to: SocketAddr,
    path: &'static str,
    count: u32,
) -> Vec<Task<anyhow::Result<Answer>>> {
    let requests = (0..count).map(|number| {
        smol::spawn(async move {
            let id = format!("{path}{number}");
            let mut headers = vec![("X-Request-Id", id.as_str()), ("X-Deadline-Ms", "3000")];
            if path == "/new/" {
                headers.push(("Authorization", "Bearer key"));
            }
            call(to, "GET", path, "h.example", &headers, "").await
        })
    });
    requests.collect()
}

/// Fails if calls of targets are refused because new work has taken the queue, or if new work that is
/// refused for them is not told when to come back.
#[test]
fn calls_of_targets_displace_new_work() -> anyhow::Result<()> {
    smol::block_on(async {
        let store = FakePlatformStore::start()?;
        store.put("op/config", CONFIG.as_bytes());
        let caller = Instance::start(store.address(), "own", "v1").await?;
        let target = Instance::start(store.address(), "s", "v1").await?;
        caller.wait_ready().await?;
        caller.wait_served("/call/").await?;
        target.backend.set_behavior(Behavior {
            delay: Duration::from_millis(100),
            ..Behavior::default()
        });
        let before = target.backend.arrivals().len();
        let new_work = start_requests(caller.callers, "/new/", 40);
        let backend = target.backend.clone();
        eventually("slots taken", || async {
            backend.arrivals().len() >= before + 4
        })
        .await?;
        Timer::after(Duration::from_millis(20)).await;
        for answer in start_requests(caller.callers, "/call/", 12) {
            let answer = answer.await?;
            ensure!(answer.status == 200, "{}", answer.text);
        }
        let mut refused = 0;
        for answer in new_work {
            let answer = answer.await?;
            if answer.status == 200 {
                continue;
            }
            refused += 1;
            let text = answer.text.to_lowercase();
            ensure!(
                answer.status == 503 && text.contains("retry-after"),
                "{text}"
            );
        }
        ensure!((20..36).contains(&refused), "{refused} refused");
        let metrics = call(target.metrics, "GET", "/metrics", "node", &[], "").await?;
        let displaced = r#"fulmarreel_shed_total{class="new",cause="displaced"}"#;
        ensure!(metrics.text.contains(displaced), "{}", metrics.text);
        Ok(())
    })
}
