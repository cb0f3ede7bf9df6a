//! Tables of the decisions on load, with the clock and the random source passed in.

#[path = "balance/admission.rs"]
mod admission;
#[path = "balance/budget.rs"]
mod budget;
#[path = "balance/choice.rs"]
mod choice;
