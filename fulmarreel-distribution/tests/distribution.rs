//! Decisions of the distribution, by fault tables and seeded schedules.

mod distribution {
    mod catalog;
    mod duty;
    mod fanout;
    mod knowledge;
    mod log;
    mod pace;
    mod readers;
    mod readiness;
    mod schedule;
}
