//! Conversion between messages on quotas and their form on the wire.

use crate::{
    Time,
    message::{Answer, Demand, Grant, Held, Loan, LoanRequest, Report},
};
use fulmarreel_wire::notice::{
    QuotaAnswer, QuotaDemand, QuotaGrant, QuotaLoan, QuotaLoanRequest, QuotaReport,
};
use std::time::Duration;

impl From<&Report> for QuotaReport {
    fn from(report: &Report) -> Self {
        Self {
            boot: report.boot,
            sequence: report.sequence,
            // Rounded down, so that at the node the grant expires early rather than late.
            sent_ms: to_millis(report.sent_at),
            never_granted: report.never_granted,
            demands: report.demands.iter().map(Into::into).collect(),
        }
    }
}

impl From<&QuotaReport> for Report {
    fn from(report: &QuotaReport) -> Self {
        Self {
            boot: report.boot,
            sequence: report.sequence,
            sent_at: Time::from_millis(report.sent_ms),
            never_granted: report.never_granted,
            demands: report.demands.iter().map(Into::into).collect(),
        }
    }
}

impl From<&Demand> for QuotaDemand {
    fn from(demand: &Demand) -> Self {
        let held_ms = demand.held.remaining.as_micros().div_ceil(1_000);
        Self {
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
}

impl From<&QuotaDemand> for Demand {
    fn from(demand: &QuotaDemand) -> Self {
        Self {
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
}

impl From<&Answer> for QuotaAnswer {
    fn from(answer: &Answer) -> Self {
        Self {
            boot: answer.boot,
            sequence: answer.sequence,
            sent_ms: to_millis(answer.sent_at),
            grants: answer.grants.iter().map(Into::into).collect(),
        }
    }
}

impl From<&QuotaAnswer> for Answer {
    fn from(answer: &QuotaAnswer) -> Self {
        Self {
            boot: answer.boot,
            sequence: answer.sequence,
            sent_at: Time::from_millis(answer.sent_ms),
            grants: answer.grants.iter().map(Into::into).collect(),
        }
    }
}

impl From<&Grant> for QuotaGrant {
    fn from(grant: &Grant) -> Self {
        Self {
            account: grant.account,
            rate_milli: grant.rate_milli,
            bucket: grant.bucket,
            tokens: grant.tokens,
            wanted: grant.wanted,
            missing: grant.missing,
            of_rate_milli: grant.of_rate_milli,
            of_capacity: grant.of_capacity,
        }
    }
}

impl From<&QuotaGrant> for Grant {
    fn from(grant: &QuotaGrant) -> Self {
        Self {
            account: grant.account,
            rate_milli: grant.rate_milli,
            bucket: grant.bucket,
            tokens: grant.tokens,
            wanted: grant.wanted,
            missing: grant.missing,
            of_rate_milli: grant.of_rate_milli,
            of_capacity: grant.of_capacity,
        }
    }
}

impl From<&LoanRequest> for QuotaLoanRequest {
    fn from(request: &LoanRequest) -> Self {
        Self {
            boot: request.boot,
            sequence: request.sequence,
            sent_ms: to_millis(request.sent_at),
            account: request.account,
            wanted: request.wanted,
        }
    }
}

impl From<&QuotaLoanRequest> for LoanRequest {
    fn from(request: &QuotaLoanRequest) -> Self {
        Self {
            boot: request.boot,
            sequence: request.sequence,
            sent_at: Time::from_millis(request.sent_ms),
            account: request.account,
            wanted: request.wanted,
        }
    }
}

impl From<&QuotaLoan> for Loan {
    fn from(loan: &QuotaLoan) -> Self {
        Self {
            request: (&loan.request).into(),
            tokens: loan.tokens,
        }
    }
}

fn to_millis(time: Time) -> u64 {
    u64::try_from(time.as_millis()).unwrap_or(u64::MAX)
}
