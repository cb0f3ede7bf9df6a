//! Requests and responses.

use crate::field;
use std::fmt::Write;

/// Headers that are meaningful for one connection only and must not be forwarded.
const CONNECTION_HEADERS: [&str; 9] = [
    "connection",
    "keep-alive",
    "proxy-connection",
    "te",
    "trailer",
    "transfer-encoding",
    "upgrade",
    "content-length",
    "expect",
];

/// Whether a header is meaningful for one connection only and must not be forwarded.
pub fn concerns_connection(name: &str) -> bool {
    let mut headers = CONNECTION_HEADERS.iter();
    headers.any(|header| name.eq_ignore_ascii_case(header))
}

/// Whether a status can be that of a final response.
pub fn is_final_status(status: u16) -> bool {
    (200..=599).contains(&status)
}

/// A header.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Header {
    /// The name, as received.
    pub name: String,
    /// The value, not necessarily UTF-8.
    pub value: Vec<u8>,
}

/// A request, sent as given except that `Content-Length` is added where there is a body.
#[derive(Debug, Clone, Copy)]
pub struct Request<'a> {
    /// The method.
    pub method: &'a str,
    /// The path and query.
    pub target: &'a str,
    /// The headers, `Host` included.
    pub headers: &'a [(&'a str, &'a [u8])],
    /// The body.
    pub body: &'a [u8],
}

/// A complete response.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Response {
    /// The status.
    pub status: u16,
    /// The headers.
    pub headers: Vec<Header>,
    /// The complete body, with the transfer coding removed.
    pub body: Vec<u8>,
}

impl Request<'_> {
    /// Whether a server reads the request as what it is: no part of it ends the line that it is in, or
    /// begins another part.
    pub fn is_valid(&self) -> bool {
        let is_visible = |byte: u8| !byte.is_ascii_control() && byte != b' ';
        field::is_name(self.method.as_bytes())
            && !self.target.is_empty()
            && self.target.bytes().all(is_visible)
            && self
                .headers
                .iter()
                .all(|(name, value)| field::is_field(name.as_bytes(), value))
    }

    /// Encodes the request, head and body.
    pub fn encode(&self) -> Vec<u8> {
        let mut head = String::with_capacity(256);
        // Writing to a string cannot fail.
        let _ = write!(head, "{} {} HTTP/1.1\r\n", self.method, self.target);
        let mut bytes = head.into_bytes();
        for (name, value) in self.headers {
            bytes.extend_from_slice(name.as_bytes());
            bytes.extend_from_slice(b": ");
            bytes.extend_from_slice(value);
            bytes.extend_from_slice(b"\r\n");
        }
        if !self.body.is_empty() || matches!(self.method, "POST" | "PUT" | "PATCH") {
            bytes.extend_from_slice(format!("Content-Length: {}\r\n", self.body.len()).as_bytes());
        }
        bytes.extend_from_slice(b"\r\n");
        bytes.extend_from_slice(self.body);
        bytes
    }
}

impl Response {
    /// The first value of a header.
    pub fn header(&self, name: &str) -> Option<&[u8]> {
        find(&self.headers, name)
    }

    /// The first value of a header, if it is UTF-8, without surrounding white space.
    pub fn text(&self, name: &str) -> Option<&str> {
        self.header(name)
            .and_then(|value| std::str::from_utf8(value).ok())
            .map(str::trim)
    }
}

/// The first value of the header `name`, which is not case-sensitive.
pub fn find<'a>(headers: &'a [Header], name: &str) -> Option<&'a [u8]> {
    headers
        .iter()
        .find(|header| header.name.eq_ignore_ascii_case(name))
        .map(|header| header.value.as_slice())
}
