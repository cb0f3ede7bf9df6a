//! Order and admission under overload: which requests get the slots of a target that is asked for more
//! than it can run.
//!
//! The [`Queue`] serves calls that targets make before new work, and new work by priority and by fair
//! shares of the accounts. [`Origins`] tells the two kinds of requests apart, [`Shares`] finds accounts
//! that priorities would starve, [`Retries`] spreads the retries of refused requests, and [`Throttle`]
//! admits less work whose calls are refused elsewhere, as [`Refusals`] tells. [`Attempt`] decides, at the
//! node that received a request, whether the request is worth another offer.

mod attempt;
mod class;
mod lane;
mod origin;
mod pace;
mod queue;
mod refusal;
mod retries;
mod share;
mod throttle;

pub use attempt::Attempt;
pub use class::{Class, Kind};
pub use origin::{Hint, Origins};
pub use queue::{Arrival, Cause, Decision, Key, Queue, Released, Request};
pub use refusal::Refusals;
pub use retries::Retries;
pub use share::Shares;
pub use throttle::Throttle;
