//! Conversion between messages on quotas and their form on the wire.

use fulmarreel_quota::{
    Time,
    message::{Answer, Demand, Grant, Held, Loan, LoanRequest, Report},
};
use fulmarreel_wire::notice::{
    QuotaAnswer, QuotaDemand, QuotaGrant, QuotaLoan, QuotaLoanRequest, QuotaReport,
};
use std::time::Duration;

/// The wire form of a report.
pub(super) fn report_to_wire(report: &Report) -> QuotaReport {
    QuotaReport {
        boot: report.boot,
        sequence: report.sequence,
        // Rounded down, so that at the node the grant expires early rather than late.
        sent_ms: to_millis(report.sent_at),
        never_granted: report.never_granted,
        demands: report.demands.iter().map(demand_to_wire).collect(),
    }
}

/// The report in its wire form.
pub(super) fn report_from_wire(report: &QuotaReport) -> Report {
    Report {
        boot: report.boot,
        sequence: report.sequence,
        sent_at: Time::from_millis(report.sent_ms),
        never_granted: report.never_granted,
        demands: report.demands.iter().map(demand_from_wire).collect(),
    }
}

/// The wire form of an answer.
pub(super) fn answer_to_wire(answer: &Answer) -> QuotaAnswer {
    let grants = answer.grants.iter().map(|grant| QuotaGrant {
        account: grant.account,
        rate_milli: grant.rate_milli,
        bucket: grant.bucket,
        tokens: grant.tokens,
        wanted: grant.wanted,
        missing: grant.missing,
        of_rate_milli: grant.of_rate_milli,
        of_capacity: grant.of_capacity,
    });
    QuotaAnswer {
        boot: answer.boot,
        sequence: answer.sequence,
        sent_ms: to_millis(answer.sent_at),
        grants: grants.collect(),
    }
}

/// The answer in its wire form.
pub(super) fn answer_from_wire(answer: &QuotaAnswer) -> Answer {
    let grants = answer.grants.iter().map(|grant| Grant {
        account: grant.account,
        rate_milli: grant.rate_milli,
        bucket: grant.bucket,
        tokens: grant.tokens,
        wanted: grant.wanted,
        missing: grant.missing,
        of_rate_milli: grant.of_rate_milli,
        of_capacity: grant.of_capacity,
    });
    Answer {
        boot: answer.boot,
        sequence: answer.sequence,
        sent_at: Time::from_millis(answer.sent_ms),
        grants: grants.collect(),
    }
}

/// The wire form of a question to a deputy.
pub(super) fn loan_request_to_wire(request: &LoanRequest) -> QuotaLoanRequest {
    QuotaLoanRequest {
        boot: request.boot,
        sequence: request.sequence,
        sent_ms: to_millis(request.sent_at),
        account: request.account,
        wanted: request.wanted,
    }
}

/// The question in its wire form.
pub(super) fn loan_request_from_wire(request: &QuotaLoanRequest) -> LoanRequest {
    LoanRequest {
        boot: request.boot,
        sequence: request.sequence,
        sent_at: Time::from_millis(request.sent_ms),
        account: request.account,
        wanted: request.wanted,
    }
}

/// The deputy's answer in its wire form.
pub(super) fn loan_from_wire(loan: &QuotaLoan) -> Loan {
    let request = loan_request_from_wire(&loan.request);
    Loan {
        request,
        tokens: loan.tokens,
    }
}

fn demand_to_wire(demand: &Demand) -> QuotaDemand {
    let held_ms = demand.held.remaining.as_micros().div_ceil(1_000);
    QuotaDemand {
        account: demand.account,
        rate_milli: demand.rate_milli,
        wanted: demand.wanted,
        ahead: demand.ahead,
        returned: demand.returned,
        applied: demand.applied,
        held_rate_milli: demand.held.rate_milli,
        held_bucket: demand.held.bucket,
        // Rounded up, so that a new coordinator does not take it for expired early.
        held_ms: u32::try_from(held_ms).unwrap_or(u32::MAX).saturating_add(1),
    }
}

fn demand_from_wire(demand: &QuotaDemand) -> Demand {
    Demand {
        account: demand.account,
        rate_milli: demand.rate_milli,
        wanted: demand.wanted,
        ahead: demand.ahead,
        returned: demand.returned,
        applied: demand.applied,
        held: Held {
            rate_milli: demand.held_rate_milli,
            bucket: demand.held_bucket,
            remaining: Duration::from_millis(u64::from(demand.held_ms)),
        },
    }
}

fn to_millis(time: Time) -> u64 {
    u64::try_from(time.as_millis()).unwrap_or(u64::MAX)
}
