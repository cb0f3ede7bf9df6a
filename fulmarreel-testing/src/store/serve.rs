//! HTTP/1.1 by hand on `smol`: faults need the control of each byte and each connection.

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

/// Accepts for as long as it is polled; its connections end with it.
pub async fn accept(listener: TcpListener, shared: Arc<Mutex<Shared>>) {
    let executor = Executor::new();
    let accepting = async {
        while let Ok((stream, _)) = listener.accept().await {
            stream.set_nodelay(true).ok();
            let shared = shared.clone();
            // A failed connection concerns its client alone.
            executor
                .spawn(async move { connection(stream, &shared).await.ok() })
                .detach();
        }
    };
    executor.run(accepting).await;
}

async fn connection(stream: TcpStream, shared: &Mutex<Shared>) -> io::Result<()> {
    let mut stream = BufReader::new(stream);
    while let Some(request) = read(&mut stream).await? {
        let body = serde_json::from_slice(&request.body).unwrap_or(Value::Null);
        match request.path.as_str() {
            "/counts" => {
                let counts = json!(lock(shared).counts());
                answer(&mut stream, 200, &counts).await?;
            }
            "/faults" => match serde_json::from_value(body) {
                Ok(faults) => {
                    lock(shared).set_faults(faults);
                    answer(&mut stream, 200, &json!({})).await?;
                }
                Err(err) => answer(&mut stream, 400, &json!({"error": err.to_string()})).await?,
            },
            path => {
                if !gateway(&mut stream, shared, path, &body).await? {
                    return Ok(());
                }
            }
        }
    }
    Ok(())
}

/// Serves one call; false closes the connection.
async fn gateway(
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
        watch(stream, shared, &body["create_request"]).await?;
        return Ok(false);
    }
    let (result, lost) = {
        let mut shared = lock(shared);
        shared.expire();
        let result = api::call(&mut shared, path, body);
        let lost = matches!(result, Ok((_, true))) && shared.faults.lose_reply > 0;
        if lost {
            shared.faults.lose_reply -= 1;
        }
        (result, lost)
    };
    if lost {
        return Ok(false);
    }
    match result {
        Ok((json, _)) => answer(stream, 200, &json).await?,
        Err(refusal) => {
            let json = json!({"error": refusal.message, "message": refusal.message});
            answer(stream, refusal.status, &json).await?;
        }
    }
    Ok(true)
}

async fn read(stream: &mut BufReader<TcpStream>) -> io::Result<Option<Request>> {
    let mut line = String::new();
    if stream.read_line(&mut line).await? == 0 {
        return Ok(None);
    }
    let path = line.split(' ').nth(1).unwrap_or("/").to_owned();
    let (mut length, mut expects) = (0, false);
    loop {
        line.clear();
        if stream.read_line(&mut line).await? == 0 || line.trim().is_empty() {
            break;
        }
        let (name, value) = line.split_once(':').unwrap_or_default();
        match name.to_ascii_lowercase().as_str() {
            "content-length" => length = value.trim().parse().map_err(io::Error::other)?,
            "expect" => expects = true,
            _ => {}
        }
    }
    if expects {
        stream
            .get_mut()
            .write_all(b"HTTP/1.1 100 Continue\r\n\r\n")
            .await?;
    }
    let mut body = vec![0; length];
    stream.read_exact(&mut body).await?;
    Ok(Some(Request { path, body }))
}

async fn answer(stream: &mut BufReader<TcpStream>, status: u16, json: &Value) -> io::Result<()> {
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

async fn chunk(stream: &mut BufReader<TcpStream>, result: &Value) -> io::Result<()> {
    let line = format!("{}\n", json!({"result": result}));
    let framed = format!("{:x}\r\n{line}\r\n", line.len());
    stream.get_mut().write_all(framed.as_bytes()).await
}

/// Takes the watch off the list of open ones when its connection ends in any way.
struct Open<'a>(&'a Mutex<Shared>, u64);

impl Drop for Open<'_> {
    fn drop(&mut self) {
        lock(self.0).watches.retain(|(id, _)| *id != self.1);
    }
}

async fn watch(
    stream: &mut BufReader<TcpStream>,
    shared: &Mutex<Shared>,
    body: &Value,
) -> io::Result<()> {
    let (wake, woken) = channel::bounded(1);
    let (start, end) = (api::bytes(&body["key"]), api::bytes(&body["range_end"]));
    let progress = body["progress_notify"].as_bool().unwrap_or(false);
    let (open, mut next, revision, compacted) = {
        let mut held = lock(shared);
        held.count("watch");
        let id = held.next_watch;
        held.next_watch += 1;
        held.watches.push((id, wake));
        let next = match api::int(&body["start_revision"]) {
            0 => held.data.revision + 1,
            from => from,
        };
        (
            Open(shared, id),
            next,
            held.data.revision,
            held.data.compacted,
        )
    };
    let head =
        b"HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nTransfer-Encoding: chunked\r\n\r\n";
    stream.get_mut().write_all(head).await?;
    chunk(
        stream,
        &json!({"header": api::header(revision), "created": true}),
    )
    .await?;
    if next <= compacted {
        let canceled = json!({"header": api::header(revision), "canceled": true,
            "compact_revision": (compacted + 1).to_string()});
        return chunk(stream, &canceled).await;
    }
    let mut closed = [0; 1];
    loop {
        let (events, revision, down, stalled) = pending(shared, open.1, &start, &end, next);
        if down {
            return Ok(());
        }
        if !stalled && !events.is_empty() {
            chunk(
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
        let event = async { woken.recv().await.map(|()| false).map_err(io::Error::other) };
        // A client says nothing on an open watch: any end of reading is its leaving.
        let gone = async {
            stream.read(&mut closed).await?;
            Err(io::ErrorKind::ConnectionAborted.into())
        };
        let ticked = event.or(tick).or(gone).await?;
        if ticked && progress && !stalled {
            // Only what was looked at is vouched for, not what came since.
            chunk(stream, &json!({"header": api::header(next - 1)})).await?;
        }
    }
}

fn pending(
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
            true => json!({"type": "DELETE", "kv": api::pair(&change.pair)}),
            false => json!({"kv": api::pair(&change.pair)}),
        })
        .collect();
    (
        events,
        data.revision,
        shared.faults.down,
        id < shared.stalled_below,
    )
}
