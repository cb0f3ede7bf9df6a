//! Nodes that pass on broken answers, as one of an earlier build may: what they send reaches no caller as an
//! answer.

use crate::support::{Instance, configure, eventually};
use anyhow::ensure;
use fulmarreel_node::peer::stream::{read, write};
use fulmarreel_testing::kv::FakePlatformStore;
use fulmarreel_wire::{
    Hello, PROTOCOL, Purpose,
    call::{Chunk, Frame, Head, Header},
};
use rstest::rstest;
use smol::net::{TcpListener, TcpStream};
use socket2::SockRef;
use std::{
    io,
    net::SocketAddr,
    sync::{Arc, Mutex},
    time::Duration,
};

/// The body of the answers.
const BODY: &[u8] = b"what the target said";

/// What the peer answers a request with.
#[derive(Debug, Clone)]
struct Reply {
    status: u16,
    name: &'static str,
    value: &'static [u8],
    /// Offsets and lengths of the body's chunks.
    chunks: &'static [(usize, usize)],
    /// How the connection ends after the answer.
    end: End,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum End {
    /// Not at all.
    Open,
    Close,
    Reset,
}

impl Reply {
    const SOUND: Self = Self {
        status: 200,
        name: "x-own",
        value: b"y",
        chunks: &[(0, BODY.len())],
        end: End::Open,
    };
}

/// Starts a peer whose target is of the service `s`; it answers each request with the current reply.
async fn start_peer(
    store: &FakePlatformStore,
    reply: Arc<Mutex<Reply>>,
) -> anyhow::Result<SocketAddr> {
    let listener = TcpListener::bind("127.0.0.1:0").await?;
    let address = listener.local_addr()?;
    smol::spawn(async move {
        while let Ok((tcp, _)) = listener.accept().await {
            let reply = Arc::clone(&reply);
            smol::spawn(async move { serve(tcp, address, &reply).await.ok() }).detach();
        }
    })
    .detach();
    let entry = format!(
        "{{\"address\":\"{address}\",\"zone\":\"a\",\"region\":\"r\",\"target\":{{\"id\":\"peer\",\
        \"service\":\"s\",\"version\":\"v1\",\"slots\":4}}}}"
    );
    store.put("fulmarreel/nodes/peer", entry.as_bytes());
    Ok(address)
}

async fn serve(mut tcp: TcpStream, address: SocketAddr, reply: &Mutex<Reply>) -> io::Result<()> {
    let hello: Hello = read(&mut tcp).await?;
    if hello.purpose != Purpose::Calls {
        return Ok(());
    }
    let greeting = Hello {
        protocol: PROTOCOL,
        address,
        boot: 1,
        purpose: Purpose::Calls,
    };
    write(&mut tcp, &greeting).await?;
    loop {
        match read(&mut tcp).await? {
            Frame::Open(open) => {
                let reply = reply.lock().expect("no holder panics").clone();
                if !send(&mut tcp, open.sequence, &reply).await? {
                    return Ok(());
                }
            }
            Frame::Ping { token } => write(&mut tcp, &Frame::Pong { token }).await?,
            _ => {}
        }
    }
}

/// Sends a reply; returns whether the connection stays open.
async fn send(tcp: &mut TcpStream, sequence: u64, reply: &Reply) -> io::Result<bool> {
    let head = Head {
        sequence,
        status: reply.status,
        headers: vec![Header {
            name: reply.name.to_owned(),
            value: reply.value.to_vec(),
        }],
        length: Some(BODY.len() as u64),
        target_micros: 1,
        in_flight: 0,
        slots: 4,
    };
    write(tcp, &Frame::Head(head)).await?;
    for (offset, length) in reply.chunks {
        let chunk = Chunk {
            sequence,
            offset: *offset as u64,
            bytes: BODY[*offset..offset + length].to_vec(),
            last: offset + length == BODY.len(),
        };
        write(tcp, &Frame::Chunk(chunk)).await?;
    }
    if reply.end == End::Reset {
        SockRef::from(&*tcp).set_linger(Some(Duration::ZERO))?;
    }
    Ok(reply.end == End::Open)
}

/// Fails if an answer that another node passed on reaches the caller though it is none, or not whole.
#[rstest]
#[case::status_000(Reply { status: 0, ..Reply::SOUND })]
#[case::status_099(Reply { status: 99, ..Reply::SOUND })]
#[case::interim(Reply { status: 101, ..Reply::SOUND })]
#[case::status_600(Reply { status: 600, ..Reply::SOUND })]
#[case::status_of_four_digits(Reply { status: 2_000, ..Reply::SOUND })]
#[case::no_name(Reply { name: "", ..Reply::SOUND })]
#[case::blank_in_a_name(Reply { name: "x y", ..Reply::SOUND })]
#[case::control_byte_in_a_name(Reply { name: "x\x01y", ..Reply::SOUND })]
#[case::line_end_in_a_name(Reply { name: "x: y\r\nz", ..Reply::SOUND })]
#[case::control_byte_in_a_value(Reply { value: b"\x01", ..Reply::SOUND })]
#[case::line_end_in_a_value(Reply { value: b"y\r\nContent-Length: 1", ..Reply::SOUND })]
#[case::gap(Reply { chunks: &[(0, 4), (8, 12)], ..Reply::SOUND })]
#[case::part_and_close(Reply { chunks: &[(0, 4)], end: End::Close, ..Reply::SOUND })]
#[case::part_and_reset(Reply { chunks: &[(0, 4)], end: End::Reset, ..Reply::SOUND })]
fn a_broken_answer_of_a_peer_reaches_no_caller(
    #[case] broken: Reply,
    #[values("/s/", "/s-do/")] path: &str,
) -> anyhow::Result<()> {
    smol::block_on(async {
        let store = FakePlatformStore::start()?;
        configure(&store, 1, &["s", "own"]);
        let caller = Instance::start(store.address(), "own", "v1").await?;
        caller.wait_ready().await?;
        let reply = Arc::new(Mutex::new(Reply::SOUND));
        start_peer(&store, Arc::clone(&reply)).await?;
        eventually("served", || async {
            let answer = caller.request("GET", path, "warm").await;
            answer.is_ok_and(|answer| answer.status == 200 && answer.text.contains("x-own: y"))
        })
        .await?;
        *reply.lock().expect("no holder panics") = broken;
        let answer = caller.request("GET", path, "r-1").await?;
        ensure!(matches!(answer.status, 502 | 504), "{}", answer.text);
        let body = String::from_utf8_lossy(BODY);
        ensure!(!answer.text.contains(&*body), "{}", answer.text);
        Ok(())
    })
}
