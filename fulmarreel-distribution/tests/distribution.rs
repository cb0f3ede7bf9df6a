//! The distribution's decisions, in tables of cases and under seeded random schedules.

mod distribution {
    mod catalog;
    mod duty;
    mod fanout;
    mod knowledge;
    mod log;
    mod pace;
    mod proof;
    mod readers;
    mod readiness;
    mod schedule;
}
