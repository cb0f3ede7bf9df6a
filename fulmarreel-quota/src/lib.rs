//! Request quotas of client accounts over all nodes, without I/O and without a clock.
//!
//! One node of the fleet is the [`Coordinator`]. Every node is a [`Member`]: it reports the demand that
//! it sees to the coordinator, and spends what the coordinator grants.
//!
//! A node with much demand of an account is granted a rate. Other nodes ask one of the account's two
//! *deputies*, which are nodes chosen by hash: as they are asked, they have much demand, and lend the
//! tokens of their own rate. So nodes are served without the coordinator for as long as grants live.
//!
//! The upper bound follows from the conservation of *tokens*, each of which admits one request. Tokens
//! come into being at the rates that are granted and, at the coordinator, at the rate that is not
//! granted; these rates add up to the account's quota. They are kept in buckets, whose sizes add up to
//! the account's [`Limit::capacity`]. A token that moves between the coordinator and a node is
//! subtracted before it is sent, so that a lost message loses tokens and a repeated one adds none. The
//! requests of any window are therefore at most the capacity plus the rate times the window, and what a
//! new coordinator adds while grants of its predecessor may be in force ([`Limit::bound`]).
#![deny(missing_docs, rust_2018_idioms)]
#![forbid(unsafe_code)]

pub mod coordinator;
pub mod limit;
pub mod member;
pub mod message;
mod wire;

pub use coordinator::Coordinator;
pub use limit::Limit;
pub use member::Member;

use std::time::Duration;

/// A time of a clock that goes on while the machine is suspended, as the time since the clock's origin.
pub type Time = Duration;

/// How long a grant with a rate lives, from the time at which the report was sent that it answers.
pub const GRANT_LIFETIME: Duration = Duration::from_secs(5);

/// How long a grant of tokens without a rate lives, from the time at which the report was sent that it
/// answers. While it lives its tokens occupy room, whether they are spent or not; the requests that they
/// are for wait for 100 ms at most.
pub const TOKEN_LIFETIME: Duration = Duration::from_millis(300);

/// How long tokens that a deputy lends can be used, from the time at which they were asked for.
pub const LOAN_LIFETIME: Duration = Duration::from_millis(100);

/// How long after its admission a request may be sent to a target.
pub const HOLD_TIME: Duration = Duration::from_secs(2);

/// The lifetime of a grant with a rate in thousandths of a request per second.
pub(crate) fn lifetime(rate_milli: u64) -> Duration {
    if rate_milli > 0 {
        GRANT_LIFETIME
    } else {
        TOKEN_LIFETIME
    }
}
