//! Frames of a peer that are not what they should be.

use crate::support::{Instance, configure};
use anyhow::{bail, ensure};
use fulmarreel_node::peer::stream::{read, write};
use fulmarreel_testing::kv::Stand;
use fulmarreel_wire::{
    Hello, PROTOCOL, Purpose,
    call::{Chunk, Frame, Open, Refusal},
};
use rstest::rstest;
use smol::net::TcpStream;

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
        let mut tcp = TcpStream::connect(one.peers).await?;
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
        let open = Open {
            sequence: 1,
            remaining_ms: 2_000,
            wanted_ms: 1_000,
            latest_ms: 1_000,
            attempt: 0,
            depth: 0,
            idempotent: false,
            rank: 1,
            service: "s".to_owned(),
            version: "v1".to_owned(),
            method: "POST".to_owned(),
            path: "/s-do/".to_owned(),
            headers: Vec::new(),
            length: 4,
        };
        write(&mut tcp, &Frame::Open(open)).await?;
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
