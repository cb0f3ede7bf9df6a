//! Reports to the coordinator, and the handling of received messages on quotas.

use super::{Quotas, Term};
use crate::mesh::{boot_clock, notices::NoticeSocket};
use fulmarreel_quota::{
    Limit, Time,
    member::{Outgoing, Token},
    message::Report,
};
use fulmarreel_wire::notice::{
    MAX_QUOTA_DEMANDS, Notice, QuotaLoan, QuotaLoanRequest, QuotaReport,
};
use smol::{Timer, future::or};
use std::{net::SocketAddr, sync::Arc, time::Duration};

/// The shortest time between two checks for what is due, unless a signal comes earlier.
const MIN_PAUSE: Duration = Duration::from_millis(2);

/// How often a node introduces itself to a new coordinator, as datagrams may be lost.
const MAX_INTRODUCTIONS: u8 = 3;

/// The time over which nodes spread their first reports to a new coordinator.
const FIRST_REPORT_SPREAD: Duration = Duration::from_millis(100);

/// Decides on waiting requests and reports demand, until the process ends. Sleeps while no account with
/// a limit has requests.
pub async fn run(quotas: Arc<Quotas>, notices: Arc<NoticeSocket>) {
    loop {
        let pause = quotas
            .due_at()
            .map(|at| at.saturating_sub(boot_clock::since_start()));
        or(
            async {
                // Cannot fail: the sender lives as long as the receiver.
                let _ = quotas.driver_signal.1.recv().await;
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
                let answer = answer.into();
                self.settle_after(|member| {
                    let now = boot_clock::since_start();
                    member.apply(&answer, now);
                    member.decide(now)
                });
                self.wake_driver();
            }
            Notice::QuotaLoanRequest(request) => return self.lend(request),
            Notice::QuotaLoan(loan) => {
                let loan = loan.into();
                self.settle_after(|member| member.accept(&loan, boot_clock::since_start()));
                self.wake_driver();
            }
            Notice::QuotaCoordinator(revision) => {
                self.record_coordinator(from, *revision);
                self.wake_driver();
            }
            _ => {}
        }
        None
    }

    /// Records that a node has become the coordinator.
    pub(super) fn record_coordinator(&self, address: SocketAddr, revision: u64) {
        let mut known = self.known.lock().expect("coordinators lock");
        let latest = known.announced.map_or(0, |(term, _)| term.revision);
        if revision >= latest {
            known.announced = Some((Term { revision, address }, boot_clock::since_start()));
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
        let report = report.into();
        let answer = self.duty.answer(from, &report, nodes, limits)?;
        Some(Notice::QuotaAnswer((&answer).into()))
    }

    fn lend(&self, request: &QuotaLoanRequest) -> Option<Notice> {
        let limit = self.limits.by_hash(&self.context)(request.account)?;
        let loan = {
            let mut requests = self.requests();
            let now = boot_clock::since_start();
            requests.member.lend(&request.into(), limit, now)
        };
        // The driver may sleep, and has to report what was asked for as demand of this node.
        self.wake_driver();
        Some(Notice::QuotaLoan(QuotaLoan {
            request: *request,
            tokens: loan.tokens,
        }))
    }

    /// Wakes the driver, which may have something to do earlier than before.
    pub(super) fn wake_driver(&self) {
        // Fails if a signal is pending, which is enough.
        let _ = self.driver_signal.0.try_send(());
    }

    fn due_at(&self) -> Option<Time> {
        self.requests().member.due_at(boot_clock::since_start())
    }

    /// The next introduction to the coordinator, if one is left and no grant was ever made to this process.
    fn introduction(&self, now: Time) -> Option<Report> {
        {
            let mut known = self.known.lock().expect("coordinators lock");
            known.introductions = known.introductions.checked_sub(1)?;
        }
        self.requests().member.introduction(now)
    }

    /// Whether introductions to the coordinator are left to send.
    pub(super) fn has_to_introduce(&self) -> bool {
        let coordinator = self.coordinator();
        let known = self.known.lock().expect("coordinators lock");
        coordinator.is_some() && (known.reported_to != coordinator || known.introductions > 0)
    }

    /// Sends the reports that are due to the coordinator, if there is one.
    async fn report(&self, notices: &NoticeSocket) {
        let coordinator = self.coordinator();
        let now = boot_clock::since_start();
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
            let notice = Notice::QuotaReport((&introduction).into());
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
                (Outgoing::LoanRequest(deputy, request), _) => {
                    let notice = Notice::QuotaLoanRequest((&request).into());
                    notices.send(deputy, notice).await;
                }
                (Outgoing::Report(report), Some(coordinator)) => {
                    let notice = Notice::QuotaReport((&report).into());
                    notices.send(coordinator.address, notice).await;
                }
                // The requests ask a deputy next.
                (Outgoing::Report(_), None) => {}
            }
        }
    }
}
