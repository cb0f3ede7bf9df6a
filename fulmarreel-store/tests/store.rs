//! Contract tests of the `Store` trait: the etcd client against the fake store.

mod store {
    mod broken;
    mod commit;
    mod faults;
    mod gateway;
    mod keys;
    mod lease;
    mod read;
    mod support;
    mod watch;
}
