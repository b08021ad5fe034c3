//! The platform's store: rows in tables with versions, transactions, and feeds of changes.

use std::collections::BTreeMap;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::http::Request;
use crate::json::{self, Json};

/// Table, part and key of a row.
type Key = (String, String, String);

/// How long a transaction takes.
const TX_TIME: Duration = Duration::from_millis(5);
/// How long any other call takes.
const CALL_TIME: Duration = Duration::from_millis(4);

#[derive(Default)]
struct Rows {
    rows: BTreeMap<Key, (String, u64)>,
    changes: Vec<(u64, Key, Option<String>)>,
    version: u64,
}

/// The store.
pub struct Store {
    rows: Mutex<Rows>,
    changed: Condvar,
    began: Instant,
    /// Whether it answers each call with 503, so that nothing is done.
    pub down: AtomicBool,
}

impl Store {
    /// Creates an empty store.
    pub fn new() -> Arc<Self> {
        Arc::new(Self {
            rows: Mutex::default(),
            changed: Condvar::new(),
            began: Instant::now(),
            down: AtomicBool::new(false),
        })
    }

    /// Writes or removes a row of the platform, the operator or a worker.
    pub fn write(&self, table: &str, key: &str, value: Option<&Json>) {
        let value = value.map(|value| base64(value.to_string().as_bytes()));
        let mut rows = self.rows.lock().expect("rows");
        rows.version += 1;
        rows.apply((table.to_owned(), String::new(), key.to_owned()), value);
        drop(rows);
        self.changed.notify_all();
    }

    /// Answers a call.
    pub fn answer(&self, request: &Request) -> Option<(u16, String)> {
        thread::sleep(CALL_TIME);
        if self.down.load(Ordering::Relaxed) {
            return Some((503, "{}".to_owned()));
        }
        match request.path.as_str() {
            "/rows-tx" => Some(self.transact(request)),
            "/rows-get" => Some(self.get(request)),
            "/rows-feed" => Some(self.feed(request)),
            _ => Some((400, "{}".to_owned())),
        }
    }

    fn now_ms(&self) -> Json {
        json::number(self.began.elapsed().as_millis() as u64)
    }

    fn transact(&self, request: &Request) -> (u16, String) {
        let Some(body) = Json::read(&request.body) else {
            return (400, "{}".to_owned());
        };
        let mut rows = self.rows.lock().expect("rows");
        thread::sleep(TX_TIME - CALL_TIME);
        let expected = body.get("expected_rev").items();
        let holds = |entry: &Json| {
            let found = rows.rows.get(&key_of(entry)).map_or(0, |(_, version)| *version);
            found == entry.get("ver").number()
        };
        if !expected.iter().all(holds) {
            let current = expected.iter().filter_map(|entry| {
                let key = key_of(entry);
                let (value, version) = rows.rows.get(&key)?;
                Some(row(&key, Some(value), *version))
            });
            let current = Json::List(current.collect());
            return (
                412,
                json::object(vec![
                    ("rows", current),
                    ("ver", json::number(rows.version)),
                    ("now_ms", self.now_ms()),
                ])
                .to_string(),
            );
        }
        rows.version += 1;
        for entry in body.get("put").items() {
            rows.apply(key_of(entry), Some(entry.get("value").text().to_owned()));
        }
        for entry in body.get("remove").items() {
            rows.apply(key_of(entry), None);
        }
        let version = json::number(rows.version);
        drop(rows);
        self.changed.notify_all();
        (200, json::object(vec![("ver", version), ("now_ms", self.now_ms())]).to_string())
    }

    fn get(&self, request: &Request) -> (u16, String) {
        let (table, part) = (request.parameter("table"), request.parameter("part"));
        let (from, end) = (request.parameter("from"), request.parameter("target_version"));
        let limit = request.parameter("limit").parse().unwrap_or(500_usize).min(500);
        let rows = self.rows.lock().expect("rows");
        let first = (table.clone(), part.clone(), from);
        let within = rows.rows.range(first..).take_while(|((t, p, key), _)| {
            *t == table && *p == part && (end.is_empty() || *key < end)
        });
        let mut found: Vec<Json> = within
            .take(limit + 1)
            .map(|(key, (value, version))| row(key, Some(value), *version))
            .collect();
        let more = found.len() > limit;
        found.truncate(limit);
        let answer = vec![
            ("rows", Json::List(found)),
            ("more", Json::Bool(more)),
            ("ver", json::number(rows.version)),
            ("now_ms", self.now_ms()),
        ];
        (200, json::object(answer).to_string())
    }

    fn feed(&self, request: &Request) -> (u16, String) {
        let table = request.parameter("table");
        let after: u64 = request.parameter("after").parse().unwrap_or(0);
        let wait = request.parameter("wait_ms").parse().unwrap_or(0);
        let end = Instant::now() + Duration::from_millis(wait);
        let mut rows = self.rows.lock().expect("rows");
        loop {
            let now_ms = self.now_ms();
            let later = rows.changes.partition_point(|(version, ..)| *version <= after);
            let found = rows.changes[later..].iter().filter(|(_, key, _)| key.0 == table);
            let found: Vec<Json> =
                found.map(|(version, key, value)| row(key, value.as_ref(), *version)).collect();
            let left = end.saturating_duration_since(Instant::now());
            if self.down.load(Ordering::Relaxed) {
                return (503, "{}".to_owned());
            }
            if !found.is_empty() || left.is_zero() {
                let answer = vec![
                    ("rows", Json::List(found)),
                    ("ver", json::number(rows.version)),
                    ("now_ms", now_ms),
                ];
                return (200, json::object(answer).to_string());
            }
            let wait = left.min(Duration::from_millis(100));
            rows = self.changed.wait_timeout(rows, wait).expect("rows").0;
        }
    }
}

impl Rows {
    fn apply(&mut self, key: Key, value: Option<String>) {
        let version = self.version;
        match value.clone() {
            Some(value) => drop(self.rows.insert(key.clone(), (value, version))),
            None => drop(self.rows.remove(&key)),
        }
        self.changes.push((version, key, value));
    }
}

fn key_of(entry: &Json) -> Key {
    let part = |name| entry.get(name).text().to_owned();
    (part("table"), part("part"), part("tls_key"))
}

fn row((table, part, key): &Key, value: Option<&String>, version: u64) -> Json {
    let mut fields = vec![
        ("table", json::text(table)),
        ("part", json::text(part)),
        ("tls_key", json::text(key)),
        ("ver", json::number(version)),
    ];
    match value {
        Some(value) => fields.push(("value", json::text(value))),
        None => fields.push(("gone", Json::Bool(true))),
    }
    json::object(fields)
}

/// Encodes bytes as base64.
fn base64(bytes: &[u8]) -> String {
    const DIGITS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut text = String::new();
    for chunk in bytes.chunks(3) {
        let all = chunk.iter().fold(0_u32, |all, byte| all << 8 | u32::from(*byte));
        let all = all << (8 * (3 - chunk.len()));
        for at in 0..4 {
            let digit = DIGITS[(all >> (18 - 6 * at) & 63) as usize] as char;
            text.push(if at > chunk.len() { '=' } else { digit });
        }
    }
    text
}
