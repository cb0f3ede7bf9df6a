//! The platform's metadata store, by PROTOCOL.md: items, transactions, leases and watches.

use crate::{
    http::{Message, Reader, respond},
    json::{self, Value, quote},
};
use std::{
    collections::BTreeMap,
    net::{SocketAddr, TcpListener, TcpStream},
    sync::{Arc, Condvar, Mutex},
    thread,
    time::{Duration, Instant},
};

#[derive(Clone)]
struct Item {
    value: String,
    revision: u64,
    created: u64,
    lease: u64,
}

#[derive(Default)]
struct Data {
    revision: u64,
    items: BTreeMap<String, Item>,
    /// Revision, key and JSON of each change.
    events: Vec<(u64, String, String)>,
    leases: BTreeMap<u64, (f64, Instant)>,
    last_lease: u64,
}

pub struct Store {
    pub address: SocketAddr,
    data: Mutex<Data>,
    changed: Condvar,
}

impl Data {
    fn json(key: &str, item: &Item) -> String {
        format!(
            "{{\"key\":{},\"value\":\"{}\",\"revision\":{},\"created\":{},\"lease\":{}}}",
            quote(key),
            item.value,
            item.revision,
            item.created,
            item.lease
        )
    }

    fn put(&mut self, key: &str, value: String, lease: u64) {
        let revision = self.revision;
        let created = self.items.get(key).map_or(revision, |item| item.created);
        let item = Item {
            value,
            revision,
            created,
            lease,
        };
        self.events.push((revision, key.to_owned(), Self::json(key, &item)));
        self.items.insert(key.to_owned(), item);
    }

    fn delete(&mut self, key: &str) {
        if self.items.remove(key).is_some() {
            let revision = self.revision;
            let json = format!("{{\"key\":{},\"revision\":{revision},\"removed\":true}}", quote(key));
            self.events.push((revision, key.to_owned(), json));
        }
    }

    fn end_lease(&mut self, lease: u64) {
        self.leases.remove(&lease);
        let of_lease = |(key, item): (&String, &Item)| (item.lease == lease).then(|| key.clone());
        let keys: Vec<String> = self.items.iter().filter_map(of_lease).collect();
        if !keys.is_empty() {
            self.revision += 1;
            keys.iter().for_each(|key| self.delete(key));
        }
    }
}

impl Store {
    pub fn start(ip: &str) -> std::io::Result<Arc<Self>> {
        let listener = TcpListener::bind((ip, 0))?;
        let store = Arc::new(Self {
            address: listener.local_addr()?,
            data: Mutex::new(Data {
                revision: 100,
                ..Data::default()
            }),
            changed: Condvar::new(),
        });
        let served = Arc::clone(&store);
        thread::spawn(move || {
            for tcp in listener.incoming().flatten() {
                let store = Arc::clone(&served);
                thread::spawn(move || store.serve(tcp));
            }
        });
        let expiring = Arc::clone(&store);
        thread::spawn(move || {
            loop {
                thread::sleep(Duration::from_millis(20));
                let mut data = expiring.data.lock().unwrap();
                let now = Instant::now();
                let ended: Vec<u64> = data
                    .leases
                    .iter()
                    .filter(|lease| lease.1.1 <= now)
                    .map(|lease| *lease.0)
                    .collect();
                for lease in ended {
                    data.end_lease(lease);
                    expiring.changed.notify_all();
                }
            }
        });
        Ok(store)
    }

    /// Writes an item as the operator does.
    pub fn put(&self, key: &str, value: &str) {
        let mut data = self.data.lock().unwrap();
        data.revision += 1;
        data.put(key, base64(value.as_bytes()), 0);
        self.changed.notify_all();
    }

    /// The value of an item as text; empty if there is none.
    pub fn text(&self, key: &str) -> String {
        let data = self.data.lock().unwrap();
        let value = data.items.get(key).map(|item| item.value.clone());
        String::from_utf8_lossy(&from_base64(&value.unwrap_or_default())).into_owned()
    }

    fn serve(&self, tcp: TcpStream) {
        let _ = tcp.set_nodelay(true);
        let Ok(mut out) = tcp.try_clone() else { return };
        let mut reader = Reader::new(tcp);
        while let Ok(request) = reader.read() {
            let (status, body) = self.answer(&request);
            let headers = [("Content-Type", "application/json")];
            if respond(&mut out, status, &headers, body.as_bytes()).is_err() {
                return;
            }
        }
    }

    fn answer(&self, request: &Message) -> (u16, String) {
        let (path, query) = request.path().split_once('?').unwrap_or((request.path(), ""));
        let parameter = |name: &str| {
            let mut pairs = query.split('&').filter_map(|pair| pair.split_once('='));
            let value = pairs.find(|pair| pair.0 == name).map(|pair| decode(pair.1));
            value.unwrap_or_default()
        };
        let body = String::from_utf8_lossy(&request.body).into_owned();
        let body = json::parse(&body).unwrap_or(Value::Null);
        let mut data = self.data.lock().unwrap();
        let id = |prefix: &str| path[prefix.len()..].parse::<u64>().unwrap_or(0);
        match path {
            "/-/kv-key" => match data.items.get(&parameter("key")) {
                Some(item) => (200, Data::json(&parameter("key"), item)),
                None => (404, "{}".to_owned()),
            },
            "/-/kv-range" => {
                let (prefix, after) = (parameter("prefix"), parameter("after"));
                let wanted = data.items.iter().filter(|(key, _)| {
                    key.starts_with(&prefix) && (after.is_empty() || **key > after)
                });
                let items: Vec<String> = wanted.map(|(key, item)| Data::json(key, item)).collect();
                let truncated = items.len() > 500;
                let items = items.into_iter().take(500).collect::<Vec<_>>().join(",");
                let revision = data.revision;
                (
                    200,
                    format!(
                        "{{\"items\":[{items}],\"truncated\":{truncated},\"store_revision\":{revision}}}"
                    ),
                )
            }
            "/-/kv-watch" => {
                let (prefix, after) = (parameter("prefix"), parameter("after"));
                let after: u64 = after.parse().unwrap_or(0);
                let wait = Duration::from_millis(parameter("wait_ms").parse().unwrap_or(0));
                let until = Instant::now() + wait;
                loop {
                    let events = data.events.iter();
                    let events = events.filter(|event| event.0 > after && event.1.starts_with(&prefix));
                    let events: Vec<&str> = events.map(|event| event.2.as_str()).collect();
                    let left = until.saturating_duration_since(Instant::now());
                    if !events.is_empty() || left.is_zero() {
                        let (events, revision) = (events.join(","), data.revision);
                        let body = format!("{{\"events\":[{events}],\"store_revision\":{revision}}}");
                        return (200, body);
                    }
                    data = self.changed.wait_timeout(data, left).unwrap().0;
                }
            }
            "/-/kv-txn" => {
                let answer = transact(&mut data, &body);
                self.changed.notify_all();
                answer
            }
            "/-/kv-lease" => {
                let ttl = body.number("ttl_s_time").clamp(1.0, 600.0);
                data.last_lease += 1;
                let lease = data.last_lease;
                let until = Instant::now() + Duration::from_secs_f64(ttl);
                data.leases.insert(lease, (ttl, until));
                (200, format!("{{\"lease\":{lease},\"ttl_s_time\":{ttl}}}"))
            }
            _ if path.starts_with("/-/kv-keep/") => {
                let lease = id("/-/kv-keep/");
                match data.leases.get_mut(&lease) {
                    Some((ttl, until)) => {
                        *until = Instant::now() + Duration::from_secs_f64(*ttl);
                        (200, format!("{{\"lease\":{lease},\"ttl_s_time\":{ttl}}}"))
                    }
                    None => (404, "{}".to_owned()),
                }
            }
            _ if path.starts_with("/-/kv-lease-end/") => {
                let lease = id("/-/kv-lease-end/");
                if !data.leases.contains_key(&lease) {
                    return (404, "{}".to_owned());
                }
                data.end_lease(lease);
                self.changed.notify_all();
                (200, "{}".to_owned())
            }
            _ => (404, "{}".to_owned()),
        }
    }
}

fn transact(data: &mut Data, body: &Value) -> (u16, String) {
    let preconditions = body.list("precondition");
    let holds = |condition: &Value| {
        let item = data.items.get(&condition.text("key"));
        item.map_or(0, |item| item.revision) == condition.number("revision") as u64
    };
    if !preconditions.iter().all(holds) {
        let items = preconditions.iter().filter_map(|condition| {
            let key = condition.text("key");
            let item = data.items.get(&key)?;
            Some(Data::json(&key, item))
        });
        let items = items.collect::<Vec<_>>().join(",");
        return (412, format!("{{\"items\":[{items}]}}"));
    }
    let puts = body.list("puts");
    let has_lease = |put: &Value| {
        let lease = put.number("lease") as u64;
        lease == 0 || data.leases.contains_key(&lease)
    };
    if !puts.iter().all(has_lease) {
        return (404, "{}".to_owned());
    }
    data.revision += 1;
    for put in &puts {
        data.put(&put.text("key"), put.text("value"), put.number("lease") as u64);
    }
    for key in body.list("deletes") {
        if let Value::Text(key) = key {
            data.delete(&key);
        }
    }
    (200, format!("{{\"revision\":{}}}", data.revision))
}

fn decode(text: &str) -> String {
    let bytes = text.as_bytes();
    let mut out = Vec::new();
    let mut at = 0;
    while at < bytes.len() {
        if bytes[at] == b'%' && at + 2 < bytes.len() {
            let hex = std::str::from_utf8(&bytes[at + 1..at + 3]).unwrap_or("3f");
            out.push(u8::from_str_radix(hex, 16).unwrap_or(b'?'));
            at += 3;
        } else {
            out.push(bytes[at]);
            at += 1;
        }
    }
    String::from_utf8_lossy(&out).into_owned()
}

const SYMBOLS: &[u8] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";

fn from_base64(text: &str) -> Vec<u8> {
    let mut out = Vec::new();
    let (mut bits, mut count) = (0_u32, 0);
    for byte in text.bytes() {
        let Some(symbol) = SYMBOLS.iter().position(|symbol| *symbol == byte) else {
            break;
        };
        bits = bits << 6 | symbol as u32;
        count += 6;
        if count >= 8 {
            count -= 8;
            out.push((bits >> count) as u8);
        }
    }
    out
}

fn base64(bytes: &[u8]) -> String {
    let mut out = String::new();
    for three in bytes.chunks(3) {
        let mut group = [0; 3];
        group[..three.len()].copy_from_slice(three);
        let bits = u32::from_be_bytes([0, group[0], group[1], group[2]]);
        for place in 0..4 {
            let symbol = SYMBOLS[(bits >> (18 - 6 * place)) as usize & 63];
            out.push(if place <= three.len() { symbol as char } else { '=' });
        }
    }
    out
}
