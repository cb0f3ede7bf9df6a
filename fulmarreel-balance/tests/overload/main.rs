//! Order and admission under overload.

mod attempt;
mod origin;
mod play;
mod queue;
mod refusal;
mod shares;
mod throttle;
