//! Connections that reports travel on. A report that cannot be sent soon is dropped: the next one
//! matters more.

use crate::peer::stream;
use fulmarreel_wire::{Hello, PROTOCOL, Purpose, evidence::Report};
use smol::{
    Timer,
    channel::{Receiver, Sender, bounded},
    future::or,
    net::TcpStream,
};
use std::{collections::HashMap, io, net::SocketAddr, time::Duration};

/// Reports that may wait on one link.
const QUEUED_REPORTS: usize = 64;

/// A link without a report for that long is closed.
const IDLE: Duration = Duration::from_secs(10);

/// How long opening a link or sending a report may take.
const SEND_TIMEOUT: Duration = Duration::from_secs(1);

/// Open links by the peer's address.
#[derive(Debug)]
pub(super) struct Links {
    hello: Hello,
    links: HashMap<SocketAddr, Sender<Report>>,
}

impl Links {
    pub fn new(own: SocketAddr, boot: u64) -> Self {
        let hello = Hello {
            protocol: PROTOCOL,
            address: own,
            boot,
            purpose: Purpose::Evidence,
        };
        Self {
            hello,
            links: HashMap::new(),
        }
    }

    /// Queues a report, and opens a link where there is none.
    pub fn send(&mut self, peer: SocketAddr, report: Report) {
        self.links.retain(|_, link| !link.is_closed());
        let link = self.links.entry(peer).or_insert_with(|| {
            let (sender, reports) = bounded(QUEUED_REPORTS);
            let hello = self.hello.clone();
            crate::runtime::spawn(async move {
                if let Err(error) = carry(peer, &hello, &reports).await {
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

async fn carry(peer: SocketAddr, hello: &Hello, reports: &Receiver<Report>) -> io::Result<()> {
    let mut tcp = in_time(TcpStream::connect(peer)).await?;
    tcp.set_nodelay(true)?;
    in_time(stream::write(&mut tcp, hello)).await?;
    loop {
        let next = or(async { reports.recv().await.ok() }, async {
            Timer::after(IDLE).await;
            None
        });
        let Some(report) = next.await else {
            return Ok(());
        };
        in_time(stream::write(&mut tcp, &report)).await?;
    }
}

async fn in_time<T>(step: impl Future<Output = io::Result<T>>) -> io::Result<T> {
    or(step, async {
        Timer::after(SEND_TIMEOUT).await;
        Err(io::ErrorKind::TimedOut.into())
    })
    .await
}
