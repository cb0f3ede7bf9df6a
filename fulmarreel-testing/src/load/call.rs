//! One call, and the check of its answer.

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

/// The largest answer that is read, in bytes.
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

/// How a call ended, before it is recorded.
#[derive(Debug, Default)]
struct End {
    outcome: Option<Outcome>,
    status: u16,
    version: String,
    detail: String,
}

impl Caller {
    /// A caller of the options' nodes and service.
    pub fn new(options: &Options) -> Self {
        Self {
            client: Client::new(ClientConfig::new().with_nodelay(true)),
            nodes: options.nodes.clone(),
            service: options.service.clone(),
            path: options.path.clone(),
            timeout: options.timeout,
        }
    }

    /// Sends one call, first to the node whose turn it is, and to the next ones where the
    /// connection is refused, which proves that nothing was sent.
    pub async fn call(&self, turn: usize, name: &str, size: usize, due: Instant) -> Record {
        let end = or(self.attempts(turn, name, size), async {
            Timer::after(self.timeout).await;
            End {
                outcome: Some(Outcome::Failed),
                detail: "the caller's timeout".to_owned(),
                ..End::default()
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

    async fn attempts(&self, turn: usize, name: &str, size: usize) -> End {
        let mut end = End::default();
        for offset in 0..self.nodes.len() {
            let node = self.nodes[(turn + offset) % self.nodes.len()];
            let body = body(name, size);
            let mut conn = self
                .client
                .post(format!("http://{node}{}", self.path))
                .with_request_header("x-fulmarreel-service", self.service.clone())
                .with_request_header(CALL_HEADER, name.to_owned())
                .with_body(body.clone());
            match (&mut conn).await {
                Ok(()) => return check(conn, name, &body).await,
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

/// The body of a call, which no other call has.
pub fn body(name: &str, size: usize) -> Vec<u8> {
    let pattern = name.as_bytes().iter().copied().chain([b'/']);
    pattern.cycle().take(size).collect()
}

async fn check(mut conn: Conn, name: &str, sent: &[u8]) -> End {
    let header = |header: &'static str| {
        let value = conn.response_headers().get_str(header);
        value.map(str::to_owned)
    };
    let outcome = header("x-fulmarreel-outcome");
    let answered = header(CALL_HEADER);
    let mut end = End {
        status: conn.status().map_or(0, |status| status as u16),
        version: header("x-version").unwrap_or_default(),
        ..End::default()
    };
    let body = conn.response_body().with_max_len(MAX_ANSWER_BYTES);
    let body = match body.read_bytes().await {
        Ok(body) => body,
        Err(error) => {
            end.detail = format!("cut answer: {error}");
            return end;
        }
    };
    let own = answered.as_deref() == Some(name) && body == sent;
    let verdict = match (outcome.as_deref(), end.status) {
        (Some("not-run"), _) => Outcome::NotRun,
        (Some("unknown"), _) => Outcome::Unknown,
        // A target's own error answers have no body to compare.
        (_, 500..) => Outcome::Answered,
        _ if own => Outcome::Answered,
        _ => Outcome::Wrong,
    };
    if !matches!(verdict, Outcome::Answered) {
        let text: Vec<u8> = body.iter().copied().take(200).collect();
        end.detail = String::from_utf8_lossy(&text).into_owned();
    }
    end.outcome = Some(verdict);
    end
}
