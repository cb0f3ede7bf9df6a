//! A stand-in for the platform's metadata store, as its page describes it.

use crate::{
    http::{Message, read_message},
    json::{Json, base64_encode},
};
use std::{
    collections::BTreeMap,
    io::{BufReader, Write},
    net::{SocketAddr, TcpListener, TcpStream},
    sync::{Arc, Condvar, Mutex},
    thread,
    time::{Duration, Instant},
};

#[derive(Debug, Clone)]
struct Item {
    /// As base64.
    value: String,
    revision: u64,
    created: u64,
    lease: u64,
}

#[derive(Debug, Default)]
struct Data {
    revision: u64,
    items: BTreeMap<String, Item>,
    /// All changes: a revision, a key, and the item unless it was removed.
    history: Vec<(u64, String, Option<Item>)>,
    /// The end of each lease, and its time to live.
    leases: BTreeMap<u64, (Instant, Duration)>,
    next_lease: u64,
}

/// A store that listens at an address until the process ends.
#[derive(Debug, Clone)]
pub struct Store {
    shared: Arc<(Mutex<Data>, Condvar)>,
}

impl Data {
    fn put(&mut self, key: &str, value: String, lease: u64) {
        let revision = self.revision;
        let created = self.items.get(key).map_or(revision, |item| item.created);
        let item = Item {
            value,
            revision,
            created,
            lease,
        };
        self.items.insert(key.to_owned(), item.clone());
        self.history.push((revision, key.to_owned(), Some(item)));
    }

    fn remove(&mut self, key: &str) {
        if self.items.remove(key).is_some() {
            self.history.push((self.revision, key.to_owned(), None));
        }
    }

    fn end_lease(&mut self, lease: u64) -> bool {
        if self.leases.remove(&lease).is_none() {
            return false;
        }
        let keys: Vec<String> = self
            .items
            .iter()
            .filter(|item| item.1.lease == lease)
            .map(|item| item.0.clone())
            .collect();
        if !keys.is_empty() {
            self.revision += 1;
        }
        for key in keys {
            self.remove(&key);
        }
        true
    }

    fn expire(&mut self) {
        let now = Instant::now();
        let ended: Vec<u64> = self
            .leases
            .iter()
            .filter(|lease| lease.1.0 <= now)
            .map(|lease| *lease.0)
            .collect();
        for lease in ended {
            self.end_lease(lease);
        }
    }
}

impl Store {
    /// Starts a store.
    pub fn start(address: SocketAddr) -> std::io::Result<Self> {
        let listener = TcpListener::bind(address)?;
        let data = Data {
            revision: 10,
            next_lease: 100,
            ..Data::default()
        };
        let store = Self {
            shared: Arc::new((Mutex::new(data), Condvar::new())),
        };
        let accepting = store.clone();
        thread::spawn(move || {
            for tcp in listener.incoming().flatten() {
                let store = accepting.clone();
                thread::spawn(move || store.serve(tcp));
            }
        });
        let expiring = store.clone();
        thread::spawn(move || {
            loop {
                thread::sleep(Duration::from_millis(20));
                let mut data = expiring.shared.0.lock().expect("store lock");
                let before = data.revision;
                data.expire();
                if data.revision > before {
                    expiring.shared.1.notify_all();
                }
            }
        });
        Ok(store)
    }

    /// Writes a key, as the operator does.
    pub fn put(&self, key: &str, value: &str) {
        let mut data = self.shared.0.lock().expect("store lock");
        data.revision += 1;
        data.put(key, base64_encode(value.as_bytes()), 0);
        self.shared.1.notify_all();
    }

    fn serve(&self, tcp: TcpStream) {
        let _ = tcp.set_nodelay(true);
        let Ok(mut writer) = tcp.try_clone() else {
            return;
        };
        let mut reader = BufReader::new(tcp);
        while let Ok(Some(request)) = read_message(&mut reader) {
            let (status, body) = self.answer(&request);
            let text = format!(
                "HTTP/1.1 {status} X\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n{body}",
                body.len()
            );
            if writer.write_all(text.as_bytes()).is_err() {
                return;
            }
        }
    }

    fn answer(&self, request: &Message) -> (u16, String) {
        let (path, query) = request
            .word(1)
            .split_once('?')
            .unwrap_or((request.word(1), ""));
        let parameter = |name: &str| {
            let mut pairs = query.split('&').filter_map(|pair| pair.split_once('='));
            pairs
                .find(|pair| pair.0 == name)
                .map_or_else(String::new, |pair| percent_decode(pair.1))
        };
        match path {
            "/-/kv-watch" => {
                let wait = parameter("wait_ms").parse().unwrap_or(0);
                let after = parameter("after").parse().unwrap_or(0);
                self.watch(&parameter("prefix"), after, Duration::from_millis(wait))
            }
            "/-/kv-key" => {
                let data = self.shared.0.lock().expect("store lock");
                let key = parameter("key");
                let item = data.items.get(&key);
                item.map_or((404, "{}".into()), |item| {
                    let text = encode_item(&key, item);
                    (
                        200,
                        format!("{{{text},\"store_revision\":{}}}", data.revision),
                    )
                })
            }
            "/-/kv-range" => {
                let data = self.shared.0.lock().expect("store lock");
                let (prefix, after) = (parameter("prefix"), parameter("after"));
                let items = data.items.iter().filter(|item| item.0.starts_with(&prefix));
                let items = items.filter(|item| after.is_empty() || *item.0 > after);
                let items: Vec<String> = items
                    .map(|(key, item)| format!("{{{}}}", encode_item(key, item)))
                    .collect();
                let (items, revision) = (items.join(","), data.revision);
                (
                    200,
                    format!(
                        "{{\"items\":[{items}],\"truncated\":false,\"store_revision\":{revision}}}"
                    ),
                )
            }
            _ => self.write(path, &request.body),
        }
    }

    fn watch(&self, prefix: &str, after: u64, wait: Duration) -> (u16, String) {
        let deadline = Instant::now() + wait;
        let mut data = self.shared.0.lock().expect("store lock");
        loop {
            let events = data
                .history
                .iter()
                .filter(|event| event.0 > after && event.1.starts_with(prefix));
            let events: Vec<String> = events.map(encode_event).collect();
            let left = deadline.saturating_duration_since(Instant::now());
            if !events.is_empty() || left.is_zero() {
                let (events, revision) = (events.join(","), data.revision);
                return (
                    200,
                    format!("{{\"events\":[{events}],\"store_revision\":{revision}}}"),
                );
            }
            data = self
                .shared
                .1
                .wait_timeout(data, left)
                .expect("store lock")
                .0;
        }
    }

    fn write(&self, path: &str, body: &[u8]) -> (u16, String) {
        let body = Json::parse(&String::from_utf8_lossy(body)).unwrap_or(Json::Null);
        let mut data = self.shared.0.lock().expect("store lock");
        data.expire();
        let answer = if path == "/-/kv-txn" {
            transact(&mut data, &body)
        } else if path == "/-/kv-lease" {
            let ttl = body
                .get("ttl_s_time")
                .map_or(1.0, Json::number)
                .clamp(1.0, 600.0);
            data.next_lease += 1;
            let (lease, time) = (data.next_lease, Duration::from_secs_f64(ttl));
            data.leases.insert(lease, (Instant::now() + time, time));
            (200, format!("{{\"lease\":{lease},\"ttl_s_time\":{ttl}}}"))
        } else if let Some(id) = path.strip_prefix("/-/kv-keep/") {
            let lease = id.parse().ok().and_then(|id: u64| data.leases.get_mut(&id));
            lease.map_or((404, "{}".into()), |lease| {
                lease.0 = Instant::now() + lease.1;
                (200, format!("{{\"ttl_s_time\":{}}}", lease.1.as_secs_f64()))
            })
        } else if let Some(id) = path.strip_prefix("/-/kv-lease-end/") {
            let has_ended = id.parse().is_ok_and(|id| data.end_lease(id));
            (if has_ended { 200 } else { 404 }, "{}".into())
        } else {
            (404, "{}".into())
        };
        self.shared.1.notify_all();
        answer
    }
}

fn transact(data: &mut Data, body: &Json) -> (u16, String) {
    let field = |name: &str| body.get(name).map_or(&[][..], Json::list);
    let text = |row: &Json, name: &str| row.get(name).map_or("", Json::text).to_owned();
    let number = |row: &Json, name: &str| row.get(name).map_or(0, |value| value.number() as u64);
    let current = |key: &str| data.items.get(key).map_or(0, |item| item.revision);
    let rows = field("precondition");
    if rows
        .iter()
        .any(|row| current(&text(row, "key")) != number(row, "revision"))
    {
        let items = rows.iter().filter_map(|row| {
            let key = text(row, "key");
            let item = data.items.get(&key)?;
            Some(format!("{{{}}}", encode_item(&key, item)))
        });
        return (
            412,
            format!("{{\"items\":[{}]}}", items.collect::<Vec<_>>().join(",")),
        );
    }
    let puts = field("puts");
    let is_unknown = |lease: u64| lease != 0 && !data.leases.contains_key(&lease);
    if puts.iter().any(|row| is_unknown(number(row, "lease"))) {
        return (404, "{}".into());
    }
    let deletes = field("deletes");
    let written = puts.iter().map(|row| text(row, "key"));
    let mut keys = written.chain(deletes.iter().map(|key| key.text().to_owned()));
    if keys.any(|key| key.starts_with("op/") || key.starts_with("servers/")) {
        return (403, "{}".into());
    }
    data.revision += 1;
    for row in puts {
        let (key, value, lease) = (text(row, "key"), text(row, "value"), number(row, "lease"));
        data.put(&key, value, lease);
    }
    for key in deletes {
        data.remove(key.text());
    }
    (200, format!("{{\"revision\":{}}}", data.revision))
}

fn encode_item(key: &str, item: &Item) -> String {
    let Item {
        value,
        revision,
        created,
        lease,
    } = item;
    format!(
        "\"key\":\"{key}\",\"value\":\"{value}\",\"revision\":{revision},\"created\":{created},\"lease\":{lease}"
    )
}

fn encode_event((revision, key, item): &(u64, String, Option<Item>)) -> String {
    match item {
        Some(item) => format!("{{{}}}", encode_item(key, item)),
        None => format!("{{\"key\":\"{key}\",\"revision\":{revision},\"removed\":true}}"),
    }
}

fn percent_decode(text: &str) -> String {
    let mut bytes = Vec::new();
    let mut rest = text.bytes();
    while let Some(byte) = rest.next() {
        if byte == b'%' {
            let digits: String = rest.by_ref().take(2).map(char::from).collect();
            bytes.push(u8::from_str_radix(&digits, 16).unwrap_or(b'?'));
        } else {
            bytes.push(byte);
        }
    }
    String::from_utf8_lossy(&bytes).into_owned()
}
