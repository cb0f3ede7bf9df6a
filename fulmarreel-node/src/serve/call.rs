//! Runs one call from a peer on the local target and sends its response back.

use super::{
    Server,
    open::OpenCall,
    session::{Session, WholeResponse},
    slot_queue::Permit,
};
use crate::target::{self, Response};
use fulmarreel_http::Body;
use fulmarreel_wire::call::{
    Chunk, Failed, Failure, Frame, Head, MAX_CHUNK_BYTES, MAX_WHOLE_BYTES, Open, Refusal, Refused,
    WINDOW_BYTES,
};
use futures_lite::{AsyncRead, AsyncReadExt, io::Cursor};
use smol::{
    Timer,
    channel::{Receiver, Sender, unbounded},
    future::or,
};
use std::{
    io,
    sync::Arc,
    time::{Duration, Instant},
};

/// How long after a call's deadline the node stops waiting for the target and frees the call's
/// slot.
const ABANDON_AFTER: Duration = Duration::from_secs(10);

/// The longest pause within a response: of the target before its next bytes, or of the origin before
/// its next credit.
const STALL_TIMEOUT: Duration = Duration::from_secs(30);

/// A call from a peer.
pub(super) struct Call {
    pub server: Arc<Server>,
    /// Its entry among the origin's open calls.
    pub open_call: OpenCall,
    /// Queue of frames to write to the connection that the call arrived on.
    pub outgoing: Sender<Frame>,
}

impl Call {
    /// Runs the call until it ends. A call that is cancelled ends at once while it waits for a
    /// slot, and also while the target runs it if it is idempotent.
    pub async fn run(self, open: Open, body: Vec<u8>) {
        let deadline = Instant::now() + Duration::from_millis(u64::from(open.remaining_ms));
        if let Some(refusal) = self.server.refusal(&open.service, &open.version) {
            return self.session().refuse(self.sequence(), refusal).await;
        }
        let slot = self.server.slot_queue.acquire(deadline);
        let permit = match self.open_call.until_cancelled(slot).await {
            Some(Ok(permit)) => permit,
            Some(Err(refusal)) => return self.session().refuse(self.sequence(), refusal).await,
            None => return,
        };
        if !self.open_call.hand_over() {
            // Cancelled while it waited for a slot; the cancellation was answered already.
            return;
        }
        let idempotent = open.idempotent;
        let execution = self.execute(open, body, deadline, permit);
        if !idempotent {
            return execution.await;
        }
        if self.open_call.until_cancelled(execution).await.is_none() {
            log::info!(call = self.sequence(); "broken off, its caller left");
            self.deregister_credits();
            self.reply_failed(Failure::Deadline).await;
        }
    }

    /// Sends the call to the target and the response to the origin.
    async fn execute(&self, open: Open, body: Vec<u8>, deadline: Instant, permit: Permit) {
        let result = or(self.server.client.call(open, body, deadline), async {
            Timer::at(deadline + ABANDON_AFTER).await;
            Err(target::Error::Abandoned)
        });
        match result.await {
            Ok(response) => self.send_response(response, permit).await,
            Err(error) => self.handle_error(error, permit).await,
        }
    }

    fn session(&self) -> &Session {
        &self.open_call.session
    }

    fn sequence(&self) -> u64 {
        self.open_call.sequence
    }

    async fn handle_error(&self, error: target::Error, permit: Permit) {
        drop(permit);
        log::info!(call = self.sequence(); "target: {error}");
        let failure = match error {
            target::Error::Malformed(_) => return self.refuse_unsent(Refusal::Incomplete).await,
            target::Error::Connect { .. } => return self.refuse_unsent(Refusal::Unreachable).await,
            target::Error::Exchange { .. } => Failure::TargetLost,
            target::Error::Abandoned => Failure::Deadline,
        };
        self.reply_failed(failure).await;
    }

    /// Refuses a call that was handed over but not run, since no byte of it reached the target.
    async fn refuse_unsent(&self, reason: Refusal) {
        let sequence = self.sequence();
        let withdrawn = {
            let mut ledger = self.session().ledger.lock().expect("ledger lock");
            ledger.mark_not_run(sequence, Instant::now())
        };
        if withdrawn {
            let refused = Frame::Refused(Refused::new(sequence, reason));
            self.session().reply(refused).await;
        }
    }

    /// Records that the response cannot be delivered any more.
    fn mark_lost(&self) {
        let mut ledger = self.session().ledger.lock().expect("ledger lock");
        ledger.mark_lost(self.sequence(), Instant::now());
    }

    async fn reply_failed(&self, reason: Failure) {
        let sequence = self.sequence();
        self.mark_lost();
        self.session()
            .reply(Frame::Failed(Failed { sequence, reason }))
            .await;
    }

    async fn send_response(&self, response: Response, permit: Permit) {
        let Response { head, mut body } = response;
        let mut prefix = Vec::new();
        if head.length.is_none_or(|length| length <= MAX_WHOLE_BYTES) {
            match read_prefix(&mut body, &mut prefix).await {
                Ok(true) => return self.send_whole(&head, prefix, permit).await,
                Ok(false) => {}
                Err(error) => {
                    log::info!(call = self.sequence(); "target: answer: {error}");
                    drop(permit);
                    return self.reply_failed(Failure::TargetLost).await;
                }
            }
        }
        let head = self.head(&head, head.length);
        let credits = self.register_credits();
        let streaming_result = self.stream(head, prefix, body, &credits).await;
        drop(permit);
        self.deregister_credits();
        let sequence = self.sequence();
        self.mark_lost();
        if let Err(error) = streaming_result {
            log::info!(call = sequence; "target: answer: {error}");
            let reason = Failure::TargetLost;
            let failed = Frame::Failed(Failed { sequence, reason });
            let _ = self.outgoing.send(failed).await;
        }
    }

    /// Stores a whole response for later queries, and sends it.
    async fn send_whole(&self, head: &target::Head, body: Vec<u8>, permit: Permit) {
        let head = self.head(head, Some(body.len() as u64));
        drop(permit);
        let whole_response = Arc::new(WholeResponse { head, body });
        let bytes = whole_response.body.len() + size_of::<WholeResponse>();
        {
            let mut ledger = self.session().ledger.lock().expect("ledger lock");
            ledger.store_response(
                self.sequence(),
                Arc::clone(&whole_response),
                bytes,
                Instant::now(),
            );
        }
        self.session().send(&whole_response).await;
    }

    fn head(&self, response: &target::Head, length: Option<u64>) -> Head {
        let (in_flight, slots) = self.server.slot_queue.load();
        Head {
            sequence: self.sequence(),
            status: response.status,
            headers: response.headers.clone(),
            length,
            target_micros: u32::try_from(response.elapsed.as_micros()).unwrap_or(u32::MAX),
            in_flight,
            slots,
        }
    }

    fn register_credits(&self) -> Receiver<u32> {
        let (sender, receiver) = unbounded();
        let mut credits = self.session().credits.lock().expect("credits lock");
        credits.insert(self.sequence(), sender);
        receiver
    }

    fn deregister_credits(&self) {
        let mut credits = self.session().credits.lock().expect("credits lock");
        credits.remove(&self.sequence());
    }

    /// Streams a long response as the origin grants credit; it is not stored for later queries.
    async fn stream(
        &self,
        head: Head,
        prefix: Vec<u8>,
        body: Body,
        credits: &Receiver<u32>,
    ) -> io::Result<()> {
        let length = head.length;
        self.send(Frame::Head(head)).await?;
        let mut body = Cursor::new(prefix).chain(body);
        let mut credit = u64::from(WINDOW_BYTES);
        let mut offset = 0;
        loop {
            let mut bytes = vec![0; MAX_CHUNK_BYTES];
            let filled = fill(&mut body, &mut bytes).await?;
            bytes.truncate(filled);
            let end = offset + filled as u64;
            let last = filled == 0 || length == Some(end);
            if last && length.is_some_and(|length| length != end) {
                return Err(io::ErrorKind::UnexpectedEof.into());
            }
            while credit < filled as u64 {
                credit += u64::from(with_stall_timeout(next_credit(credits)).await?);
            }
            credit -= filled as u64;
            let sequence = self.sequence();
            self.send(Frame::Chunk(Chunk {
                sequence,
                offset,
                bytes,
                last,
            }))
            .await?;
            if last {
                return Ok(());
            }
            offset = end;
        }
    }

    async fn send(&self, frame: Frame) -> io::Result<()> {
        let sent = self.outgoing.send(frame).await;
        sent.map_err(|_| io::ErrorKind::ConnectionAborted.into())
    }
}

/// Reads a body until it is longer than [`MAX_WHOLE_BYTES`]; returns true if it ended before that.
async fn read_prefix(body: &mut Body, prefix: &mut Vec<u8>) -> io::Result<bool> {
    let mut bytes = vec![0; MAX_CHUNK_BYTES];
    while prefix.len() as u64 <= MAX_WHOLE_BYTES {
        let read = with_stall_timeout(body.read(&mut bytes)).await?;
        if read == 0 {
            return Ok(true);
        }
        prefix.extend_from_slice(&bytes[..read]);
    }
    Ok(false)
}

/// Reads until the buffer is full or the body ends; returns the number of bytes read.
async fn fill(body: &mut (impl AsyncRead + Unpin), bytes: &mut [u8]) -> io::Result<usize> {
    let mut filled = 0;
    while filled < bytes.len() {
        let read = with_stall_timeout(body.read(&mut bytes[filled..])).await?;
        if read == 0 {
            break;
        }
        filled += read;
    }
    Ok(filled)
}

async fn next_credit(credits: &Receiver<u32>) -> io::Result<u32> {
    let credit = credits.recv().await;
    credit.map_err(|_| io::ErrorKind::ConnectionAborted.into())
}

async fn with_stall_timeout<T>(step: impl Future<Output = io::Result<T>>) -> io::Result<T> {
    or(step, async {
        Timer::after(STALL_TIMEOUT).await;
        Err(io::ErrorKind::TimedOut.into())
    })
    .await
}
