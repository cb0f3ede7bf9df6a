//! A simulated fleet in virtual time: the decisions of this crate, over a network and a store that
//! fail.
//!
//! The simulation announces and catches up as the node does (`fulmarreel-node/src/mesh`,
//! `notices.rs` and `sync`).
#![allow(dead_code)]

pub mod network;
pub mod node;
pub mod store;

use fastrand::Rng;
use fulmarreel_distribution::{contact::WATCH_HOLD_TIME, fanout::branches, mirror::Change};
use fulmarreel_wire::{
    Hello, PROTOCOL, Purpose, framing,
    mirror::{Pull, Update, pack, unpack},
    notice::{Datagram, Notice, ReaderContact},
};
use network::{Endpoint, Kind, Network};
use node::{Node, Reading, Task};
use std::{
    cmp::Reverse,
    collections::{BTreeMap, BinaryHeap, VecDeque},
    net::{Ipv4Addr, SocketAddr},
    time::{Duration, Instant},
};
use store::{Call, Condition, PendingWatch, Store};

/// Time between two decisions of a node.
const DECISION_INTERVAL: Duration = Duration::from_millis(100);
/// Average time between two reports of a node's revision to random peers.
const REVISION_GOSSIP_INTERVAL: Duration = Duration::from_millis(1_000);
/// How long a node waits for the readers' announcement before it asks another peer for a revision.
const CATCH_UP_DELAY: Duration = Duration::from_millis(400);
/// How long a reader pauses after a change, to read further changes together.
const BATCH_PAUSE: Duration = Duration::from_millis(500);
const STORE_CONNECT_TIMEOUT: Duration = Duration::from_millis(800);
const STORE_RESPONSE_TIMEOUT: Duration = Duration::from_millis(1_500);
const PULL_CONNECT_TIMEOUT: Duration = Duration::from_millis(300);
const PULL_RESPONSE_TIMEOUT: Duration = Duration::from_millis(1_000);

/// Bytes of a datagram's IP and UDP headers.
const DATAGRAM_HEADER_BYTES: usize = 28;

/// Bytes of the headers that opening, using and closing a connection takes, in each direction.
const CONNECTION_HEADER_BYTES: usize = 5 * 52;

/// Bytes of a store request or response in addition to the values.
const STORE_HEADER_BYTES: usize = 400;

/// Number of datagrams that the socket of a frozen process buffers.
const MAX_BUFFERED_DATAGRAMS: usize = 200;

pub const CONFIG: &str = "op/config";

/// Something that a node's process handles. Calls and pulls are identified by their numbers.
#[derive(Debug)]
pub enum Event {
    Decide,
    /// The sender and the content.
    Datagram(usize, Notice),
    /// A peer's pull: the peer, its process, its call and the request.
    PullRequest(usize, u32, u64, Pull),
    /// The response to a pull: the call and the packed update.
    PullResponse(u64, Option<Vec<u8>>),
    PullFailed(u64),
    /// A peer and the revision to get from it.
    CatchUp(usize, u64),
    /// The call, the store's revision and the changes.
    StoreResponse(u64, u64, Option<Vec<Change>>),
    StoreFailed(u64),
    /// A pause of the loop that reads the store is over.
    ResumeReading,
}

#[derive(Debug)]
enum Occurrence {
    /// An event for a node's process: the node, the process and the event.
    Deliver(usize, u32, Event),
    /// A call reaches the store: the node, the process, the call, and for a watch the revision and
    /// the wait; without them it asks for all items.
    StoreCall(usize, u32, u64, Option<(u64, Duration)>),
    /// The wait of a watch is over; its call.
    WatchTimeout(u64),
    Write(String, Vec<u8>),
    Fault(Fault),
}

/// A fault that is injected into the fleet. The flag of a cut is false where it ends.
#[derive(Debug, Clone, PartialEq)]
pub enum Fault {
    Kill(usize),
    Start(usize),
    Freeze(usize),
    Unfreeze(usize),
    Cut(usize, bool),
    CutRegion(usize, bool),
    Loss(f64),
    Store(Condition),
    Refuse(Vec<usize>),
}

pub struct Fleet {
    pub now: Instant,
    pub started_at: Instant,
    pub nodes: Vec<Node>,
    pub store: Store,
    pub network: Network,
    pub rng: Rng,
    /// Called after each event that a node has handled, with the node's index.
    pub check: fn(&Fleet, usize),
    inboxes: Vec<Vec<Event>>,
    queue: BinaryHeap<Reverse<(Instant, u64)>>,
    scheduled: BTreeMap<u64, Occurrence>,
    last_number: u64,
}

impl Fleet {
    /// A fleet with regions of the given sizes and the store in the first one. No node runs yet.
    pub fn new(regions: &[usize], seed: u64) -> Self {
        let now = Instant::now() + Duration::from_secs(1_000);
        let sizes = regions.iter().enumerate();
        let regions: Vec<usize> = sizes
            .flat_map(|(region, size)| std::iter::repeat_n(region, *size))
            .collect();
        let mut store = Store::default();
        for (index, region) in regions.iter().enumerate() {
            store.write(&format!("n/{index:04}"), vec![*region as u8], now);
        }
        let nodes = regions.iter().enumerate();
        let nodes: Vec<Node> = nodes
            .map(|(index, region)| Node {
                up: false,
                ..Node::new(address(index), *region, now, 0.0)
            })
            .collect();
        Self {
            now,
            started_at: now,
            store,
            network: Network::new(nodes.len()),
            rng: Rng::with_seed(seed),
            check: |_, _| (),
            inboxes: nodes.iter().map(|_| Vec::new()).collect(),
            nodes,
            queue: BinaryHeap::new(),
            scheduled: BTreeMap::new(),
            last_number: 0,
        }
    }

    pub fn elapsed(&self) -> Duration {
        self.now - self.started_at
    }

    /// Schedules a fault at a time after the start of the simulation.
    pub fn schedule_fault(&mut self, at: Duration, fault: Fault) {
        self.schedule(self.started_at + at, Occurrence::Fault(fault));
    }

    pub fn schedule_write(&mut self, at: Duration, key: &str, value: Vec<u8>) {
        self.schedule(
            self.started_at + at,
            Occurrence::Write(key.to_owned(), value),
        );
    }

    /// Runs until a time after the start of the simulation.
    pub fn run_until(&mut self, at: Duration) {
        let end = self.started_at + at;
        while let Some(Reverse((time, number))) = self.queue.peek().copied() {
            if time > end {
                break;
            }
            self.queue.pop();
            self.now = time;
            let occurrence = self
                .scheduled
                .remove(&number)
                .expect("a scheduled occurrence");
            self.process(occurrence);
        }
        self.now = end;
    }

    fn schedule(&mut self, at: Instant, occurrence: Occurrence) {
        self.last_number += 1;
        self.scheduled.insert(self.last_number, occurrence);
        self.queue.push(Reverse((at, self.last_number)));
    }

    fn schedule_event(&mut self, node: usize, wait: Duration, event: Event) {
        let process = self.nodes[node].process;
        self.schedule(self.now + wait, Occurrence::Deliver(node, process, event));
    }

    fn next_number(&mut self) -> u64 {
        self.last_number += 1;
        self.last_number
    }

    fn endpoint(&self, node: usize) -> Endpoint {
        Endpoint {
            node: Some(node),
            region: self.nodes[node].region,
        }
    }

    fn store_endpoint(&self) -> Endpoint {
        Endpoint {
            node: None,
            region: 0,
        }
    }

    fn process(&mut self, occurrence: Occurrence) {
        match occurrence {
            Occurrence::Deliver(node, process, event) => self.deliver(node, process, event),
            Occurrence::StoreCall(node, process, call, after) => {
                self.serve_store_call(node, process, call, after);
            }
            Occurrence::WatchTimeout(call) => {
                let mut watches = std::mem::take(&mut self.store.pending_watches);
                let ended = watches.extract_if(.., |watch| watch.call == call);
                let ended: Vec<PendingWatch> = ended.collect();
                self.store.pending_watches = watches;
                for watch in ended {
                    self.answer_watch(watch);
                }
            }
            Occurrence::Write(key, value) => {
                self.store.write(&key, value, self.now);
                for watch in std::mem::take(&mut self.store.pending_watches) {
                    self.answer_watch(watch);
                }
            }
            Occurrence::Fault(fault) => self.apply_fault(fault),
        }
    }

    fn apply_fault(&mut self, fault: Fault) {
        match fault {
            Fault::Kill(node) => {
                self.nodes[node].up = false;
                self.nodes[node].process += 1;
                self.inboxes[node].clear();
            }
            Fault::Start(node) => self.start(node),
            Fault::Freeze(node) => self.nodes[node].frozen = self.nodes[node].up,
            Fault::Unfreeze(node) => {
                self.nodes[node].frozen = false;
                let process = self.nodes[node].process;
                for event in std::mem::take(&mut self.inboxes[node]) {
                    self.schedule(self.now, Occurrence::Deliver(node, process, event));
                }
            }
            Fault::Cut(node, true) => _ = self.network.cut.insert(node),
            Fault::Cut(node, false) => _ = self.network.cut.remove(&node),
            Fault::CutRegion(region, true) => _ = self.network.cut_regions.insert(region),
            Fault::CutRegion(region, false) => _ = self.network.cut_regions.remove(&region),
            Fault::Loss(part) => self.network.loss = part,
            Fault::Store(condition) => {
                self.store.condition = condition;
                if condition == Condition::Down {
                    for watch in std::mem::take(&mut self.store.pending_watches) {
                        let delay = self
                            .network
                            .delay(self.store_endpoint(), self.endpoint(watch.node));
                        let event = Event::StoreFailed(watch.call);
                        let event = Occurrence::Deliver(watch.node, watch.process, event);
                        self.schedule(self.now + delay, event);
                    }
                }
            }
            Fault::Refuse(nodes) => self.store.refused = nodes.into_iter().collect(),
        }
    }

    fn start(&mut self, index: usize) {
        if self.nodes[index].up {
            return;
        }
        let spread = self.rng.f64();
        let node = &self.nodes[index];
        let mut started = Node::new(node.address, node.region, self.now, spread);
        started.process = node.process + 1;
        self.nodes[index] = started;
        self.inboxes[index].clear();
        self.schedule_event(index, Duration::ZERO, Event::ResumeReading);
        let first = DECISION_INTERVAL.mul_f64(self.rng.f64());
        self.schedule_event(index, first, Event::Decide);
    }

    fn deliver(&mut self, index: usize, process: u32, event: Event) {
        let node = &self.nodes[index];
        if !node.up || node.process != process {
            return;
        }
        if node.frozen {
            let inbox = &mut self.inboxes[index];
            let is_full = inbox.len() >= MAX_BUFFERED_DATAGRAMS;
            if !(is_full && matches!(event, Event::Datagram(..))) {
                inbox.push(event);
            }
            return;
        }
        self.handle(index, event);
        (self.check)(self, index);
    }

    fn handle(&mut self, index: usize, event: Event) {
        match event {
            Event::Decide => {
                self.decide(index);
                self.schedule_event(index, DECISION_INTERVAL, Event::Decide);
            }
            Event::Datagram(from, Notice::Contact(contact)) => {
                self.receive_contact(index, from, contact);
            }
            Event::Datagram(from, Notice::Revision(revision)) => {
                let now = self.now;
                self.nodes[index]
                    .copy_freshness
                    .record_peer_revision(revision, now);
                if revision > self.nodes[index].revision() {
                    self.schedule_event(index, CATCH_UP_DELAY, Event::CatchUp(from, revision));
                }
            }
            Event::Datagram(..) => (),
            Event::PullRequest(from, process, call, pull) => {
                self.answer_pull(index, from, process, call, &pull);
            }
            Event::CatchUp(peer, revision) => self.add_task(
                index,
                Task {
                    peers: VecDeque::from([peer]),
                    revision,
                    contact: None,
                },
            ),
            Event::PullResponse(call, packed) => self.receive_update(index, call, packed),
            Event::PullFailed(call) => {
                if self.nodes[index].pulling.is_some_and(|pull| pull.0 == call) {
                    self.nodes[index].pulling = None;
                    self.run_tasks(index);
                }
            }
            Event::StoreResponse(call, revision, changes) => {
                self.receive_store_response(index, call, revision, changes);
            }
            Event::StoreFailed(call) => self.fail_store_call(index, call),
            Event::ResumeReading => {
                let now = self.now;
                let node = &mut self.nodes[index];
                if node.reading == Reading::Pause(true) {
                    node.contact.record_response(now);
                    node.readers.record_response(now);
                }
                self.nodes[index].reading = Reading::Idle;
                self.call_store(index);
            }
        }
    }

    // Announcements and decisions, as in `notices.rs`.

    fn decide(&mut self, index: usize) {
        let now = self.now;
        let node = &mut self.nodes[index];
        node.copy_freshness.observe(now);
        let lags = node.lags(now);
        let mut members = node.region_peers.clone();
        members.push(node.address);
        let before = node.readers.reads();
        let reads = node.readers.decide(&members, lags, now);
        if reads && !before {
            self.call_store(index);
        }
        if !reads && before && matches!(self.nodes[index].reading, Reading::Call(_)) {
            self.nodes[index].reading = Reading::Idle;
        }
        self.announce_if_due(index);
    }

    fn announce_if_due(&mut self, index: usize) {
        let now = self.now;
        let node = &mut self.nodes[index];
        let revision = node.revision();
        let reads = node.is_reader(now);
        if node.announcement_schedule.is_due(reads, revision, now) {
            self.announce_contact(index, reads, revision);
        }
        if now >= self.nodes[index].next_gossip && revision > 0 {
            let wait = REVISION_GOSSIP_INTERVAL.mul_f64(0.5 + self.rng.f64());
            self.nodes[index].next_gossip = now + wait;
            self.gossip_revision(index, revision);
        }
    }

    fn announce_contact(&mut self, index: usize, reads: bool, revision: u64) {
        let node = &self.nodes[index];
        let age = node.copy_freshness.age(self.now).unwrap_or(Duration::MAX);
        let (reader, mut region_peers) = (node.address, node.region_peers.clone());
        self.rng.shuffle(&mut region_peers);
        for branch in branches(&region_peers) {
            let contact = ReaderContact {
                reader,
                is_reading: reads,
                revision,
                age_ms: millis(age),
                forward_to: branch.members[1..].to_vec(),
            };
            self.send(index, branch.members[0], Notice::Contact(contact));
        }
    }

    fn gossip_revision(&mut self, index: usize, revision: u64) {
        let node = &self.nodes[index];
        let region_peer = self.rng.choice(&node.region_peers).copied();
        let remote_peer = if node.readers.reads() {
            self.rng.choice(&node.remote_peers).copied()
        } else {
            None
        };
        for to in region_peer.into_iter().chain(remote_peer) {
            self.send(index, to, Notice::Revision(revision));
        }
    }

    fn send(&mut self, from: usize, to: SocketAddr, notice: Notice) {
        let kind = match notice {
            Notice::Contact(_) => Kind::Contact,
            _ => Kind::Revision,
        };
        let datagram = Datagram {
            protocol: PROTOCOL,
            from: self.nodes[from].address,
            notice,
        };
        let bytes = datagram.encode().expect("a datagram").len() + DATAGRAM_HEADER_BYTES;
        let to = index(to);
        let (one, other) = (self.endpoint(from), self.endpoint(to));
        let delay = self.network.send(one, other, kind, bytes, self.now);
        if self.network.passes(one, other) && !self.network.is_lost(&mut self.rng) {
            self.schedule_event(to, delay, Event::Datagram(from, datagram.notice));
        }
    }

    fn receive_contact(&mut self, node_index: usize, from: usize, contact: ReaderContact) {
        let now = self.now;
        let node = &mut self.nodes[node_index];
        node.copy_freshness
            .record_peer_revision(contact.revision, now);
        match node.copy_freshness.earliest_time_of(Duration::ZERO, now) {
            Some(sent) if contact.is_reading => node.readers.record_reader(contact.reader, sent),
            Some(_) => node.readers.remove_reader(contact.reader),
            None => (),
        }
        let time = node
            .copy_freshness
            .earliest_time_of(Duration::from_millis(u64::from(contact.age_ms)), now);
        let mut peers = VecDeque::from([from]);
        if from != index(contact.reader) {
            peers.push_back(index(contact.reader));
        }
        let task = Task {
            peers,
            revision: contact.revision,
            contact: Some((contact, time)),
        };
        self.add_task(node_index, task);
    }

    fn add_task(&mut self, index: usize, task: Task) {
        if task.revision <= self.nodes[index].revision() {
            return self.finish_task(index, task);
        }
        self.nodes[index].tasks.push_back(task);
        self.run_tasks(index);
    }

    /// Continues with the tasks if no pull is under way.
    fn run_tasks(&mut self, index: usize) {
        while self.nodes[index].pulling.is_none() {
            let revision = self.nodes[index].revision();
            let Some(mut task) = self.nodes[index].tasks.pop_front() else {
                return;
            };
            let peer = task.peers.pop_front();
            match peer.filter(|_| task.revision > revision) {
                Some(peer) => {
                    self.nodes[index].tasks.push_front(task);
                    self.pull(index, peer, false);
                }
                None => self.finish_task(index, task),
            }
        }
    }

    fn finish_task(&mut self, index: usize, task: Task) {
        let Some((contact, time)) = task.contact else {
            return;
        };
        let now = self.now;
        let node = &mut self.nodes[index];
        if let Some(time) = time
            && contact.is_reading
            && node.revision() >= contact.revision
        {
            node.copy_freshness.confirm_as_of(time);
        }
        let passed = ReaderContact {
            age_ms: time.map_or(u32::MAX, |time| millis(now - time)),
            forward_to: Vec::new(),
            ..contact
        };
        for to in contact.forward_to {
            self.send(index, to, Notice::Contact(passed.clone()));
        }
    }

    // Pulls, as in `sync::pull`.

    fn pull(&mut self, index: usize, peer: usize, whole: bool) {
        let call = self.next_number();
        self.nodes[index].pulling = Some((call, peer));
        let pull = Pull {
            without_deltas: whole,
            ..self.nodes[index].mirror.pull_request()
        };
        let (one, other) = (self.endpoint(index), self.endpoint(peer));
        let delay = self.network.delay(one, other);
        if !self.network.passes(one, other) {
            return self.schedule_event(index, PULL_CONNECT_TIMEOUT, Event::PullFailed(call));
        }
        if !self.nodes[peer].up {
            return self.schedule_event(index, 2 * delay, Event::PullFailed(call));
        }
        let hello = Hello {
            protocol: PROTOCOL,
            address: self.nodes[index].address,
            boot: 1,
            purpose: Purpose::Mirror,
        };
        let bytes = pull_request_bytes(&hello, &pull) + CONNECTION_HEADER_BYTES;
        let on_way = self.network.send(one, other, Kind::Pull, bytes, self.now);
        let process = self.nodes[index].process;
        let event = Event::PullRequest(index, process, call, pull);
        self.schedule_event(peer, 2 * delay + on_way, event);
        self.schedule_event(
            index,
            2 * delay + PULL_RESPONSE_TIMEOUT,
            Event::PullFailed(call),
        );
    }

    /// Answers a peer's pull.
    fn answer_pull(&mut self, index: usize, asker: usize, process: u32, call: u64, pull: &Pull) {
        let update = self.nodes[index].mirror.update_for(pull);
        let update = update.unwrap_or_else(|| Update {
            after_revision: pull.known_revision,
            up_to_revision: self.nodes[index].revision(),
            changes: Vec::new(),
        });
        let packed = pack(&update).expect("an update that fits");
        let (one, other) = (self.endpoint(index), self.endpoint(asker));
        let bytes = packed.len() + CONNECTION_HEADER_BYTES;
        let delay = self.network.send(one, other, Kind::Update, bytes, self.now);
        if self.network.passes(one, other) {
            let event = Event::PullResponse(call, Some(packed));
            self.schedule(self.now + delay, Occurrence::Deliver(asker, process, event));
        }
    }

    fn receive_update(&mut self, index: usize, call: u64, packed: Option<Vec<u8>>) {
        let Some((_, peer)) = self.nodes[index].pulling.filter(|pull| pull.0 == call) else {
            return;
        };
        self.nodes[index].pulling = None;
        let update = unpack(&packed.expect("an answer")).expect("an update");
        let before = self.nodes[index].revision();
        if self.nodes[index].mirror.apply_update(update).is_err() {
            return self.pull(index, peer, true);
        }
        self.note_mirror_change(index, before);
        self.run_tasks(index);
    }

    /// Updates what the node derives from its mirror.
    fn note_mirror_change(&mut self, node_index: usize, before: u64) {
        let now = self.now;
        let node = &mut self.nodes[node_index];
        let revision = node.revision();
        if revision > before {
            node.known_at.resize(revision as usize, Some(now));
        }
        if before > 0 || revision == 0 {
            return;
        }
        let (own, region) = (node.address, node.region as u8);
        let (mut region_peers, mut remote_peers) = (Vec::new(), Vec::new());
        for (name, item) in node.mirror.items_under_prefix("n/") {
            let other = address(name.parse().expect("a node's number"));
            let list = if item.value == [region] {
                &mut region_peers
            } else {
                &mut remote_peers
            };
            if other != own {
                list.push(other);
            }
        }
        (node.region_peers, node.remote_peers) = (region_peers, remote_peers);
    }

    // Reading the store, as in `sync::read`.

    fn call_store(&mut self, index: usize) {
        let node = &self.nodes[index];
        let revision = node.revision();
        if node.reading != Reading::Idle || (revision > 0 && !node.readers.reads()) {
            return;
        }
        let call = self.next_number();
        let after = (revision > 0).then_some(revision);
        let has_connection = std::mem::take(&mut self.nodes[index].has_connection);
        // The first call on a connection is answered at once.
        let wait = if has_connection {
            WATCH_HOLD_TIME
        } else {
            Duration::ZERO
        };
        self.nodes[index].reading = Reading::Call(call);
        self.store.calls.push(Call {
            at: self.now,
            node: index,
            has_data: revision > 0,
        });
        let (one, other) = (self.endpoint(index), self.store_endpoint());
        let delay = self
            .network
            .send(one, other, Kind::Store, STORE_HEADER_BYTES, self.now);
        let limit = if !has_connection && !self.network.passes(one, other) {
            STORE_CONNECT_TIMEOUT
        } else {
            STORE_RESPONSE_TIMEOUT + wait
        };
        self.schedule_event(index, limit, Event::StoreFailed(call));
        if self.network.passes(one, other) {
            let process = self.nodes[index].process;
            let after = after.map(|after| (after, wait));
            let event = Occurrence::StoreCall(index, process, call, after);
            self.schedule(self.now + delay, event);
        }
    }

    /// The store receives a call.
    fn serve_store_call(
        &mut self,
        node: usize,
        process: u32,
        call: u64,
        after: Option<(u64, Duration)>,
    ) {
        let is_refused = self.store.refused.contains(&node);
        match self.store.condition {
            Condition::Silent => return,
            Condition::Up if !is_refused => (),
            _ => {
                let delay = self
                    .network
                    .delay(self.store_endpoint(), self.endpoint(node));
                let event = Occurrence::Deliver(node, process, Event::StoreFailed(call));
                return self.schedule(self.now + delay, event);
            }
        }
        let watch = PendingWatch {
            node,
            process,
            call,
            after: after.map_or(0, |after| after.0),
        };
        match after {
            Some((after, wait)) if after >= self.store.revision() => {
                self.store.pending_watches.push(watch);
                self.schedule(self.now + wait, Occurrence::WatchTimeout(call));
            }
            _ => self.answer_watch(watch),
        }
    }

    fn answer_watch(&mut self, watch: PendingWatch) {
        let (one, other) = (self.store_endpoint(), self.endpoint(watch.node));
        if self.store.condition != Condition::Up || !self.network.passes(one, other) {
            return;
        }
        let changes = self.store.changes_after(watch.after);
        let bytes: usize = changes
            .iter()
            .map(|change| change.value.as_ref().map_or(0, Vec::len) + 100)
            .sum();
        let bytes = bytes + STORE_HEADER_BYTES;
        let delay = self.network.send(one, other, Kind::Store, bytes, self.now);
        let event = Event::StoreResponse(watch.call, self.store.revision(), Some(changes));
        let event = Occurrence::Deliver(watch.node, watch.process, event);
        self.schedule(self.now + delay, event);
    }

    fn receive_store_response(
        &mut self,
        index: usize,
        call: u64,
        revision: u64,
        changes: Option<Vec<Change>>,
    ) {
        let now = self.now;
        let node = &mut self.nodes[index];
        if node.reading != Reading::Call(call) {
            return;
        }
        node.backoff.reset();
        node.has_connection = true;
        let before = node.revision();
        let changes = changes.unwrap_or_default();
        let has_changes = before > 0 && !changes.is_empty();
        if before == 0 {
            let listed = changes.into_iter().filter_map(|change| {
                let revision = change.revision;
                let value = change.value?;
                let item = fulmarreel_distribution::mirror::Item { revision, value };
                Some((change.key, item))
            });
            node.mirror.replace(revision, listed.collect());
        } else {
            node.mirror.apply(revision, changes);
        }
        node.copy_freshness.confirm_now(now);
        node.contact.record_response(now);
        node.readers.record_response(now);
        self.note_mirror_change(index, before);
        self.decide(index);
        if has_changes {
            self.nodes[index].reading = Reading::Pause(true);
            self.schedule_event(index, BATCH_PAUSE, Event::ResumeReading);
        } else {
            self.nodes[index].reading = Reading::Idle;
            self.call_store(index);
        }
    }

    fn fail_store_call(&mut self, index: usize, call: u64) {
        let now = self.now;
        let node = &mut self.nodes[index];
        if node.reading != Reading::Call(call) {
            return;
        }
        node.has_connection = false;
        node.readers.record_failure(now);
        node.reading = Reading::Pause(false);
        let pause = node.backoff.next(&mut self.rng);
        self.schedule_event(index, pause, Event::ResumeReading);
    }
}

fn millis(age: Duration) -> u32 {
    u32::try_from(age.as_millis()).unwrap_or(u32::MAX)
}

/// Bytes of a pull's hello and request.
fn pull_request_bytes(hello: &Hello, pull: &Pull) -> usize {
    let hello = framing::encode_unframed(hello).expect("a hello").len();
    hello + framing::encode_unframed(pull).expect("a pull").len()
}

pub fn address(index: usize) -> SocketAddr {
    let [.., high, low] = (index as u32).to_be_bytes();
    SocketAddr::from((Ipv4Addr::new(127, 1, high, low), 7_000))
}

pub fn index(address: SocketAddr) -> usize {
    let SocketAddr::V4(address) = address else {
        unreachable!("addresses are of version 4");
    };
    let [_, _, high, low] = address.ip().octets();
    usize::from(high) * 256 + usize::from(low)
}
