//! Updates on its way to all nodes: over a tree within each zone, each branch by its first member that
//! answers.

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

/// How long one receiver may take.
const TIMEOUT: Duration = Duration::from_millis(800);

/// The most bytes of values in one push.
const MAX_PUSH_BYTES: usize = 512 * 1_024;

/// Sends what this node is the first to know to every zone, until the process ends.
pub(super) async fn run(state: &Arc<State>) {
    while let Ok(news) = state.broadcasts().recv().await {
        spread(state, &news, |_| true);
    }
}

/// Sends news to the zones that are wanted.
pub(super) fn spread(state: &Arc<State>, news: &Updates, wanted: impl Fn(&Record) -> bool) {
    if news.is_empty() {
        return;
    }
    let mut zones = state.peers_by_zone(wanted);
    let own = zones.remove(&state.settings.zone).unwrap_or_default();
    for part in parts(news) {
        for branch in fanout::branches(&own) {
            start(state, &part, branch.members);
        }
        for members in zones.values() {
            let mut members = members.clone();
            fastrand::shuffle(&mut members);
            start(state, &part, members);
        }
    }
}

/// Takes a push in and passes it on, unless it holds nothing new: then it has come another way,
/// and so have others received it.
pub(super) async fn take(state: &Arc<State>, push: Push) {
    let entries: Vec<Entry> = push.entries.into_iter().map(Entry::from).collect();
    let verdicts: Vec<Verdict> = push.verdicts.into_iter().map(Verdict::from).collect();
    let news = state.apply_updates(&entries, &verdicts);
    if news.is_empty() {
        return;
    }
    for part in parts(&news) {
        for branch in fanout::branches(&push.forward) {
            start(state, &part, branch.members);
        }
    }
}

fn start(state: &Arc<State>, part: &Push, members: Vec<SocketAddr>) {
    let (state, part) = (Arc::clone(state), part.clone());
    crate::runtime::spawn(async move { send(&state, part, members).await });
}

/// Sends to the first member that answers, which passes the push on to those after it.
async fn send(state: &State, mut push: Push, members: Vec<SocketAddr>) {
    for (index, member) in members.iter().enumerate() {
        push.forward = members[index + 1..].to_vec();
        let frame = Frame::Push(push);
        let deadline = Instant::now() + TIMEOUT;
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

fn parts(news: &Updates) -> Vec<Push> {
    let mut parts = vec![Push {
        verdicts: news.verdicts.iter().map(sync::Verdict::from).collect(),
        ..Push::default()
    }];
    let mut bytes = 0;
    for entry in &news.entries {
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
