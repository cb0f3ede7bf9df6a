//! Targets that send an earlier refusal once more on a kept connection.

use crate::{
    backend::{Behavior, Stray, Timing, header},
    support::{Instance, configure},
};
use anyhow::ensure;
use fulmarreel_testing::kv::FakePlatformStore;
use rstest::rstest;
use smol::Timer;
use std::{collections::HashMap, time::Duration};

/// Requests of each kind.
const REQUESTS: usize = 12;

/// Longer than the time after which an idle connection gets a stray response.
const PAUSE: Duration = Duration::from_millis(40);

/// Fails if a request is told that it did not run though it did, gets a response that is not its own,
/// or runs twice.
#[rstest]
fn an_earlier_refusal_is_not_taken_for_the_response(
    #[values(
        "HTTP/1.1 503 Full\r\nX-Not-Executed: 1\r\n",
        "HTTP/1.1 400 No id\r\nX-Not-Executed: 1\r\n",
        "HTTP/1.1 429 Too many\r\nX-Not-Executed: 1\r\n",
        "HTTP/1.1 421 Another\r\n",
        "HTTP/1.1 200 OK\r\nX-Server-Seal: seal\r\n"
    )]
    head: &'static str,
    #[values(false, true)] bears_id: bool,
    #[values(
        Timing::BehindResponse,
        Timing::Idle,
        Timing::BeforeResponse,
        Timing::WithinRequest
    )]
    timing: Timing,
) -> anyhow::Result<()> {
    smol::block_on(async {
        let store = FakePlatformStore::start()?;
        configure(&store, 1, &["s"]);
        let first = Instance::start(store.address(), "s", "v1").await?;
        let second = Instance::start(store.address(), "s", "v1").await?;
        let targets = [&first, &second];
        for target in targets {
            target.wait_served("/s/").await?;
            target.backend.set_behavior(Behavior {
                stray: Some(Stray {
                    head,
                    bears_id,
                    timing,
                }),
                ..Behavior::default()
            });
        }
        for number in 0..REQUESTS {
            let pause = if number % 2 == 0 {
                PAUSE
            } else {
                Duration::ZERO
            };
            Timer::after(pause).await;
            for (method, path) in [("POST", "/s-do/"), ("GET", "/s/")] {
                let id = format!("{method}-{number}");
                let answer = first.request(method, path, &id).await?;
                ensure!(answer.status == 200, "{id}: {}", answer.text);
                let seal = format!("seal-{id}");
                ensure!(answer.text.contains(&seal), "{id}: {}", answer.text);
            }
        }
        ensure!(runs(&targets).values().all(|runs| *runs == 1), "ran twice");
        Ok(())
    })
}

/// How often each request ran, by id.
fn runs(targets: &[&Instance]) -> HashMap<String, usize> {
    let mut runs = HashMap::new();
    for target in targets {
        for request in target.backend.arrivals() {
            let id = header(&request, "x-request-id").unwrap_or_default();
            if id != "warm" {
                *runs.entry(id.to_owned()).or_insert(0) += 1;
            }
        }
    }
    runs
}

/// Fails if a refusal of an earlier attempt with the same id is taken for the response to a later
/// one.
#[test]
fn a_refusal_of_the_same_id_is_not_taken_for_the_response() -> anyhow::Result<()> {
    smol::block_on(async {
        let store = FakePlatformStore::start()?;
        configure(&store, 1, &["s"]);
        let instance = Instance::start(store.address(), "s", "v1").await?;
        instance.wait_served("/s/").await?;
        instance.backend.set_behavior(Behavior {
            stray: Some(Stray {
                head: "HTTP/1.1 503 Full\r\nX-Not-Executed: 1\r\n",
                bears_id: true,
                timing: Timing::BeforeResponse,
            }),
            ..Behavior::default()
        });
        for _ in 0..REQUESTS {
            let answer = instance.request("POST", "/s-do/", "same").await?;
            ensure!(answer.status == 200, "{}", answer.text);
        }
        Ok(())
    })
}

/// Fails if a target whose responses bear no id is not served, or is sent a second request on a
/// connection whose responses nothing tells apart.
#[test]
fn a_target_that_repeats_no_ids_gets_a_connection_for_each_request() -> anyhow::Result<()> {
    smol::block_on(async {
        let store = FakePlatformStore::start()?;
        configure(&store, 1, &["s"]);
        let instance = Instance::start(store.address(), "s", "v1").await?;
        instance.backend.set_behavior(Behavior {
            no_ids: true,
            stray: Some(Stray {
                head: "HTTP/1.1 503 Full\r\nX-Not-Executed: 1\r\n",
                bears_id: false,
                timing: Timing::BeforeResponse,
            }),
            ..Behavior::default()
        });
        instance.wait_served("/s/").await?;
        for number in 0..REQUESTS {
            let id = format!("r-{number}");
            let answer = instance.request("POST", "/s-do/", &id).await?;
            ensure!(answer.status == 200, "{}", answer.text);
        }
        Ok(())
    })
}
