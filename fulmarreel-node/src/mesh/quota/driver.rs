//! Reports to the coordinator, and what is received on quotas.

use super::{
    Quotas, Term, clock,
    messages::{
        answer_from_wire, answer_to_wire, loan_from_wire, report_from_wire, report_to_wire,
        wish_from_wire, wish_to_wire,
    },
};
use crate::mesh::notices::NoticeSocket;
use fulmarreel_quota::{
    Limit, Time,
    member::{Outgoing, Token},
    message::Report,
};
use fulmarreel_wire::notice::{MAX_QUOTA_DEMANDS, Notice, QuotaLoan, QuotaReport, QuotaWish};
use smol::{Timer, future::or};
use std::{net::SocketAddr, sync::Arc, time::Duration};

/// The shortest time between two checks for what is due.
const MIN_PAUSE: Duration = Duration::from_millis(2);

/// How often a node introduces itself to a new coordinator.
const MAX_INTRODUCTIONS: u8 = 3;

/// The time over which nodes spread their first reports to a new coordinator.
const FIRST_REPORT_SPREAD: Duration = Duration::from_millis(100);

/// Decides on waiting requests and reports demand, until the process ends. Sleeps while no account with
/// a limit has requests.
pub async fn run(quotas: Arc<Quotas>, notices: Arc<NoticeSocket>) {
    loop {
        let pause = quotas.due_at().map(|at| at.saturating_sub(clock::now()));
        or(
            async {
                // Cannot fail: the sender lives as long as the receiver.
                let _ = quotas.waits.1.recv().await;
            },
            async {
                match pause {
                    Some(pause) => {
                        Timer::after(pause.max(MIN_PAUSE)).await;
                    }
                    None => std::future::pending().await,
                }
            },
        )
        .await;
        quotas.settle();
        quotas.report(&notices).await;
    }
}

impl Quotas {
    /// Handles a notice on quotas; returns the reply to it.
    pub fn handle(self: &Arc<Self>, from: SocketAddr, notice: &Notice) -> Option<Notice> {
        match notice {
            Notice::QuotaReport(report) => return self.answer(from, report),
            Notice::QuotaAnswer(answer) => {
                let answer = answer_from_wire(answer);
                self.settle_after(|member| {
                    let now = clock::now();
                    member.apply(&answer, now);
                    member.decide(now)
                });
                self.ask_further();
            }
            Notice::QuotaWish(wish) => return self.lend(wish),
            Notice::QuotaLoan(loan) => {
                let loan = loan_from_wire(loan);
                self.settle_after(|member| member.accept(&loan, clock::now()));
                self.ask_further();
            }
            Notice::QuotaCoordinator(revision) => {
                self.note_coordinator(from, *revision);
                self.ask_further();
            }
            _ => {}
        }
        None
    }

    /// Records that a node has become the coordinator.
    pub(super) fn note_coordinator(&self, address: SocketAddr, revision: u64) {
        let mut known = self.known.lock().expect("coordinators lock");
        let latest = known.announced.map_or(0, |(term, _)| term.revision);
        if revision >= latest {
            known.announced = Some((Term { revision, address }, clock::now()));
        }
    }

    /// Takes a token for another attempt of a request.
    pub(super) fn take_again(&self, account: u64, now: Time) -> Option<Token> {
        let limit: Limit = self.limits.by_hash(&self.context)(account)?;
        self.requests().member.take_again(account, limit, now)
    }

    fn answer(&self, from: SocketAddr, report: &QuotaReport) -> Option<Notice> {
        let limits = self.limits.by_hash(&self.context);
        let view = self.context.view();
        let nodes = view.nodes.iter().map(|node| node.0);
        let report = report_from_wire(report);
        let answer = self.duty.answer(from, &report, nodes, limits)?;
        Some(Notice::QuotaAnswer(answer_to_wire(&answer)))
    }

    fn lend(&self, wish: &QuotaWish) -> Option<Notice> {
        let limit = self.limits.by_hash(&self.context)(wish.account)?;
        let loan = {
            let mut requests = self.requests();
            let now = clock::now();
            requests.member.lend(&wish_from_wire(wish), limit, now)
        };
        // The driver may sleep; it has to report the demand that others have of this node.
        self.ask_further();
        Some(Notice::QuotaLoan(QuotaLoan {
            wish: *wish,
            tokens: loan.tokens,
        }))
    }

    /// Wakes the driver, which may have something to do earlier than before.
    pub(super) fn ask_further(&self) {
        // Fails if a signal is pending, which is enough.
        let _ = self.waits.0.try_send(());
    }

    fn due_at(&self) -> Option<Time> {
        self.requests().member.due_at(clock::now())
    }

    /// What this node tells a new coordinator at first, again if the datagram may have been lost.
    fn introduction(&self, now: Time) -> Option<Report> {
        {
            let mut known = self.known.lock().expect("coordinators lock");
            known.introductions = known.introductions.checked_sub(1)?;
        }
        self.requests().member.introduction(now)
    }

    /// Whether this node has to report to a coordinator that it has not reported to often enough.
    pub(super) fn has_to_introduce(&self) -> bool {
        let coordinator = self.coordinator();
        let known = self.known.lock().expect("coordinators lock");
        coordinator.is_some() && (known.reported_to != coordinator || known.introductions > 0)
    }

    /// Sends the reports that are due to the coordinator, if there is one.
    async fn report(&self, notices: &NoticeSocket) {
        let coordinator = self.coordinator();
        let now = clock::now();
        let is_new = {
            let mut known = self.known.lock().expect("coordinators lock");
            let is_new = coordinator.is_some() && known.reported_to != coordinator;
            if is_new {
                known.reported_to = coordinator;
                known.introductions = MAX_INTRODUCTIONS;
            }
            is_new
        };
        if let Some(coordinator) = coordinator
            && let Some(introduction) = self.introduction(now)
        {
            let notice = Notice::QuotaReport(report_to_wire(&introduction));
            notices.send(coordinator.address, notice).await;
        }
        let messages = {
            let mut requests = self.requests();
            if is_new {
                let delay = FIRST_REPORT_SPREAD.mul_f64(fastrand::f64());
                requests.member.report_by(now + delay);
            }
            let deputies =
                |account, limit: &Limit| self.deputies.of_account(&self.context, account, limit);
            requests.member.messages(MAX_QUOTA_DEMANDS, deputies, now)
        };
        for message in messages {
            match (message, coordinator) {
                (Outgoing::Wish(deputy, wish), _) => {
                    let notice = Notice::QuotaWish(wish_to_wire(&wish));
                    notices.send(deputy, notice).await;
                }
                (Outgoing::Report(report), Some(coordinator)) => {
                    let notice = Notice::QuotaReport(report_to_wire(&report));
                    notices.send(coordinator.address, notice).await;
                }
                // The requests ask a deputy next.
                (Outgoing::Report(_), None) => {}
            }
        }
    }
}
