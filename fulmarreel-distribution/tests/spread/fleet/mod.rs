//! A fleet of nodes in virtual time: the product's decisions over a network and a store that fail.
//!
//! What is announced when, and how a node catches up, is done as the node does it
//! (`fulmarreel-node/src/mesh`, `notices.rs` and `sync`).
#![allow(dead_code)]

pub mod network;
pub mod node;
pub mod store;

use fastrand::Rng;
use fulmarreel_distribution::{contact::WATCH_WAIT, fanout::branches, mirror::Change};
use fulmarreel_wire::{
    Hello, PROTOCOL, Purpose, framing,
    mirror::{Pull, Update, pack, unpack},
    notice::{Contact, Datagram, Notice},
};
use network::{End, Kind, Network};
use node::{Node, Reading, Task};
use std::{
    cmp::Reverse,
    collections::{BTreeMap, BinaryHeap, VecDeque},
    net::{Ipv4Addr, SocketAddr},
    time::{Duration, Instant},
};
use store::{Called, Condition, Store, Waiting};

const LOOK_INTERVAL: Duration = Duration::from_millis(100);
const REVISION_INTERVAL: Duration = Duration::from_millis(1_000);
const READERS_FIRST: Duration = Duration::from_millis(400);
const BATCH_PAUSE: Duration = Duration::from_millis(500);
const STORE_CONNECT: Duration = Duration::from_millis(800);
const STORE_ANSWER: Duration = Duration::from_millis(1_500);
const PULL_CONNECT: Duration = Duration::from_millis(300);
const PULL_SILENCE: Duration = Duration::from_millis(1_000);

/// Bytes of the headers of a datagram.
const DATAGRAM_HEADERS: usize = 28;

/// Bytes of the headers of a connection's opening, data and end, each way.
const CONNECTION_HEADERS: usize = 5 * 52;

/// Bytes of a store call besides the values.
const STORE_HEADERS: usize = 400;

/// Datagrams that a socket holds for a process that does not run.
const SOCKET_DATAGRAMS: usize = 200;

pub const CONFIG: &str = "op/config";

#[derive(Debug)]
pub enum Event {
    Look,
    Datagram(usize, Notice),
    /// A peer asks; who and its call.
    Asked(usize, u32, u64, Pull),
    Answered(u64, Option<Vec<u8>>),
    PullFailed(u64),
    CatchUp(usize, u64),
    StoreAnswered(u64, u64, Option<Vec<Change>>),
    StoreFailed(u64),
    Resume,
}

#[derive(Debug)]
enum Happening {
    /// To a node's process.
    Node(usize, u32, Event),
    /// A call reaches the store; none asks for all items.
    Call(usize, u32, u64, Option<(u64, Duration)>),
    /// A watch has waited long enough.
    Waited(u64),
    Write(String, Vec<u8>),
    Fault(Fault),
}

/// What happens to the fleet from outside.
#[derive(Debug, Clone, PartialEq)]
pub enum Fault {
    Kill(usize),
    Start(usize),
    Freeze(usize),
    Wake(usize),
    Cut(usize, bool),
    CutRegion(usize, bool),
    Loss(f64),
    Store(Condition),
    Refuse(Vec<usize>),
}

pub struct Fleet {
    pub now: Instant,
    pub began: Instant,
    pub nodes: Vec<Node>,
    pub store: Store,
    pub network: Network,
    pub rng: Rng,
    /// Called after each event of a node that runs.
    pub check: fn(&Fleet, usize),
    inboxes: Vec<Vec<Event>>,
    queue: BinaryHeap<Reverse<(Instant, u64)>>,
    events: BTreeMap<u64, Happening>,
    next: u64,
}

impl Fleet {
    /// Regions of these sizes, the store in the first one; nothing runs yet.
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
            began: now,
            store,
            network: Network::new(nodes.len()),
            rng: Rng::with_seed(seed),
            check: |_, _| (),
            inboxes: nodes.iter().map(|_| Vec::new()).collect(),
            nodes,
            queue: BinaryHeap::new(),
            events: BTreeMap::new(),
            next: 0,
        }
    }

    pub fn elapsed(&self) -> Duration {
        self.now - self.began
    }

    /// Has something happen at a time after the fleet's beginning.
    pub fn plan(&mut self, at: Duration, fault: Fault) {
        self.put(self.began + at, Happening::Fault(fault));
    }

    pub fn plan_write(&mut self, at: Duration, key: &str, value: Vec<u8>) {
        self.put(self.began + at, Happening::Write(key.to_owned(), value));
    }

    /// Runs until a time after the beginning.
    pub fn run_until(&mut self, at: Duration) {
        let end = self.began + at;
        while let Some(Reverse((time, number))) = self.queue.peek().copied() {
            if time > end {
                break;
            }
            self.queue.pop();
            self.now = time;
            let happening = self.events.remove(&number).expect("a planned event");
            self.happen(happening);
        }
        self.now = end;
    }

    fn put(&mut self, at: Instant, happening: Happening) {
        self.next += 1;
        self.events.insert(self.next, happening);
        self.queue.push(Reverse((at, self.next)));
    }

    fn put_node(&mut self, node: usize, wait: Duration, event: Event) {
        let process = self.nodes[node].process;
        self.put(self.now + wait, Happening::Node(node, process, event));
    }

    fn number(&mut self) -> u64 {
        self.next += 1;
        self.next
    }

    fn end(&self, node: usize) -> End {
        End {
            node: Some(node),
            region: self.nodes[node].region,
        }
    }

    fn store_end(&self) -> End {
        End {
            node: None,
            region: 0,
        }
    }

    fn happen(&mut self, happening: Happening) {
        match happening {
            Happening::Node(node, process, event) => self.deliver(node, process, event),
            Happening::Call(node, process, call, after) => self.serve(node, process, call, after),
            Happening::Waited(call) => {
                let mut waiting = std::mem::take(&mut self.store.waiting);
                let ended = waiting.extract_if(.., |watch| watch.call == call);
                let ended: Vec<Waiting> = ended.collect();
                self.store.waiting = waiting;
                for watch in ended {
                    self.answer(watch);
                }
            }
            Happening::Write(key, value) => {
                self.store.write(&key, value, self.now);
                for watch in std::mem::take(&mut self.store.waiting) {
                    self.answer(watch);
                }
            }
            Happening::Fault(fault) => self.strike(fault),
        }
    }

    fn strike(&mut self, fault: Fault) {
        match fault {
            Fault::Kill(node) => {
                self.nodes[node].up = false;
                self.nodes[node].process += 1;
                self.inboxes[node].clear();
            }
            Fault::Start(node) => self.start(node),
            Fault::Freeze(node) => self.nodes[node].frozen = self.nodes[node].up,
            Fault::Wake(node) => {
                self.nodes[node].frozen = false;
                let process = self.nodes[node].process;
                for event in std::mem::take(&mut self.inboxes[node]) {
                    self.put(self.now, Happening::Node(node, process, event));
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
                    for watch in std::mem::take(&mut self.store.waiting) {
                        let delay = self.network.delay(self.store_end(), self.end(watch.node));
                        let event = Event::StoreFailed(watch.call);
                        let event = Happening::Node(watch.node, watch.process, event);
                        self.put(self.now + delay, event);
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
        self.put_node(index, Duration::ZERO, Event::Resume);
        let first = LOOK_INTERVAL.mul_f64(self.rng.f64());
        self.put_node(index, first, Event::Look);
    }

    fn deliver(&mut self, index: usize, process: u32, event: Event) {
        let node = &self.nodes[index];
        if !node.up || node.process != process {
            return;
        }
        if node.frozen {
            let inbox = &mut self.inboxes[index];
            let is_full = inbox.len() >= SOCKET_DATAGRAMS;
            if !(is_full && matches!(event, Event::Datagram(..))) {
                inbox.push(event);
            }
            return;
        }
        self.take(index, event);
        (self.check)(self, index);
    }

    fn take(&mut self, index: usize, event: Event) {
        match event {
            Event::Look => {
                self.look(index);
                self.put_node(index, LOOK_INTERVAL, Event::Look);
            }
            Event::Datagram(from, Notice::Contact(contact)) => {
                self.hear_contact(index, from, contact);
            }
            Event::Datagram(from, Notice::Revision(revision)) => {
                let now = self.now;
                self.nodes[index].knowledge.hear(revision, now);
                if revision > self.nodes[index].revision() {
                    self.put_node(index, READERS_FIRST, Event::CatchUp(from, revision));
                }
            }
            Event::Datagram(..) => (),
            Event::Asked(from, process, call, pull) => self.told(index, from, process, call, &pull),
            Event::CatchUp(peer, revision) => self.add_task(
                index,
                Task {
                    peers: VecDeque::from([peer]),
                    revision,
                    contact: None,
                },
            ),
            Event::Answered(call, packed) => self.pulled(index, call, packed),
            Event::PullFailed(call) => {
                if self.nodes[index].pulling.is_some_and(|pull| pull.0 == call) {
                    self.nodes[index].pulling = None;
                    self.work(index);
                }
            }
            Event::StoreAnswered(call, revision, changes) => {
                self.read(index, call, revision, changes);
            }
            Event::StoreFailed(call) => self.failed(index, call),
            Event::Resume => {
                let now = self.now;
                let node = &mut self.nodes[index];
                if node.reading == Reading::Pause(true) {
                    node.contact.mark(now);
                    node.readers.touch(now);
                }
                self.nodes[index].reading = Reading::Idle;
                self.read_on(index);
            }
        }
    }

    // What `Notices` does.

    fn look(&mut self, index: usize) {
        let now = self.now;
        let node = &mut self.nodes[index];
        node.knowledge.observe(now);
        let lags = node.lags(now);
        let mut members = node.near.clone();
        members.push(node.address);
        let before = node.readers.reads();
        let reads = node.readers.decide(&members, lags, now);
        if reads && !before {
            self.read_on(index);
        }
        if !reads && before && matches!(self.nodes[index].reading, Reading::Call(_)) {
            self.nodes[index].reading = Reading::Idle;
        }
        self.tell(index);
    }

    fn tell(&mut self, index: usize) {
        let now = self.now;
        let node = &mut self.nodes[index];
        let revision = node.revision();
        let reads = node.is_reader(now);
        if node.announcement.is_due(reads, revision, now) {
            self.announce(index, reads, revision);
        }
        if now >= self.nodes[index].gossip && revision > 0 {
            let wait = REVISION_INTERVAL.mul_f64(0.5 + self.rng.f64());
            self.nodes[index].gossip = now + wait;
            self.tell_some(index, revision);
        }
    }

    fn announce(&mut self, index: usize, reads: bool, revision: u64) {
        let node = &self.nodes[index];
        let age = node.knowledge.age(self.now).unwrap_or(Duration::MAX);
        let (reader, mut near) = (node.address, node.near.clone());
        self.rng.shuffle(&mut near);
        for branch in branches(&near) {
            let contact = Contact {
                reader,
                reads,
                revision,
                age_ms: millis(age),
                pass_on: branch.members[1..].to_vec(),
            };
            self.send(index, branch.members[0], Notice::Contact(contact));
        }
    }

    fn tell_some(&mut self, index: usize, revision: u64) {
        let node = &self.nodes[index];
        let near = self.rng.choice(&node.near).copied();
        let far = if node.readers.reads() {
            self.rng.choice(&node.far).copied()
        } else {
            None
        };
        for to in near.into_iter().chain(far) {
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
        let bytes = datagram.encode().expect("a datagram").len() + DATAGRAM_HEADERS;
        let to = index(to);
        let (one, other) = (self.end(from), self.end(to));
        let delay = self.network.send(one, other, kind, bytes, self.now);
        if self.network.passes(one, other) && !self.network.is_lost(&mut self.rng) {
            self.put_node(to, delay, Event::Datagram(from, datagram.notice));
        }
    }

    fn hear_contact(&mut self, index_: usize, from: usize, contact: Contact) {
        let now = self.now;
        let node = &mut self.nodes[index_];
        node.knowledge.hear(contact.revision, now);
        match node.knowledge.date(Duration::ZERO, now) {
            Some(sent) if contact.reads => node.readers.hear(contact.reader, sent),
            Some(_) => node.readers.forget(contact.reader),
            None => (),
        }
        let date = node
            .knowledge
            .date(Duration::from_millis(u64::from(contact.age_ms)), now);
        let mut peers = VecDeque::from([from]);
        if from != index(contact.reader) {
            peers.push_back(index(contact.reader));
        }
        let task = Task {
            peers,
            revision: contact.revision,
            contact: Some((contact, date)),
        };
        self.add_task(index_, task);
    }

    fn add_task(&mut self, index: usize, task: Task) {
        if task.revision <= self.nodes[index].revision() {
            return self.finish(index, task);
        }
        self.nodes[index].tasks.push_back(task);
        self.work(index);
    }

    /// Goes on with the tasks, where no pull is under way.
    fn work(&mut self, index: usize) {
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
                None => self.finish(index, task),
            }
        }
    }

    fn finish(&mut self, index: usize, task: Task) {
        let Some((contact, date)) = task.contact else {
            return;
        };
        let now = self.now;
        let node = &mut self.nodes[index];
        if let Some(date) = date
            && contact.reads
            && node.revision() >= contact.revision
        {
            node.knowledge.confirm(date);
        }
        let passed = Contact {
            age_ms: date.map_or(u32::MAX, |date| millis(now - date)),
            pass_on: Vec::new(),
            ..contact
        };
        for to in contact.pass_on {
            self.send(index, to, Notice::Contact(passed.clone()));
        }
    }

    // What `sync::pull` does.

    fn pull(&mut self, index: usize, peer: usize, whole: bool) {
        let call = self.number();
        self.nodes[index].pulling = Some((call, peer));
        let pull = Pull {
            whole,
            ..self.nodes[index].mirror.pull()
        };
        let (one, other) = (self.end(index), self.end(peer));
        let delay = self.network.delay(one, other);
        if !self.network.passes(one, other) {
            return self.put_node(index, PULL_CONNECT, Event::PullFailed(call));
        }
        if !self.nodes[peer].up {
            return self.put_node(index, 2 * delay, Event::PullFailed(call));
        }
        let hello = Hello {
            protocol: PROTOCOL,
            address: self.nodes[index].address,
            boot: 1,
            purpose: Purpose::Mirror,
        };
        let bytes = asked(&hello, &pull) + CONNECTION_HEADERS;
        let on_way = self.network.send(one, other, Kind::Pull, bytes, self.now);
        let process = self.nodes[index].process;
        let event = Event::Asked(index, process, call, pull);
        self.put_node(peer, 2 * delay + on_way, event);
        self.put_node(index, 2 * delay + PULL_SILENCE, Event::PullFailed(call));
    }

    /// A peer asks for what it lacks.
    fn told(&mut self, index: usize, asker: usize, process: u32, call: u64, pull: &Pull) {
        let update = self.nodes[index].mirror.update_for(pull);
        let update = update.unwrap_or_else(|| Update {
            from: pull.after,
            revision: self.nodes[index].revision(),
            changes: Vec::new(),
        });
        let packed = pack(&update).expect("an update that fits");
        let (one, other) = (self.end(index), self.end(asker));
        let bytes = packed.len() + CONNECTION_HEADERS;
        let delay = self.network.send(one, other, Kind::Update, bytes, self.now);
        if self.network.passes(one, other) {
            let event = Event::Answered(call, Some(packed));
            self.put(self.now + delay, Happening::Node(asker, process, event));
        }
    }

    fn pulled(&mut self, index: usize, call: u64, packed: Option<Vec<u8>>) {
        let Some((_, peer)) = self.nodes[index].pulling.filter(|pull| pull.0 == call) else {
            return;
        };
        self.nodes[index].pulling = None;
        let update = unpack(&packed.expect("an answer")).expect("an update");
        let before = self.nodes[index].revision();
        if self.nodes[index].mirror.take(update).is_err() {
            return self.pull(index, peer, true);
        }
        self.changed(index, before);
        self.work(index);
    }

    /// Takes note of what the mirror holds now.
    fn changed(&mut self, index_: usize, before: u64) {
        let now = self.now;
        let node = &mut self.nodes[index_];
        let revision = node.revision();
        if revision > before {
            node.known_at.resize(revision as usize, Some(now));
        }
        if before > 0 || revision == 0 {
            return;
        }
        let (own, region) = (node.address, node.region as u8);
        let (mut near, mut far) = (Vec::new(), Vec::new());
        for (name, item) in node.mirror.below("n/") {
            let other = address(name.parse().expect("a node's number"));
            let list = if item.value == [region] {
                &mut near
            } else {
                &mut far
            };
            if other != own {
                list.push(other);
            }
        }
        (node.near, node.far) = (near, far);
    }

    // What `sync::read` does.

    fn read_on(&mut self, index: usize) {
        let node = &self.nodes[index];
        let revision = node.revision();
        if node.reading != Reading::Idle || (revision > 0 && !node.readers.reads()) {
            return;
        }
        let call = self.number();
        let after = (revision > 0).then_some(revision);
        let has_connection = std::mem::take(&mut self.nodes[index].has_connection);
        // The first answer comes at once.
        let wait = if has_connection {
            WATCH_WAIT
        } else {
            Duration::ZERO
        };
        self.nodes[index].reading = Reading::Call(call);
        self.store.calls.push(Called {
            at: self.now,
            node: index,
            informed: revision > 0,
        });
        let (one, other) = (self.end(index), self.store_end());
        let delay = self
            .network
            .send(one, other, Kind::Store, STORE_HEADERS, self.now);
        let limit = if !has_connection && !self.network.passes(one, other) {
            STORE_CONNECT
        } else {
            STORE_ANSWER + wait
        };
        self.put_node(index, limit, Event::StoreFailed(call));
        if self.network.passes(one, other) {
            let process = self.nodes[index].process;
            let after = after.map(|after| (after, wait));
            let event = Happening::Call(index, process, call, after);
            self.put(self.now + delay, event);
        }
    }

    /// The store gets a call.
    fn serve(&mut self, node: usize, process: u32, call: u64, after: Option<(u64, Duration)>) {
        let is_refused = self.store.refused.contains(&node);
        match self.store.condition {
            Condition::Silent => return,
            Condition::Up if !is_refused => (),
            _ => {
                let delay = self.network.delay(self.store_end(), self.end(node));
                let event = Happening::Node(node, process, Event::StoreFailed(call));
                return self.put(self.now + delay, event);
            }
        }
        let watch = Waiting {
            node,
            process,
            call,
            after: after.map_or(0, |after| after.0),
        };
        match after {
            Some((after, wait)) if after >= self.store.revision() => {
                self.store.waiting.push(watch);
                self.put(self.now + wait, Happening::Waited(call));
            }
            _ => self.answer(watch),
        }
    }

    fn answer(&mut self, watch: Waiting) {
        let (one, other) = (self.store_end(), self.end(watch.node));
        if self.store.condition != Condition::Up || !self.network.passes(one, other) {
            return;
        }
        let changes = self.store.changes_after(watch.after);
        let bytes: usize = changes
            .iter()
            .map(|change| change.value.as_ref().map_or(0, Vec::len) + 100)
            .sum();
        let bytes = bytes + STORE_HEADERS;
        let delay = self.network.send(one, other, Kind::Store, bytes, self.now);
        let event = Event::StoreAnswered(watch.call, self.store.revision(), Some(changes));
        let event = Happening::Node(watch.node, watch.process, event);
        self.put(self.now + delay, event);
    }

    fn read(&mut self, index: usize, call: u64, revision: u64, changes: Option<Vec<Change>>) {
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
        node.knowledge.touch(now);
        node.contact.mark(now);
        node.readers.touch(now);
        self.changed(index, before);
        self.look(index);
        if has_changes {
            self.nodes[index].reading = Reading::Pause(true);
            self.put_node(index, BATCH_PAUSE, Event::Resume);
        } else {
            self.nodes[index].reading = Reading::Idle;
            self.read_on(index);
        }
    }

    fn failed(&mut self, index: usize, call: u64) {
        let now = self.now;
        let node = &mut self.nodes[index];
        if node.reading != Reading::Call(call) {
            return;
        }
        node.has_connection = false;
        node.readers.miss(now);
        node.reading = Reading::Pause(false);
        let pause = node.backoff.next(&mut self.rng);
        self.put_node(index, pause, Event::Resume);
    }
}

fn millis(age: Duration) -> u32 {
    u32::try_from(age.as_millis()).unwrap_or(u32::MAX)
}

/// Bytes of what opens a pull.
fn asked(hello: &Hello, pull: &Pull) -> usize {
    let hello = framing::encode_bare(hello).expect("a hello").len();
    hello + framing::encode_bare(pull).expect("a pull").len()
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
