//! Moves' messages as notices, and back.

use fulmarreel_rollout::brief::{Counts, Evidence, Grant, Message, Pair, Report};
use fulmarreel_wire::notice::{self, Notice, Share, Tally};

/// A message on a service's move by an order.
pub(super) fn notice(service: &str, order: u64, message: Message) -> Notice {
    let service = service.to_owned();
    match message {
        Message::Bad => Notice::Bad { service, order },
        Message::Completed => Notice::Completed { service, order },
        Message::Report(report) => Notice::Tally(Tally {
            service,
            order,
            boot: report.boot,
            owner: report.owner,
            permille: report.permille,
            proven: report.proven,
            routes: report.evidence.into_iter().map(route).collect(),
        }),
        Message::Grant(grant) => Notice::Share(Share {
            service,
            order,
            owner: grant.owner,
            number: grant.number,
            permille: grant.permille,
            proven: grant.proven,
        }),
    }
}

/// The service, the order and the message of a notice on a move.
pub(super) fn message(notice: Notice) -> Option<(String, u64, Message)> {
    match notice {
        Notice::Bad { service, order } => Some((service, order, Message::Bad)),
        Notice::Completed { service, order } => Some((service, order, Message::Completed)),
        Notice::Tally(tally) => {
            let report = Report {
                boot: tally.boot,
                owner: tally.owner,
                permille: tally.permille,
                proven: tally.proven,
                evidence: evidence(&tally.routes),
            };
            Some((tally.service, tally.order, Message::Report(report)))
        }
        Notice::Share(share) => {
            let grant = Grant {
                owner: share.owner,
                number: share.number,
                permille: share.permille,
                proven: share.proven,
            };
            Some((share.service, share.order, Message::Grant(grant)))
        }
        Notice::Revision(_) | Notice::Contact(_) => None,
    }
}

fn evidence(routes: &[notice::Route]) -> Evidence {
    let pair = |route: &notice::Route| Pair {
        old: counts(route.old),
        new: counts(route.new),
    };
    let routes = routes.iter();
    routes.map(|route| (route.route, pair(route))).collect()
}

fn route((route, pair): (u64, Pair)) -> notice::Route {
    notice::Route {
        route,
        old: wire(pair.old),
        new: wire(pair.new),
    }
}

fn counts(counts: notice::Counts) -> Counts {
    Counts {
        calls: counts.calls,
        failed: counts.failed,
        slow: counts.slow,
        open: counts.open,
        overdue: counts.overdue,
        lost: counts.lost,
    }
}

fn wire(counts: Counts) -> notice::Counts {
    notice::Counts {
        calls: counts.calls,
        failed: counts.failed,
        slow: counts.slow,
        open: counts.open,
        overdue: counts.overdue,
        lost: counts.lost,
    }
}
