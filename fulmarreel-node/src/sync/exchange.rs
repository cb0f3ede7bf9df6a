//! Comparisons between two nodes (anti-entropy), in which each gets what it lacks.
//!
//! The opener sends hashes (`Compare`), the other side replies with what it holds where they differ
//! (`Differences`); then each sends what the other lacks (`Transfer`).

use super::{push, stream::Stream};
use crate::state::{State, Updates};
use fulmarreel_distribution::{Entry, Verdict, comparison::Distance};
use fulmarreel_membership::{Claim, Incarnation};
use fulmarreel_wire::{
    gossip::Record,
    sync::{self, Compare, Differences, Frame, ZoneHash},
};
use std::{
    collections::BTreeMap,
    io,
    net::SocketAddr,
    sync::Arc,
    time::{Duration, Instant},
};

/// Time limit of a comparison on the side that opened it.
const TIMEOUT: Duration = Duration::from_secs(4);

/// Limit of the values in one frame, in bytes; a single longer value still fits in one.
const MAX_FRAME_VALUE_BYTES: usize = 512 * 1_024;

/// Compares with a peer; what is learnt from a peer of another zone is sent on within this node's
/// zone.
pub(crate) async fn compare(state: &Arc<State>, peer: SocketAddr) {
    match run_comparison(state, peer).await {
        Ok(updates) if state.distance(peer) != Distance::Zone => {
            let zone = state.settings.zone.clone();
            push::broadcast(state, &updates, |record| record.zone == zone);
        }
        Ok(_) => {}
        Err(error) => log::debug!("comparison with {peer}: {error}"),
    }
}

async fn run_comparison(state: &State, peer: SocketAddr) -> io::Result<Updates> {
    let deadline = Instant::now() + TIMEOUT;
    let mut stream = Stream::connect(state, peer, deadline).await?;
    let zones = state.zone_hashes().into_iter();
    let compare = Compare {
        zones: zones.map(|(name, hash)| ZoneHash { name, hash }).collect(),
        buckets: state.buckets().to_vec(),
        verdicts: state.verdicts_hash(),
    };
    stream.write(&Frame::Compare(compare), deadline).await?;
    let Frame::Differences(differences) = stream.read(deadline).await? else {
        return Err(io::ErrorKind::InvalidData.into());
    };
    let ready = differences.ready;
    let peer_verdicts: Vec<Verdict> = differences
        .verdicts
        .iter()
        .cloned()
        .map(Verdict::from)
        .collect();
    let (contents, wanted) = build_reply(state, differences, &peer_verdicts);
    send(&mut stream, contents, wanted, deadline).await?;
    let (mut updates, _) = receive(state, &mut stream, peer, deadline).await?;
    updates
        .verdicts
        .extend(state.apply_updates(&[], &peer_verdicts).verdicts);
    state.record_comparison();
    if ready {
        state.record_peer_synced(peer);
    }
    Ok(updates)
}

/// Serves a comparison that a peer opened.
pub(super) async fn serve(
    state: &Arc<State>,
    stream: &mut Stream<'_>,
    peer: SocketAddr,
    compare: &Compare,
    deadline: Instant,
) -> io::Result<()> {
    let differences = build_differences(state, compare);
    stream
        .write(&Frame::Differences(differences), deadline)
        .await?;
    let (updates, wanted) = receive(state, stream, peer, deadline).await?;
    let reply = Contents {
        claims: [state.claims(&wanted.records), wanted.corrections].concat(),
        entries: state.entries(&wanted.entries),
        verdicts: Vec::new(),
    };
    send(stream, reply, Wanted::default(), deadline).await?;
    state.record_comparison();
    if state.distance(peer) != Distance::Zone {
        let zone = state.settings.zone.clone();
        push::broadcast(state, &updates, |record| record.zone == zone);
    }
    Ok(())
}

/// What one side sends to the other.
#[derive(Debug, Default)]
struct Contents {
    claims: Vec<Claim>,
    entries: Vec<Entry>,
    verdicts: Vec<Verdict>,
}

/// What one side asks the other for.
#[derive(Debug, Default)]
struct Wanted {
    records: Vec<SocketAddr>,
    entries: Vec<String>,
    /// Newer claims that this side has in place of outdated ones from the other side.
    corrections: Vec<Claim>,
}

/// Builds the reply to `compare`: what this node holds wherever the hashes differ.
fn build_differences(state: &State, compare: &Compare) -> Differences {
    let theirs: BTreeMap<String, u64> = compare
        .zones
        .iter()
        .map(|zone| (zone.name.clone(), zone.hash))
        .collect();
    let (zones, members) = state.differing_zones(&theirs);
    let members = members
        .into_iter()
        .map(|(address, incarnation)| sync::RecordVersion {
            address,
            started_at_ms: incarnation.started_at_ms,
            sequence: incarnation.sequence,
        });
    let (buckets, keys) = state.differing_buckets(&compare.buckets);
    let keys = keys
        .into_iter()
        .map(|(key, revision)| sync::KeyRevision { key, revision });
    let verdicts = if state.verdicts_hash() == compare.verdicts {
        Vec::new()
    } else {
        state.verdicts()
    };
    Differences {
        ready: state.ready().is_ok(),
        zones,
        members: members.collect(),
        buckets,
        keys: keys.collect(),
        verdicts: verdicts.iter().map(sync::Verdict::from).collect(),
    }
}

/// Builds what the opener of a comparison sends, and what it asks for, in reply to `differences`.
fn build_reply(
    state: &State,
    differences: Differences,
    peer_verdicts: &[Verdict],
) -> (Contents, Wanted) {
    let members: BTreeMap<SocketAddr, Incarnation> = differences
        .members
        .into_iter()
        .map(|member| {
            let (started_at_ms, sequence) = (member.started_at_ms, member.sequence);
            (
                member.address,
                Incarnation {
                    started_at_ms,
                    sequence,
                },
            )
        })
        .collect();
    let members = state.compare_members(&differences.zones, &members);
    let keys: BTreeMap<String, u64> = differences
        .keys
        .into_iter()
        .map(|key| (key.key, key.revision))
        .collect();
    let entries = state.compare_entries(&differences.buckets, &keys);
    let mut verdicts = state.verdicts();
    verdicts.retain(|verdict| !peer_verdicts.contains(verdict));
    let contents = Contents {
        claims: members.send,
        entries: entries.send,
        verdicts,
    };
    let wanted = Wanted {
        records: members.request,
        entries: entries.request,
        corrections: Vec::new(),
    };
    (contents, wanted)
}

/// Sends contents and requests, in as many frames as needed.
async fn send(
    stream: &mut Stream<'_>,
    contents: Contents,
    wanted: Wanted,
    deadline: Instant,
) -> io::Result<()> {
    let mut frame = sync::Transfer {
        records: contents.claims.iter().map(Record::from).collect(),
        verdicts: contents.verdicts.iter().map(sync::Verdict::from).collect(),
        want_records: wanted.records,
        want_entries: wanted.entries,
        ..sync::Transfer::default()
    };
    let mut bytes = 0;
    for entry in &contents.entries {
        let length = entry.value.as_ref().map_or(0, |value| value.len());
        if bytes > 0 && bytes + length > MAX_FRAME_VALUE_BYTES {
            stream.write(&Frame::Transfer(frame), deadline).await?;
            frame = sync::Transfer::default();
            bytes = 0;
        }
        bytes += length;
        frame.entries.push(entry.into());
    }
    frame.last = true;
    stream.write(&Frame::Transfer(frame), deadline).await
}

/// Receives and applies frames up to the last one; returns what was new to this node and what the
/// peer asks for.
async fn receive(
    state: &State,
    stream: &mut Stream<'_>,
    peer: SocketAddr,
    deadline: Instant,
) -> io::Result<(Updates, Wanted)> {
    let (mut received, mut wanted) = (Updates::default(), Wanted::default());
    loop {
        let Frame::Transfer(frame) = stream.read(deadline).await? else {
            return Err(io::ErrorKind::InvalidData.into());
        };
        let claims: Vec<Claim> = frame.records.into_iter().map(Claim::from).collect();
        let entries: Vec<Entry> = frame.entries.into_iter().map(Entry::from).collect();
        let verdicts: Vec<Verdict> = frame.verdicts.into_iter().map(Verdict::from).collect();
        wanted.corrections.extend(state.merge_claims(peer, &claims));
        wanted.records.extend(frame.want_records);
        wanted.entries.extend(frame.want_entries);
        let updates = state.apply_updates(&entries, &verdicts);
        received.entries.extend(updates.entries);
        received.verdicts.extend(updates.verdicts);
        if frame.last {
            return Ok((received, wanted));
        }
    }
}
