//! Comparison of two nodes: each learns what it lacks.

use super::{push, stream::Stream};
use crate::state::{State, Updates};
use fulmarreel_distribution::{Entry, Verdict, pace::Distance};
use fulmarreel_membership::{Claim, Incarnation};
use fulmarreel_wire::{
    gossip::Record,
    sync::{self, Compare, Differ, Frame, Zone},
};
use std::{
    collections::BTreeMap,
    io,
    net::SocketAddr,
    sync::Arc,
    time::{Duration, Instant},
};

/// How long a comparison may take.
const TIMEOUT: Duration = Duration::from_secs(4);

/// The most bytes of values in one frame, unless a single value is longer.
const MAX_FRAME_VALUES: usize = 512 * 1_024;

/// Compares with a peer, and tells the neighbours what another zone's peer knew.
pub(crate) async fn compare(state: &Arc<State>, peer: SocketAddr) {
    match open(state, peer).await {
        Ok(news) if state.distance(peer) != Distance::Zone => {
            let zone = state.settings.zone.clone();
            push::spread(state, &news, |record| record.zone == zone);
        }
        Ok(_) => {}
        Err(error) => log::debug!("comparison with {peer}: {error}"),
    }
}

async fn open(state: &State, peer: SocketAddr) -> io::Result<Updates> {
    let deadline = Instant::now() + TIMEOUT;
    let mut stream = Stream::connect(state, peer, deadline).await?;
    let zones = state.zone_hashes().into_iter();
    let compare = Compare {
        zones: zones.map(|(name, hash)| Zone { name, hash }).collect(),
        buckets: state.buckets().to_vec(),
        verdicts: state.verdicts_hash(),
    };
    stream.write(&Frame::Compare(compare), deadline).await?;
    let Frame::Differ(differ) = stream.read(deadline).await? else {
        return Err(io::ErrorKind::InvalidData.into());
    };
    let ready = differ.ready;
    let told: Vec<Verdict> = differ.verdicts.iter().cloned().map(Verdict::from).collect();
    let (contents, wanted) = answer(state, differ, &told);
    send(&mut stream, contents, wanted, deadline).await?;
    let (mut news, _) = receive(state, &mut stream, peer, deadline).await?;
    news.verdicts
        .extend(state.apply_updates(&[], &told).verdicts);
    state.record_comparison();
    if ready {
        state.record_peer_synced(peer);
    }
    Ok(news)
}

/// Serves a comparison that a peer opened.
pub(super) async fn serve(
    state: &Arc<State>,
    stream: &mut Stream<'_>,
    peer: SocketAddr,
    compare: &Compare,
    deadline: Instant,
) -> io::Result<()> {
    let differ = differ(state, compare);
    stream.write(&Frame::Differ(differ), deadline).await?;
    let (news, wanted) = receive(state, stream, peer, deadline).await?;
    let answer = Contents {
        claims: [state.claims(&wanted.records), wanted.corrections].concat(),
        entries: state.entries(&wanted.entries),
        verdicts: Vec::new(),
    };
    send(stream, answer, Wanted::default(), deadline).await?;
    state.record_comparison();
    if state.distance(peer) != Distance::Zone {
        let zone = state.settings.zone.clone();
        push::spread(state, &news, |record| record.zone == zone);
    }
    Ok(())
}

/// What one side tells the other.
#[derive(Debug, Default)]
struct Contents {
    claims: Vec<Claim>,
    entries: Vec<Entry>,
    verdicts: Vec<Verdict>,
}

/// What one side asks of the other.
#[derive(Debug, Default)]
struct Wanted {
    records: Vec<SocketAddr>,
    entries: Vec<String>,
    /// Better claims for outdated ones that the other side sent.
    corrections: Vec<Claim>,
}

fn differ(state: &State, compare: &Compare) -> Differ {
    let theirs: BTreeMap<String, u64> = compare
        .zones
        .iter()
        .map(|zone| (zone.name.clone(), zone.hash))
        .collect();
    let (zones, members) = state.differing_zones(&theirs);
    let members = members
        .into_iter()
        .map(|(address, incarnation)| sync::Member {
            address,
            boot: incarnation.boot,
            sequence: incarnation.sequence,
        });
    let (buckets, keys) = state.differing_buckets(&compare.buckets);
    let keys = keys
        .into_iter()
        .map(|(key, revision)| sync::Key { key, revision });
    let verdicts = if state.verdicts_hash() == compare.verdicts {
        Vec::new()
    } else {
        state.verdicts()
    };
    Differ {
        ready: state.ready().is_ok(),
        zones,
        members: members.collect(),
        buckets,
        keys: keys.collect(),
        verdicts: verdicts.iter().map(sync::Verdict::from).collect(),
    }
}

fn answer(state: &State, differ: Differ, told: &[Verdict]) -> (Contents, Wanted) {
    let members: BTreeMap<SocketAddr, Incarnation> = differ
        .members
        .into_iter()
        .map(|member| {
            let (boot, sequence) = (member.boot, member.sequence);
            (member.address, Incarnation { boot, sequence })
        })
        .collect();
    let members = state.compare_members(&differ.zones, &members);
    let keys: BTreeMap<String, u64> = differ
        .keys
        .into_iter()
        .map(|key| (key.key, key.revision))
        .collect();
    let entries = state.compare_entries(&differ.buckets, &keys);
    let mut verdicts = state.verdicts();
    verdicts.retain(|verdict| !told.contains(verdict));
    let contents = Contents {
        claims: members.send,
        entries: entries.send,
        verdicts,
    };
    let wanted = Wanted {
        records: members.want,
        entries: entries.want,
        corrections: Vec::new(),
    };
    (contents, wanted)
}

async fn send(
    stream: &mut Stream<'_>,
    contents: Contents,
    wanted: Wanted,
    deadline: Instant,
) -> io::Result<()> {
    let mut frame = sync::News {
        records: contents.claims.iter().map(Record::from).collect(),
        verdicts: contents.verdicts.iter().map(sync::Verdict::from).collect(),
        want_records: wanted.records,
        want_entries: wanted.entries,
        ..sync::News::default()
    };
    let mut bytes = 0;
    for entry in &contents.entries {
        let length = entry.value.as_ref().map_or(0, |value| value.len());
        if bytes > 0 && bytes + length > MAX_FRAME_VALUES {
            stream.write(&Frame::News(frame), deadline).await?;
            frame = sync::News::default();
            bytes = 0;
        }
        bytes += length;
        frame.entries.push(entry.into());
    }
    frame.last = true;
    stream.write(&Frame::News(frame), deadline).await
}

async fn receive(
    state: &State,
    stream: &mut Stream<'_>,
    peer: SocketAddr,
    deadline: Instant,
) -> io::Result<(Updates, Wanted)> {
    let (mut all, mut wanted) = (Updates::default(), Wanted::default());
    loop {
        let Frame::News(frame) = stream.read(deadline).await? else {
            return Err(io::ErrorKind::InvalidData.into());
        };
        let claims: Vec<Claim> = frame.records.into_iter().map(Claim::from).collect();
        let entries: Vec<Entry> = frame.entries.into_iter().map(Entry::from).collect();
        let verdicts: Vec<Verdict> = frame.verdicts.into_iter().map(Verdict::from).collect();
        wanted.corrections.extend(state.take_claims(peer, &claims));
        wanted.records.extend(frame.want_records);
        wanted.entries.extend(frame.want_entries);
        let news = state.apply_updates(&entries, &verdicts);
        all.entries.extend(news.entries);
        all.verdicts.extend(news.verdicts);
        if frame.last {
            return Ok((all, wanted));
        }
    }
}
