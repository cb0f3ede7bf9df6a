//! The quota of a request's account.

use super::{Request, RequestHandler, offer::RequestOutcome};
use crate::mesh::quota::Permit;
use std::time::{Duration, Instant};

/// The longest time that a request waits for a token.
const MAX_WAIT: Duration = Duration::from_millis(100);

/// A request waits for a token for at most this fraction of its route's latency objective.
const MAX_WAIT_FRACTION: f64 = 0.125;

/// Why a request of an account over its quota is refused.
pub(super) const OVER_QUOTA: &str = "the account is over its quota";

/// The retry delay of a request that may not be sent, again or after a hold-up, because there is no token
/// for it.
const EXPIRED_RETRY_AFTER: Duration = Duration::from_millis(500);

impl RequestHandler {
    /// Admits a request under the quota of its account; `None` if that has none.
    pub(super) async fn admit(
        &self,
        request: &Request<'_>,
    ) -> Result<Option<Permit>, RequestOutcome> {
        let Some(account) = request.account else {
            return Ok(None);
        };
        let left = request.deadline.saturating_duration_since(Instant::now());
        let objective = request.route.objective.mul_f64(MAX_WAIT_FRACTION);
        let max_wait = MAX_WAIT.min(objective).min(left);
        let admitted = self.quotas.admit(account, max_wait).await;
        admitted.map_err(|refusal| RequestOutcome::OverQuota {
            retry_after: refusal.retry_after,
        })
    }
}

impl RequestOutcome {
    /// The outcome of a request that may not be sent to another target under its account's quota:
    /// unchanged if an earlier target may have run it.
    pub(super) fn or_over_quota(self) -> Self {
        match self {
            Self::NotRun { .. } => Self::OverQuota {
                retry_after: EXPIRED_RETRY_AFTER,
            },
            other => other,
        }
    }
}
