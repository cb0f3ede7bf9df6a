//! A caller's connection that tells when the caller leaves while its request is served.
//!
//! The HTTP library reads the connection only between requests. While one is served,
//! [`Watcher::while_there`] reads ahead into a bounded buffer, which the library gets first.

use futures_lite::{AsyncRead, AsyncReadExt, AsyncWrite};
use smol::{Timer, future::or, net::TcpStream};
use std::{
    collections::VecDeque,
    io,
    pin::Pin,
    sync::{Arc, Mutex},
    task::{Context, Poll},
    time::{Duration, Instant},
};

/// Bytes that are read ahead at most.
const MAX_AHEAD: usize = 65_536;

/// Bytes that are read ahead at once.
const READ_BYTES: usize = 4_096;

/// What was read ahead.
type Ahead = Arc<Mutex<VecDeque<u8>>>;

/// A caller's connection.
#[derive(Debug)]
pub struct Transport<I> {
    tcp: TcpStream,
    ahead: Ahead,
    /// How long the connection may be idle, as of now.
    idle: I,
    /// When a byte was read or written last.
    active: Instant,
    timer: Timer,
}

/// Tells when the caller leaves.
#[derive(Debug, Clone)]
pub struct Watcher {
    tcp: TcpStream,
    ahead: Ahead,
}

impl<I: Fn() -> Duration> Transport<I> {
    /// A connection that ends after `idle` without a byte of its caller.
    pub fn new(tcp: TcpStream, idle: I) -> Self {
        Self {
            tcp,
            ahead: Ahead::default(),
            active: Instant::now(),
            timer: Timer::after(idle()),
            idle,
        }
    }

    /// Notes that the connection is in use.
    fn stay(&mut self) {
        self.active = Instant::now();
        let until = self.active + (self.idle)();
        self.timer.set_at(until);
    }

    /// A watcher of the connection.
    pub fn watcher(&self) -> Watcher {
        Watcher {
            tcp: self.tcp.clone(),
            ahead: Arc::clone(&self.ahead),
        }
    }
}

impl Watcher {
    /// Works for the caller until it leaves, which is looked at before each step of the work. Not to be
    /// awaited while a request is read.
    pub async fn while_there<W: Future>(&self, work: W) -> Option<W::Output> {
        let left = async {
            self.left().await;
            None
        };
        or(left, async { Some(work.await) }).await
    }

    async fn left(&self) {
        let mut tcp = self.tcp.clone();
        let mut bytes = [0; READ_BYTES];
        loop {
            match tcp.read(&mut bytes).await {
                Ok(0) | Err(_) => return,
                Ok(read) => {
                    let full = {
                        let mut ahead = self.ahead.lock().expect("ahead lock");
                        ahead.extend(&bytes[..read]);
                        ahead.len() >= MAX_AHEAD
                    };
                    if full {
                        // A caller that sends that much is there; it is not watched further.
                        return std::future::pending().await;
                    }
                }
            }
        }
    }
}

impl<I: Fn() -> Duration + Unpin> AsyncRead for Transport<I> {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buffer: &mut [u8],
    ) -> Poll<io::Result<usize>> {
        {
            let mut ahead = self.ahead.lock().expect("ahead lock");
            if !ahead.is_empty() {
                let read = buffer.len().min(ahead.len());
                for (to, from) in buffer.iter_mut().zip(ahead.drain(..read)) {
                    *to = from;
                }
                return Poll::Ready(Ok(read));
            }
        }
        if let Poll::Ready(read) = Pin::new(&mut self.tcp).poll_read(cx, buffer) {
            self.stay();
            return Poll::Ready(read);
        }
        if Pin::new(&mut self.timer).poll(cx).is_pending() {
            return Poll::Pending;
        }
        // The limit may have been raised since the timer was set.
        if self.active + (self.idle)() <= Instant::now() {
            return Poll::Ready(Ok(0));
        }
        let until = self.active + (self.idle)();
        self.timer.set_at(until);
        match Pin::new(&mut self.timer).poll(cx) {
            Poll::Ready(_) => Poll::Ready(Ok(0)),
            Poll::Pending => Poll::Pending,
        }
    }
}

impl<I: Fn() -> Duration + Unpin> AsyncWrite for Transport<I> {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        self.stay();
        Pin::new(&mut self.tcp).poll_write(cx, bytes)
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.tcp).poll_flush(cx)
    }

    fn poll_close(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.tcp).poll_close(cx)
    }
}

impl<I: Fn() -> Duration + Send + Sync + Unpin + 'static> trillium::Transport for Transport<I> {}
