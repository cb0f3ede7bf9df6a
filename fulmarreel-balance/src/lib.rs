//! Load balancing over targets, admission to a target's slots, and retry budgets, without I/O.
#![deny(missing_docs, rust_2018_idioms)]
#![forbid(unsafe_code)]

pub mod admission;
pub mod budget;
pub mod choice;
pub mod cold;
pub mod decay;
pub mod link;
pub mod overload;
pub mod placement;
pub mod speed;
pub mod transfers;
pub mod uneven;
pub mod zones;

pub use admission::Admission;
pub use budget::Budget;
pub use link::Link;
pub use speed::Speed;
