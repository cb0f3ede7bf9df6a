//! Contract tests: the trait, by the HTTP client, against the fake etcd.

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
