//! Requests that a caller sends before the response to an earlier one. Those that are idempotent and
//! have no body are started as they arrive; responses are sent in the order of the requests.

use super::{RequestHandler, RequestTask, head::Head, routed::Routed};
use crate::transport::Watcher;
use std::{
    collections::VecDeque,
    sync::{
        Arc, Mutex, MutexGuard,
        atomic::{AtomicBool, Ordering},
    },
};

/// The most requests of one connection that are started before their turn.
const MAX_STARTED: usize = 16;

/// A caller's connection, and its requests that were started before their turn.
#[derive(Debug)]
pub struct CallerConnection {
    handler: Arc<RequestHandler>,
    watcher: Watcher,
    /// In the order in which they arrived.
    started: Mutex<VecDeque<Started>>,
    /// Whether any request of the connection had a body. The HTTP library may have read on behind its
    /// end, so that what is read ahead need not begin at a request.
    had_body: AtomicBool,
}

/// A request that was started before its turn; cancelled if dropped.
#[derive(Debug)]
pub(super) struct Started {
    head: Head,
    /// The size of its head.
    bytes: usize,
    pub routed: Arc<Routed>,
    pub task: RequestTask,
}

impl CallerConnection {
    /// The connection that `watcher` watches.
    pub fn new(handler: Arc<RequestHandler>, watcher: Watcher) -> Self {
        Self {
            handler,
            watcher,
            started: Mutex::default(),
            had_body: AtomicBool::new(false),
        }
    }

    pub(super) fn watcher(&self) -> &Watcher {
        &self.watcher
    }

    /// Whether no request waits for its turn.
    pub(super) fn is_empty(&self) -> bool {
        self.started().is_empty()
    }

    /// Awaits `work` until the caller disconnects, which returns `None`; meanwhile starts further
    /// requests of the caller.
    pub(super) async fn while_connected<W: Future>(&self, work: W) -> Option<W::Output> {
        let start = |read_ahead: &[u8]| self.start_requests(read_ahead);
        self.watcher.while_connected_reading(work, start).await
    }

    /// The request with this head, whose turn it is, if it was started before. Each request of the
    /// connection has to be asked for.
    pub(super) fn take_started(&self, head: &Head) -> Option<Started> {
        if head.may_have_body() {
            self.had_body.store(true, Ordering::Release);
        }
        let mut started = self.started();
        let first = started.pop_front()?;
        if first.head.is_same_request(head) {
            return Some(first);
        }
        started.clear();
        None
    }

    /// Starts the requests in what was read ahead, up to the first one that has to wait.
    fn start_requests(&self, read_ahead: &[u8]) {
        if self.had_body.load(Ordering::Acquire) {
            return;
        }
        let mut started = self.started();
        let known = started.iter().map(|request| request.bytes).sum();
        let mut rest = read_ahead.get(known..).unwrap_or_default();
        while started.len() < MAX_STARTED
            && let Some((head, bytes)) = Head::parse(rest)
            && let Some((routed, task)) = self.handler.start(&head)
        {
            rest = &rest[bytes..];
            started.push_back(Started {
                head,
                bytes,
                routed,
                task,
            });
        }
    }

    fn started(&self) -> MutexGuard<'_, VecDeque<Started>> {
        self.started.lock().expect("started requests lock")
    }
}
