//! Calls from peers, handed over to the node's own target.

use crate::{peer::stream, state::State, sync, target::Client};
use fulmarreel_wire::{
    Hello, PROTOCOL, Purpose,
    call::{Chunk, Failed, Failure, Frame, MAX_CHUNK_BYTES, Open, Refusal, Refused},
};
use smol::{
    channel::{Receiver, Sender, bounded},
    net::{TcpListener, TcpStream},
    stream::StreamExt,
};
use std::{collections::HashMap, io, sync::Arc};

/// Frames that may wait to be written before their senders wait.
const QUEUED_FRAMES: usize = 256;

/// Accepts peers until the process ends.
///
/// # Errors
///
/// The address cannot be bound.
pub async fn run(state: Arc<State>, client: Arc<Client>) -> io::Result<()> {
    let listener = TcpListener::bind(state.settings.peers).await?;
    let mut incoming = listener.incoming();
    while let Some(accepted) = incoming.next().await {
        let (state, client) = (Arc::clone(&state), Arc::clone(&client));
        match accepted {
            Ok(tcp) => crate::runtime::spawn(async move {
                if let Err(error) = connection(&state, &client, tcp).await {
                    log::debug!("peer connection: {error}");
                }
            }),
            Err(error) => log::warn!("accept: {error}"),
        }
    }
    Ok(())
}

async fn connection(
    state: &Arc<State>,
    client: &Arc<Client>,
    mut tcp: TcpStream,
) -> io::Result<()> {
    tcp.set_nodelay(true)?;
    let hello: Hello = stream::read(&mut tcp).await?;
    if hello.protocol != PROTOCOL {
        log::warn!("peer {}: refused {hello:?}", hello.address);
        return Ok(());
    }
    if hello.purpose == Purpose::Sync {
        return sync::accept(state, tcp, &hello).await;
    }
    let (outgoing, frames) = bounded(QUEUED_FRAMES);
    let writing = tcp.clone();
    crate::runtime::spawn(async move { write_frames(writing, &frames).await });
    let mut arriving = HashMap::new();
    loop {
        match stream::read(&mut tcp).await? {
            Frame::Open(open) => {
                arriving.insert(open.sequence, (open, Vec::new()));
            }
            Frame::Chunk(chunk) => {
                let sequence = chunk.sequence;
                let last = chunk.last;
                append(&mut arriving, &chunk);
                if last && let Some((open, body)) = arriving.remove(&sequence) {
                    start(state, client, &outgoing, open, body);
                }
            }
            other => log::debug!("unexpected frame {other:?}"),
        }
    }
}

fn append(arriving: &mut HashMap<u64, (Open, Vec<u8>)>, chunk: &Chunk) {
    if let Some((_, body)) = arriving.get_mut(&chunk.sequence)
        && chunk.offset == body.len() as u64
    {
        body.extend_from_slice(&chunk.bytes);
    }
}

fn start(
    state: &Arc<State>,
    client: &Arc<Client>,
    outgoing: &Sender<Frame>,
    open: Open,
    body: Vec<u8>,
) {
    let (state, client, outgoing) = (Arc::clone(state), Arc::clone(client), outgoing.clone());
    crate::runtime::spawn(async move {
        for frame in serve(&state, &client, open, body).await {
            if outgoing.send(frame).await.is_err() {
                return;
            }
        }
    });
}

async fn serve(state: &State, client: &Client, open: Open, body: Vec<u8>) -> Vec<Frame> {
    let sequence = open.sequence;
    if body.len() as u64 != open.length {
        return refused(sequence, Refusal::Incomplete);
    }
    if !state.has_target(&open.service, &open.version) {
        return refused(sequence, Refusal::NoTarget);
    }
    match client.call(open, body).await {
        Ok((head, body)) => {
            let mut frames = vec![Frame::Head(head)];
            frames.extend(chunks(sequence, &body));
            frames
        }
        Err(error) => {
            log::info!("call {sequence}: {error}");
            let reason = Failure::TargetLost;
            vec![Frame::Failed(Failed { sequence, reason })]
        }
    }
}

fn refused(sequence: u64, reason: Refusal) -> Vec<Frame> {
    vec![Frame::Refused(Refused { sequence, reason })]
}

fn chunks(sequence: u64, body: &[u8]) -> impl Iterator<Item = Frame> {
    let total = body.len();
    let starts = (0..total.max(1)).step_by(MAX_CHUNK_BYTES);
    starts.map(move |start| {
        let end = (start + MAX_CHUNK_BYTES).min(total);
        Frame::Chunk(Chunk {
            sequence,
            offset: start as u64,
            bytes: body[start..end].to_vec(),
            last: end == total,
        })
    })
}

async fn write_frames(mut tcp: TcpStream, frames: &Receiver<Frame>) {
    while let Ok(frame) = frames.recv().await {
        if stream::write(&mut tcp, &frame).await.is_err() {
            break;
        }
    }
    frames.close();
}
