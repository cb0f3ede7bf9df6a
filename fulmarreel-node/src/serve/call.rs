//! One call on its way to the target and back.

use super::{
    Server,
    gate::Permit,
    open::OpenCall,
    session::{Kept, Session},
};
use crate::target::{self, Answer};
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
use trillium_client::ResponseBody;

/// How long after its deadline the target may still hold the slot of a call.
const ABANDON_AFTER: Duration = Duration::from_secs(10);

/// How long the target may pause within an answer, and a caller within taking it.
const STALL_TIMEOUT: Duration = Duration::from_secs(30);

/// One call.
pub(super) struct Call {
    pub server: Arc<Server>,
    /// Who waits for it.
    pub open: OpenCall,
    /// The writer of the connection that it arrived on.
    pub outgoing: Sender<Frame>,
}

impl Call {
    /// Serves the call until its end, or until nobody waits for it any more.
    pub async fn run(self, open: Open, body: Vec<u8>) {
        let deadline = Instant::now() + Duration::from_millis(u64::from(open.remaining_ms));
        if let Some(refusal) = self.server.refusal(&open.service, &open.version) {
            return self.session().refuse(self.sequence(), refusal).await;
        }
        let slot = self.server.gate.enter(deadline);
        let permit = match self.open.while_wanted(slot).await {
            Some(Ok(permit)) => permit,
            Some(Err(refusal)) => return self.session().refuse(self.sequence(), refusal).await,
            None => return,
        };
        if !self.open.hand_over() {
            // Cancelled while it waited; that was said already.
            return;
        }
        let idempotent = open.idempotent;
        let work = self.work(open, body, deadline, permit);
        if !idempotent {
            return work.await;
        }
        if self.open.while_wanted(work).await.is_none() {
            log::info!(call = self.sequence(); "broken off, its caller left");
            self.forget_credits();
            self.lose(Failure::Deadline).await;
        }
    }

    /// Has the target run the call, and passes its answer on.
    async fn work(&self, open: Open, body: Vec<u8>, deadline: Instant, permit: Permit) {
        let called = or(self.server.client.call(open, body, deadline), async {
            Timer::at(deadline + ABANDON_AFTER).await;
            Err(target::Error::Abandoned)
        });
        match called.await {
            Ok(answer) => self.answer(answer, permit).await,
            Err(error) => self.fail(error, permit).await,
        }
    }

    fn session(&self) -> &Session {
        &self.open.session
    }

    fn sequence(&self) -> u64 {
        self.open.sequence
    }

    async fn fail(&self, error: target::Error, permit: Permit) {
        drop(permit);
        log::info!(call = self.sequence(); "target: {error}");
        let failure = match error {
            target::Error::Malformed(_) => return self.withdraw(Refusal::Incomplete).await,
            target::Error::Connect { .. } => return self.withdraw(Refusal::Unreachable).await,
            target::Error::Exchange { .. } => Failure::TargetLost,
            target::Error::Abandoned => Failure::Deadline,
        };
        self.lose(failure).await;
    }

    /// Says that the call was not run: no byte of it reached the target.
    async fn withdraw(&self, reason: Refusal) {
        let sequence = self.sequence();
        let withdrawn = {
            let mut ledger = self.session().ledger.lock().expect("ledger lock");
            ledger.withdraw(sequence, Instant::now())
        };
        if withdrawn {
            let refused = Frame::Refused(Refused::new(sequence, reason));
            self.session().reply(refused).await;
        }
    }

    /// Notes that the answer cannot be had any more.
    fn mark_lost(&self) {
        let mut ledger = self.session().ledger.lock().expect("ledger lock");
        ledger.lose(self.sequence(), Instant::now());
    }

    async fn lose(&self, reason: Failure) {
        let sequence = self.sequence();
        self.mark_lost();
        self.session()
            .reply(Frame::Failed(Failed { sequence, reason }))
            .await;
    }

    async fn answer(&self, mut answer: Answer, permit: Permit) {
        let Some(mut body) = answer.body.take() else {
            return self.finish(&answer, Vec::new(), permit).await;
        };
        let mut start = Vec::new();
        if answer.length.is_none_or(|length| length <= MAX_WHOLE_BYTES) {
            match read_start(&mut body, &mut start).await {
                Ok(true)
                    if answer
                        .length
                        .is_none_or(|length| length == start.len() as u64) =>
                {
                    return self.finish(&answer, start, permit).await;
                }
                Ok(true) => {
                    log::info!(call = self.sequence(); "target: the answer is shorter than stated");
                    drop(permit);
                    return self.lose(Failure::TargetLost).await;
                }
                Ok(false) => {}
                Err(error) => {
                    log::info!(call = self.sequence(); "target: answer: {error}");
                    drop(permit);
                    return self.lose(Failure::TargetLost).await;
                }
            }
        }
        let head = self.head(&answer, answer.length);
        let credits = self.credits();
        let streamed = self.stream(head, start, body, &credits).await;
        drop(permit);
        self.forget_credits();
        let sequence = self.sequence();
        self.mark_lost();
        if let Err(error) = streamed {
            log::info!(call = sequence; "target: answer: {error}");
            let reason = Failure::TargetLost;
            let failed = Frame::Failed(Failed { sequence, reason });
            let _ = self.outgoing.send(failed).await;
        }
    }

    /// Keeps and sends a whole answer.
    async fn finish(&self, answer: &Answer, body: Vec<u8>, permit: Permit) {
        let head = self.head(answer, Some(body.len() as u64));
        drop(permit);
        let kept = Arc::new(Kept { head, body });
        let bytes = kept.body.len() + size_of::<Kept>();
        {
            let mut ledger = self.session().ledger.lock().expect("ledger lock");
            ledger.answer(self.sequence(), Arc::clone(&kept), bytes, Instant::now());
        }
        self.session().send(&kept).await;
    }

    fn head(&self, answer: &Answer, length: Option<u64>) -> Head {
        let (in_flight, slots) = self.server.gate.load();
        Head {
            sequence: self.sequence(),
            status: answer.status,
            headers: answer.headers.clone(),
            length,
            target_micros: u32::try_from(answer.elapsed.as_micros()).unwrap_or(u32::MAX),
            in_flight,
            slots,
        }
    }

    fn credits(&self) -> Receiver<u32> {
        let (sender, receiver) = unbounded();
        let mut credits = self.session().credits.lock().expect("credits lock");
        credits.insert(self.sequence(), sender);
        receiver
    }

    fn forget_credits(&self) {
        let mut credits = self.session().credits.lock().expect("credits lock");
        credits.remove(&self.sequence());
    }

    /// Sends a long answer as its reader takes it; it is not kept.
    async fn stream(
        &self,
        head: Head,
        start: Vec<u8>,
        body: ResponseBody<'static>,
        credits: &Receiver<u32>,
    ) -> io::Result<()> {
        let length = head.length;
        self.send(Frame::Head(head)).await?;
        let mut body = Cursor::new(start).chain(body);
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
                credit += u64::from(timely(recv(credits)).await?);
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

/// Reads the start of a body; true where that is all of it.
async fn read_start(body: &mut ResponseBody<'static>, start: &mut Vec<u8>) -> io::Result<bool> {
    let mut bytes = vec![0; MAX_CHUNK_BYTES];
    while start.len() as u64 <= MAX_WHOLE_BYTES {
        let read = timely(body.read(&mut bytes)).await?;
        if read == 0 {
            return Ok(true);
        }
        start.extend_from_slice(&bytes[..read]);
    }
    Ok(false)
}

/// Reads until the buffer is full or the body ends.
async fn fill(body: &mut (impl AsyncRead + Unpin), bytes: &mut [u8]) -> io::Result<usize> {
    let mut filled = 0;
    while filled < bytes.len() {
        let read = timely(body.read(&mut bytes[filled..])).await?;
        if read == 0 {
            break;
        }
        filled += read;
    }
    Ok(filled)
}

async fn recv(credits: &Receiver<u32>) -> io::Result<u32> {
    let credit = credits.recv().await;
    credit.map_err(|_| io::ErrorKind::ConnectionAborted.into())
}

async fn timely<T>(step: impl Future<Output = io::Result<T>>) -> io::Result<T> {
    or(step, async {
        Timer::after(STALL_TIMEOUT).await;
        Err(io::ErrorKind::TimedOut.into())
    })
    .await
}
