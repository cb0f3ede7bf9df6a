//! Notices: UDP datagrams between nodes, about contact with the store, rollouts and quotas.

use super::{boot_clock, context::Context, quota::Quotas, sync::pull, takeover::Rollouts};
use fulmarreel_distribution::{AnnouncementSchedule, fanout::branches};
use fulmarreel_wire::{
    PROTOCOL,
    notice::{Datagram, MAX_DATAGRAM_BYTES, Notice, ReaderContact},
};
use smol::{Async, Timer, future::or, lock::Mutex, net::UdpSocket};
use std::{
    io,
    net::{self, SocketAddr},
    sync::Arc,
    time::{Duration, Instant},
};

/// The mean interval at which a node gossips the store revision that it knows.
const GOSSIP_INTERVAL: Duration = Duration::from_millis(1_000);

/// How often the sender checks for notices that are due.
const CHECK_INTERVAL: Duration = Duration::from_millis(100);

/// How often the socket is checked for unread notices while the age of the mirror has to be proved: a
/// notice may have waited since the last check.
const EMPTY_CHECK_INTERVAL: Duration = Duration::from_millis(100);

/// How long a node waits for its region's readers to announce a revision before it fetches that
/// revision from the node that gossiped it.
const READER_HEAD_START: Duration = Duration::from_millis(400);

/// As of when a reader knew all that the store had, by its notice.
#[derive(Debug, Clone, Copy)]
struct ContactTime {
    /// Counted from when the notice was read, with an allowance for a pause of this process; see
    /// [`Context::time_of`].
    confirmed: Option<Instant>,
    /// Counted from the earliest time at which the notice can have arrived; see
    /// [`Context::earliest_time_of_notice`].
    proved: Option<Instant>,
}

/// The socket over which the node sends and receives notices.
#[derive(Debug)]
pub struct NoticeSocket {
    context: Arc<Context>,
    socket: UdpSocket,
    /// Held during a pull, so that there is one at a time.
    pull_lock: Mutex<()>,
}

impl NoticeSocket {
    /// Binds the socket.
    ///
    /// # Errors
    ///
    /// The address cannot be bound.
    pub async fn bind(context: Arc<Context>) -> io::Result<Arc<Self>> {
        let socket = UdpSocket::bind(context.settings().peer_address).await?;
        let pull_lock = Mutex::default();
        Ok(Arc::new(Self {
            context,
            socket,
            pull_lock,
        }))
    }

    /// Sends a notice without any guarantee of delivery; callers repeat what matters.
    pub async fn send(&self, to: SocketAddr, notice: Notice) {
        let datagram = Datagram {
            protocol: PROTOCOL,
            from: self.context.settings().peer_address,
            notice,
        };
        let sent = match datagram.encode() {
            Ok(bytes) => self.socket.send_to(&bytes, to).await.map(|_| ()),
            Err(error) => Err(io::Error::other(error)),
        };
        if let Err(error) = sent {
            log::debug!(peer:% = to; "notice not sent: {error}");
        }
    }

    /// Sends a notice to every other node.
    pub async fn send_all(&self, notice: &Notice) {
        let own = self.context.settings().peer_address;
        for (address, _) in &self.context.view().nodes {
            if *address != own {
                self.send(*address, notice.clone()).await;
            }
        }
    }

    /// Tells other nodes what this one knows of the store, until the process ends.
    pub async fn send_store_notices(self: Arc<Self>) {
        let mut schedule = AnnouncementSchedule::default();
        let mut next_gossip = Instant::now();
        loop {
            or(self.context.wait_for_store_response(), async {
                Timer::after(CHECK_INTERVAL).await;
            })
            .await;
            self.context.update_reader_role();
            let (known_as_of, revision) = self.context.announced_knowledge();
            let now = Instant::now();
            let is_reading = self.context.is_reader_in_contact();
            if schedule.is_due(is_reading, revision, now) {
                self.announce_contact(is_reading, revision, known_as_of)
                    .await;
            }
            if now >= next_gossip && revision > 0 {
                next_gossip = now + GOSSIP_INTERVAL.mul_f64(0.5 + fastrand::f64());
                self.gossip_revision(revision).await;
            }
        }
    }

    /// Announces to the nodes of this region, over a tree, whether this one reads the store: the first
    /// node of each branch forwards the announcement to the others of its branch.
    async fn announce_contact(
        &self,
        is_reading: bool,
        revision: u64,
        known_as_of: Option<Instant>,
    ) {
        let mut region_nodes = self.other_nodes(true);
        fastrand::shuffle(&mut region_nodes);
        for branch in branches(&region_nodes) {
            let mut members = branch.members.into_iter();
            let Some(first) = members.next() else {
                continue;
            };
            let contact = ReaderContact {
                reader: self.context.settings().peer_address,
                is_reading,
                revision,
                age_ms: age_ms(known_as_of),
                forward_to: members.collect(),
            };
            self.send(first, Notice::Contact(contact)).await;
        }
    }

    /// Sends the store revision that this node knows to one random node of its region and, if this node
    /// is a reader, to one of another region.
    async fn gossip_revision(&self, revision: u64) {
        let remote_nodes = if self.context.is_reader() {
            self.other_nodes(false)
        } else {
            Vec::new()
        };
        for nodes in [self.other_nodes(true), remote_nodes] {
            if let Some(to) = fastrand::choice(&nodes) {
                self.send(*to, Notice::Revision(revision)).await;
            }
        }
    }

    /// The other nodes of this region, or the nodes of other regions.
    fn other_nodes(&self, in_region: bool) -> Vec<SocketAddr> {
        let own = self.context.settings().peer_address;
        let view = self.context.view();
        let nodes = view.nodes.iter();
        let others = nodes.filter(|node| node.1 == in_region && node.0 != own);
        others.map(|node| node.0).collect()
    }

    /// Receives and handles notices until the process ends.
    pub async fn receive(self: Arc<Self>, rollouts: Arc<Rollouts>, quotas: Arc<Quotas>) {
        let mut buffer = [0; 2 * MAX_DATAGRAM_BYTES];
        loop {
            let received = self.receive_datagram(&mut buffer).await;
            let (length, peer) = match received {
                Ok(received) => received,
                Err(error) => {
                    log::debug!("receiving a notice failed: {error}");
                    continue;
                }
            };
            match Datagram::decode(&buffer[..length]) {
                Ok(datagram) if datagram.protocol == PROTOCOL => {
                    self.handle(&rollouts, &quotas, datagram);
                }
                Ok(datagram) => log::warn!(
                    "notice from {peer} ignored: its protocol version is {}",
                    datagram.protocol
                ),
                Err(error) => log::warn!("notice from {peer} ignored: {error}"),
            }
        }
    }

    /// Receives one datagram, and records when none was unread before.
    async fn receive_datagram(&self, buffer: &mut [u8]) -> io::Result<(usize, SocketAddr)> {
        let socket: Arc<Async<net::UdpSocket>> = self.socket.clone().into();
        loop {
            let checked_at = boot_clock::now();
            match socket.get_ref().recv_from(buffer) {
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => {
                    self.context.record_empty_notice_queue(checked_at);
                }
                received => return received,
            }
            let check = async {
                if !self.context.needs_proof() {
                    std::future::pending::<()>().await;
                }
                Timer::after(EMPTY_CHECK_INTERVAL).await;
                Ok(())
            };
            or(socket.readable(), check).await?;
        }
    }

    fn handle(self: &Arc<Self>, rollouts: &Rollouts, quotas: &Arc<Quotas>, datagram: Datagram) {
        let from = datagram.from;
        match datagram.notice {
            Notice::Revision(revision) => self.handle_revision(from, revision),
            Notice::Contact(contact) => self.handle_contact(from, contact),
            Notice::RolloutCounts(_)
            | Notice::ShareGrant(_)
            | Notice::VersionBad { .. }
            | Notice::RolloutCompleted { .. } => {
                if let Some(reply) = rollouts.handle(from, datagram.notice) {
                    self.reply(from, reply);
                }
            }
            notice @ (Notice::QuotaReport(_)
            | Notice::QuotaAnswer(_)
            | Notice::QuotaCoordinator(_)
            | Notice::QuotaLoanRequest(_)
            | Notice::QuotaLoan(_)) => {
                if let Some(reply) = quotas.handle(from, &notice) {
                    self.reply(from, reply);
                }
            }
        }
    }

    fn reply(self: &Arc<Self>, to: SocketAddr, notice: Notice) {
        let notices = Arc::clone(self);
        crate::runtime::spawn(async move { notices.send(to, notice).await });
    }

    /// Fetches a revision that a peer knows, unless the region's readers announce it soon.
    fn handle_revision(self: &Arc<Self>, peer: SocketAddr, revision: u64) {
        self.context.record_peer_revision(revision);
        if revision <= self.context.revision() {
            return;
        }
        let notices = Arc::clone(self);
        crate::runtime::spawn(async move {
            Timer::after(READER_HEAD_START).await;
            notices.catch_up(peer, revision).await;
        });
    }

    /// Records a reader's contact with the store, fetches what is new, and passes the announcement on.
    fn handle_contact(self: &Arc<Self>, from: SocketAddr, contact: ReaderContact) {
        let context = &self.context;
        context.record_peer_revision(contact.revision);
        // A notice that was queued while this process was paused dates from before the pause.
        if let Some(sent_at) = context.time_of(Duration::ZERO) {
            context.record_reader(contact.reader, contact.is_reading, sent_at);
        }
        let age = Duration::from_millis(u64::from(contact.age_ms));
        let contact_at = ContactTime {
            confirmed: context.time_of(age),
            proved: context.earliest_time_of_notice(age),
        };
        let notices = Arc::clone(self);
        crate::runtime::spawn(
            async move { notices.follow_contact(from, contact, contact_at).await },
        );
    }

    /// Fetches the announced revision, and passes the announcement on; `contact_at` is when the reader
    /// knew all that the store had.
    async fn follow_contact(
        &self,
        from: SocketAddr,
        contact: ReaderContact,
        contact_at: ContactTime,
    ) {
        self.catch_up(from, contact.revision).await;
        if from != contact.reader {
            self.catch_up(contact.reader, contact.revision).await;
        }
        let context = &self.context;
        let knows_revision = context.revision() >= contact.revision;
        if contact.is_reading && knows_revision {
            if let Some(time) = contact_at.confirmed {
                context.confirm_known_as_of(time);
            }
            if let Some(time) = contact_at.proved {
                context.prove_known_as_of(time, contact.revision);
            }
        }
        let passed_on_time = if knows_revision && !context.needs_proof() {
            contact_at.confirmed
        } else {
            contact_at.proved
        };
        let region_nodes = self.other_nodes(true);
        for to in contact
            .forward_to
            .iter()
            .filter(|to| region_nodes.contains(to))
        {
            let passed_on = ReaderContact {
                age_ms: age_ms(passed_on_time),
                forward_to: Vec::new(),
                ..contact
            };
            self.send(*to, Notice::Contact(passed_on)).await;
        }
    }

    /// Pulls the store's changes from a peer if this node does not know `revision` yet.
    async fn catch_up(&self, peer: SocketAddr, revision: u64) {
        if revision <= self.context.revision() {
            return;
        }
        let _guard = self.pull_lock.lock().await;
        if revision <= self.context.revision() {
            return;
        }
        if let Err(error) = pull(&self.context, peer).await {
            log::info!(peer:% = peer, revision; "pull failed: {error}");
        }
    }
}

/// The age of what was known as of a time, in milliseconds.
fn age_ms(known_as_of: Option<Instant>) -> u32 {
    let age = known_as_of.map(|time| boot_clock::now().saturating_duration_since(time));
    age.and_then(|age| u32::try_from(age.as_millis()).ok())
        .unwrap_or(u32::MAX)
}
