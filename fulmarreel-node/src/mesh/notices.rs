//! Notices between nodes, over UDP: contact with the store, and what moves need.

use super::{context::Context, sync::pull, takeover::Moves};
use fulmarreel_distribution::{Announcement, fanout::branches};
use fulmarreel_wire::{
    PROTOCOL,
    notice::{Contact, Datagram, MAX_DATAGRAM_BYTES, Notice},
};
use smol::{Timer, future::or, lock::Mutex, net::UdpSocket};
use std::{
    io,
    net::SocketAddr,
    sync::Arc,
    time::{Duration, Instant},
};

/// How often a node tells some others up to which revision it knows the store.
const REVISION_INTERVAL: Duration = Duration::from_millis(1_000);

/// How often it is looked whether something is to be told.
const LOOK_INTERVAL: Duration = Duration::from_millis(100);

/// How long the region's readers have to bring a revision that some other node knows.
const READERS_FIRST: Duration = Duration::from_millis(400);

/// The node's datagram socket.
#[derive(Debug)]
pub struct Notices {
    context: Arc<Context>,
    socket: UdpSocket,
    /// Held while this node learns from another one.
    pulling: Mutex<()>,
}

impl Notices {
    /// Binds the socket.
    ///
    /// # Errors
    ///
    /// The address cannot be bound.
    pub async fn bind(context: Arc<Context>) -> io::Result<Arc<Self>> {
        let socket = UdpSocket::bind(context.settings().peers).await?;
        let pulling = Mutex::default();
        Ok(Arc::new(Self {
            context,
            socket,
            pulling,
        }))
    }

    /// Sends a notice; what is lost is said again by its sender.
    pub async fn send(&self, to: SocketAddr, notice: Notice) {
        let datagram = Datagram {
            protocol: PROTOCOL,
            from: self.context.settings().peers,
            notice,
        };
        let sent = match datagram.encode() {
            Ok(bytes) => self.socket.send_to(&bytes, to).await.map(|_| ()),
            Err(error) => Err(io::Error::other(error)),
        };
        if let Err(error) = sent {
            log::debug!(peer:% = to; "notice: {error}");
        }
    }

    /// Sends a notice to every other node.
    pub async fn send_all(&self, notice: &Notice) {
        let own = self.context.settings().peers;
        for (address, _) in &self.context.view().nodes {
            if *address != own {
                self.send(*address, notice.clone()).await;
            }
        }
    }

    /// Tells others what is known of the store, until the process ends.
    pub async fn tell(self: Arc<Self>) {
        let mut announcement = Announcement::default();
        let mut gossip = Instant::now();
        loop {
            or(self.context.news(), async {
                Timer::after(LOOK_INTERVAL).await;
            })
            .await;
            self.context.decide_duty();
            let (now, revision) = (Instant::now(), self.context.revision());
            let reads = self.context.is_reader();
            if announcement.is_due(reads, revision, now) {
                self.announce(reads, revision).await;
            }
            if now >= gossip && revision > 0 {
                gossip = now + REVISION_INTERVAL.mul_f64(0.5 + fastrand::f64());
                self.tell_some(revision).await;
            }
        }
    }

    /// Announces to the nodes of the own region, in branches, whether this node reads the store.
    async fn announce(&self, reads: bool, revision: u64) {
        let age = self.context.contact_age().unwrap_or(Duration::MAX);
        let mut near = self.others(true);
        fastrand::shuffle(&mut near);
        for branch in branches(&near) {
            let mut members = branch.members.into_iter();
            let Some(first) = members.next() else {
                continue;
            };
            let contact = Contact {
                reader: self.context.settings().peers,
                reads,
                revision,
                age_ms: millis(age),
                pass_on: members.collect(),
            };
            self.send(first, Notice::Contact(contact)).await;
        }
    }

    /// Tells one random node of the own region, and a reader one of another region.
    async fn tell_some(&self, revision: u64) {
        let far = if self.context.reads() {
            self.others(false)
        } else {
            Vec::new()
        };
        for nodes in [self.others(true), far] {
            if let Some(to) = fastrand::choice(&nodes) {
                self.send(*to, Notice::Revision(revision)).await;
            }
        }
    }

    /// The other nodes of the own region, or those of other regions.
    fn others(&self, near: bool) -> Vec<SocketAddr> {
        let own = self.context.settings().peers;
        let view = self.context.view();
        let nodes = view.nodes.iter();
        let others = nodes.filter(|node| node.1 == near && node.0 != own);
        others.map(|node| node.0).collect()
    }

    /// Takes in notices until the process ends.
    pub async fn receive(self: Arc<Self>, moves: Arc<Moves>) {
        let mut buffer = [0; 2 * MAX_DATAGRAM_BYTES];
        loop {
            let received = self.socket.recv_from(&mut buffer).await;
            let (length, peer) = match received {
                Ok(received) => received,
                Err(error) => {
                    log::debug!("notices: {error}");
                    continue;
                }
            };
            match Datagram::decode(&buffer[..length]) {
                Ok(datagram) if datagram.protocol == PROTOCOL => self.take(&moves, datagram),
                Ok(datagram) => log::warn!("notice from {peer}: protocol {}", datagram.protocol),
                Err(error) => log::warn!("notice from {peer}: {error}"),
            }
        }
    }

    fn take(self: &Arc<Self>, moves: &Moves, datagram: Datagram) {
        let from = datagram.from;
        match datagram.notice {
            Notice::Revision(revision) => self.hear_revision(from, revision),
            Notice::Contact(contact) => self.hear_contact(from, contact),
            Notice::Tally(_) | Notice::Share(_) | Notice::Bad { .. } | Notice::Completed { .. } => {
                if let Some(answer) = moves.handle(from, datagram.notice) {
                    let notices = Arc::clone(self);
                    crate::runtime::spawn(async move { notices.send(from, answer).await });
                }
            }
        }
    }

    /// Learns what a peer knows, unless the region's readers bring it soon.
    fn hear_revision(self: &Arc<Self>, peer: SocketAddr, revision: u64) {
        self.context.hear(revision);
        if revision <= self.context.revision() {
            return;
        }
        let notices = Arc::clone(self);
        crate::runtime::spawn(async move {
            Timer::after(READERS_FIRST).await;
            notices.catch_up(peer, revision).await;
        });
    }

    /// Takes in a reader's contact with the store, learns what is new, and passes it on.
    fn hear_contact(self: &Arc<Self>, from: SocketAddr, contact: Contact) {
        let context = &self.context;
        context.hear(contact.revision);
        // What waited while this process was paused refers to before that.
        if let Some(sent) = context.date(Duration::ZERO) {
            context.hear_reader(contact.reader, contact.reads, sent);
        }
        let known = context.date(Duration::from_millis(u64::from(contact.age_ms)));
        let notices = Arc::clone(self);
        crate::runtime::spawn(async move { notices.follow(from, contact, known).await });
    }

    async fn follow(&self, from: SocketAddr, contact: Contact, known: Option<Instant>) {
        self.catch_up(from, contact.revision).await;
        if from != contact.reader {
            self.catch_up(contact.reader, contact.revision).await;
        }
        if let Some(known) = known
            && contact.reads
            && self.context.revision() >= contact.revision
        {
            self.context.confirm(known);
        }
        let near = self.others(true);
        let passed = Contact {
            age_ms: known.map_or(u32::MAX, |known| millis(known.elapsed())),
            pass_on: Vec::new(),
            ..contact
        };
        for to in contact.pass_on.iter().filter(|to| near.contains(to)) {
            self.send(*to, Notice::Contact(passed.clone())).await;
        }
    }

    /// Learns what a peer knows, where this node does not know a revision yet.
    async fn catch_up(&self, peer: SocketAddr, revision: u64) {
        if revision <= self.context.revision() {
            return;
        }
        let _one = self.pulling.lock().await;
        if revision <= self.context.revision() {
            return;
        }
        if let Err(error) = pull(&self.context, peer).await {
            log::info!(peer:% = peer, revision; "pull: {error}");
        }
    }
}

fn millis(age: Duration) -> u32 {
    u32::try_from(age.as_millis()).unwrap_or(u32::MAX)
}
