//! A stand-in of a target: answers calls, counts executions and announces itself to its node.

use futures_lite::{AsyncRead, io::Cursor};
use serde::{Deserialize, Serialize};
use smol::Timer;
use std::{
    collections::BTreeMap,
    fs::File,
    io::{self, Write},
    net::SocketAddr,
    path::{Path, PathBuf},
    pin::Pin,
    sync::{Arc, Mutex},
    task::{Context, Poll},
    time::Duration,
};
use trillium::{Body, Conn, Method, Status};

/// Names a call for the count of executions.
pub const CALL_HEADER: &str = "x-call-name";

/// Time between two announcements.
const ANNOUNCE_INTERVAL: Duration = Duration::from_millis(500);

/// What the stand-in is told to be.
#[derive(Debug, Clone)]
pub struct Options {
    /// Where it accepts calls.
    pub listen: SocketAddr,
    /// Where its node accepts announcements.
    pub node: Option<SocketAddr>,
    /// Its service.
    pub service: String,
    /// Its version.
    pub version: String,
    /// Calls that it runs at once.
    pub slots: u16,
    /// Where the name of each call is noted when it is executed.
    pub executions: Option<PathBuf>,
}

/// Faults, changed while it runs by `POST /control`.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Control {
    /// Every answer waits that long.
    pub delay_ms: u64,
    /// One answer in that many is a 500; 0 for none.
    pub error_every: u64,
    /// It says that it is leaving.
    pub leaving: bool,
    /// Answers break off in the middle.
    pub cut: bool,
}

/// How often each named call ran.
#[derive(Debug, Default)]
struct Executions {
    by_name: BTreeMap<String, u64>,
    total: u64,
    running: u64,
    peak: u64,
    /// Calls whose connection was closed while they ran.
    broken_off: u64,
    file: Option<File>,
}

/// The running stand-in.
#[derive(Debug)]
struct Stand {
    options: Options,
    control: Mutex<Control>,
    executions: Mutex<Executions>,
}

/// Runs the stand-in until the process ends.
pub async fn run(options: Options) {
    let server = trillium_smol::config()
        .with_socketaddr(options.listen)
        .with_nodelay()
        .without_signals();
    let executions = Executions {
        file: options.executions.as_deref().and_then(append),
        ..Executions::default()
    };
    let stand = Arc::new(Stand {
        options,
        control: Mutex::default(),
        executions: Mutex::new(executions),
    });
    let announcing = Arc::clone(&stand);
    smol::spawn(async move { announce(&announcing).await }).detach();
    server
        .run_async(move |conn: Conn| {
            let stand = Arc::clone(&stand);
            async move { handle(&stand, conn).await }
        })
        .await;
}

async fn handle(stand: &Stand, mut conn: Conn) -> Conn {
    match (conn.method(), conn.path()) {
        (Method::Get, "/executions") => {
            let executions = stand.executions.lock().expect("executions lock");
            let body = serde_json::to_vec(&executions.by_name).unwrap_or_default();
            drop(executions);
            conn.ok(body)
        }
        (Method::Get, "/peak") => {
            let peak = stand.executions.lock().expect("executions lock").peak;
            conn.ok(peak.to_string())
        }
        (Method::Get, "/broken-off") => {
            let broken_off = stand.executions.lock().expect("executions lock").broken_off;
            conn.ok(broken_off.to_string())
        }
        (Method::Post, "/control") => {
            let body = conn.request_body().read_bytes().await.unwrap_or_default();
            match serde_json::from_slice(&body) {
                Ok(control) => *stand.control.lock().expect("control lock") = control,
                Err(error) => {
                    return conn
                        .with_status(Status::BadRequest)
                        .with_body(error.to_string());
                }
            }
            conn.ok("")
        }
        _ => execute(stand, conn).await,
    }
}

async fn execute(stand: &Stand, mut conn: Conn) -> Conn {
    let Ok(body) = conn
        .request_body()
        .with_max_len(u64::MAX)
        .read_bytes()
        .await
    else {
        return conn.with_status(Status::BadRequest);
    };
    let control = stand.control.lock().expect("control lock").clone();
    let name = conn
        .request_headers()
        .get_str(CALL_HEADER)
        .map(str::to_owned);
    let number = stand.count(name.as_deref());
    let running = Running(stand);
    if control.delay_ms > 0 {
        let work = Timer::after(Duration::from_millis(control.delay_ms));
        if conn.cancel_on_disconnect(work).await.is_none() {
            let mut executions = stand.executions.lock().expect("executions lock");
            executions.broken_off += 1;
            drop(executions);
            drop(running);
            return conn.halt();
        }
    }
    drop(running);
    let mut conn = conn.with_response_header("x-version", stand.options.version.clone());
    if control.error_every > 0 && number.is_multiple_of(control.error_every) {
        return conn
            .with_status(Status::InternalServerError)
            .with_body("fault");
    }
    if let Some(name) = name {
        conn.response_headers_mut().insert(CALL_HEADER, name);
    }
    if control.cut {
        let length = body.len() as u64;
        let half = body[..body.len() / 2].to_vec();
        return conn.ok(Body::new_streaming(Cut(Cursor::new(half)), Some(length)));
    }
    conn.ok(body)
}

/// A call that is counted as running until dropped.
struct Running<'a>(&'a Stand);

impl Drop for Running<'_> {
    fn drop(&mut self) {
        let mut executions = self.0.executions.lock().expect("executions lock");
        executions.running -= 1;
    }
}

/// A body that fails where it should go on.
struct Cut(Cursor<Vec<u8>>);

impl AsyncRead for Cut {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut [u8],
    ) -> Poll<io::Result<usize>> {
        match Pin::new(&mut self.0).poll_read(context, buffer) {
            Poll::Ready(Ok(0)) => Poll::Ready(Err(io::ErrorKind::ConnectionAborted.into())),
            other => other,
        }
    }
}

fn append(path: &Path) -> Option<File> {
    let file = File::options().create(true).append(true).open(path);
    file.map_err(|error| log::error!("{}: {error}", path.display()))
        .ok()
}

impl Stand {
    fn count(&self, name: Option<&str>) -> u64 {
        let mut executions = self.executions.lock().expect("executions lock");
        executions.total += 1;
        executions.running += 1;
        executions.peak = executions.peak.max(executions.running);
        if let Some(name) = name {
            if let Some(file) = &mut executions.file {
                // One write, so that a kill leaves no partial line.
                file.write_all(format!("{name}\n").as_bytes())
                    .expect("note an execution");
            }
            *executions.by_name.entry(name.to_owned()).or_default() += 1;
        }
        executions.total
    }
}

async fn announce(stand: &Stand) {
    let Some(node) = stand.options.node else {
        return;
    };
    let client = trillium_client::Client::new(trillium_smol::ClientConfig::default());
    loop {
        let leaving = stand.control.lock().expect("control lock").leaving;
        let announcement = serde_json::json!({
            "service": stand.options.service,
            "version": stand.options.version,
            "slots": stand.options.slots,
            "leaving": leaving,
        });
        let url = format!("http://{node}/announce");
        let sent = client.post(url).with_body(announcement.to_string()).await;
        if let Err(error) = sent {
            log::debug!("announce to {node}: {error}");
        }
        Timer::after(ANNOUNCE_INTERVAL).await;
    }
}
