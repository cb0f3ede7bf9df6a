//! A fake target: it echoes calls, counts executions and announces itself to its node.

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

/// The request header with the call's name, under which executions are counted.
pub const CALL_HEADER: &str = "x-call-name";

/// Interval between announcements.
const ANNOUNCE_INTERVAL: Duration = Duration::from_millis(500);

/// The properties of a fake target.
#[derive(Debug, Clone)]
pub struct Options {
    /// The address that it listens on for calls.
    pub listen: SocketAddr,
    /// The admin address of its node, to which it announces itself; `None` for no announcements.
    pub node: Option<SocketAddr>,
    /// Its service.
    pub service: String,
    /// Its version.
    pub version: String,
    /// Number of concurrent calls that it announces to run; it does not enforce this.
    pub slots: u16,
    /// The file to which the name of each executed call is appended.
    pub executions: Option<PathBuf>,
}

/// Injected faults, replaced by `POST /control`; none by default.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Control {
    /// How long each call takes.
    pub delay_ms: u64,
    /// Every n-th answer is a 500; 0 for none.
    pub error_every: u64,
    /// Whether its announcements say that it is leaving.
    pub leaving: bool,
    /// Truncates each answer in the middle of its body.
    pub cut: bool,
}

/// Counts of the calls that were executed.
#[derive(Debug, Default)]
struct Executions {
    by_name: BTreeMap<String, u64>,
    total: u64,
    running: u64,
    /// The largest number of calls that ran at the same time.
    peak: u64,
    /// Number of calls whose connection was closed while they ran.
    aborted: u64,
    file: Option<File>,
}

/// The state of the running target.
#[derive(Debug)]
struct Target {
    options: Options,
    control: Mutex<Control>,
    executions: Mutex<Executions>,
}

/// Runs a fake target until the process ends.
pub async fn run(options: Options) {
    let server = trillium_smol::config()
        .with_socketaddr(options.listen)
        .with_nodelay()
        .without_signals();
    let executions = Executions {
        file: options.executions.as_deref().and_then(open_for_append),
        ..Executions::default()
    };
    let target = Arc::new(Target {
        options,
        control: Mutex::default(),
        executions: Mutex::new(executions),
    });
    let announcing_target = Arc::clone(&target);
    smol::spawn(async move { announce(&announcing_target).await }).detach();
    server
        .run_async(move |conn: Conn| {
            let target = Arc::clone(&target);
            async move { handle(&target, conn).await }
        })
        .await;
}

async fn handle(target: &Target, mut conn: Conn) -> Conn {
    match (conn.method(), conn.path()) {
        (Method::Get, "/executions") => {
            let executions = target.executions.lock().expect("executions lock");
            let body = serde_json::to_vec(&executions.by_name).unwrap_or_default();
            drop(executions);
            conn.ok(body)
        }
        (Method::Get, "/peak") => {
            let peak = target.executions.lock().expect("executions lock").peak;
            conn.ok(peak.to_string())
        }
        (Method::Get, "/broken-off") => {
            let aborted = target.executions.lock().expect("executions lock").aborted;
            conn.ok(aborted.to_string())
        }
        (Method::Post, "/control") => {
            let body = conn.request_body().read_bytes().await.unwrap_or_default();
            match serde_json::from_slice(&body) {
                Ok(control) => *target.control.lock().expect("control lock") = control,
                Err(error) => {
                    return conn
                        .with_status(Status::BadRequest)
                        .with_body(error.to_string());
                }
            }
            conn.ok("")
        }
        _ => execute(target, conn).await,
    }
}

async fn execute(target: &Target, mut conn: Conn) -> Conn {
    let Ok(body) = conn
        .request_body()
        .with_max_len(u64::MAX)
        .read_bytes()
        .await
    else {
        return conn.with_status(Status::BadRequest);
    };
    let control = target.control.lock().expect("control lock").clone();
    let name = conn
        .request_headers()
        .get_str(CALL_HEADER)
        .map(str::to_owned);
    let number = target.count_execution(name.as_deref());
    let running = RunningGuard(target);
    if control.delay_ms > 0 {
        let work = Timer::after(Duration::from_millis(control.delay_ms));
        if conn.cancel_on_disconnect(work).await.is_none() {
            let mut executions = target.executions.lock().expect("executions lock");
            executions.aborted += 1;
            drop(executions);
            drop(running);
            return conn.halt();
        }
    }
    drop(running);
    let mut conn = conn.with_response_header("x-version", target.options.version.clone());
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
        return conn.ok(Body::new_streaming(
            TruncatedBody(Cursor::new(half)),
            Some(length),
        ));
    }
    conn.ok(body)
}

/// Counts a call as running until dropped.
struct RunningGuard<'a>(&'a Target);

impl Drop for RunningGuard<'_> {
    fn drop(&mut self) {
        let mut executions = self.0.executions.lock().expect("executions lock");
        executions.running -= 1;
    }
}

/// A body that fails at its end, instead of ending.
struct TruncatedBody(Cursor<Vec<u8>>);

impl AsyncRead for TruncatedBody {
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

fn open_for_append(path: &Path) -> Option<File> {
    let file = File::options().create(true).append(true).open(path);
    file.map_err(|error| log::error!("{}: {error}", path.display()))
        .ok()
}

impl Target {
    /// Counts the start of an execution; returns its number, from 1.
    fn count_execution(&self, name: Option<&str>) -> u64 {
        let mut executions = self.executions.lock().expect("executions lock");
        executions.total += 1;
        executions.running += 1;
        executions.peak = executions.peak.max(executions.running);
        if let Some(name) = name {
            if let Some(file) = &mut executions.file {
                // A single write, so that a kill of the process leaves no partial line.
                file.write_all(format!("{name}\n").as_bytes())
                    .expect("record an execution");
            }
            *executions.by_name.entry(name.to_owned()).or_default() += 1;
        }
        executions.total
    }
}

async fn announce(target: &Target) {
    let Some(node) = target.options.node else {
        return;
    };
    let client = trillium_client::Client::new(trillium_smol::ClientConfig::default());
    loop {
        let leaving = target.control.lock().expect("control lock").leaving;
        let announcement = serde_json::json!({
            "service": target.options.service,
            "version": target.options.version,
            "slots": target.options.slots,
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
