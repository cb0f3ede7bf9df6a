//! A stand-in of a target on the users' platform.

use smol::{
    Timer,
    io::{AsyncReadExt, AsyncWriteExt},
    net::{TcpListener, TcpStream},
};
use std::{
    io,
    net::SocketAddr,
    sync::{Arc, Mutex, MutexGuard},
    time::Duration,
};

/// Bytes of a flood that are written at once.
const FLOOD_BYTES: usize = 65_536;

/// How it answers.
#[derive(Debug, Clone, Copy, Default)]
pub struct Manner {
    /// Time that each request takes.
    pub delay: Duration,
    /// The status; 200 for 0.
    pub status: u16,
    /// It closes the connection in place of an answer.
    pub lose: bool,
    /// It says that it did not run the request.
    pub shed: bool,
    /// It says that it is not well, or leaving.
    pub unhealthy: bool,
    /// It sends bytes without end in place of an answer.
    pub flood: Option<Flood>,
}

/// Bytes without end.
#[derive(Debug, Clone, Copy)]
pub struct Flood {
    pub first: &'static [u8],
    /// What is sent again and again until the connection is closed.
    pub again: &'static [u8],
    /// Time between two pieces; without any, as many as the connection takes.
    pub pause: Duration,
}

/// A request that arrived, as text.
pub type Arrival = String;

/// A target; it serves until the process ends.
#[derive(Debug, Clone)]
pub struct Backend {
    pub id: String,
    pub version: String,
    pub endpoint: SocketAddr,
    shared: Arc<Mutex<Shared>>,
}

#[derive(Debug, Default)]
struct Shared {
    manner: Manner,
    arrivals: Vec<Arrival>,
    /// Requests whose connection was closed while they ran.
    broken_off: usize,
    finished: usize,
    /// Connections on which bytes without end are sent.
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
                smol::spawn(async move { serving.connection(tcp).await.ok() }).detach();
            }
        })
        .detach();
        Ok(backend)
    }

    pub fn set_manner(&self, manner: Manner) {
        self.lock().manner = manner;
    }

    pub fn arrivals(&self) -> Vec<Arrival> {
        self.lock().arrivals.clone()
    }

    pub fn broken_off(&self) -> usize {
        self.lock().broken_off
    }

    pub fn finished(&self) -> usize {
        self.lock().finished
    }

    /// Connections on which bytes without end are sent.
    pub fn flooding(&self) -> usize {
        self.lock().flooding
    }

    fn lock(&self) -> MutexGuard<'_, Shared> {
        self.shared.lock().expect("no holder panics")
    }

    async fn connection(&self, mut tcp: TcpStream) -> io::Result<()> {
        loop {
            let Some(request) = read(&mut tcp).await? else {
                return Ok(());
            };
            let manner = self.lock().manner;
            if request.starts_with("GET /health ") {
                let status = if manner.unhealthy { 503 } else { 200 };
                let id = &self.id;
                let answer = format!(
                    "HTTP/1.1 {status} Health\r\nX-Instance-Id: {id}\r\nContent-Length: 0\r\n\r\n"
                );
                tcp.write_all(answer.as_bytes()).await?;
                continue;
            }
            if !request.contains(&format!("x-expect-instance: {}\r\n", self.id)) {
                let answer = "HTTP/1.1 421 Misdirected Request\r\nContent-Length: 0\r\n\r\n";
                tcp.write_all(answer.as_bytes()).await?;
                continue;
            }
            if manner.shed {
                let answer = "HTTP/1.1 503 Service Unavailable\r\nX-Not-Executed: 1\r\n\
                    Content-Length: 0\r\n\r\n";
                tcp.write_all(answer.as_bytes()).await?;
                continue;
            }
            self.lock().arrivals.push(request.clone());
            if !self.work(&mut tcp, manner.delay).await {
                self.lock().broken_off += 1;
                return Ok(());
            }
            self.lock().finished += 1;
            if let Some(flood) = manner.flood {
                self.lock().flooding += 1;
                let ended = send_without_end(&mut tcp, flood).await;
                self.lock().flooding -= 1;
                return ended;
            }
            if manner.lose {
                return Ok(());
            }
            let status = if manner.status == 0 {
                200
            } else {
                manner.status
            };
            let id = header(&request, "x-request-id").unwrap_or_default();
            let body = format!("answer of {}", self.id);
            let answer = format!(
                "HTTP/1.1 {status} Answer\r\nX-Request-Id: {id}\r\nX-Server-Seal: seal-{id}\r\n\
                X-Server-Load: 1,0,4\r\nContent-Length: {}\r\n\r\n{body}",
                body.len()
            );
            tcp.write_all(answer.as_bytes()).await?;
        }
    }

    /// Works for a while; false where the connection is closed meanwhile.
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

/// Sends bytes until the connection is closed.
async fn send_without_end(tcp: &mut TcpStream, flood: Flood) -> io::Result<()> {
    tcp.write_all(flood.first).await?;
    let many = flood.again.repeat(FLOOD_BYTES.div_ceil(flood.again.len()));
    loop {
        if flood.pause.is_zero() {
            tcp.write_all(&many).await?;
        } else {
            tcp.write_all(flood.again).await?;
            Timer::after(flood.pause).await;
        }
    }
}

/// The value of a header of a request.
pub fn header<'a>(request: &'a str, name: &str) -> Option<&'a str> {
    let mut lines = request.lines().filter_map(|line| line.split_once(": "));
    let found = lines.find(|(known, _)| known.eq_ignore_ascii_case(name));
    found.map(|(_, value)| value)
}

/// Reads one message with a length as text.
pub async fn read(tcp: &mut TcpStream) -> io::Result<Option<String>> {
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
