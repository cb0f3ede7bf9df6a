//! Generated schedules: mirrors that are updated from a store and from one another in any order.

use fulmarreel_distribution::{
    Mirror,
    mirror::{Change, Error, Item},
};
use fulmarreel_wire::mirror::{Pull, Update, pack, unpack};
use proptest::{collection::vec, prelude::*, test_runner::RngSeed};
use std::{collections::BTreeMap, ops::Range};

const MIRRORS: usize = 4;

const KEYS: usize = 7;

/// The keys from this one on have values of a few kilobytes.
const FIRST_LARGE: usize = 4;

/// One step of a schedule.
#[derive(Debug, Clone, Copy)]
enum Step {
    /// The store writes a key. Large values are edited at `offset`, modulo their length; `byte`
    /// selects the edit.
    Put { key: usize, offset: usize, byte: u8 },
    /// The store removes a key.
    Remove { key: usize },
    /// A mirror gets a listing that began `revisions_ago`; the keys from `split` on were read just
    /// now.
    List {
        mirror: usize,
        revisions_ago: u64,
        split: usize,
    },
    /// A mirror gets `count` new changes, and `overlap` changes that it knows.
    Watch {
        mirror: usize,
        overlap: u64,
        count: u64,
    },
    /// A mirror sends a request to another one, which answers at once.
    Pull {
        mirror: usize,
        peer: usize,
        whole: bool,
    },
    /// A mirror sends a request to another one; the request is under way.
    Ask {
        mirror: usize,
        peer: usize,
        whole: bool,
    },
    /// A request arrives, and with `again` stays under way as a duplicate; the update is under way.
    Answer { index: usize, again: bool },
    /// An update arrives, and with `again` stays under way as a duplicate.
    Arrive { index: usize, again: bool },
    /// A mirror restarts empty.
    Restart { mirror: usize },
}

fn step() -> impl Strategy<Value = Step> {
    let put = |keys: Range<usize>| {
        let put = (keys, any::<usize>(), any::<u8>());
        put.prop_map(|(key, offset, byte)| Step::Put { key, offset, byte })
    };
    let list = (0..MIRRORS, 0_u64..6, 0..=KEYS);
    let watch = (0..MIRRORS, 0_u64..4, 0_u64..8);
    let pull = || (0..MIRRORS, 0..MIRRORS, any::<bool>());
    let arrive = || (any::<usize>(), any::<bool>());
    prop_oneof![
        4 => put(0..FIRST_LARGE),
        5 => put(FIRST_LARGE..KEYS),
        2 => (0..KEYS).prop_map(|key| Step::Remove { key }),
        1 => list.prop_map(|(mirror, revisions_ago, split)| Step::List { mirror, revisions_ago, split }),
        3 => watch.prop_map(|(mirror, overlap, count)| Step::Watch { mirror, overlap, count }),
        4 => pull().prop_map(|(mirror, peer, whole)| Step::Pull { mirror, peer, whole }),
        3 => pull().prop_map(|(mirror, peer, whole)| Step::Ask { mirror, peer, whole }),
        3 => arrive().prop_map(|(index, again)| Step::Answer { index, again }),
        3 => arrive().prop_map(|(index, again)| Step::Arrive { index, again }),
        1 => (0..MIRRORS).prop_map(|mirror| Step::Restart { mirror }),
    ]
}

type Items = BTreeMap<String, Item>;

/// The store, with its state at each revision; revision 0 is the empty store.
struct Store {
    states: Vec<Items>,
    changes: Vec<Change>,
}

impl Store {
    fn new() -> Self {
        Self {
            states: vec![Items::new()],
            changes: Vec::new(),
        }
    }

    fn revision(&self) -> u64 {
        self.changes.len() as u64
    }

    fn at(&self, revision: u64) -> &Items {
        &self.states[revision as usize]
    }

    fn write(&mut self, key: usize, value: Option<Vec<u8>>) {
        let revision = self.revision() + 1;
        let key = name(key);
        let mut items = self.at(revision - 1).clone();
        match value.clone() {
            Some(value) => _ = items.insert(key.clone(), Item { revision, value }),
            None => _ = items.remove(&key),
        }
        self.states.push(items);
        self.changes.push(Change {
            key,
            revision,
            value,
        });
    }

    fn put(&mut self, key: usize, offset: usize, byte: u8) {
        let last = self.at(self.revision()).get(&name(key));
        let value = match last {
            _ if key < FIRST_LARGE => vec![byte],
            Some(item) => edited(&item.value, offset, byte),
            None => (0..500).flat_map(|line| record(line, byte)).collect(),
        };
        self.write(key, Some(value));
    }
}

fn name(key: usize) -> String {
    format!("k{key}")
}

fn record(line: usize, byte: u8) -> Vec<u8> {
    format!("{{route: /{line}/{byte}}}\n").into_bytes()
}

/// A value with bytes inserted, removed, cut off or moved.
fn edited(value: &[u8], offset: usize, byte: u8) -> Vec<u8> {
    let offset = offset % (value.len() + 1);
    let (head, tail) = value.split_at(offset);
    match byte % 6 {
        0 => head.to_vec(),
        1 => [tail, head].concat(),
        2 => [head, &tail[tail.len().min(usize::from(byte))..]].concat(),
        _ => [head, &record(offset, byte), tail].concat(),
    }
}

/// A mirror and what the checks need to know about it.
#[derive(Default)]
struct Peer {
    mirror: Mirror,
    /// The last revision at which any of its items was read from the store.
    read_up_to: u64,
    /// The highest revision at which it held each key.
    highest: BTreeMap<String, u64>,
    /// The mirror's revision at the last check.
    revision: u64,
}

impl Peer {
    fn contents(&self) -> Items {
        let items = self.mirror.items();
        items
            .map(|(key, item)| (key.to_owned(), item.clone()))
            .collect()
    }

    /// Checks that the mirror holds what the store held at its revision, or if its listing was read
    /// in pages, what the store held when they were read; and that no revision decreased.
    fn check(&mut self, store: &Store) {
        let revision = self.mirror.revision();
        assert!(revision >= self.revision, "the revision decreased");
        self.revision = revision;
        let (held, expected) = (self.contents(), store.at(revision));
        if revision >= self.read_up_to {
            assert!(held == *expected, "not the store's state at {revision}");
        }
        for key in (0..KEYS).map(name) {
            let (held, expected) = (held.get(&key), expected.get(&key));
            let mut later = revision..=self.read_up_to.max(revision);
            let is_read = later.any(|revision| store.at(revision).get(&key) == held);
            assert!(is_read, "{key}: {held:?}, at {revision} {expected:?}");
        }
        for (key, item) in held {
            let highest = self.highest.entry(key).or_default();
            assert!(
                item.revision >= *highest,
                "the revision of an item decreased"
            );
            *highest = item.revision;
        }
    }
}

/// A request or an update under way.
struct Message<T> {
    mirror: usize,
    peer: usize,
    body: T,
}

/// A store, its mirrors and the messages under way.
struct Cluster {
    store: Store,
    peers: Vec<Peer>,
    pulls: Vec<Message<Pull>>,
    updates: Vec<Message<(Update, u64)>>,
}

impl Cluster {
    fn new() -> Self {
        Self {
            store: Store::new(),
            peers: (0..MIRRORS).map(|_| Peer::default()).collect(),
            pulls: Vec::new(),
            updates: Vec::new(),
        }
    }

    fn run(&mut self, step: Step) {
        match step {
            Step::Put { key, offset, byte } => self.store.put(key, offset, byte),
            Step::Remove { key } => self.store.write(key, None),
            Step::List {
                mirror,
                revisions_ago,
                split,
            } => self.list(mirror, revisions_ago, split),
            Step::Watch {
                mirror,
                overlap,
                count,
            } => self.watch(mirror, overlap, count),
            Step::Pull {
                mirror,
                peer,
                whole,
            } => self.pull(mirror, peer, whole),
            Step::Ask {
                mirror,
                peer,
                whole,
            } => {
                let body = self.request(mirror, whole);
                self.pulls.push(Message { mirror, peer, body });
            }
            Step::Answer { index, again } => self.answer(index, again),
            Step::Arrive { index, again } => self.arrive(index, again),
            Step::Restart { mirror } => self.peers[mirror] = Peer::default(),
        }
        for peer in &mut self.peers {
            peer.check(&self.store);
        }
    }

    fn list(&mut self, mirror: usize, revisions_ago: u64, split: usize) {
        let now = self.store.revision();
        let revision = now.saturating_sub(revisions_ago);
        let mut items = self.store.at(revision).clone();
        for key in (split..KEYS).map(name) {
            items.remove(&key);
            let item = self.store.at(now).get(&key).cloned();
            items.extend(item.map(|item| (key, item)));
        }
        let peer = &mut self.peers[mirror];
        if peer.mirror.replace(revision, items) {
            let read_up_to = if split < KEYS { now } else { revision };
            peer.read_up_to = peer.read_up_to.max(read_up_to);
        }
    }

    fn watch(&mut self, mirror: usize, overlap: u64, count: u64) {
        let peer = &mut self.peers[mirror];
        let known = peer.mirror.revision();
        let revision = (known + count).min(self.store.revision());
        let first = known.saturating_sub(overlap);
        let changes = &self.store.changes[first as usize..revision as usize];
        peer.mirror.apply(revision, changes.to_vec());
    }

    fn request(&self, mirror: usize, whole: bool) -> Pull {
        let pull = self.peers[mirror].mirror.pull_request();
        Pull {
            without_deltas: whole,
            ..pull
        }
    }

    fn update(&self, peer: usize, pull: &Pull) -> Option<(Update, u64)> {
        let peer = &self.peers[peer];
        let update = peer.mirror.update_for(pull)?;
        Some((unpack(&pack(&update).unwrap()).unwrap(), peer.read_up_to))
    }

    /// An update for the mirror's present state always applies.
    fn pull(&mut self, mirror: usize, peer: usize, whole: bool) {
        let pull = self.request(mirror, whole);
        let Some((update, read_up_to)) = self.update(peer, &pull) else {
            let known = self.peers[peer].mirror.revision();
            return assert!(known <= pull.known_revision, "no update of a newer mirror");
        };
        let revision = update.up_to_revision;
        self.take(mirror, update, read_up_to).unwrap();
        assert_eq!(self.peers[mirror].mirror.revision(), revision);
    }

    fn answer(&mut self, index: usize, again: bool) {
        let Some(Message { mirror, peer, body }) = take_one(&mut self.pulls, index) else {
            return;
        };
        if let Some(update) = self.update(peer, &body) {
            let body = update;
            self.updates.push(Message { mirror, peer, body });
        }
        if again {
            self.pulls.push(Message { mirror, peer, body });
        }
    }

    /// A late update either applies or is rejected; a request for whole values then succeeds.
    fn arrive(&mut self, index: usize, again: bool) {
        let Some(Message { mirror, peer, body }) = take_one(&mut self.updates, index) else {
            return;
        };
        let (update, read_up_to) = body;
        if let Err(error) = self.take(mirror, update.clone(), read_up_to) {
            let is_expected = matches!(error, Error::Gap { .. } | Error::Base { .. });
            assert!(is_expected, "{error}");
            self.pull(mirror, peer, true);
        }
        if again {
            let body = (update, read_up_to);
            self.updates.push(Message { mirror, peer, body });
        }
    }

    fn take(&mut self, mirror: usize, update: Update, read_up_to: u64) -> Result<bool, Error> {
        let peer = &mut self.peers[mirror];
        let (revision_before, contents_before) = (peer.mirror.revision(), peer.contents());
        let applied = peer.mirror.apply_update(update);
        if applied.is_err() {
            assert_eq!(peer.mirror.revision(), revision_before);
            assert!(peer.contents() == contents_before, "changed on error");
        } else if peer.mirror.revision() > revision_before {
            peer.read_up_to = peer.read_up_to.max(read_up_to);
        }
        applied
    }
}

fn take_one<T>(messages: &mut Vec<T>, index: usize) -> Option<T> {
    let index = index.checked_rem(messages.len())?;
    Some(messages.swap_remove(index))
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 256, rng_seed: RngSeed::Fixed(11), failure_persistence: None, ..ProptestConfig::default() })]

    /// Whatever is lost, repeated or delayed, each mirror holds what the store held at its
    /// revision.
    #[test]
    fn each_mirror_holds_the_stores_state_at_its_revision(steps in vec(step(), 1..150)) {
        let mut cluster = Cluster::new();
        for step in steps {
            cluster.run(step);
        }
    }
}
