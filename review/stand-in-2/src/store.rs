//! The platform's store of rows, as the users' protocol describes it.
//!
//! `POST /x-put` and `POST /x-beat` are the sides of the operator and of the workers, which the
//! protocol leaves to the platform.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::{Arc, Condvar, Mutex, MutexGuard, PoisonError};
use std::thread;
use std::time::{Duration, Instant};

use crate::http::{self, Reply, Request};
use crate::json::{self, Value};
use crate::log::Log;

/// How long a transaction takes.
const TX_TIME: Duration = Duration::from_millis(4);
/// Table of the workers' entries, which only they write.
const WORKERS: &str = "servers";
/// Silence of a worker after which its entry goes, in heartbeats.
const MISSED_BEATS: u32 = 3;
/// The most rows of one page.
const PAGE_ROWS: usize = 500;

/// Table, part and key of a row.
type Key = (String, String, String);

/// A row, or the trace of a removed one.
#[derive(Clone, Debug)]
struct Row {
    /// The value in base64; `None` once the row is removed.
    value: Option<String>,
    /// The version of the last change.
    version: u64,
}

/// The state of the store.
#[derive(Debug, Default)]
struct State {
    /// All rows, also removed ones.
    rows: BTreeMap<Key, Row>,
    /// The version of the last transaction.
    version: u64,
    /// When each worker last wrote its entry.
    beats: BTreeMap<String, Instant>,
}

/// The store.
#[derive(Debug)]
struct Store {
    /// The state.
    state: Mutex<State>,
    /// Tells of changes.
    changed: Condvar,
    /// When the store was started.
    began: Instant,
    /// Pause between two heartbeats of a worker.
    beat: Duration,
    /// Record of what is lost and removed.
    log: Log,
}

/// Runs the store at an address.
pub fn run(addr: SocketAddr, beat: Duration, log: Log) {
    let store = Store {
        state: Mutex::default(),
        changed: Condvar::new(),
        began: Instant::now(),
        beat,
        log,
    };
    let store = Arc::new(store);
    let sweeper = Arc::clone(&store);
    thread::spawn(move || {
        loop {
            thread::sleep(Duration::from_millis(50));
            sweeper.remove_silent_workers();
        }
    });
    http::serve(addr, move |request| store.answer(request));
}

/// The conditions and changes of a transaction.
#[derive(Clone, Debug)]
struct Txn {
    /// Rows with the versions that they must have.
    expects: Vec<(Key, u64)>,
    /// Rows to write, or to remove.
    writes: Vec<(Key, Option<String>)>,
}

impl Store {
    /// Answers a request.
    fn answer(&self, request: &Request) -> Reply {
        match request.path.as_str() {
            "/rows-tx" => self.transact(request),
            "/rows-get" => self.read(request),
            "/rows-feed" => self.feed(request),
            "/x-put" | "/x-beat" => self.put(request),
            _ => (404, "{}".to_owned()),
        }
    }

    /// Locks the state.
    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns the fields that end each answer about rows.
    fn stamp(&self, version: u64) -> String {
        format!("\"ver\":{version},\"now_ms\":{}", 1_000 + self.began.elapsed().as_millis())
    }

    /// Runs a transaction.
    fn transact(&self, request: &Request) -> Reply {
        let Some(body) = json::parse(&request.body) else {
            return (400, "{}".to_owned());
        };
        let row = |row: &Value, value| (key_of(row), value);
        let expects = body.get("expected_rev").items().iter();
        let puts = body.get("put").items().iter();
        let removes = body.get("remove").items().iter();
        let writes = puts.map(|put| row(put, Some(put.get("value").text().to_owned())));
        let txn = Txn {
            expects: expects.map(|row| (key_of(row), row.get("ver").number())).collect(),
            writes: writes.chain(removes.map(|gone| row(gone, None))).collect(),
        };
        if txn.writes.iter().any(|((table, ..), _)| table == WORKERS) {
            return (403, "{}".to_owned());
        }
        thread::sleep(TX_TIME);
        match self.apply(&txn) {
            Ok(version) => (200, format!("{{{}}}", self.stamp(version))),
            Err(rows) => {
                let version = self.lock().version;
                let rows = rows.join(",");
                (412, format!("{{\"rows\":[{rows}],{}}}", self.stamp(version)))
            }
        }
    }

    /// Applies a transaction; returns its version, or the current rows of its conditions.
    fn apply(&self, txn: &Txn) -> Result<u64, Vec<String>> {
        let mut state = self.lock();
        let current = |state: &State, key: &Key| {
            state.rows.get(key).filter(|row| row.value.is_some()).map_or(0, |row| row.version)
        };
        if txn.expects.iter().any(|(key, version)| current(&state, key) != *version) {
            let rows = txn.expects.iter().filter_map(|(key, _)| {
                state.rows.get(key).filter(|row| row.value.is_some()).map(|row| shown(key, row))
            });
            return Err(rows.collect());
        }
        state.version += 1;
        let version = state.version;
        for (key, value) in &txn.writes {
            state.rows.insert(key.clone(), Row { value: value.clone(), version });
        }
        drop(state);
        self.changed.notify_all();
        Ok(version)
    }

    /// Reads the rows of a part.
    fn read(&self, request: &Request) -> Reply {
        let (table, part) = (request.parameter("table"), request.parameter("part"));
        let (from, end) = (request.parameter("from"), request.parameter("target_version"));
        let limit: usize = request.parameter("limit").parse().unwrap_or(PAGE_ROWS);
        let limit = limit.min(PAGE_ROWS);
        let state = self.lock();
        let first = (table.to_owned(), part.to_owned(), from.to_owned());
        let rows = state.rows.range(first..).take_while(|((t, p, _), _)| t == table && p == part);
        let rows = rows.filter(|((.., name), _)| end.is_empty() || name.as_str() < end);
        let rows = rows.filter(|(_, row)| row.value.is_some());
        let rows: Vec<String> = rows.take(limit + 1).map(|(key, row)| shown(key, row)).collect();
        let more = rows.len() > limit;
        let rows = rows[..rows.len().min(limit)].join(",");
        let stamp = self.stamp(state.version);
        (200, format!("{{\"rows\":[{rows}],\"more\":{more},{stamp}}}"))
    }

    /// Waits for changes of a table.
    fn feed(&self, request: &Request) -> Reply {
        let table = request.parameter("table");
        let after: u64 = request.parameter("after").parse().unwrap_or(0);
        let wait = Duration::from_millis(request.parameter("wait_ms").parse().unwrap_or(0));
        let end = Instant::now() + wait;
        let mut state = self.lock();
        loop {
            let rows = state.rows.iter().filter(|((t, ..), row)| t == table && row.version > after);
            let mut rows: Vec<(u64, String)> =
                rows.map(|(key, row)| (row.version, shown(key, row))).collect();
            let left = end.saturating_duration_since(Instant::now());
            if !rows.is_empty() || left.is_zero() {
                rows.sort();
                let rows: Vec<String> = rows.into_iter().map(|(_, row)| row).collect();
                let stamp = self.stamp(state.version);
                return (200, format!("{{\"rows\":[{}],{stamp}}}", rows.join(",")));
            }
            let waited = self.changed.wait_timeout(state, left);
            state = waited.unwrap_or_else(PoisonError::into_inner).0;
        }
    }

    /// Writes a row of the operator, or a worker's entry.
    fn put(&self, request: &Request) -> Reply {
        let Some(body) = json::parse(&request.body) else {
            return (400, "{}".to_owned());
        };
        let (table, name) = (body.get("table").text(), body.get("name").text());
        let key = (table.to_owned(), String::new(), name.to_owned());
        let value = base64(body.get("value").text().as_bytes());
        if table == WORKERS {
            self.lock().beats.insert(name.to_owned(), Instant::now());
        }
        let known = self.lock().rows.get(&key).and_then(|row| row.value.clone());
        // An entry in which only the sequence number differs does not change.
        if known.as_ref() == Some(&value) {
            return (200, "{}".to_owned());
        }
        let txn = Txn { expects: Vec::new(), writes: vec![(key, Some(value))] };
        drop(self.apply(&txn));
        (200, "{}".to_owned())
    }

    /// Removes the entries of workers that have been silent for three heartbeats.
    fn remove_silent_workers(&self) {
        let mut state = self.lock();
        let limit = self.beat * MISSED_BEATS;
        let silent = state.beats.iter().filter(|(_, at)| at.elapsed() >= limit);
        let silent: Vec<String> = silent.map(|(worker, _)| worker.clone()).collect();
        for worker in &silent {
            state.beats.remove(worker);
        }
        drop(state);
        for worker in silent {
            self.log.line(&format!("store: entry of {worker} gone"));
            let key = (WORKERS.to_owned(), String::new(), worker);
            drop(self.apply(&Txn { expects: Vec::new(), writes: vec![(key, None)] }));
        }
    }
}

/// Returns the key of a row on the wire.
fn key_of(row: &Value) -> Key {
    let text = |name: &str| row.get(name).text().to_owned();
    (text("table"), text("part"), text("tls_key"))
}

/// Returns a row in its form on the wire.
fn shown((table, part, name): &Key, row: &Row) -> String {
    let rest = match &row.value {
        Some(value) => format!("\"value\":\"{value}\""),
        None => "\"gone\":true".to_owned(),
    };
    let (table, part, name) = (json::quoted(table), json::quoted(part), json::quoted(name));
    let version = row.version;
    format!("{{\"table\":{table},\"part\":{part},\"tls_key\":{name},{rest},\"ver\":{version}}}")
}

/// Encodes bytes in base64.
fn base64(bytes: &[u8]) -> String {
    const SIGNS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut out = String::new();
    for chunk in bytes.chunks(3) {
        let byte = |at: usize| u32::from(chunk.get(at).copied().unwrap_or(0));
        let bits = byte(0) << 16 | byte(1) << 8 | byte(2);
        for at in 0..4 {
            let sign = SIGNS[(bits >> (18 - 6 * at) & 63) as usize];
            out.push(if at <= chunk.len() { char::from(sign) } else { '=' });
        }
    }
    out
}
