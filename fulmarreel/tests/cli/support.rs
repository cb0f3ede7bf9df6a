//! What the tests share: a run of the command line against a stand-in of the store.

use fulmarreel::cli::{self, Environment, Exit};
use fulmarreel_document::shift::Timestamp;
use fulmarreel_store::{
    Store, Transaction,
    etcd::{Client, Options},
};
use fulmarreel_testing::store::Stand;
use std::{
    path::PathBuf,
    sync::atomic::{AtomicU32, Ordering},
    time::Duration,
};

/// 2026-12-04T12:00:00Z, in milliseconds.
pub const NOON: Timestamp = Timestamp(1_796_385_600_000);

/// What a run wrote and how it ended.
#[derive(Debug)]
pub struct Run {
    pub exit: Exit,
    pub out: String,
    pub err: String,
}

/// A store, and a folder for documents that is removed at the end.
pub struct Bench {
    pub stand: Stand,
    pub folder: PathBuf,
}

impl Bench {
    pub fn new() -> Self {
        static NEXT: AtomicU32 = AtomicU32::new(0);
        let number = NEXT.fetch_add(1, Ordering::Relaxed);
        let name = format!("fulmarreel-cli-{}-{number}", std::process::id());
        let folder = std::env::temp_dir().join(name);
        std::fs::create_dir_all(&folder).unwrap();
        let address = "127.0.0.1:0".parse().unwrap();
        let stand = smol::block_on(Stand::start(address)).unwrap();
        Self { stand, folder }
    }

    /// Writes a file and returns its path.
    pub fn file(&self, name: &str, text: &str) -> String {
        let path = self.folder.join(name);
        std::fs::write(&path, text).unwrap();
        path.display().to_string()
    }

    /// Runs the command line at noon.
    pub fn run(&self, arguments: &[&str]) -> Run {
        let environment = Environment {
            store: Some(self.stand.address().to_string()),
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

    /// Writes a key as someone else.
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
            peers: vec![self.stand.address().to_string()],
            timeout: Duration::from_secs(10),
        })
    }
}

impl Drop for Bench {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.folder);
    }
}

/// A document of a service with one more route, to a destination if one is named.
pub fn document(service: &str, destination: Option<&str>) -> String {
    let further = destination.map_or(String::new(), |destination| {
        format!(r#", {{ "path": "/{destination}", "service": "{destination}" }}"#)
    });
    format!(
        "{{\n  \"service\": \"{service}\",\n  \"version\": \"v1\",\n  \"routes\": [{{ \"path\": \"/\" }}{further}]\n}}\n"
    )
}

/// A document with a move that is to be complete by an hour of the day of [`NOON`].
pub fn moving(service: &str, hour: &str) -> String {
    format!(
        "{{\n  \"service\": \"{service}\",\n  \"version\": \"v1\",\n  \"routes\": [{{ \"path\": \"/\" }}],\n  \"move\": {{ \"to\": \"v2\",\n    \"complete_by\": \"2026-12-04T{hour}Z\" }}\n}}\n"
    )
}
