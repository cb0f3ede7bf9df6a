//! Groups of nodes under listed faults and under seeded random schedules, in virtual time.

mod membership {
    mod driver;
    mod exchange;
    mod faults;
    mod incarnation;
    mod schedule;
}
