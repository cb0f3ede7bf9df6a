//! Pushes updates to all nodes, over a tree within each zone. Each branch starts at the first of
//! its members that can be reached.

use super::stream::Stream;
use crate::state::{State, Updates};
use fulmarreel_distribution::{Entry, Verdict, fanout};
use fulmarreel_membership::Record;
use fulmarreel_wire::sync::{self, Frame, Push};
use std::{
    net::SocketAddr,
    sync::Arc,
    time::{Duration, Instant},
};

/// Time limit of a push to one receiver.
const SEND_TIMEOUT: Duration = Duration::from_millis(800);

/// Limit of the values in one push, in bytes; a single longer value still fits in one.
const MAX_PUSH_BYTES: usize = 512 * 1_024;

/// Sends queued updates to all zones, until the process ends.
pub(super) async fn run(state: &Arc<State>) {
    while let Ok(updates) = state.broadcasts().recv().await {
        broadcast(state, &updates, |_| true);
    }
}

/// Sends updates to all nodes that `wanted` accepts.
pub(super) fn broadcast(state: &Arc<State>, updates: &Updates, wanted: impl Fn(&Record) -> bool) {
    if updates.is_empty() {
        return;
    }
    let mut zones = state.peers_by_zone(wanted);
    let own_zone = zones.remove(&state.settings.zone).unwrap_or_default();
    for part in split(updates) {
        for branch in fanout::branches(&own_zone) {
            spawn_send(state, &part, branch.members);
        }
        for members in zones.values() {
            let mut members = members.clone();
            fastrand::shuffle(&mut members);
            spawn_send(state, &part, members);
        }
    }
}

/// Applies a push and forwards it. A push without anything new is not forwarded: its contents have
/// reached this node by another path, and by that path other nodes too.
pub(super) async fn receive(state: &Arc<State>, push: Push) {
    let entries: Vec<Entry> = push.entries.into_iter().map(Entry::from).collect();
    let verdicts: Vec<Verdict> = push.verdicts.into_iter().map(Verdict::from).collect();
    let updates = state.apply_updates(&entries, &verdicts);
    if updates.is_empty() {
        return;
    }
    for part in split(&updates) {
        for branch in fanout::branches(&push.forward) {
            spawn_send(state, &part, branch.members);
        }
    }
}

fn spawn_send(state: &Arc<State>, part: &Push, members: Vec<SocketAddr>) {
    let (state, part) = (Arc::clone(state), part.clone());
    crate::runtime::spawn(async move { send(&state, part, members).await });
}

/// Sends a push to the first member that can be reached, which forwards it to those after it.
async fn send(state: &State, mut push: Push, members: Vec<SocketAddr>) {
    for (index, member) in members.iter().enumerate() {
        push.forward = members[index + 1..].to_vec();
        let frame = Frame::Push(push);
        let deadline = Instant::now() + SEND_TIMEOUT;
        let sent = async {
            let mut stream = Stream::connect(state, *member, deadline).await?;
            stream.write(&frame, deadline).await
        };
        match sent.await {
            Ok(()) => return,
            Err(error) => log::info!("push to {member}: {error}"),
        }
        let Frame::Push(unsent) = frame else { return };
        push = unsent;
    }
}

/// Splits updates into pushes of limited size.
fn split(updates: &Updates) -> Vec<Push> {
    let mut parts = vec![Push {
        verdicts: updates.verdicts.iter().map(sync::Verdict::from).collect(),
        ..Push::default()
    }];
    let mut bytes = 0;
    for entry in &updates.entries {
        let length = entry.value.as_ref().map_or(0, |value| value.len());
        if bytes > 0 && bytes + length > MAX_PUSH_BYTES {
            parts.push(Push::default());
            bytes = 0;
        }
        bytes += length;
        if let Some(part) = parts.last_mut() {
            part.entries.push(entry.into());
        }
    }
    parts
}
