//! Reports on the old and the new version of a service: each node sends its own to an aggregator in
//! its availability zone, which sends their sum to the rollout's owner.

mod link;

use super::{Rollout, Rollouts, fleet::Fleet};
use crate::{
    peer::stream,
    state::{State, unix_millis},
};
use fulmarreel_document::rollout::Timestamp;
use fulmarreel_rollout::{Evidence, evidence};
use fulmarreel_wire::evidence::{Report, Scope};
use link::Links;
use smol::{Timer, net::TcpStream};
use std::{io, net::SocketAddr, sync::Arc, time::Duration};
use xxhash_rust::xxh3::xxh3_64;

/// Time between two sums that an aggregator sends, if there are reports to sum up.
const SUM_INTERVAL: Duration = Duration::from_millis(500);

/// A node reports once in this many intervals, so that a report covers one second.
const INTERVALS_PER_REPORT: u64 = 2;

/// Sends this node's reports, and its zone's sums where it is the aggregator, until the process
/// ends.
pub async fn run(state: Arc<State>, rollouts: Arc<Rollouts>) {
    let mut links = Links::new(state.settings.advertise, state.started_at_ms);
    let reporter = xxh3_64(state.settings.advertise.to_string().as_bytes()) as u32;
    for round in 0_u64.. {
        Timer::after(SUM_INTERVAL).await;
        let report_round = round.is_multiple_of(INTERVALS_PER_REPORT);
        let unfinished: Vec<_> = rollouts
            .all()
            .into_iter()
            .filter(|rollout| !rollout.state().is_final())
            .collect();
        if unfinished.is_empty() {
            continue;
        }
        let fleet = Fleet::of(&state);
        for rollout in unfinished {
            let aggregator = fleet.aggregator(rollout.service());
            if report_round {
                report_own(&state, aggregator, &mut links, &rollout, reporter);
            }
            if aggregator == state.settings.advertise {
                report_zone(&state, &mut links, &rollout, report_round);
            }
        }
    }
}

/// Receives reports from a peer until it closes the connection.
///
/// # Errors
///
/// The connection ended or failed.
pub async fn accept(rollouts: &Rollouts, mut tcp: TcpStream) -> io::Result<()> {
    loop {
        receive(rollouts, stream::read(&mut tcp).await?);
    }
}

/// Adds a peer's report to the rollout that it belongs to.
fn receive(rollouts: &Rollouts, report: Report) {
    let Some(rollout) = rollouts.get(&report.service) else {
        return;
    };
    if rollout.revision != report.revision {
        return;
    }
    let Some(evidence) = decode(&report) else {
        return;
    };
    match report.scope {
        Scope::Node => rollout.add_node_report(&evidence),
        Scope::Zone { zone } => rollout.add_zone_sum(&zone, evidence, Timestamp(unix_millis())),
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
    rollout: &Rollout,
    reporter: u32,
) {
    let Some(own) = rollout.take_own_report(reporter) else {
        return;
    };
    if aggregator == state.settings.advertise {
        rollout.add_node_report(&own);
    } else if let Some(report) = encode(rollout, &own, Scope::Node) {
        links.send(aggregator, report);
    }
}

/// Sends this zone's sum to the owner.
///
/// In a round with node reports an empty sum is sent too: it shows the owner that the zone has
/// reported.
fn report_zone(state: &State, links: &mut Links, rollout: &Rollout, report_round: bool) {
    let settings = &state.settings;
    let Some(owner) = rollout.owner() else {
        return;
    };
    let sum = rollout.take_zone_sum();
    if sum.reports == 0 && !report_round {
        return;
    }
    if owner == settings.advertise {
        rollout.add_zone_sum(&settings.zone, sum, Timestamp(unix_millis()));
        return;
    }
    let zone = settings.zone.clone();
    if let Some(report) = encode(rollout, &sum, Scope::Zone { zone }) {
        links.send(owner, report);
    }
}

fn encode(rollout: &Rollout, evidence: &Evidence, scope: Scope) -> Option<Report> {
    let wire = evidence::Wire::from(evidence);
    let evidence = fulmarreel_wire::framing::encode_unframed(&wire)
        .inspect_err(|error| log::error!("report on {}: {error}", rollout.service()))
        .ok()?;
    Some(Report {
        service: rollout.service().to_owned(),
        revision: rollout.revision,
        scope,
        evidence,
    })
}
