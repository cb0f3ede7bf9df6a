//! One multiplexed connection.

use super::stream;
use fulmarreel_wire::{
    Hello, PROTOCOL, Purpose,
    call::{Chunk, Failed, Frame, Head, Refused},
};
use smol::{
    channel::{Receiver, Sender, bounded, unbounded},
    net::TcpStream,
};
use std::{
    collections::HashMap,
    io,
    net::SocketAddr,
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, Ordering},
    },
};

/// Frames that may wait to be written before their senders wait.
const QUEUED_FRAMES: usize = 256;

/// What happened to a call on a connection.
#[derive(Debug)]
pub enum Event {
    /// Status and headers arrived.
    Head(Head),
    /// Part of the body arrived.
    Chunk(Chunk),
    /// The call was not run.
    Refused(Refused),
    /// The call may have run, and its answer cannot be had.
    Failed(Failed),
}

/// One multiplexed connection to a peer.
#[derive(Debug)]
pub struct Connection {
    outgoing: Sender<Frame>,
    calls: Mutex<HashMap<u64, Sender<Event>>>,
    open: AtomicBool,
}

impl Connection {
    /// Opens a connection and starts its reader and writer.
    ///
    /// # Errors
    ///
    /// The peer cannot be reached or speaks another protocol.
    pub async fn connect(peer: SocketAddr, own: SocketAddr, boot: u64) -> io::Result<Arc<Self>> {
        let mut tcp = TcpStream::connect(peer).await?;
        tcp.set_nodelay(true)?;
        let hello = Hello {
            protocol: PROTOCOL,
            address: own,
            boot,
            purpose: Purpose::Calls,
        };
        stream::write(&mut tcp, &hello).await?;
        let (outgoing, frames) = bounded(QUEUED_FRAMES);
        let connection = Arc::new(Self {
            outgoing,
            calls: Mutex::default(),
            open: AtomicBool::new(true),
        });
        let writing = tcp.clone();
        crate::runtime::spawn(async move { write_frames(writing, &frames).await });
        let reading = Arc::clone(&connection);
        crate::runtime::spawn(async move { reading.read_frames(tcp, peer).await });
        Ok(connection)
    }

    /// Whether the connection was open when last looked at.
    pub fn is_open(&self) -> bool {
        self.open.load(Ordering::Acquire)
    }

    /// Registers a call; its events arrive until the receiver is dropped or the connection ends.
    pub fn register(&self, sequence: u64) -> Receiver<Event> {
        let (events, receiver) = unbounded();
        let mut calls = self.calls.lock().expect("calls lock");
        calls.insert(sequence, events);
        receiver
    }

    /// Forgets a call; what still arrives for it is dropped.
    pub fn forget(&self, sequence: u64) {
        self.calls.lock().expect("calls lock").remove(&sequence);
    }

    /// Queues a frame; false where the connection is closed.
    pub async fn send(&self, frame: Frame) -> bool {
        self.outgoing.send(frame).await.is_ok()
    }

    async fn read_frames(&self, mut tcp: TcpStream, peer: SocketAddr) {
        loop {
            match stream::read::<Frame, _>(&mut tcp).await {
                Ok(frame) => self.dispatch(frame),
                Err(error) => {
                    log::debug!("connection to {peer}: {error}");
                    break;
                }
            }
        }
        self.open.store(false, Ordering::Release);
        self.outgoing.close();
        self.calls.lock().expect("calls lock").clear();
    }

    fn dispatch(&self, frame: Frame) {
        let (sequence, event) = match frame {
            Frame::Head(head) => (head.sequence, Event::Head(head)),
            Frame::Chunk(chunk) => (chunk.sequence, Event::Chunk(chunk)),
            Frame::Refused(refused) => (refused.sequence, Event::Refused(refused)),
            Frame::Failed(failed) => (failed.sequence, Event::Failed(failed)),
            other => {
                log::debug!("unexpected frame {other:?}");
                return;
            }
        };
        let calls = self.calls.lock().expect("calls lock");
        if let Some(call) = calls.get(&sequence) {
            // The receiver may be gone: its caller hung up.
            let _ = call.try_send(event);
        }
    }
}

async fn write_frames(mut tcp: TcpStream, frames: &Receiver<Frame>) {
    while let Ok(frame) = frames.recv().await {
        if let Err(error) = stream::write(&mut tcp, &frame).await {
            log::debug!("connection: {error}");
            break;
        }
    }
    frames.close();
}
