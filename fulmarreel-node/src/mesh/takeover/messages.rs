//! Conversion between messages about moves and their form on the wire, [`Notice`].

use fulmarreel_rollout::brief::{Counts, CountsByRoute, Grant, Message, Report, VersionCounts};
use fulmarreel_wire::notice::{self, Notice, Share, Tally};

/// The notice that carries a message about the move of `service` ordered at store revision `order`.
pub(super) fn to_notice(service: &str, order: u64, message: Message) -> Notice {
    let service = service.to_owned();
    match message {
        Message::Bad => Notice::Bad { service, order },
        Message::Completed => Notice::Completed { service, order },
        Message::Report(report) => Notice::Tally(Tally {
            service,
            order,
            boot: report.boot,
            owner: report.owner_revision,
            permille: report.permille,
            proven: report.proven_permille,
            routes: report.evidence.into_iter().map(route_to_wire).collect(),
        }),
        Message::Grant(grant) => Notice::Share(Share {
            service,
            order,
            owner: grant.owner_revision,
            number: grant.sequence,
            permille: grant.permille,
            proven: grant.proven_permille,
        }),
    }
}

/// The service, the store revision of the order, and the message; `None` if the notice is not about a
/// move.
pub(super) fn from_notice(notice: Notice) -> Option<(String, u64, Message)> {
    match notice {
        Notice::Bad { service, order } => Some((service, order, Message::Bad)),
        Notice::Completed { service, order } => Some((service, order, Message::Completed)),
        Notice::Tally(tally) => {
            let report = Report {
                boot: tally.boot,
                owner_revision: tally.owner,
                permille: tally.permille,
                proven_permille: tally.proven,
                evidence: evidence_from_wire(&tally.routes),
            };
            Some((tally.service, tally.order, Message::Report(report)))
        }
        Notice::Share(share) => {
            let grant = Grant {
                owner_revision: share.owner,
                sequence: share.number,
                permille: share.permille,
                proven_permille: share.proven,
            };
            Some((share.service, share.order, Message::Grant(grant)))
        }
        Notice::Revision(_) | Notice::Contact(_) => None,
    }
}

fn evidence_from_wire(routes: &[notice::Route]) -> CountsByRoute {
    let pair = |route: &notice::Route| VersionCounts {
        old: counts_from_wire(route.old),
        new: counts_from_wire(route.new),
    };
    let routes = routes.iter();
    routes.map(|route| (route.route, pair(route))).collect()
}

fn route_to_wire((route, pair): (u64, VersionCounts)) -> notice::Route {
    notice::Route {
        route,
        old: counts_to_wire(pair.old),
        new: counts_to_wire(pair.new),
    }
}

fn counts_from_wire(counts: notice::Counts) -> Counts {
    Counts {
        calls: counts.calls,
        failed: counts.failed,
        slow: counts.slow,
        open: counts.open,
        overdue: counts.overdue,
        lost: counts.lost,
    }
}

fn counts_to_wire(counts: Counts) -> notice::Counts {
    notice::Counts {
        calls: counts.calls,
        failed: counts.failed,
        slow: counts.slow,
        open: counts.open,
        overdue: counts.overdue,
        lost: counts.lost,
    }
}
