//! Contract tests: the trait, by the HTTP client, on the stand-in.

mod store {
    mod commit;
    mod faults;
    mod gateway;
    mod keys;
    mod lease;
    mod read;
    mod support;
    mod watch;
}
