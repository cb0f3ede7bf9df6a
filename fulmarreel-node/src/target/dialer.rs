//! Opens connections to the target, and marks connect errors, which prove that nothing was sent.

use smol::{Timer, future::or};
use std::{io, net::SocketAddr, time::Duration};
use trillium_client::{Connector, Error, Url};
use trillium_smol::ClientConfig;

/// How long a connection may take to open.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(1_000);

/// The HTTP library's connector with a timeout, whose errors [`is_unsent`] recognises.
#[derive(Debug)]
pub(super) struct Dialer {
    connector: ClientConfig,
}

/// Marks an error as that of a connection that was not opened.
#[derive(Debug, thiserror::Error)]
#[error("not connected: {0}")]
struct NotConnected(io::Error);

impl Default for Dialer {
    fn default() -> Self {
        let connector = ClientConfig::new().with_nodelay(true);
        Self { connector }
    }
}

impl Connector for Dialer {
    type Transport = <ClientConfig as Connector>::Transport;
    type Runtime = <ClientConfig as Connector>::Runtime;
    type Udp = <ClientConfig as Connector>::Udp;

    async fn connect(&self, url: &Url) -> io::Result<Self::Transport> {
        or(self.connector.connect(url), async {
            Timer::after(CONNECT_TIMEOUT).await;
            Err(io::ErrorKind::TimedOut.into())
        })
        .await
        .map_err(|error| io::Error::new(error.kind(), NotConnected(error)))
    }

    async fn resolve(&self, host: &str, port: u16) -> io::Result<Vec<SocketAddr>> {
        self.connector.resolve(host, port).await
    }

    fn runtime(&self) -> Self::Runtime {
        self.connector.runtime()
    }
}

/// Whether an error proves that no byte was sent.
pub(super) fn is_unsent(error: &Error) -> bool {
    let Error::Io(error) = error else {
        return false;
    };
    error
        .get_ref()
        .is_some_and(|inner| inner.is::<NotConnected>())
}
