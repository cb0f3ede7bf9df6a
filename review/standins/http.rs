//! HTTP/1.1 messages over blocking connections.

use std::{
    io::{self, BufRead, BufReader, Write},
    net::{SocketAddr, TcpStream},
    time::Duration,
};

/// The head of a message, and its body if it has a length.
#[derive(Debug, Clone)]
pub struct Message {
    /// The request line or status line.
    pub first_line: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Message {
    /// The first value of a header, or an empty string.
    pub fn header(&self, name: &str) -> &str {
        let mut headers = self.headers.iter();
        let header = headers.find(|header| header.0.eq_ignore_ascii_case(name));
        header.map_or("", |header| &header.1)
    }

    /// A word of the first line: of a request 0 is the method and 1 the path, of a response 1 is the
    /// status.
    pub fn word(&self, index: usize) -> &str {
        self.first_line.split(' ').nth(index).unwrap_or("")
    }

    /// The status of a response.
    pub fn status(&self) -> u16 {
        self.word(1).parse().unwrap_or(0)
    }
}

/// Reads the head of a message; `None` at the end of the connection.
pub fn read_head(reader: &mut impl BufRead) -> io::Result<Option<Message>> {
    let mut first_line = String::new();
    if reader.read_line(&mut first_line)? == 0 {
        return Ok(None);
    }
    let mut headers = Vec::new();
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line)? == 0 {
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
        let line = line.trim_end();
        if line.is_empty() {
            break;
        }
        if let Some((name, value)) = line.split_once(':') {
            headers.push((name.trim().to_owned(), value.trim().to_owned()));
        }
    }
    let first_line = first_line.trim_end().to_owned();
    Ok(Some(Message {
        first_line,
        headers,
        body: Vec::new(),
    }))
}

/// Reads a whole message whose body, if any, has a length.
pub fn read_message(reader: &mut impl BufRead) -> io::Result<Option<Message>> {
    let Some(mut message) = read_head(reader)? else {
        return Ok(None);
    };
    let length: usize = message.header("content-length").parse().unwrap_or(0);
    let mut body = vec![0; length];
    reader.read_exact(&mut body)?;
    message.body = body;
    Ok(Some(message))
}

/// A request to be sent.
#[derive(Debug, Clone, Default)]
pub struct Request<'a> {
    pub method: &'a str,
    pub path: &'a str,
    pub host: &'a str,
    pub headers: Vec<(&'a str, String)>,
    pub body: &'a [u8],
}

impl Request<'_> {
    /// The bytes of the request.
    pub fn encode(&self) -> Vec<u8> {
        let mut text = format!(
            "{} {} HTTP/1.1\r\nHost: {}\r\n",
            self.method, self.path, self.host
        );
        for (name, value) in &self.headers {
            text.push_str(&format!("{name}: {value}\r\n"));
        }
        if !self.body.is_empty() || self.method != "GET" {
            text.push_str(&format!("Content-Length: {}\r\n", self.body.len()));
        }
        text.push_str("\r\n");
        let mut bytes = text.into_bytes();
        bytes.extend_from_slice(self.body);
        bytes
    }

    /// Sends the request on a new connection and reads the response.
    pub fn send(&self, to: SocketAddr, timeout: Duration) -> io::Result<Message> {
        let mut tcp = TcpStream::connect_timeout(&to, Duration::from_secs(1))?;
        tcp.set_nodelay(true)?;
        tcp.set_read_timeout(Some(timeout))?;
        tcp.set_write_timeout(Some(timeout))?;
        tcp.write_all(&self.encode())?;
        let mut reader = BufReader::new(tcp);
        read_message(&mut reader)?.ok_or_else(|| io::ErrorKind::UnexpectedEof.into())
    }
}
