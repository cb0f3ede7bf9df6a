//! Admission, retry budgets and target selection, with the clock and the random source passed in.

#[path = "balance/admission.rs"]
mod admission;
#[path = "balance/budget.rs"]
mod budget;
#[path = "balance/choice.rs"]
mod choice;
#[path = "balance/cold.rs"]
mod cold;
