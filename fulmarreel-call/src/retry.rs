//! Whether a call may be sent to another target.

/// The most targets that one call is sent to.
pub const MAX_ATTEMPTS: u8 = 4;

/// How an attempt ended without an answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum End {
    /// Proved not run, at no cost to a target: never sent, or the target takes no calls.
    Unsent,
    /// Proved not run, refused by a target that has too much to do.
    Overloaded,
    /// It may have run.
    Unknown,
}

/// What is known of the call.
#[derive(Debug, Clone, Copy)]
pub struct Call {
    /// Whether it may be run more than once.
    pub idempotent: bool,
    /// Whether it is itself a retry of a layer above.
    pub retried_above: bool,
    /// Attempts that were made.
    pub attempts: u8,
}

/// What to do next.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Next {
    /// Tell the caller.
    Stop,
    /// Send it to another target.
    Retry,
    /// Send it to another target if the service's retry budget allows.
    RetryOnBudget,
}

/// Decides after an attempt that ended without an answer.
///
/// A non-idempotent call is sent again only where it is proved not run. Where a layer above
/// retries already, this one doesn't add retries that load targets.
pub fn decide(call: Call, end: End) -> Next {
    if call.attempts >= MAX_ATTEMPTS {
        return Next::Stop;
    }
    match end {
        End::Unsent => Next::Retry,
        End::Overloaded | End::Unknown if call.retried_above => Next::Stop,
        End::Overloaded => Next::RetryOnBudget,
        End::Unknown if call.idempotent => Next::RetryOnBudget,
        End::Unknown => Next::Stop,
    }
}
