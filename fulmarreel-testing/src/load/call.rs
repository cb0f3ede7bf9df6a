//! Sends one call and checks its answer.

use super::{Options, Outcome, Record};
use crate::target::CALL_HEADER;
use smol::{Timer, future::or};
use std::{
    io,
    net::SocketAddr,
    time::{Duration, Instant},
};
use trillium_client::{Client, Conn, Error};
use trillium_smol::ClientConfig;

/// Limit of an answer's body.
const MAX_ANSWER_BYTES: u64 = 64 * 1_048_576;

/// Sends calls and checks their answers.
#[derive(Debug)]
pub struct Caller {
    client: Client,
    nodes: Vec<SocketAddr>,
    service: String,
    path: String,
    timeout: Duration,
}

/// How a call ended; becomes a [`Record`].
#[derive(Debug, Default)]
struct CallEnd {
    outcome: Option<Outcome>,
    status: u16,
    version: String,
    detail: String,
}

impl Caller {
    /// Creates a caller of the nodes and the service in the options.
    pub fn new(options: &Options) -> Self {
        Self {
            client: Client::new(ClientConfig::new().with_nodelay(true)),
            nodes: options.nodes.clone(),
            service: options.service.clone(),
            path: options.path.clone(),
            timeout: options.timeout,
        }
    }

    /// Sends one call to the node at index `first_node`, modulo the number of nodes, and if that refuses
    /// the connection, to the next ones: a refused connection proves that nothing was sent. `due` is
    /// when the call was scheduled; the latency counts from there.
    pub async fn call(&self, first_node: usize, name: &str, size: usize, due: Instant) -> Record {
        let end = or(self.try_nodes(first_node, name, size), async {
            Timer::after(self.timeout).await;
            CallEnd {
                outcome: Some(Outcome::Failed),
                detail: "the caller's timeout".to_owned(),
                ..CallEnd::default()
            }
        })
        .await;
        Record {
            name: name.to_owned(),
            outcome: end.outcome.unwrap_or(Outcome::Failed),
            status: end.status,
            version: end.version,
            micros: due.elapsed().as_micros() as u64,
            detail: end.detail,
        }
    }

    async fn try_nodes(&self, first_node: usize, name: &str, size: usize) -> CallEnd {
        let mut end = CallEnd::default();
        for offset in 0..self.nodes.len() {
            let node = self.nodes[(first_node + offset) % self.nodes.len()];
            let body = body(name, size);
            let mut conn = self
                .client
                .post(format!("http://{node}{}", self.path))
                .with_request_header("x-fulmarreel-service", self.service.clone())
                .with_request_header(CALL_HEADER, name.to_owned())
                .with_body(body.clone());
            match (&mut conn).await {
                Ok(()) => return check_answer(conn, name, &body).await,
                Err(Error::Io(error)) if error.kind() == io::ErrorKind::ConnectionRefused => {
                    end.detail = format!("{node}: {error}");
                }
                Err(error) => {
                    end.detail = format!("{node}: {error}");
                    return end;
                }
            }
        }
        end
    }
}

/// The request body of a call: its name, repeated up to `size` bytes, so that no other call has it.
pub fn body(name: &str, size: usize) -> Vec<u8> {
    let pattern = name.as_bytes().iter().copied().chain([b'/']);
    pattern.cycle().take(size).collect()
}

/// Reads the answer and compares it with the request, which the target echoes.
async fn check_answer(mut conn: Conn, name: &str, sent: &[u8]) -> CallEnd {
    let header = |header: &'static str| {
        let value = conn.response_headers().get_str(header);
        value.map(str::to_owned)
    };
    let outcome_header = header("x-fulmarreel-outcome");
    let answered_name = header(CALL_HEADER);
    let mut end = CallEnd {
        status: conn.status().map_or(0, |status| status as u16),
        version: header("x-version").unwrap_or_default(),
        ..CallEnd::default()
    };
    let body = conn.response_body().with_max_len(MAX_ANSWER_BYTES);
    let body = match body.read_bytes().await {
        Ok(body) => body,
        Err(error) => {
            end.detail = format!("cut answer: {error}");
            return end;
        }
    };
    let echoes_call = answered_name.as_deref() == Some(name) && body == sent;
    let outcome = match (outcome_header.as_deref(), end.status) {
        (Some("not-run"), _) => Outcome::NotRun,
        (Some("unknown"), _) => Outcome::Unknown,
        // Error answers of the target itself do not echo the body.
        (_, 500..) => Outcome::Answered,
        _ if echoes_call => Outcome::Answered,
        _ => Outcome::Wrong,
    };
    if !matches!(outcome, Outcome::Answered) {
        let text: Vec<u8> = body.iter().copied().take(200).collect();
        end.detail = String::from_utf8_lossy(&text).into_owned();
    }
    end.outcome = Some(outcome);
    end
}
