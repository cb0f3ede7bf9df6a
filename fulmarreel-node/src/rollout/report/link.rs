//! Connections over which reports are sent to peers. A report that cannot be sent in time is
//! dropped: the next one matters more.

use crate::peer::stream;
use fulmarreel_wire::{Hello, PROTOCOL, Purpose, evidence::Report};
use smol::{
    Timer,
    channel::{Receiver, Sender, bounded},
    future::or,
    net::TcpStream,
};
use std::{collections::HashMap, io, net::SocketAddr, time::Duration};

/// Reports that may wait for one link.
const MAX_QUEUED_REPORTS: usize = 64;

/// A link that carried no report for this long is closed.
const IDLE_TIMEOUT: Duration = Duration::from_secs(10);

/// Timeout of opening a link and of sending a report.
const SEND_TIMEOUT: Duration = Duration::from_secs(1);

/// Open links by peer address; each is a queue that a task sends from.
#[derive(Debug)]
pub(super) struct Links {
    hello: Hello,
    links: HashMap<SocketAddr, Sender<Report>>,
}

impl Links {
    pub fn new(own: SocketAddr, started_at_ms: u64) -> Self {
        let hello = Hello {
            protocol: PROTOCOL,
            address: own,
            boot: started_at_ms,
            purpose: Purpose::Evidence,
        };
        Self {
            hello,
            links: HashMap::new(),
        }
    }

    /// Queues a report for a peer, opening a link if there is none.
    pub fn send(&mut self, peer: SocketAddr, report: Report) {
        self.links.retain(|_, link| !link.is_closed());
        let link = self.links.entry(peer).or_insert_with(|| {
            let (sender, reports) = bounded(MAX_QUEUED_REPORTS);
            let hello = self.hello.clone();
            crate::runtime::spawn(async move {
                if let Err(error) = send_reports(peer, &hello, &reports).await {
                    log::debug!("reports to {peer}: {error}");
                }
                reports.close();
            });
            sender
        });
        if link.try_send(report).is_err() {
            log::debug!("reports to {peer}: dropped one");
        }
    }
}

async fn send_reports(
    peer: SocketAddr,
    hello: &Hello,
    reports: &Receiver<Report>,
) -> io::Result<()> {
    let mut tcp = with_timeout(TcpStream::connect(peer)).await?;
    tcp.set_nodelay(true)?;
    with_timeout(stream::write(&mut tcp, hello)).await?;
    loop {
        let next = or(async { reports.recv().await.ok() }, async {
            Timer::after(IDLE_TIMEOUT).await;
            None
        });
        let Some(report) = next.await else {
            return Ok(());
        };
        with_timeout(stream::write(&mut tcp, &report)).await?;
    }
}

async fn with_timeout<T>(step: impl Future<Output = io::Result<T>>) -> io::Result<T> {
    or(step, async {
        Timer::after(SEND_TIMEOUT).await;
        Err(io::ErrorKind::TimedOut.into())
    })
    .await
}
