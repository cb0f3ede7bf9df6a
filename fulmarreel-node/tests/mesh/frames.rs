//! Frames of a peer that are not what they should be.

use crate::{
    backend::Manner,
    support::{Instance, configure, eventually},
};
use anyhow::{bail, ensure};
use fulmarreel_node::peer::stream::{read, write};
use fulmarreel_testing::kv::Stand;
use fulmarreel_wire::{
    Hello, PROTOCOL, Purpose,
    call::{Chunk, Frame, Open, Refusal},
};
use rstest::rstest;
use smol::{Timer, future::or, net::TcpStream};
use std::{io, time::Duration};

/// Time after a cancellation within which work may go on (GONE).
const WORK_LIMIT: Duration = Duration::from_millis(500);

/// Questions whose answers fill the buffers of a connection.
const PINGS: usize = 500_000;

/// Connects as a node does.
async fn connect(to: &Instance) -> anyhow::Result<TcpStream> {
    let mut tcp = TcpStream::connect(to.peers).await?;
    let hello = Hello {
        protocol: PROTOCOL,
        address: "127.0.0.1:9".parse()?,
        boot: 1,
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

/// Opens the first request, to `s`.
fn open(idempotent: bool, length: u64) -> Frame {
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

/// Fails if a target runs a request with another body than its caller's: parts that overlap or leave
/// a gap, each of which adds up to the announced four bytes.
#[rstest]
#[case::overlap(&[(0, "ab"), (1, "cd")])]
#[case::gap(&[(0, "ab"), (3, "cd")])]
#[case::repeated(&[(0, "ab"), (0, "ab")])]
#[case::too_long(&[(0, "abc"), (3, "de")])]
#[case::too_short(&[(0, "abc")])]
fn a_body_in_parts_that_do_not_fit_is_not_run(#[case] parts: &[(u64, &str)]) -> anyhow::Result<()> {
    smol::block_on(async {
        let stand = Stand::start()?;
        configure(&stand, 1, &["s"]);
        let one = Instance::start(stand.address(), "s", "v1").await?;
        one.wait_served("/s/").await?;
        let before = one.backend.arrivals().len();
        let mut tcp = connect(&one).await?;
        write(&mut tcp, &open(false, 4)).await?;
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
        ensure!(one.backend.arrivals().len() == before);
        Ok(())
    })
}

/// What has to be told to a peer that takes nothing must not keep its cancellations from being read.
#[test]
fn a_peer_that_takes_no_answers_can_cancel() -> anyhow::Result<()> {
    smol::block_on(async {
        let stand = Stand::start()?;
        configure(&stand, 1, &["s"]);
        let one = Instance::start(stand.address(), "s", "v1").await?;
        one.wait_served("/s/").await?;
        let before = one.backend.arrivals().len();
        one.backend.set_manner(Manner {
            delay: Duration::from_secs(4),
            ..Manner::default()
        });
        let mut tcp = connect(&one).await?;
        write(&mut tcp, &open(true, 0)).await?;
        let body = Chunk {
            sequence: 1,
            offset: 0,
            bytes: Vec::new(),
            last: true,
        };
        write(&mut tcp, &Frame::Chunk(body)).await?;
        eventually("running", || async {
            one.backend.arrivals().len() > before
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
        ensure!(one.backend.broken_off() == 1, "not broken off");
        Ok(())
    })
}
