//! Decides whether a call may be sent to another target.

/// Limit of the targets that one call is sent to.
pub const MAX_ATTEMPTS: u8 = 4;

/// How an attempt without a response ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum FailedAttempt {
    /// Certainly not run, at no cost to a target: the call was never sent, or the target accepts no
    /// calls.
    Unsent,
    /// Certainly not run: an overloaded target refused the call.
    Overloaded,
    /// The call may have run.
    Unknown,
}

/// The properties of a call that decide whether it is retried.
#[derive(Debug, Clone, Copy)]
pub struct Call {
    /// Whether it may run more than once.
    pub idempotent: bool,
    /// Whether the call belongs to a retry by a layer above, such as its caller.
    pub is_upstream_retry: bool,
    /// Number of attempts so far.
    pub attempts: u8,
}

/// What to do after a failed attempt.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Decision {
    /// Report the failure to the caller.
    Stop,
    /// Send the call to another target.
    Retry,
    /// Send the call to another target if the service's retry budget allows it.
    RetryOnBudget,
}

/// Decides what to do after an attempt that got no response.
///
/// A non-idempotent call is retried only if it certainly did not run. If a layer above already
/// retries, this node adds no retries that put load on targets, so that the retries of several
/// layers do not multiply.
pub fn decide(call: Call, end: FailedAttempt) -> Decision {
    if call.attempts >= MAX_ATTEMPTS {
        return Decision::Stop;
    }
    match end {
        FailedAttempt::Unsent => Decision::Retry,
        FailedAttempt::Overloaded | FailedAttempt::Unknown if call.is_upstream_retry => {
            Decision::Stop
        }
        FailedAttempt::Overloaded => Decision::RetryOnBudget,
        FailedAttempt::Unknown if call.idempotent => Decision::RetryOnBudget,
        FailedAttempt::Unknown => Decision::Stop,
    }
}
