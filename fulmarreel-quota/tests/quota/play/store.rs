//! The store with its lease, and the claims of coordinators.

use super::{Play, ms};
use fulmarreel_quota::{Coordinator, Time};
use std::time::Duration;

const LEASE_TTL: Duration = Duration::from_secs(3);
const LEASE_MARGIN: Duration = Duration::from_millis(100);
const RENEWAL_INTERVAL: Duration = Duration::from_millis(700);

/// A coordinator, which may have been deposed without knowing.
pub(super) struct Post {
    pub coordinator: Coordinator<usize>,
    pub valid_until: Time,
    pub next_renewal: Time,
    /// Identifies the lease in the store.
    pub lease: u64,
}

/// The store: whether there is a lease, and until when.
#[derive(Default)]
pub(super) struct Store {
    pub lease: Option<(u64, Time)>,
    pub next_lease: u64,
    pub away_until: Time,
    pub claim_at: Time,
}

impl Play {
    /// Has a node learn of the coordinator, some time after its claim.
    pub(super) fn follow(&mut self, node: usize) {
        let Some((lease, _)) = self.store.lease else {
            return;
        };
        let holder = self.posts.iter().find(|(_, post)| post.lease == lease);
        let Some(holder) = holder.map(|(node, _)| *node) else {
            return;
        };
        let delay = ms(self.rng.u64(0..300));
        let player = &mut self.nodes[node];
        if player.cut_until > self.now {
            return;
        }
        match player.learns {
            Some((known, at)) if known == holder => {
                if at <= self.now && player.follows != Some(holder) {
                    player.follows = Some(holder);
                    player.member.report_by(self.now);
                }
            }
            _ => player.learns = Some((holder, self.now + delay)),
        }
    }

    pub(super) fn keep_store(&mut self) {
        let now = self.now;
        if now < self.store.away_until {
            return;
        }
        for (node, post) in &mut self.posts {
            let player = &self.nodes[*node];
            let reaches = player.suspended_until <= now && player.cut_until <= now;
            if reaches && post.next_renewal <= now {
                post.next_renewal = now + RENEWAL_INTERVAL;
                if let Some((lease, until)) = &mut self.store.lease
                    && *lease == post.lease
                {
                    *until = now + LEASE_TTL;
                    post.valid_until = now + LEASE_TTL - LEASE_MARGIN;
                }
            }
        }
        match self.store.lease {
            Some((_, until)) if now >= until => {
                self.store.lease = None;
                self.store.claim_at = now + ms(self.rng.u64(0..800));
            }
            None if now >= self.store.claim_at => self.claim(),
            _ => {}
        }
    }

    fn claim(&mut self) {
        let (now, node) = (self.now, self.rng.usize(0..self.nodes.len()));
        let player = &self.nodes[node];
        if player.suspended_until > now || player.cut_until > now || self.posts.contains_key(&node)
        {
            self.posts
                .retain(|other, post| *other != node || now < post.valid_until);
            return;
        }
        let others = self.posts.values().map(|post| post.valid_until);
        let forgotten = others.max().is_some_and(|until| until > now);
        self.posts.retain(|_, post| now < post.valid_until);
        let predecessor_ends = if forgotten { now + LEASE_TTL } else { now };
        self.store.next_lease += 1;
        let lease = self.store.next_lease;
        self.store.lease = Some((lease, now + LEASE_TTL));
        let post = Post {
            coordinator: Coordinator::new(predecessor_ends, now),
            valid_until: now + LEASE_TTL - LEASE_MARGIN,
            next_renewal: now + RENEWAL_INTERVAL,
            lease,
        };
        self.posts.insert(node, post);
    }
}
