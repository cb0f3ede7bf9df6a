//! A minimal HTTP/1.1 server; the injected faults need control over each byte and each connection.

use super::{PROGRESS_INTERVAL, Shared, api, data::in_range, lock};
use futures_lite::{AsyncBufReadExt, AsyncReadExt, AsyncWriteExt, FutureExt, io::BufReader};
use serde_json::{Value, json};
use smol::{
    Executor, Timer, channel,
    net::{TcpListener, TcpStream},
};
use std::{
    io,
    sync::{Arc, Mutex},
    time::Duration,
};

struct Request {
    path: String,
    body: Vec<u8>,
}

/// Accepts and serves connections; all of them end when this future is dropped.
pub async fn accept(listener: TcpListener, shared: Arc<Mutex<Shared>>) {
    let executor = Executor::new();
    let accepting = async {
        while let Ok((stream, _)) = listener.accept().await {
            stream.set_nodelay(true).ok();
            let shared = shared.clone();
            // The error of a connection affects only its client.
            executor
                .spawn(async move { serve_connection(stream, &shared).await.ok() })
                .detach();
        }
    };
    executor.run(accepting).await;
}

async fn serve_connection(stream: TcpStream, shared: &Mutex<Shared>) -> io::Result<()> {
    let mut stream = BufReader::new(stream);
    while let Some(request) = read_request(&mut stream).await? {
        let body = serde_json::from_slice(&request.body).unwrap_or(Value::Null);
        match request.path.as_str() {
            "/counts" => {
                let counts = json!(lock(shared).counts());
                respond(&mut stream, 200, &counts).await?;
            }
            "/faults" => match serde_json::from_value(body) {
                Ok(faults) => {
                    lock(shared).set_faults(faults);
                    respond(&mut stream, 200, &json!({})).await?;
                }
                Err(err) => respond(&mut stream, 400, &json!({"error": err.to_string()})).await?,
            },
            path => {
                if !serve_call(&mut stream, shared, path, &body).await? {
                    return Ok(());
                }
            }
        }
    }
    Ok(())
}

/// Serves one call; returns whether the connection stays open.
async fn serve_call(
    stream: &mut BufReader<TcpStream>,
    shared: &Mutex<Shared>,
    path: &str,
    body: &Value,
) -> io::Result<bool> {
    let delay = Duration::from_millis(lock(shared).faults.delay_ms);
    if !delay.is_zero() {
        Timer::after(delay).await;
    }
    if lock(shared).faults.down {
        return Ok(false);
    }
    if path == "/v3/watch" {
        serve_watch(stream, shared, &body["create_request"]).await?;
        return Ok(false);
    }
    let (result, lose_reply) = {
        let mut shared = lock(shared);
        shared.expire();
        let result = api::handle(&mut shared, path, body);
        let lose_reply = matches!(result, Ok((_, true))) && shared.faults.lose_reply > 0;
        if lose_reply {
            shared.faults.lose_reply -= 1;
        }
        (result, lose_reply)
    };
    if lose_reply {
        return Ok(false);
    }
    match result {
        Ok((json, _)) => respond(stream, 200, &json).await?,
        Err(error) => {
            let json = json!({"error": error.message, "message": error.message});
            respond(stream, error.status, &json).await?;
        }
    }
    Ok(true)
}

/// Reads a request; `None` at the end of the connection.
async fn read_request(stream: &mut BufReader<TcpStream>) -> io::Result<Option<Request>> {
    let mut line = String::new();
    if stream.read_line(&mut line).await? == 0 {
        return Ok(None);
    }
    let path = line.split(' ').nth(1).unwrap_or("/").to_owned();
    let (mut length, mut expects_continue) = (0, false);
    loop {
        line.clear();
        if stream.read_line(&mut line).await? == 0 || line.trim().is_empty() {
            break;
        }
        let (name, value) = line.split_once(':').unwrap_or_default();
        match name.to_ascii_lowercase().as_str() {
            "content-length" => length = value.trim().parse().map_err(io::Error::other)?,
            "expect" => expects_continue = true,
            _ => {}
        }
    }
    if expects_continue {
        stream
            .get_mut()
            .write_all(b"HTTP/1.1 100 Continue\r\n\r\n")
            .await?;
    }
    let mut body = vec![0; length];
    stream.read_exact(&mut body).await?;
    Ok(Some(Request { path, body }))
}

async fn respond(stream: &mut BufReader<TcpStream>, status: u16, json: &Value) -> io::Result<()> {
    let body = json.to_string();
    let head = format!(
        "HTTP/1.1 {status} Status\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n",
        body.len()
    );
    stream
        .get_mut()
        .write_all((head + body.as_str()).as_bytes())
        .await
}

/// Writes one message of a watch as a chunk of the body.
async fn write_chunk(stream: &mut BufReader<TcpStream>, result: &Value) -> io::Result<()> {
    let line = format!("{}\n", json!({"result": result}));
    let framed = format!("{:x}\r\n{line}\r\n", line.len());
    stream.get_mut().write_all(framed.as_bytes()).await
}

/// Removes the watch with this id from the open ones when it is dropped.
struct OpenWatch<'a>(&'a Mutex<Shared>, u64);

impl Drop for OpenWatch<'_> {
    fn drop(&mut self) {
        lock(self.0).watches.retain(|(id, _)| *id != self.1);
    }
}

/// Serves a watch until it is canceled, the client leaves, or the store is set to be down.
async fn serve_watch(
    stream: &mut BufReader<TcpStream>,
    shared: &Mutex<Shared>,
    body: &Value,
) -> io::Result<()> {
    let (wake_sender, wake_receiver) = channel::bounded(1);
    let (start, end) = (
        api::decode_bytes(&body["key"]),
        api::decode_bytes(&body["range_end"]),
    );
    let progress = body["progress_notify"].as_bool().unwrap_or(false);
    let (open_watch, mut next, revision, compacted) = {
        let mut state = lock(shared);
        state.count("watch");
        let id = state.next_watch;
        state.next_watch += 1;
        state.watches.push((id, wake_sender));
        let next = match api::parse_int(&body["start_revision"]) {
            0 => state.data.revision + 1,
            from => from,
        };
        (
            OpenWatch(shared, id),
            next,
            state.data.revision,
            state.data.compacted,
        )
    };
    let head =
        b"HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nTransfer-Encoding: chunked\r\n\r\n";
    stream.get_mut().write_all(head).await?;
    write_chunk(
        stream,
        &json!({"header": api::header(revision), "created": true}),
    )
    .await?;
    if next <= compacted {
        let canceled = json!({"header": api::header(revision), "canceled": true,
            "compact_revision": (compacted + 1).to_string()});
        return write_chunk(stream, &canceled).await;
    }
    let mut read_buffer = [0; 1];
    loop {
        let (events, revision, down, stalled) =
            pending_events(shared, open_watch.1, &start, &end, next);
        if down {
            return Ok(());
        }
        if !stalled && !events.is_empty() {
            write_chunk(
                stream,
                &json!({"header": api::header(revision), "events": events}),
            )
            .await?;
        }
        next = next.max(revision + 1);
        let tick = async {
            Timer::after(PROGRESS_INTERVAL).await;
            Ok(true)
        };
        let event = async {
            wake_receiver
                .recv()
                .await
                .map(|()| false)
                .map_err(io::Error::other)
        };
        // A client sends nothing on an open watch, so that any result of the read means it has left.
        let disconnect = async {
            stream.read(&mut read_buffer).await?;
            Err(io::ErrorKind::ConnectionAborted.into())
        };
        let ticked = event.or(tick).or(disconnect).await?;
        if ticked && progress && !stalled {
            // Reports progress up to the last revision that was read, not up to changes made since.
            write_chunk(stream, &json!({"header": api::header(next - 1)})).await?;
        }
    }
}

/// The events of a range from revision `next`, the current revision, whether the store is down, and
/// whether the watch is stalled.
fn pending_events(
    shared: &Mutex<Shared>,
    id: u64,
    start: &[u8],
    end: &[u8],
    next: u64,
) -> (Vec<Value>, u64, bool, bool) {
    let shared = lock(shared);
    let data = &shared.data;
    let first = data
        .history
        .partition_point(|change| change.pair.modified < next);
    let events = data.history[first..]
        .iter()
        .filter(|change| in_range(&change.pair.key, start, end))
        .map(|change| match change.delete {
            true => json!({"type": "DELETE", "kv": api::pair_json(&change.pair)}),
            false => json!({"kv": api::pair_json(&change.pair)}),
        })
        .collect();
    (
        events,
        data.revision,
        shared.faults.down,
        id < shared.stalled_below,
    )
}
