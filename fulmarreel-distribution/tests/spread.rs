//! Simulated fleets in virtual time: what each node knows of the store, and which nodes call it.

mod spread {
    mod fleet;
    mod schedule;
    mod start;
}
