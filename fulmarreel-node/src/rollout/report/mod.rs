//! Reports on the versions of a service: from each node to one of its availability zone, and from
//! there, added up, to the move's owner.

mod link;

use super::{Move, Moves, fleet::Fleet};
use crate::{
    peer::stream,
    state::{State, unix_millis},
};
use fulmarreel_document::shift::Timestamp;
use fulmarreel_rollout::{Evidence, evidence};
use fulmarreel_wire::evidence::{Report, Stage};
use link::Links;
use smol::{Timer, net::TcpStream};
use std::{io, net::SocketAddr, sync::Arc, time::Duration};
use xxhash_rust::xxh3::xxh3_64;

/// Time between two sums of an availability zone, where there is something to add up.
const INTERVAL: Duration = Duration::from_millis(500);

/// A node reports once in that many intervals: its tallies are those of one second.
const INTERVALS_PER_REPORT: u64 = 2;

/// Sends reports until the process ends.
pub async fn run(state: Arc<State>, moves: Arc<Moves>) {
    let mut links = Links::new(state.settings.advertise, state.boot);
    let reporter = xxh3_64(state.settings.advertise.to_string().as_bytes()) as u32;
    for round in 0_u64.. {
        Timer::after(INTERVAL).await;
        let full = round.is_multiple_of(INTERVALS_PER_REPORT);
        let running: Vec<_> = moves
            .all()
            .into_iter()
            .filter(|m| !m.state().is_final())
            .collect();
        if running.is_empty() {
            continue;
        }
        let fleet = Fleet::of(&state);
        for entry in running {
            let aggregator = fleet.aggregator(entry.service());
            if full {
                report_own(&state, aggregator, &mut links, &entry, reporter);
            }
            if aggregator == state.settings.advertise {
                report_zone(&state, &mut links, &entry, full);
            }
        }
    }
}

/// Takes in the reports that a peer sends until it closes the connection.
///
/// # Errors
///
/// The connection ended or failed.
pub async fn accept(moves: &Moves, mut tcp: TcpStream) -> io::Result<()> {
    loop {
        receive(moves, stream::read(&mut tcp).await?);
    }
}

/// Takes in a report of another node.
fn receive(moves: &Moves, report: Report) {
    let Some(entry) = moves.get(&report.service) else {
        return;
    };
    if entry.revision != report.revision {
        return;
    }
    let Some(evidence) = decode(&report) else {
        return;
    };
    match report.stage {
        Stage::Node => entry.add_node(&evidence),
        Stage::Zone { zone } => entry.add_zone(&zone, evidence, Timestamp(unix_millis())),
    }
}

fn decode(report: &Report) -> Option<Evidence> {
    let wire: evidence::Wire = fulmarreel_wire::framing::decode(&report.evidence)
        .inspect_err(|error| log::warn!("report on {}: {error}", report.service))
        .ok()?;
    wire.try_into()
        .inspect_err(|error| log::warn!("report on {}: {error}", report.service))
        .ok()
}

fn report_own(
    state: &State,
    aggregator: SocketAddr,
    links: &mut Links,
    entry: &Move,
    reporter: u32,
) {
    let Some(own) = entry.take_own(reporter) else {
        return;
    };
    if aggregator == state.settings.advertise {
        entry.add_node(&own);
    } else if let Some(report) = encode(entry, &own, Stage::Node) {
        links.send(aggregator, report);
    }
}

/// An empty sum is sent with each full round: the owner learns that the zone is heard.
fn report_zone(state: &State, links: &mut Links, entry: &Move, full: bool) {
    let settings = &state.settings;
    let Some(owner) = entry.owner() else {
        return;
    };
    let sum = entry.take_zone();
    if sum.reports == 0 && !full {
        return;
    }
    if owner == settings.advertise {
        entry.add_zone(&settings.zone, sum, Timestamp(unix_millis()));
        return;
    }
    let zone = settings.zone.clone();
    if let Some(report) = encode(entry, &sum, Stage::Zone { zone }) {
        links.send(owner, report);
    }
}

fn encode(entry: &Move, evidence: &Evidence, stage: Stage) -> Option<Report> {
    let wire = evidence::Wire::from(evidence);
    let evidence = fulmarreel_wire::framing::encode_bare(&wire)
        .inspect_err(|error| log::error!("report on {}: {error}", entry.service()))
        .ok()?;
    Some(Report {
        service: entry.service().to_owned(),
        revision: entry.revision,
        stage,
        evidence,
    })
}
