//! One call over a connection to the node in front of its target.

use crate::{
    peer::{Connection, Event, Pool},
    state::State,
};
use fulmarreel_wire::call::{Chunk, Frame, Head, Header, MAX_CHUNK_BYTES, Open};
use smol::{channel::Receiver, future::or};
use std::{net::SocketAddr, time::Duration};

/// A request that was routed.
#[derive(Debug)]
pub(super) struct Request<'a> {
    pub sequence: u64,
    pub service: &'a str,
    pub version: &'a str,
    pub idempotent: bool,
    pub timeout: Duration,
    pub method: &'a str,
    pub path: &'a str,
    pub headers: Vec<Header>,
    pub body: Vec<u8>,
}

/// What became of a call.
#[derive(Debug)]
pub(super) enum Answer {
    /// The target answered, and the whole answer is here.
    Whole { head: Head, body: Vec<u8> },
    /// It was not run, and never will be.
    NotRun,
    /// It may have run.
    Unknown,
}

/// Sends a request to a peer and waits for its answer until the deadline.
pub(super) async fn forward(
    pool: &Pool,
    state: &State,
    peer: SocketAddr,
    request: Request<'_>,
) -> Answer {
    let own = state.settings.advertise;
    let connection = match pool.get(peer, own, state.boot).await {
        Ok(connection) => connection,
        Err(error) => {
            log::info!("connect to {peer}: {error}");
            return Answer::NotRun;
        }
    };
    let sequence = request.sequence;
    let deadline = smol::Timer::after(request.timeout);
    let events = connection.register(sequence);
    let answer = or(exchange(&connection, &events, request), async {
        deadline.await;
        Answer::Unknown
    })
    .await;
    connection.forget(sequence);
    answer
}

async fn exchange(
    connection: &Connection,
    events: &Receiver<Event>,
    request: Request<'_>,
) -> Answer {
    if !send(connection, request).await {
        return Answer::Unknown;
    }
    let mut answer: Option<(Head, Vec<u8>)> = None;
    while let Ok(event) = events.recv().await {
        match (event, &mut answer) {
            (Event::Refused(_), _) => return Answer::NotRun,
            (Event::Failed(_), _) => return Answer::Unknown,
            (Event::Head(head), _) => answer = Some((head, Vec::new())),
            (Event::Chunk(chunk), Some((head, body))) => {
                if chunk.offset != body.len() as u64 {
                    return Answer::Unknown;
                }
                body.extend_from_slice(&chunk.bytes);
                if chunk.last {
                    return whole(head.clone(), std::mem::take(body));
                }
            }
            (Event::Chunk(_), None) => return Answer::Unknown,
        }
    }
    Answer::Unknown
}

fn whole(head: Head, body: Vec<u8>) -> Answer {
    if head
        .length
        .is_some_and(|length| length != body.len() as u64)
    {
        return Answer::Unknown;
    }
    Answer::Whole { head, body }
}

async fn send(connection: &Connection, request: Request<'_>) -> bool {
    let sequence = request.sequence;
    let open = Frame::Open(Open {
        sequence,
        remaining_ms: request.timeout.as_millis() as u32,
        attempt: 0,
        depth: 0,
        idempotent: request.idempotent,
        service: request.service.to_owned(),
        version: request.version.to_owned(),
        method: request.method.to_owned(),
        path: request.path.to_owned(),
        headers: request.headers,
        length: request.body.len() as u64,
    });
    if !connection.send(open).await {
        return false;
    }
    for chunk in chunks(sequence, &request.body) {
        if !connection.send(Frame::Chunk(chunk)).await {
            return false;
        }
    }
    true
}

fn chunks(sequence: u64, body: &[u8]) -> impl Iterator<Item = Chunk> {
    let total = body.len();
    let starts = (0..total.max(1)).step_by(MAX_CHUNK_BYTES);
    starts.map(move |start| {
        let end = (start + MAX_CHUNK_BYTES).min(total);
        Chunk {
            sequence,
            offset: start as u64,
            bytes: body[start..end].to_vec(),
            last: end == total,
        }
    })
}
