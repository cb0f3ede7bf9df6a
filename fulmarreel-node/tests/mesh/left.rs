//! Callers that close their connection before the response: their requests must not be run, or must
//! be aborted.

use crate::{
    backend::{Behavior, header},
    support::{Instance, Pair, eventually, send_request},
};
use anyhow::ensure;
use rstest::rstest;
use smol::{Timer, net::TcpStream};
use std::time::{Duration, Instant};

/// Limit on the time for which work may go on after its caller has left (incident GONE).
const WORK_LIMIT: Duration = Duration::from_millis(500);

/// Allowance for a busy test machine.
const SLACK: Duration = Duration::from_millis(250);

/// Slots of each target.
const SLOTS: usize = 4;

/// Requests that are sent to a suspended node.
const SUSPENDED_REQUESTS: usize = 40;

impl Pair {
    /// Sends a request and doesn't read the response.
    async fn send(&self, path: &str, id: &str) -> anyhow::Result<TcpStream> {
        let headers = [("X-Request-Id", id), ("X-Deadline-Ms", "3000")];
        send_request(self.caller.callers, "POST", path, "h.example", &headers, "").await
    }

    /// Fills all slots of a path's target with requests that take `delay`.
    async fn fill_slots(&self, path: &str, delay: Duration) -> anyhow::Result<Vec<TcpStream>> {
        let backend = &self.serving(path).backend;
        backend.set_behavior(Behavior {
            delay,
            ..Behavior::default()
        });
        let before = backend.arrivals().len();
        let mut connections = Vec::new();
        for number in 0..SLOTS {
            connections.push(self.send(path, &format!("fill-{number}")).await?);
        }
        eventually("filled", || async {
            backend.arrivals().len() == before + SLOTS
        })
        .await?;
        Ok(connections)
    }
}

/// Whether the request of an id reached an instance's target.
fn arrived(instance: &Instance, id: &str) -> bool {
    let arrivals = instance.backend.arrivals();
    let mut ids = arrivals
        .iter()
        .map(|request| header(request, "x-request-id"));
    ids.any(|known| known == Some(id))
}

#[rstest]
#[case::lookup_at_the_own_target("/own/")]
#[case::booking_at_the_own_target("/own-do/")]
#[case::lookup_at_another_node("/s/")]
#[case::booking_at_another_node("/s-do/")]
fn what_waits_for_a_slot_is_not_run_once_its_caller_left(#[case] path: &str) -> anyhow::Result<()> {
    smol::block_on(async {
        let pair = Pair::start().await?;
        let serving = pair.serving(path);
        let before = serving.backend.finished();
        let _filling = pair.fill_slots(path, Duration::from_millis(1_200)).await?;
        let waiting = pair.send(path, "r-left").await?;
        Timer::after(Duration::from_millis(200)).await;
        drop(waiting);
        eventually("slots free", || async {
            serving.backend.finished() == before + SLOTS
        })
        .await?;
        Timer::after(WORK_LIMIT).await;
        ensure!(
            !arrived(serving, "r-left"),
            "the request reached the target"
        );
        Ok(())
    })
}

#[rstest]
#[case::lookup_at_the_own_target("/own/")]
#[case::booking_at_the_own_target("/own-do/")]
#[case::lookup_at_another_node("/s/")]
#[case::booking_at_another_node("/s-do/")]
fn a_request_that_is_read_after_its_caller_left_is_not_run(
    #[case] path: &str,
) -> anyhow::Result<()> {
    smol::block_on(async {
        let pair = Pair::start().await?;
        pair.caller.wait_served(path).await?;
        let serving = pair.serving(path);
        pair.caller.process.signal("STOP")?;
        for number in 0..SLOTS {
            drop(pair.send(path, &format!("r-{number}")).await?);
        }
        Timer::after(WORK_LIMIT + SLACK).await;
        pair.caller.process.signal("CONT")?;
        pair.caller.wait_served(path).await?;
        Timer::after(WORK_LIMIT).await;
        let sent = (0..SLOTS).filter(|number| arrived(serving, &format!("r-{number}")));
        let sent = sent.count();
        ensure!(sent == 0, "{sent} of {SLOTS} reached the target");
        Ok(())
    })
}

#[rstest]
#[case::lookup("/s/")]
#[case::booking("/s-do/")]
fn a_request_that_arrives_late_with_its_cancellation_is_not_run(
    #[case] path: &str,
) -> anyhow::Result<()> {
    smol::block_on(async {
        let pair = Pair::start().await?;
        pair.caller.wait_served(path).await?;
        pair.other.process.signal("STOP")?;
        let mut waiting = Vec::new();
        for number in 0..SUSPENDED_REQUESTS {
            waiting.push(pair.send(path, &format!("r-{number}")).await?);
        }
        Timer::after(Duration::from_millis(100)).await;
        drop(waiting);
        // Shorter than the silence after which a node closes a connection to another one.
        Timer::after(Duration::from_millis(450)).await;
        pair.other.process.signal("CONT")?;
        Timer::after(WORK_LIMIT).await;
        let sent =
            (0..SUSPENDED_REQUESTS).filter(|number| arrived(&pair.other, &format!("r-{number}")));
        let sent = sent.count();
        ensure!(
            sent == 0,
            "{sent} of {SUSPENDED_REQUESTS} reached the target"
        );
        Ok(())
    })
}

#[test]
fn a_lookup_is_aborted_when_its_node_dies() -> anyhow::Result<()> {
    smol::block_on(async {
        let pair = Pair::start().await?;
        let _running = pair.fill_slots("/s/", Duration::from_secs(3)).await?;
        pair.caller.process.signal("KILL")?;
        Timer::after(WORK_LIMIT + SLACK).await;
        let ended = pair.other.backend.aborted();
        ensure!(ended == SLOTS, "{ended} of {SLOTS} aborted");
        Ok(())
    })
}

#[rstest]
#[case::lookup("/s/")]
#[case::booking("/s-do/")]
fn what_waits_for_a_slot_is_not_run_once_its_node_is_gone(
    #[case] path: &str,
) -> anyhow::Result<()> {
    smol::block_on(async {
        let pair = Pair::start().await?;
        let before = pair.other.backend.finished();
        let _filling = pair
            .fill_slots("/s-do/", Duration::from_millis(1_200))
            .await?;
        let _waiting = pair.send(path, "r-left").await?;
        Timer::after(Duration::from_millis(200)).await;
        pair.caller.process.signal("KILL")?;
        eventually("slots free", || async {
            pair.other.backend.finished() == before + SLOTS
        })
        .await?;
        Timer::after(WORK_LIMIT).await;
        ensure!(
            !arrived(&pair.other, "r-left"),
            "the request reached the target"
        );
        Ok(())
    })
}

/// While the target's node is suspended, the callers' node closes the silent connection and gives
/// up its lookups; the target's node must abort them once it continues.
#[test]
fn a_lookup_on_a_connection_that_was_given_up_is_broken_off() -> anyhow::Result<()> {
    smol::block_on(async {
        let pair = Pair::start().await?;
        let _running = pair.fill_slots("/s/", Duration::from_millis(2_800)).await?;
        pair.other.process.signal("STOP")?;
        Timer::after(Duration::from_millis(1_200)).await;
        pair.other.process.signal("CONT")?;
        let resumed_at = Instant::now();
        let ended = || pair.other.backend.aborted();
        while ended() < SLOTS && resumed_at.elapsed() < WORK_LIMIT + SLACK {
            Timer::after(Duration::from_millis(20)).await;
        }
        ensure!(ended() == SLOTS, "{} of {SLOTS} aborted", ended());
        Ok(())
    })
}

#[rstest]
#[case::own_target("/own/")]
#[case::another_node("/s/")]
fn callers_that_left_take_no_room_in_the_queue(#[case] path: &str) -> anyhow::Result<()> {
    smol::block_on(async {
        let pair = Pair::start().await?;
        let _filling = pair.fill_slots(path, Duration::from_millis(700)).await?;
        for number in 0..SLOTS {
            let waiting = pair.send(path, &format!("r-left-{number}")).await?;
            Timer::after(Duration::from_millis(50)).await;
            drop(waiting);
        }
        Timer::after(Duration::from_millis(100)).await;
        let answer = pair.caller.request("POST", path, "r-stays").await?;
        ensure!(answer.status == 200, "{}", answer.text);
        Ok(())
    })
}
