//! Peers that break the protocol between nodes.

use crate::{
    backend::Behavior,
    support::{Instance, configure, eventually},
};
use anyhow::{bail, ensure};
use fulmarreel_node::peer::stream::{read, write};
use fulmarreel_testing::kv::FakePlatformStore;
use fulmarreel_wire::{
    Hello, PROTOCOL, Purpose,
    call::{Chunk, Frame, Open, Refusal},
};
use rstest::rstest;
use smol::{Timer, future::or, net::TcpStream};
use std::{
    io,
    sync::atomic::{AtomicU64, Ordering},
    time::Duration,
};

/// Limit on the time for which work may go on after its cancellation (incident GONE).
const WORK_LIMIT: Duration = Duration::from_millis(500);

/// Pings whose replies fill the buffers of a connection.
const PINGS: usize = 500_000;

/// The start time of the next peer process.
static NEXT_BOOT: AtomicU64 = AtomicU64::new(1);

/// Connects as another node does, whose process has not connected before.
pub async fn connect(to: &Instance) -> anyhow::Result<TcpStream> {
    let mut tcp = TcpStream::connect(to.peers).await?;
    let hello = Hello {
        protocol: PROTOCOL,
        address: "127.0.0.1:9".parse()?,
        boot: NEXT_BOOT.fetch_add(1, Ordering::Relaxed),
        purpose: Purpose::Calls,
    };
    write(&mut tcp, &hello).await?;
    let _: Hello = read(&mut tcp).await?;
    let begin = Frame::Begin {
        generation: 1,
        resumed: false,
    };
    write(&mut tcp, &begin).await?;
    Ok(tcp)
}

/// The frame that opens the first request, to `s`.
pub fn open_frame(idempotent: bool, length: u64) -> Frame {
    Frame::Open(Open {
        sequence: 1,
        remaining_ms: 5_000,
        wanted_ms: 1_000,
        latest_ms: 1_000,
        attempt: 0,
        depth: 0,
        idempotent,
        rank: 1,
        service: "s".to_owned(),
        version: "v1".to_owned(),
        method: "POST".to_owned(),
        path: "/s/".to_owned(),
        headers: Vec::new(),
        length,
    })
}

/// Fails if a target runs a request whose body isn't the caller's: chunks that overlap, leave a
/// gap, or don't add up to the announced four bytes.
#[rstest]
#[case::overlap(&[(0, "ab"), (1, "cd")])]
#[case::gap(&[(0, "ab"), (3, "cd")])]
#[case::repeated(&[(0, "ab"), (0, "ab")])]
#[case::too_long(&[(0, "abc"), (3, "de")])]
#[case::too_short(&[(0, "abc")])]
fn a_body_in_parts_that_do_not_fit_is_not_run(#[case] parts: &[(u64, &str)]) -> anyhow::Result<()> {
    smol::block_on(async {
        let store = FakePlatformStore::start()?;
        configure(&store, 1, &["s"]);
        let instance = Instance::start(store.address(), "s", "v1").await?;
        instance.wait_served("/s/").await?;
        let before = instance.backend.arrivals().len();
        let mut tcp = connect(&instance).await?;
        write(&mut tcp, &open_frame(false, 4)).await?;
        for (index, (offset, bytes)) in parts.iter().enumerate() {
            let chunk = Chunk {
                sequence: 1,
                offset: *offset,
                bytes: bytes.as_bytes().to_vec(),
                last: index + 1 == parts.len(),
            };
            write(&mut tcp, &Frame::Chunk(chunk)).await?;
        }
        match read(&mut tcp).await? {
            Frame::Refused(refused) => ensure!(refused.reason == Refusal::Incomplete),
            other => bail!("{other:?}"),
        }
        ensure!(instance.backend.arrivals().len() == before);
        Ok(())
    })
}

/// Fails if a node stops reading a peer's cancellations while the peer doesn't read the node's
/// replies.
#[test]
fn a_peer_that_reads_no_replies_can_cancel() -> anyhow::Result<()> {
    smol::block_on(async {
        let store = FakePlatformStore::start()?;
        configure(&store, 1, &["s"]);
        let instance = Instance::start(store.address(), "s", "v1").await?;
        instance.wait_served("/s/").await?;
        let before = instance.backend.arrivals().len();
        instance.backend.set_behavior(Behavior {
            delay: Duration::from_secs(4),
            ..Behavior::default()
        });
        let mut tcp = connect(&instance).await?;
        write(&mut tcp, &open_frame(true, 0)).await?;
        let body = Chunk {
            sequence: 1,
            offset: 0,
            bytes: Vec::new(),
            last: true,
        };
        write(&mut tcp, &Frame::Chunk(body)).await?;
        eventually("running", || async {
            instance.backend.arrivals().len() > before
        })
        .await?;
        for _ in 0..PINGS {
            let ping = Frame::Ping { token: u64::MAX };
            or(write(&mut tcp, &ping), async {
                Timer::after(WORK_LIMIT).await;
                Err(io::ErrorKind::TimedOut.into())
            })
            .await?;
        }
        write(&mut tcp, &Frame::Cancel { sequence: 1 }).await?;
        Timer::after(WORK_LIMIT).await;
        ensure!(instance.backend.aborted() == 1, "not aborted");
        Ok(())
    })
}
