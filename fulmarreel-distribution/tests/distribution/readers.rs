//! Which nodes of a region read the store.

use fulmarreel_distribution::Readers;
use std::{
    net::{Ipv4Addr, SocketAddr},
    time::{Duration, Instant},
};

const STEP: Duration = Duration::from_millis(100);

fn members(count: u16) -> Vec<SocketAddr> {
    let address = |port| SocketAddr::from((Ipv4Addr::LOCALHOST, 1_000 + port));
    (0..count).map(address).collect()
}

fn ms(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

/// The nodes of a region, each of which hears all readers at every step.
struct Region {
    now: Instant,
    started_at: Instant,
    members: Vec<SocketAddr>,
    /// None for a node that is dead.
    nodes: Vec<Option<Readers>>,
    /// Whether the store answers each node.
    store_answers: Vec<bool>,
    /// Whether the nodes lag behind the revision that they have heard of.
    lags: bool,
}

impl Region {
    fn new(count: u16) -> Self {
        let now = Instant::now();
        let members = members(count);
        let new = |member: &SocketAddr| Some(Readers::new(*member, now, 0.5));
        Self {
            now,
            started_at: now,
            nodes: members.iter().map(new).collect(),
            store_answers: vec![true; members.len()],
            members,
            lags: false,
        }
    }

    fn readers(&self) -> Vec<usize> {
        let reads = |index: &usize| self.nodes[*index].as_ref().is_some_and(Readers::reads);
        (0..self.nodes.len()).filter(reads).collect()
    }

    fn run(&mut self, time: Duration) {
        let end = self.now + time;
        while self.now < end {
            self.now += STEP;
            for reader in self.readers() {
                let own = self.nodes[reader].as_mut().unwrap();
                if !self.store_answers[reader] {
                    own.record_failure(self.now);
                    continue;
                }
                own.record_response(self.now);
                for node in self.nodes.iter_mut().flatten() {
                    node.record_reader(self.members[reader], self.now);
                }
            }
            for node in self.nodes.iter_mut().flatten() {
                node.decide(&self.members, self.lags, self.now);
            }
        }
    }

    /// A region of so many nodes in which two read.
    fn started(count: u16) -> Self {
        let mut region = Self::new(count);
        region.run(ms(5_000));
        assert_eq!(region.readers().len(), 2);
        region
    }
}

#[test]
fn a_single_node_reads_after_it_has_listened() {
    let mut region = Region::new(1);
    region.run(ms(1_100));
    assert!(region.readers().is_empty());
    region.run(ms(900));
    assert_eq!(region.readers(), [0]);
}

#[test]
fn two_of_all_that_start_at_once_read() {
    let mut region = Region::started(40);
    let before = region.readers();
    region.run(ms(20_000));
    assert_eq!(region.readers(), before);
    assert_eq!(region.now - region.started_at, ms(25_000));
}

#[test]
fn dead_readers_are_replaced() {
    for dead in [1, 2] {
        let mut region = Region::started(20);
        for reader in region.readers().into_iter().take(dead) {
            region.nodes[reader] = None;
        }
        region.run(ms(2_000));
        assert!(region.readers().len() >= 2, "{dead} dead");
        region.run(ms(3_000));
        assert_eq!(region.readers().len(), 2, "{dead} dead");
    }
}

/// Fails if readers that get no response from the store keep reading.
#[test]
fn a_reader_without_a_response_from_the_store_is_replaced() {
    let mut region = Region::started(20);
    let unanswered = region.readers();
    for reader in &unanswered {
        region.store_answers[*reader] = false;
    }
    region.run(ms(5_000));
    let readers = region.readers();
    let served = readers.iter().filter(|reader| !unanswered.contains(reader));
    assert_eq!(served.count(), 2, "{readers:?}, unanswered {unanswered:?}");
}

/// Fails if all nodes call a store that is down.
#[test]
fn few_nodes_at_a_time_try_a_store_that_is_down() {
    let mut region = Region::started(40);
    region.store_answers = vec![false; 40];
    region.run(ms(5_000));
    for _ in 0..300 {
        region.run(STEP);
        let readers = region.readers();
        assert!(readers.len() <= 3, "{readers:?}");
    }
    region.store_answers = vec![true; 40];
    region.run(ms(3_000));
    assert_eq!(region.readers().len(), 2);
}

#[test]
fn nodes_that_lag_read_one_after_the_other() {
    let mut region = Region::started(20);
    region.lags = true;
    region.run(ms(900));
    assert_eq!(region.readers().len(), 2);
    region.run(ms(600));
    let count = region.readers().len();
    assert!((3..15).contains(&count), "{count}");
    region.lags = false;
    region.run(ms(2_000));
    assert_eq!(region.readers().len(), 2);
}

/// Fails if a node that resumes after a pause concludes from the missing announcements that there
/// are no readers.
#[test]
fn a_node_that_resumes_listens_first() {
    let mut region = Region::started(20);
    let readers = region.readers();
    let paused = (0..20).find(|index| !readers.contains(index)).unwrap();
    let mut paused_node = region.nodes[paused].take();
    region.run(ms(8_000));
    region.now += STEP;
    let node = paused_node.as_mut().unwrap();
    assert!(!node.decide(&region.members, false, region.now));
    for reader in region.readers() {
        node.record_reader(region.members[reader], region.now);
    }
    region.nodes[paused] = paused_node;
    region.run(ms(3_000));
    assert_eq!(region.readers(), readers);
}
