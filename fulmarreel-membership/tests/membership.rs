//! Decisions of the membership, by fault tables and seeded schedules.

mod membership {
    mod driver;
    mod exchange;
    mod faults;
    mod incarnation;
    mod schedule;
}
