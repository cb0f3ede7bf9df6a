//! A fake of a target on the users' platform.

use fulmarreel_testing::answers::{self, Script};
use smol::{
    Timer,
    io::{AsyncReadExt, AsyncWriteExt},
    net::{TcpListener, TcpStream},
};
use std::{
    io,
    net::SocketAddr,
    sync::{Arc, Mutex, MutexGuard},
    time::{Duration, Instant},
};

/// Bytes of one write of a flood without an interval, at least.
const FLOOD_WRITE_BYTES: usize = 65_536;

/// How the target answers requests.
#[derive(Debug, Clone, Default)]
pub struct Behavior {
    /// Time that each request takes.
    pub delay: Duration,
    /// Status of the responses; 0 stands for 200.
    pub status: u16,
    /// Runs the request, then closes the connection without a response.
    pub drop_answer: bool,
    /// Refuses with 503 and `X-Not-Executed`, without running the request.
    pub not_executed: bool,
    /// Answers health checks with 503.
    pub unhealthy: bool,
    /// Runs the request, then sends bytes without end.
    pub flood: Option<Flood>,
    /// Sends only that many bytes of each response, then closes the connection.
    pub cut_after: Option<usize>,
    /// Appends that many bytes to the body of each response.
    pub padding_bytes: usize,
    /// Sends an earlier refusal once more, on connections that have carried a request before.
    pub stray: Option<Stray>,
    /// Leaves the request's id out of each response.
    pub no_ids: bool,
    /// Sends given bytes for each response; `$ID` stands for the request's id.
    pub script: Option<Script>,
    /// Sends given bytes for each response to a health check; `$TARGET` stands for the target's id.
    pub health_script: Option<Script>,
}

/// The copy of an earlier refusal.
#[derive(Debug, Clone, Copy)]
pub struct Stray {
    /// Status line and headers.
    pub head: &'static str,
    /// Whether it bears the id of the last request on its connection.
    pub bears_id: bool,
    /// When it is sent.
    pub timing: Timing,
}

/// When a stray response is sent.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Timing {
    /// Right behind each response.
    BehindResponse,
    /// While the connection is idle.
    Idle,
    /// Before each response, while its request runs.
    BeforeResponse,
    /// Between the head of a request and its body.
    WithinRequest,
}

/// How long a connection has been idle when it gets a stray response.
const STRAY_DELAY: Duration = Duration::from_millis(20);

/// Time between two looks at a head that has not arrived whole.
const PEEK_INTERVAL: Duration = Duration::from_millis(1);

/// A response without end.
#[derive(Debug, Clone, Copy)]
pub struct Flood {
    /// Sent once, at the start; `$ID` stands for the request's id.
    pub prefix: &'static [u8],
    /// Sent repeatedly until the connection is closed.
    pub repeated: &'static [u8],
    /// Time between two repetitions; with zero, they are sent as fast as the connection takes them.
    pub interval: Duration,
}

/// A request that the target ran or began to run, head and body.
pub type Arrival = String;

/// A target; it serves until the test process ends.
#[derive(Debug, Clone)]
pub struct Backend {
    pub id: String,
    pub version: String,
    pub endpoint: SocketAddr,
    shared: Arc<Mutex<Shared>>,
}

#[derive(Debug, Default)]
struct Shared {
    behavior: Behavior,
    arrivals: Vec<Arrival>,
    /// When each request, or health check, arrived.
    arrival_times: Vec<Instant>,
    /// Number of requests whose connection was closed while they ran.
    aborted: usize,
    finished: usize,
    /// Number of connections on which a flood is being sent.
    flooding: usize,
}

impl Backend {
    pub async fn start(id: &str, version: &str) -> anyhow::Result<Self> {
        let listener = TcpListener::bind("127.0.0.1:0").await?;
        let backend = Self {
            id: id.to_owned(),
            version: version.to_owned(),
            endpoint: listener.local_addr()?,
            shared: Arc::default(),
        };
        let serving = backend.clone();
        smol::spawn(async move {
            while let Ok((tcp, _)) = listener.accept().await {
                let serving = serving.clone();
                smol::spawn(async move { serving.serve_connection(tcp).await.ok() }).detach();
            }
        })
        .detach();
        Ok(backend)
    }

    pub fn set_behavior(&self, behavior: Behavior) {
        self.lock().behavior = behavior;
    }

    pub fn arrivals(&self) -> Vec<Arrival> {
        self.lock().arrivals.clone()
    }

    /// When requests and health checks arrived.
    pub fn arrival_times(&self) -> Vec<Instant> {
        self.lock().arrival_times.clone()
    }

    pub fn aborted(&self) -> usize {
        self.lock().aborted
    }

    pub fn finished(&self) -> usize {
        self.lock().finished
    }

    /// Number of connections on which a flood is being sent.
    pub fn flooding(&self) -> usize {
        self.lock().flooding
    }

    fn lock(&self) -> MutexGuard<'_, Shared> {
        self.shared.lock().expect("no holder panics")
    }

    async fn serve_connection(&self, mut tcp: TcpStream) -> io::Result<()> {
        let mut last_id: Option<String> = None;
        loop {
            let stray = self.lock().behavior.stray;
            if let (Some(stray), Some(last_id)) = (stray, &last_id)
                && stray.timing == Timing::WithinRequest
            {
                wait_readable(&tcp).await?;
                send_stray(&mut tcp, stray, last_id).await?;
            }
            // A script is set while a connection waits for its next request.
            wait_readable(&tcp).await?;
            let script = self.lock().behavior.script.clone();
            if let Some(script) = script
                && script.timing == answers::Timing::DuringRequest
            {
                let head = peek_head(&tcp).await?;
                if !head.starts_with("GET /health ") {
                    self.lock().arrivals.push(head.clone());
                    return send_script(tcp, &script, &head).await;
                }
            }
            let Some(request) = read_message(&mut tcp).await? else {
                return Ok(());
            };
            let behavior = self.lock().behavior.clone();
            if request.starts_with("GET /health ") {
                self.lock().arrival_times.push(Instant::now());
                if let Some(mut script) = behavior.health_script {
                    script.answer = replace(&script.answer, "$TARGET", &self.id);
                    return send_script(tcp, &script, &request).await;
                }
                let status = if behavior.unhealthy { 503 } else { 200 };
                let id = &self.id;
                let answer = format!(
                    "HTTP/1.1 {status} Health\r\nX-Instance-Id: {id}\r\nContent-Length: 0\r\n\r\n"
                );
                tcp.write_all(answer.as_bytes()).await?;
                continue;
            }
            let id = header(&request, "x-request-id").unwrap_or_default();
            let id_line = if behavior.no_ids {
                String::new()
            } else {
                format!("X-Request-Id: {id}\r\n")
            };
            if !request.contains(&format!("x-expect-instance: {}\r\n", self.id)) {
                let answer = format!(
                    "HTTP/1.1 421 Misdirected Request\r\n{id_line}Content-Length: 0\r\n\r\n"
                );
                tcp.write_all(answer.as_bytes()).await?;
                continue;
            }
            if behavior.not_executed {
                let answer = format!(
                    "HTTP/1.1 503 Service Unavailable\r\nX-Not-Executed: 1\r\n{id_line}\
                    Content-Length: 0\r\n\r\n"
                );
                tcp.write_all(answer.as_bytes()).await?;
                continue;
            }
            self.lock().arrival_times.push(Instant::now());
            self.lock().arrivals.push(request.clone());
            if !self.work(&mut tcp, behavior.delay).await {
                self.lock().aborted += 1;
                return Ok(());
            }
            self.lock().finished += 1;
            if let Some(script) = behavior.script {
                return send_script(tcp, &script, &request).await;
            }
            if let Some(flood) = behavior.flood {
                self.lock().flooding += 1;
                let ended = send_flood(&mut tcp, flood, id).await;
                self.lock().flooding -= 1;
                return ended;
            }
            if behavior.drop_answer {
                return Ok(());
            }
            let status = if behavior.status == 0 {
                200
            } else {
                behavior.status
            };
            let stray = behavior.stray;
            if let (Some(stray), Some(last_id)) = (stray, &last_id)
                && stray.timing == Timing::BeforeResponse
            {
                send_stray(&mut tcp, stray, last_id).await?;
            }
            let mut body = format!("answer of {}", self.id);
            body.push_str(&".".repeat(behavior.padding_bytes));
            let answer = format!(
                "HTTP/1.1 {status} Answer\r\n{id_line}X-Server-Seal: seal-{id}\r\n\
                X-Server-Load: 1,0,4\r\nContent-Length: {}\r\n\r\n{body}",
                body.len()
            );
            if let Some(bytes) = behavior.cut_after {
                let sent = answer.as_bytes().get(..bytes);
                return tcp.write_all(sent.unwrap_or(answer.as_bytes())).await;
            }
            tcp.write_all(answer.as_bytes()).await?;
            match stray {
                Some(stray) if stray.timing == Timing::BehindResponse => {
                    send_stray(&mut tcp, stray, id).await?;
                }
                Some(stray) if stray.timing == Timing::Idle => {
                    Timer::after(STRAY_DELAY).await;
                    send_stray(&mut tcp, stray, id).await?;
                }
                _ => {}
            }
            last_id = Some(id.to_owned());
        }
    }

    /// Runs a request for `delay`; false if the connection is closed meanwhile.
    async fn work(&self, tcp: &mut TcpStream, delay: Duration) -> bool {
        if delay.is_zero() {
            return true;
        }
        let mut byte = [0; 1];
        smol::future::or(
            async {
                Timer::after(delay).await;
                true
            },
            async {
                let read = tcp.read(&mut byte).await;
                if matches!(read, Ok(1..)) {
                    std::future::pending::<()>().await;
                }
                false
            },
        )
        .await
    }
}

/// Sends the bytes of a script and ends the connection.
async fn send_script(mut tcp: TcpStream, script: &Script, request: &str) -> io::Result<()> {
    let id = header(request, "x-request-id").unwrap_or_default();
    tcp.write_all(&replace(&script.answer, "$ID", id)).await?;
    answers::end(tcp, script.end).await
}

/// `bytes` with `value` in place of each `placeholder`.
fn replace(bytes: &[u8], placeholder: &str, value: &str) -> Vec<u8> {
    let text = str::from_utf8(bytes).expect("an answer in UTF-8");
    text.replace(placeholder, value).into_bytes()
}

/// Waits for the head of a request, and leaves it unread.
async fn peek_head(tcp: &TcpStream) -> io::Result<String> {
    let mut buffer = [0; 4_096];
    loop {
        let peeked = tcp.peek(&mut buffer).await?;
        let text = String::from_utf8_lossy(&buffer[..peeked]);
        if peeked == 0 {
            return Ok(String::new());
        }
        if let Some((head, _)) = text.split_once("\r\n\r\n") {
            return Ok(format!("{head}\r\n"));
        }
        Timer::after(PEEK_INTERVAL).await;
    }
}

async fn send_stray(tcp: &mut TcpStream, stray: Stray, last_id: &str) -> io::Result<()> {
    let id_line = if stray.bears_id {
        format!("X-Request-Id: {last_id}\r\n")
    } else {
        String::new()
    };
    let response = format!("{}{id_line}Content-Length: 0\r\n\r\n", stray.head);
    tcp.write_all(response.as_bytes()).await
}

/// Waits until a byte of the next request, or the end of the connection, can be read.
async fn wait_readable(tcp: &TcpStream) -> io::Result<()> {
    tcp.peek(&mut [0; 1]).await.map(|_| ())
}

/// Sends a flood until the connection is closed.
async fn send_flood(tcp: &mut TcpStream, flood: Flood, id: &str) -> io::Result<()> {
    let prefix = String::from_utf8_lossy(flood.prefix).replace("$ID", id);
    tcp.write_all(prefix.as_bytes()).await?;
    let batch = flood
        .repeated
        .repeat(FLOOD_WRITE_BYTES.div_ceil(flood.repeated.len()));
    loop {
        if flood.interval.is_zero() {
            tcp.write_all(&batch).await?;
        } else {
            tcp.write_all(flood.repeated).await?;
            Timer::after(flood.interval).await;
        }
    }
}

/// The value of a header of a message.
pub fn header<'a>(message: &'a str, name: &str) -> Option<&'a str> {
    let mut lines = message.lines().filter_map(|line| line.split_once(": "));
    let found = lines.find(|(known, _)| known.eq_ignore_ascii_case(name));
    found.map(|(_, value)| value)
}

/// Reads one message, head and body, whose body ends by its `Content-Length`; none at the end of
/// the connection.
pub async fn read_message(tcp: &mut TcpStream) -> io::Result<Option<String>> {
    let mut bytes = Vec::new();
    let mut buffer = [0; 4_096];
    loop {
        let text = String::from_utf8_lossy(&bytes);
        if let Some((head, body)) = text.split_once("\r\n\r\n") {
            let head = format!("{head}\r\n");
            let length = header(&head, "content-length");
            if body.len() >= length.and_then(|length| length.parse().ok()).unwrap_or(0) {
                return Ok(Some(text.into_owned()));
            }
        }
        match tcp.read(&mut buffer).await? {
            0 if bytes.is_empty() => return Ok(None),
            0 => return Err(io::ErrorKind::UnexpectedEof.into()),
            read => bytes.extend_from_slice(&buffer[..read]),
        }
    }
}
