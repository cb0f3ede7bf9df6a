//! HTTP/1.1 for the stand-ins: one side reads requests, the other sends them.

use std::{
    io::{self, Read, Write},
    net::{SocketAddr, TcpStream},
    time::Duration,
};

pub struct Message {
    /// `METHOD path` of a request, or the status of a response.
    pub start: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Message {
    pub fn header(&self, name: &str) -> Option<&str> {
        let mut headers = self.headers.iter();
        let header = headers.find(|header| header.0.eq_ignore_ascii_case(name));
        header.map(|header| header.1.as_str())
    }

    pub fn status(&self) -> u16 {
        let code = self.start.split(' ').nth(1);
        code.and_then(|code| code.parse().ok()).unwrap_or(0)
    }

    pub fn path(&self) -> &str {
        self.start.split(' ').nth(1).unwrap_or("")
    }
}

/// Reads messages with a `Content-Length`, as the node and the stand-ins send them.
pub struct Reader {
    pub tcp: TcpStream,
    buffer: Vec<u8>,
}

impl Reader {
    pub fn new(tcp: TcpStream) -> Self {
        Self {
            tcp,
            buffer: Vec::new(),
        }
    }

    pub fn read(&mut self) -> io::Result<Message> {
        let end = loop {
            let found = self.buffer.windows(4).position(|four| four == b"\r\n\r\n");
            if let Some(at) = found {
                break at;
            }
            self.more()?;
        };
        let head = String::from_utf8_lossy(&self.buffer[..end]).into_owned();
        self.buffer.drain(..end + 4);
        let mut lines = head.split("\r\n");
        let start = lines.next().unwrap_or("").to_owned();
        let headers: Vec<(String, String)> = lines
            .filter_map(|line| line.split_once(':'))
            .map(|(name, value)| (name.trim().to_owned(), value.trim().to_owned()))
            .collect();
        let mut message = Message {
            start,
            headers,
            body: Vec::new(),
        };
        let length: usize = message
            .header("content-length")
            .and_then(|length| length.parse().ok())
            .unwrap_or(0);
        while self.buffer.len() < length {
            self.more()?;
        }
        message.body = self.buffer.drain(..length).collect();
        Ok(message)
    }

    fn more(&mut self) -> io::Result<()> {
        let mut bytes = [0; 65_536];
        let read = self.tcp.read(&mut bytes)?;
        if read == 0 {
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
        self.buffer.extend_from_slice(&bytes[..read]);
        Ok(())
    }
}

pub fn respond(
    tcp: &mut TcpStream,
    status: u16,
    headers: &[(&str, &str)],
    body: &[u8],
) -> io::Result<()> {
    let mut head = format!("HTTP/1.1 {status} X\r\nContent-Length: {}\r\n", body.len());
    for (name, value) in headers {
        head.push_str(&format!("{name}: {value}\r\n"));
    }
    head.push_str("\r\n");
    let mut bytes = head.into_bytes();
    bytes.extend_from_slice(body);
    tcp.write_all(&bytes)
}

/// Sends one request on a connection of its own and reads the response.
pub fn request(
    to: SocketAddr,
    method: &str,
    path: &str,
    headers: &[(&str, &str)],
    body: &[u8],
    timeout: Duration,
) -> io::Result<Message> {
    let mut tcp = TcpStream::connect_timeout(&to, Duration::from_secs(1))?;
    tcp.set_nodelay(true)?;
    tcp.set_read_timeout(Some(timeout))?;
    tcp.set_write_timeout(Some(timeout))?;
    let mut head = format!("{method} {path} HTTP/1.1\r\n");
    if !headers.iter().any(|header| header.0.eq_ignore_ascii_case("host")) {
        head.push_str("Host: standin\r\n");
    }
    for (name, value) in headers {
        head.push_str(&format!("{name}: {value}\r\n"));
    }
    if !body.is_empty() || method != "GET" {
        head.push_str(&format!("Content-Length: {}\r\n", body.len()));
    }
    head.push_str("\r\n");
    tcp.write_all(head.as_bytes())?;
    tcp.write_all(body)?;
    Reader::new(tcp).read()
}
