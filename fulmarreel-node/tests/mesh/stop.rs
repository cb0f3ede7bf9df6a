//! Targets that leave, and nodes that stop.

use crate::{
    backend::Manner,
    support::{Answer, Instance, configure, eventually},
};
use anyhow::ensure;
use fulmarreel_testing::kv::Stand;
use rstest::rstest;
use smol::Timer;
use std::time::{Duration, Instant};

/// Fails if the acknowledgement binds nobody: a request reaches the target after it.
#[test]
fn nothing_reaches_a_target_after_its_leaving_was_acknowledged() -> anyhow::Result<()> {
    smol::block_on(async {
        let stand = Stand::start()?;
        configure(&stand, 1, &["s", "own"]);
        let caller = Instance::start(stand.address(), "own", "v1").await?;
        let mut one = Instance::start(stand.address(), "s", "v1").await?;
        caller.wait_served("/s/").await?;
        ensure!(one.drain().await?, "not acknowledged");
        let arrived = one.backend.arrivals().len();
        for number in 0..5 {
            let answer = caller.request("GET", "/s/", &format!("r-{number}")).await?;
            ensure!(answer.status == 503, "{}", answer.text);
        }
        ensure!(one.backend.arrivals().len() == arrived);
        Ok(())
    })
}

/// Fails if a stop cuts what runs, waits for nothing, or the stopping node stays ready.
#[test]
fn a_stop_lets_requests_end() -> anyhow::Result<()> {
    smol::block_on(async {
        let stand = Stand::start()?;
        configure(&stand, 1, &["s"]);
        let mut one = Instance::start(stand.address(), "s", "v1").await?;
        one.wait_served("/s/").await?;
        one.backend.set_manner(Manner {
            delay: Duration::from_millis(1_500),
            ..Manner::default()
        });
        let before = one.backend.arrivals().len();
        let (lookup, booking) = (
            one.request("GET", "/s/", "r-1"),
            one.request("POST", "/s-do/", "r-2"),
        );
        let stopping = async {
            let begun = || async { one.backend.arrivals().len() == before + 2 };
            eventually("running", begun).await?;
            one.process.signal("TERM")
        };
        let ((lookup, booking), stopped) =
            smol::future::zip(smol::future::zip(lookup, booking), stopping).await;
        stopped?;
        ensure!(lookup?.status == 200);
        ensure!(booking?.status == 200);
        let asked = Instant::now();
        one.process.wait(Duration::from_secs(6))?;
        ensure!(asked.elapsed() < Duration::from_secs(6));
        // It only starts again: its entry stays.
        ensure!(
            stand
                .keys()
                .iter()
                .any(|key| key.starts_with("fulmarreel/nodes/"))
        );
        Ok(())
    })
}

/// Fails if entries of instances that are gone for good stay behind.
#[test]
fn a_node_whose_target_has_ended_takes_its_entry_away() -> anyhow::Result<()> {
    smol::block_on(async {
        let stand = Stand::start()?;
        configure(&stand, 1, &["s"]);
        let mut one = Instance::start(stand.address(), "s", "v1").await?;
        one.wait_served("/s/").await?;
        ensure!(one.drain().await?);
        one.process.signal("TERM")?;
        one.process.wait(Duration::from_secs(6))?;
        let log = one.log()?;
        ensure!(log.contains("\"message\":\"stopped\""), "{log}");
        let keys = stand.keys();
        ensure!(
            !keys.iter().any(|key| key.starts_with("fulmarreel/nodes/")),
            "{keys:?}"
        );
        Ok(())
    })
}

/// Fails if a node that was killed is not used again, or callers wait for it.
#[test]
fn a_killed_node_is_back_after_its_restart() -> anyhow::Result<()> {
    smol::block_on(async {
        let stand = Stand::start()?;
        configure(&stand, 1, &["s", "own"]);
        let caller = Instance::start(stand.address(), "own", "v1").await?;
        let mut one = Instance::start(stand.address(), "s", "v1").await?;
        caller.wait_served("/s/").await?;
        one.process.signal("KILL")?;
        one.process.status(Duration::from_secs(2))?;
        let answer = caller.request("GET", "/s/", "r-1").await?;
        ensure!(matches!(answer.status, 502 | 503), "{}", answer.text);
        let asked = Instant::now();
        let answer = caller.request("GET", "/s/", "r-2").await?;
        ensure!(answer.status == 503, "{}", answer.text);
        ensure!(
            asked.elapsed() < Duration::from_millis(600),
            "{:?}",
            asked.elapsed()
        );
        one.restart()?;
        caller.wait_served("/s/").await
    })
}

/// Fails if what still waits for a slot when the node stops gets neither an answer nor a refusal
/// (LOST, encalado-tlx trouble-2).
#[test]
fn what_waits_for_a_slot_is_refused_before_the_end() -> anyhow::Result<()> {
    smol::block_on(async {
        let stand = Stand::start()?;
        configure(&stand, 1, &["s", "own"]);
        let caller = Instance::start(stand.address(), "own", "v1").await?;
        let one = Instance::start(stand.address(), "s", "v1").await?;
        caller.wait_served("/s/").await?;
        one.wait_served("/s/").await?;
        one.backend.set_manner(Manner {
            delay: Duration::from_secs(20),
            ..Manner::default()
        });
        caller.process.signal("TERM")?;
        Timer::after(Duration::from_millis(1_900)).await;
        // Every slot is taken, one by a request of the stopping node, which goes on for it.
        let ids: Vec<String> = (0..4).map(|number| format!("r-{number}")).collect();
        let from = |number: usize| if number == 0 { &caller } else { &one };
        let long = ids
            .iter()
            .enumerate()
            .map(|(number, id)| from(number).request("POST", "/s-do/", id));
        let last = async {
            Timer::after(Duration::from_millis(500)).await;
            caller.request("POST", "/s-do/", "r-last").await
        };
        let taken = smol::future::zip(join(long), last).await;
        let answer = taken.1?;
        ensure!(answer.status == 503, "{}", answer.text);
        Ok(())
    })
}

/// Waits for all of some requests.
async fn join(requests: impl Iterator<Item = impl Future<Output = anyhow::Result<Answer>>>) {
    let executor = smol::LocalExecutor::new();
    let tasks: Vec<_> = requests.map(|request| executor.spawn(request)).collect();
    let all = async {
        for task in tasks {
            // Their ends do not matter here.
            let _ = task.await;
        }
    };
    executor.run(all).await;
}

/// Fails if a node that starts again beside a working target waits for its next announcement, or
/// takes up a target that has ended meanwhile.
#[rstest]
#[case::working(true)]
#[case::ended(false)]
fn a_restarted_node_takes_up_the_target_that_works(#[case] works: bool) -> anyhow::Result<()> {
    smol::block_on(async {
        let stand = Stand::start()?;
        configure(&stand, 1, &["s"]);
        let mut one = Instance::start(stand.address(), "s", "v1").await?;
        one.wait_served("/s/").await?;
        let entry = || {
            stand
                .keys()
                .iter()
                .any(|key| key.starts_with("fulmarreel/nodes/"))
        };
        eventually("entered", || async { entry() }).await?;
        one.silence();
        one.process.signal("KILL")?;
        one.process.status(Duration::from_secs(2))?;
        one.backend.set_manner(Manner {
            unhealthy: !works,
            ..Manner::default()
        });
        one.restart()?;
        if works {
            return one.wait_served("/s/").await;
        }
        one.wait_ready().await?;
        Timer::after(Duration::from_millis(700)).await;
        let answer = one.request("GET", "/s/", "r-1").await?;
        ensure!(answer.status == 503, "{}", answer.text);
        Ok(())
    })
}
