//! Runs the command line against a fake store.

use fulmarreel::cli::{self, Environment, Exit};
use fulmarreel_document::rollout::Timestamp;
use fulmarreel_store::{
    Store, Transaction,
    etcd::{Client, Options},
};
use fulmarreel_testing::store::FakeEtcd;
use std::{
    path::PathBuf,
    sync::atomic::{AtomicU32, Ordering},
    time::Duration,
};

/// 2026-12-04T12:00:00Z, in milliseconds since the Unix epoch.
pub const NOON: Timestamp = Timestamp(1_796_385_600_000);

/// The output and the exit code of a run.
#[derive(Debug)]
pub struct Run {
    pub exit: Exit,
    pub out: String,
    pub err: String,
}

/// A fake store, and a temporary folder for documents.
pub struct Fixture {
    pub store: FakeEtcd,
    pub folder: PathBuf,
}

impl Fixture {
    pub fn new() -> Self {
        static NEXT: AtomicU32 = AtomicU32::new(0);
        let number = NEXT.fetch_add(1, Ordering::Relaxed);
        let name = format!("fulmarreel-cli-{}-{number}", std::process::id());
        let folder = std::env::temp_dir().join(name);
        std::fs::create_dir_all(&folder).unwrap();
        let address = "127.0.0.1:0".parse().unwrap();
        let store = smol::block_on(FakeEtcd::start(address)).unwrap();
        Self { store, folder }
    }

    /// Writes a file and returns its path.
    pub fn file(&self, name: &str, text: &str) -> String {
        let path = self.folder.join(name);
        std::fs::write(&path, text).unwrap();
        path.display().to_string()
    }

    /// Runs the command line with [`NOON`] as the current time.
    pub fn run(&self, arguments: &[&str]) -> Run {
        let environment = Environment {
            store: Some(self.store.address().to_string()),
            now: NOON,
        };
        let arguments = arguments.iter().map(Into::into).collect();
        let (mut out, mut err) = (Vec::new(), Vec::new());
        let exit = cli::run(arguments, &environment, &mut out, &mut err);
        Run {
            exit,
            out: String::from_utf8(out).unwrap(),
            err: String::from_utf8(err).unwrap(),
        }
    }

    /// Writes a key, as another client of the store would.
    pub fn put(&self, key: &str, value: &str) {
        let client = self.client();
        let transaction = Transaction::new().put(key, value.as_bytes());
        smol::block_on(client.commit(&transaction)).unwrap();
    }

    /// The value of a key.
    pub fn value(&self, key: &str) -> Option<String> {
        let entry = smol::block_on(self.client().get(key)).unwrap();
        entry.map(|entry| String::from_utf8(entry.value).unwrap())
    }

    pub fn client(&self) -> Client {
        Client::new(Options {
            peers: vec![self.store.address().to_string()],
            operation_timeout: Duration::from_secs(10),
        })
    }
}

impl Drop for Fixture {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.folder);
    }
}

/// A document of a service, with a second route if a destination is given.
pub fn document(service: &str, destination: Option<&str>) -> String {
    let second_route = destination.map_or(String::new(), |destination| {
        format!(r#", {{ "path": "/{destination}", "service": "{destination}" }}"#)
    });
    format!(
        "{{\n  \"service\": \"{service}\",\n  \"version\": \"v1\",\n  \"routes\": [{{ \"path\": \"/\" }}{second_route}]\n}}\n"
    )
}

/// A document with a move whose deadline is the given time, `HH:MM:SS`, on the day of [`NOON`].
pub fn document_with_move(service: &str, time: &str) -> String {
    format!(
        "{{\n  \"service\": \"{service}\",\n  \"version\": \"v1\",\n  \"routes\": [{{ \"path\": \"/\" }}],\n  \"move\": {{ \"to\": \"v2\",\n    \"complete_by\": \"2026-12-04T{time}Z\" }}\n}}\n"
    )
}
