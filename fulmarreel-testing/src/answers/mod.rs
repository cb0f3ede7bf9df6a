//! A server whose answers are given bytes, sound or broken, and that ends its connections by a close or
//! a reset, at a given time of the request.

mod broken;
mod sound;

pub use broken::{Broken, Fault, broken};
pub use sound::{Sound, sound};

use smol::{
    Timer,
    io::{AsyncReadExt, AsyncWriteExt},
    net::{Shutdown, TcpListener, TcpStream},
};
use socket2::SockRef;
use std::{
    io,
    net::SocketAddr,
    sync::{Arc, Mutex},
    time::Duration,
};

/// A request body that does not fit into the buffers of a connection's two sockets.
pub const LONG_BODY_BYTES: usize = 33_554_432;

/// Time between an answer and the end of its connection where the answer is to be read before.
const PAUSE: Duration = Duration::from_millis(100);

/// The most bytes of one read.
const READ_BYTES: usize = 65_536;

/// How much of the request is read before the answer is sent.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Timing {
    /// Nothing: the answer is sent as soon as the connection is accepted.
    BeforeRequest,
    /// Its first bytes.
    DuringRequest,
    /// All of it.
    AfterRequest,
}

/// How a connection ends after the answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum End {
    /// Not by the server, which only reads the rest of the request.
    Never,
    /// By a close in the server's direction; the rest of the request is read.
    Close,
    /// By a close in the server's direction, and then by a reset.
    CloseThenReset,
    /// By a reset, while the rest of the request is still unread.
    Reset,
    /// By a reset once the client has had time to read the answer.
    LateReset,
}

/// What the server does on each connection.
#[derive(Debug, Clone)]
pub struct Script {
    /// The bytes of the answer.
    pub answer: Vec<u8>,
    /// When the answer is sent.
    pub timing: Timing,
    /// How the connection ends.
    pub end: End,
}

impl Script {
    /// Answers once the whole request has arrived, and then closes the connection.
    pub fn closing(answer: Vec<u8>) -> Self {
        Self {
            answer,
            timing: Timing::AfterRequest,
            end: End::Close,
        }
    }
}

/// A server that follows a script on each connection; it serves until the process ends.
#[derive(Debug, Clone)]
pub struct Server {
    script: Arc<Mutex<Script>>,
}

impl Server {
    /// Starts a server on a bound listener.
    pub fn start(listener: TcpListener, script: Script) -> Self {
        let script = Arc::new(Mutex::new(script));
        let server = Self {
            script: Arc::clone(&script),
        };
        smol::spawn(async move {
            while let Ok((tcp, _)) = listener.accept().await {
                let script = script.lock().expect("no holder panics").clone();
                // Fails where the client closes the connection first.
                smol::spawn(async move { serve(tcp, &script).await.ok() }).detach();
            }
        })
        .detach();
        server
    }

    /// Sets the script of later connections.
    pub fn set_script(&self, script: Script) {
        *self.script.lock().expect("no holder panics") = script;
    }
}

/// Starts a server that follows `script` on each connection, on a free address.
///
/// # Errors
///
/// No address is free.
pub async fn start(script: Script) -> io::Result<SocketAddr> {
    let listener = TcpListener::bind("127.0.0.1:0").await?;
    let address = listener.local_addr()?;
    Server::start(listener, script);
    Ok(address)
}

/// Starts a server that answers by `answer` once the whole request has arrived, and then closes the
/// connection.
///
/// # Errors
///
/// No address is free.
pub async fn start_closing(answer: Vec<u8>) -> io::Result<SocketAddr> {
    start(Script::closing(answer)).await
}

/// Sends each broken answer of a kind to a request of `ask`, which returns what it took the answer for, if it
/// took it; returns these, with the answers' names.
///
/// # Errors
///
/// No address is free.
pub async fn taken(
    fault: Fault,
    fields: &str,
    body: &str,
    ask: impl AsyncFn(SocketAddr) -> Option<String>,
) -> io::Result<Vec<String>> {
    let mut taken = Vec::new();
    for Broken { name, bytes } in broken(fault, fields, body) {
        if let Some(result) = ask(start_closing(bytes).await?).await {
            taken.push(format!("{name}: {result}"));
        }
    }
    Ok(taken)
}

async fn serve(mut tcp: TcpStream, script: &Script) -> io::Result<()> {
    match script.timing {
        Timing::BeforeRequest => {}
        Timing::DuringRequest => {
            tcp.read(&mut [0; 1]).await?;
        }
        Timing::AfterRequest => read_request(&mut tcp).await?,
    }
    tcp.write_all(&script.answer).await?;
    end(tcp, script.end).await
}

/// Ends a connection.
///
/// # Errors
///
/// The client has ended it before.
pub async fn end(mut tcp: TcpStream, end: End) -> io::Result<()> {
    match end {
        End::Never | End::Close => {
            if end == End::Close {
                tcp.shutdown(Shutdown::Write)?;
            }
            let mut rest = vec![0; READ_BYTES];
            while tcp.read(&mut rest).await? > 0 {}
            return Ok(());
        }
        End::CloseThenReset => {
            tcp.shutdown(Shutdown::Write)?;
            Timer::after(PAUSE).await;
        }
        End::Reset => {}
        End::LateReset => {
            Timer::after(PAUSE).await;
        }
    }
    SockRef::from(&tcp).set_linger(Some(Duration::ZERO))
}

/// Reads a request whose body ends by its `Content-Length`.
async fn read_request(tcp: &mut TcpStream) -> io::Result<()> {
    let mut request = Vec::new();
    let mut buffer = vec![0; READ_BYTES];
    let mut whole_bytes = None;
    while whole_bytes.is_none_or(|bytes| request.len() < bytes) {
        let read = tcp.read(&mut buffer).await?;
        if read == 0 {
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
        request.extend_from_slice(&buffer[..read]);
        if whole_bytes.is_none() {
            whole_bytes = request_bytes(&request);
        }
    }
    Ok(())
}

/// The length of a request, head and body, if `bytes` hold its whole head.
fn request_bytes(bytes: &[u8]) -> Option<usize> {
    let end = bytes.windows(4).position(|window| window == b"\r\n\r\n")?;
    let head = String::from_utf8_lossy(&bytes[..end]).to_ascii_lowercase();
    let mut lines = head.lines().filter_map(|line| line.split_once(':'));
    let length = lines.find(|(name, _)| *name == "content-length");
    let body_bytes = length.and_then(|(_, value)| value.trim().parse().ok());
    Some(end + 4 + body_bytes.unwrap_or(0))
}
