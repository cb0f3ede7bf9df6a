//! The HTTP client to the node's own target.

use fulmarreel_wire::call::{Head, Header, Open};
use std::{net::SocketAddr, time::Instant};
use trillium_client::Method;
use trillium_smol::ClientConfig;

/// Why a call to the target has no answer.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// The request cannot be expressed in HTTP.
    #[error("malformed request: {0}")]
    Malformed(String),
    /// The connection failed or the answer was cut.
    #[error("target {target}: {source}")]
    Exchange {
        /// The target's address.
        target: SocketAddr,
        /// The HTTP library's error.
        source: trillium_client::Error,
    },
}

/// The HTTP client to the node's own target.
#[derive(Debug)]
pub struct Client {
    target: SocketAddr,
    http: trillium_client::Client,
}

impl Client {
    /// A client to the target at that address.
    pub fn new(target: SocketAddr) -> Self {
        let config = ClientConfig::new().with_nodelay(true);
        Self {
            target,
            http: trillium_client::Client::new(config),
        }
    }

    /// Hands a call over and waits for the whole answer.
    ///
    /// # Errors
    ///
    /// The target cannot be reached, or its answer was cut.
    pub async fn call(&self, open: Open, body: Vec<u8>) -> Result<(Head, Vec<u8>), Error> {
        let method: Method = open
            .method
            .parse()
            .map_err(|_| Error::Malformed(open.method.clone()))?;
        let url = format!("http://{}{}", self.target, open.path);
        let mut conn = self.http.build_conn(method, url).with_body(body);
        for header in open.headers {
            conn.request_headers_mut().append(header.name, header.value);
        }
        let started = Instant::now();
        let failed = |source| Error::Exchange {
            target: self.target,
            source,
        };
        (&mut conn).await.map_err(failed)?;
        let target_micros = started.elapsed().as_micros() as u32;
        let body = conn.response_body().read_bytes().await.map_err(failed)?;
        let head = Head {
            sequence: open.sequence,
            status: conn.status().map_or(502, |status| status as u16),
            headers: headers(conn.response_headers()),
            length: Some(body.len() as u64),
            target_micros,
            in_flight: 0,
            slots: 0,
        };
        Ok((head, body))
    }
}

fn headers(headers: &trillium::Headers) -> Vec<Header> {
    headers
        .iter()
        .flat_map(|(name, values)| {
            values.iter().map(move |value| Header {
                name: name.to_string(),
                value: AsRef::<[u8]>::as_ref(value).to_vec(),
            })
        })
        .collect()
}
