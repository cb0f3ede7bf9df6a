//! Order and admission under overload.

mod attempt;
mod origin;
mod play;
mod queue;
mod shares;
mod throttle;
