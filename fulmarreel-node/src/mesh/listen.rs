//! HTTP connections of callers.

use super::{
    caller::{CallerConnection, RequestHandler},
    context::Context,
};
use crate::transport::Transport;
use fulmarreel_route::Limits;
use smol::net::{TcpListener, TcpStream};
use std::{io, sync::Arc, time::Duration};
use trillium::Conn;
use trillium_http::{HttpConfig, HttpContext};

/// How much longer this node keeps an idle connection than callers do.
const IDLE_SLACK: Duration = Duration::from_secs(1);

/// The lower bound on the accepted size of a request head, whatever the configured limit: the limit may
/// be raised while a connection is open, and a request with a refused head is lost for good.
const MIN_HEAD_BYTES: usize = 131_072;

/// Accepts callers until the task is dropped.
///
/// # Errors
///
/// The address cannot be bound.
pub async fn listen(context: Arc<Context>, handler: Arc<RequestHandler>) -> io::Result<()> {
    let listener = TcpListener::bind(context.settings().caller_listen_address).await?;
    loop {
        match listener.accept().await {
            Ok((tcp, _)) => serve(&context, &handler, tcp),
            Err(error) => log::warn!("accepting a caller connection failed: {error}"),
        }
    }
}

fn serve(context: &Arc<Context>, handler: &Arc<RequestHandler>, tcp: TcpStream) {
    let max_head_bytes = limits(context).head_bytes.max(MIN_HEAD_BYTES);
    let (context, handler) = (Arc::clone(context), Arc::clone(handler));
    crate::runtime::spawn(async move {
        if let Err(error) = tcp.set_nodelay(true) {
            log::debug!("caller connection: {error}");
        }
        let config = HttpConfig::default().with_head_max_len(max_head_bytes);
        let mut http = HttpContext::new();
        http.set_config(config);
        let mut transport = Transport::new(tcp, move || limits(&context).idle + IDLE_SLACK);
        transport.deliver_heads_singly();
        let connection = CallerConnection::new(Arc::clone(&handler), transport.watcher());
        let served = Arc::new(http).run(transport, |conn| async {
            let conn: Conn = conn.into();
            handler.handle(conn, &connection).await.into_inner()
        });
        if let Err(error) = served.await {
            log::debug!("caller connection: {error}");
        }
    });
}

/// The limits of the active configuration, or the defaults without one.
fn limits(context: &Context) -> Limits {
    let view = context.view();
    let limits = view.table.as_ref().map(|table| table.limits);
    limits.unwrap_or_default()
}
