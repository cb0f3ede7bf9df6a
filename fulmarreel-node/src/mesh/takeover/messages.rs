//! Conversion between messages about rollouts and their form on the wire, [`Notice`].

use fulmarreel_rollout::brief::{Counts, CountsByRoute, Grant, Message, Report, VersionCounts};
use fulmarreel_wire::notice::{self, Notice, RolloutCounts, ShareGrant};

/// The notice that carries a message about the rollout of `service` ordered at store revision
/// `order`.
pub(super) fn to_notice(service: &str, order: u64, message: Message) -> Notice {
    let service = service.to_owned();
    match message {
        Message::Bad => Notice::VersionBad { service, order },
        Message::Completed => Notice::RolloutCompleted { service, order },
        Message::Report(report) => Notice::RolloutCounts(RolloutCounts {
            service,
            order,
            boot: report.boot,
            owner_revision: report.owner_revision,
            permille: report.permille,
            proven_permille: report.proven_permille,
            routes: report.evidence.into_iter().map(route_to_wire).collect(),
        }),
        Message::Grant(grant) => Notice::ShareGrant(ShareGrant {
            service,
            order,
            owner_revision: grant.owner_revision,
            sequence: grant.sequence,
            permille: grant.permille,
            proven_permille: grant.proven_permille,
        }),
    }
}

/// The service, the store revision of the order, and the message; `None` if the notice is not about a
/// rollout.
pub(super) fn from_notice(notice: Notice) -> Option<(String, u64, Message)> {
    match notice {
        Notice::VersionBad { service, order } => Some((service, order, Message::Bad)),
        Notice::RolloutCompleted { service, order } => Some((service, order, Message::Completed)),
        Notice::RolloutCounts(counts) => {
            let report = Report {
                boot: counts.boot,
                owner_revision: counts.owner_revision,
                permille: counts.permille,
                proven_permille: counts.proven_permille,
                evidence: evidence_from_wire(&counts.routes),
            };
            Some((counts.service, counts.order, Message::Report(report)))
        }
        Notice::ShareGrant(share_grant) => {
            let grant = Grant {
                owner_revision: share_grant.owner_revision,
                sequence: share_grant.sequence,
                permille: share_grant.permille,
                proven_permille: share_grant.proven_permille,
            };
            Some((
                share_grant.service,
                share_grant.order,
                Message::Grant(grant),
            ))
        }
        Notice::Revision(_)
        | Notice::Contact(_)
        | Notice::QuotaReport(_)
        | Notice::QuotaAnswer(_)
        | Notice::QuotaCoordinator(_)
        | Notice::QuotaLoanRequest(_)
        | Notice::QuotaLoan(_) => None,
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
