//! Order and admission under overload.

mod origin;
mod play;
mod queue;
mod shares;
mod throttle;
