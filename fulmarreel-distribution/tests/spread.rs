//! Fleets in virtual time: what each node knows of the store, and who calls it.

mod spread {
    mod fleet;
    mod schedule;
    mod start;
}
