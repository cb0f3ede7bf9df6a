//! Callers that close their connection before the response: their calls must not be run, or must be
//! aborted.

use super::support::{
    BOOKINGS, CALLERS, LOOKUPS, RESERVAS, TestMesh, get, set_target_control, start_mesh,
};
use anyhow::ensure;
use fulmarreel_testing::{
    process::{InstanceSpec, eventually},
    target::Control,
};
use rstest::rstest;
use smol::{Timer, io::AsyncWriteExt, net::TcpStream};
use std::time::Duration;

/// Limit on the time for which work may go on after its caller has left.
const WORK_LIMIT: Duration = Duration::from_millis(500);

/// Allowance for a busy test machine.
const SLACK: Duration = Duration::from_millis(250);

/// Slots of the target.
const SLOTS: u16 = 4;

/// Starts a mesh whose only target takes `delay` for each call.
fn start(delay: Duration) -> anyhow::Result<TestMesh> {
    let slots = SLOTS;
    let mesh = start_mesh(&[InstanceSpec { slots, ..RESERVAS }])?;
    let slow = Control {
        delay_ms: delay.as_millis() as u64,
        ..Control::default()
    };
    smol::block_on(set_target_control(mesh.instances[1].target_address, &slow))?;
    Ok(mesh)
}

/// The HTTP request of one call.
fn request(path: &str, name: &str) -> String {
    format!(
        "POST {path} HTTP/1.1\r\nHost: h\r\nX-Fulmarreel-Service: reservas\r\nX-Call-Name: {name}\r\n\
        X-Fulmarreel-Deadline-Ms: 6000\r\nContent-Length: 0\r\n\r\n"
    )
}

/// Sends a call and doesn't read the response.
async fn send(mesh: &TestMesh, path: &str, name: &str) -> anyhow::Result<TcpStream> {
    let mut tcp = TcpStream::connect(mesh.instances[CALLERS].callers).await?;
    tcp.write_all(request(path, name).as_bytes()).await?;
    Ok(tcp)
}

/// Fills all of the target's slots with calls.
async fn fill_slots(mesh: &TestMesh, path: &str) -> anyhow::Result<Vec<TcpStream>> {
    let mut connections = Vec::new();
    for number in 0..SLOTS {
        connections.push(send(mesh, path, &format!("fill-{number}")).await?);
    }
    eventually(|| async {
        ensure!(mesh.executions()?.len() == usize::from(SLOTS));
        Ok(())
    })
    .await?;
    Ok(connections)
}

/// Number of calls whose connection was closed while the target ran them.
async fn aborted_calls(mesh: &TestMesh) -> anyhow::Result<u16> {
    let count = get(mesh.instances[1].target_address, "/broken-off").await?;
    Ok(count.parse()?)
}

#[rstest]
#[case::one_call("")]
#[case::pipelined(&request(LOOKUPS, "behind"))]
fn a_lookup_whose_caller_left_is_aborted(#[case] pipelined: &str) -> anyhow::Result<()> {
    let mesh = start(Duration::from_secs(4))?;
    smol::block_on(async {
        let mut running = fill_slots(&mesh, LOOKUPS).await?;
        for tcp in &mut running {
            tcp.write_all(pipelined.as_bytes()).await?;
        }
        Timer::after(Duration::from_millis(100)).await;
        drop(running);
        Timer::after(WORK_LIMIT + SLACK).await;
        let ended = aborted_calls(&mesh).await?;
        ensure!(ended == SLOTS, "{ended} of {SLOTS} aborted");
        ensure!(!mesh.executions()?.contains_key("behind"));
        Ok(())
    })
}

#[test]
fn a_lookup_is_aborted_when_its_node_dies() -> anyhow::Result<()> {
    let mesh = start(Duration::from_secs(4))?;
    smol::block_on(async {
        let _running = fill_slots(&mesh, LOOKUPS).await?;
        mesh.instances[CALLERS].node.signal("KILL")?;
        Timer::after(WORK_LIMIT + SLACK).await;
        let ended = aborted_calls(&mesh).await?;
        ensure!(ended == SLOTS, "{ended} of {SLOTS} aborted");
        Ok(())
    })
}

/// What ends while a call waits for a slot.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Leaving {
    Caller,
    Node,
}

#[rstest]
fn what_waits_for_a_slot_is_not_run_once_its_caller_or_node_is_gone(
    #[values(LOOKUPS, BOOKINGS)] path: &str,
    #[values(Leaving::Caller, Leaving::Node)] leaving: Leaving,
) -> anyhow::Result<()> {
    let work = Duration::from_millis(1_500);
    let mesh = start(work)?;
    smol::block_on(async {
        let _filling = fill_slots(&mesh, BOOKINGS).await?;
        let waiting = send(&mesh, path, "left").await?;
        Timer::after(Duration::from_millis(300)).await;
        if leaving == Leaving::Node {
            mesh.instances[CALLERS].node.signal("KILL")?;
        }
        drop(waiting);
        Timer::after(work + WORK_LIMIT).await;
        ensure!(
            !mesh.executions()?.contains_key("left"),
            "the call reached the target"
        );
        Ok(())
    })
}

#[rstest]
#[case::lookup(LOOKUPS)]
#[case::booking(BOOKINGS)]
fn a_call_that_is_read_after_its_caller_left_is_not_run(#[case] path: &str) -> anyhow::Result<()> {
    let mesh = start(Duration::from_millis(1_000))?;
    smol::block_on(async {
        let node = &mesh.instances[CALLERS].node;
        // Opens the connection to the target's node.
        drop(fill_slots(&mesh, BOOKINGS).await?);
        Timer::after(Duration::from_millis(1_200)).await;
        node.signal("STOP")?;
        for number in 0..SLOTS {
            drop(send(&mesh, path, &format!("left-{number}")).await?);
        }
        Timer::after(WORK_LIMIT + SLACK).await;
        node.signal("CONT")?;
        Timer::after(WORK_LIMIT * 2).await;
        let executions = mesh.executions()?;
        let sent = executions.keys().filter(|name| name.starts_with("left-"));
        let sent = sent.count();
        ensure!(sent == 0, "{sent} of {SLOTS} reached the target");
        Ok(())
    })
}
