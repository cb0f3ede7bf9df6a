//! The heads of requests.

use fulmarreel_http::message::concerns_connection;
use fulmarreel_platform::request;
use fulmarreel_wire::call::Header;
use trillium::Conn;

/// The most headers of a request that is read before the response to an earlier one.
const MAX_HEADERS: usize = 64;

/// The method, destination and headers of a request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(super) struct Head {
    pub method: String,
    /// The path and query.
    pub path: String,
    pub host: String,
    pub headers: Vec<Header>,
}

impl Head {
    /// Parses the head of a request without a body at the start of `bytes`; returns it and its size in
    /// bytes. `None` if the head is incomplete, or is one that the HTTP library should judge.
    pub fn parse(bytes: &[u8]) -> Option<(Self, usize)> {
        let mut slots = [httparse::EMPTY_HEADER; MAX_HEADERS];
        let mut parsed = httparse::Request::new(&mut slots);
        let Ok(httparse::Status::Complete(size)) = parsed.parse(bytes) else {
            return None;
        };
        let is_host = |header: &&httparse::Header<'_>| header.name.eq_ignore_ascii_case("host");
        let concerns_one = |header: &httparse::Header<'_>| concerns_connection(header.name);
        let headers = &*parsed.headers;
        let mut hosts = headers.iter().filter(is_host);
        let (Some(host), None) = (hosts.next(), hosts.next()) else {
            return None;
        };
        let path = parsed.path.filter(|path| path.starts_with('/'))?;
        if parsed.version != Some(1) || headers.iter().any(concerns_one) {
            return None;
        }
        let headers = headers.iter().map(|header| Header {
            name: header.name.to_owned(),
            value: header.value.to_vec(),
        });
        let head = Self {
            method: parsed.method?.to_owned(),
            path: path.to_owned(),
            host: std::str::from_utf8(host.value).ok()?.to_owned(),
            headers: headers.collect(),
        };
        Some((head, size))
    }

    /// The first value of a header; `None` if it is not UTF-8.
    pub fn header(&self, name: &str) -> Option<&str> {
        let mut headers = self.headers.iter();
        let header = headers.find(|header| header.name.eq_ignore_ascii_case(name))?;
        std::str::from_utf8(&header.value).ok()
    }

    /// Whether a header says that a body follows.
    pub fn may_have_body(&self) -> bool {
        let has_length = self
            .header("content-length")
            .is_some_and(|length| length != "0");
        has_length || self.header("transfer-encoding").is_some()
    }

    /// The request's id, or an empty string.
    pub fn id(&self) -> &str {
        self.header(request::REQUEST_ID).unwrap_or_default()
    }

    /// Whether both are the head of the same request.
    pub fn is_same_request(&self, other: &Self) -> bool {
        let is_same_target = self.path == other.path && self.host == other.host;
        is_same_target && self.method == other.method && self.id() == other.id()
    }
}

impl From<&Conn> for Head {
    fn from(conn: &Conn) -> Self {
        let mut headers = Vec::with_capacity(conn.request_headers().len() + 1);
        for (name, values) in conn.request_headers() {
            let name: &str = name.as_ref();
            headers.extend(values.iter().map(|value| Header {
                name: name.to_owned(),
                value: AsRef::<[u8]>::as_ref(value).to_vec(),
            }));
        }
        Self {
            method: conn.method().as_str().to_owned(),
            path: conn.path_and_query().to_owned(),
            host: conn.host().unwrap_or_default().to_owned(),
            headers,
        }
    }
}
