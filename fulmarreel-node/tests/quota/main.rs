//! Quotas of client accounts over several nodes, which run in the test's process without their HTTP
//! side; the store is a fake.

mod share;
mod support;
