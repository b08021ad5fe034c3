//! The platform's metadata store, as the pages tell it: tables of rows with versions, transactions
//! on one part that take their turn, pages of rows, and feeds of changes.

use std::collections::{BTreeMap, HashMap};
use std::fmt::Write as _;
use std::sync::{Arc, Condvar, Mutex, MutexGuard, PoisonError};
use std::thread;
use std::time::{Duration, Instant};

use crate::http;
use crate::json::{Json, quoted};

/// How long a transaction takes; one part then takes 200 a second, in turn.
const TX_TIME: Duration = Duration::from_millis(5);
/// The most rows of a page.
const MAX_ROWS: usize = 500;
/// The most bytes of a page.
const MAX_PAGE_BYTES: usize = 1_000_000;
/// The most bytes of a row's value.
const ROW_BYTES: usize = 65_536;

/// A row.
#[derive(Clone, Debug)]
struct Row {
    /// The value, as it was sent; `None` once the row is removed.
    value: Option<String>,
    /// The version of its last change.
    ver: u64,
}

/// The rows of one table, by part and key, removed ones included.
#[derive(Debug, Default)]
struct Table {
    /// The rows.
    rows: BTreeMap<(String, String), Row>,
    /// The last change of each row, by version.
    changes: BTreeMap<(u64, String, String), ()>,
}

/// The state of the store.
#[derive(Debug, Default)]
struct State {
    /// The tables.
    tables: HashMap<String, Table>,
    /// The newest version.
    ver: u64,
}

/// The store.
#[derive(Debug)]
pub struct Store {
    /// Its state.
    state: Mutex<State>,
    /// Is notified of each transaction.
    changed: Condvar,
    /// The turn of each part.
    turns: Mutex<HashMap<String, Arc<Mutex<()>>>>,
    /// When its clock began.
    began: Instant,
}

impl Store {
    /// Creates an empty store.
    pub fn new() -> Arc<Self> {
        Arc::new(Self {
            state: Mutex::default(),
            changed: Condvar::new(),
            turns: Mutex::default(),
            began: Instant::now(),
        })
    }

    /// Locks the state.
    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns the time of the store's clock.
    fn now_ms(&self) -> u128 {
        self.began.elapsed().as_millis() + 1_000_000
    }

    /// Writes a row of the platform, the operator or a worker.
    pub fn write(&self, table: &str, key: &str, value: &str) {
        let mut state = self.lock();
        state.ver += 1;
        let ver = state.ver;
        state.set(table, "", key, Some(base64(value.as_bytes())), ver);
        self.changed.notify_all();
    }

    /// Removes a row of the platform or a worker.
    pub fn remove(&self, table: &str, key: &str) {
        let mut state = self.lock();
        state.ver += 1;
        let ver = state.ver;
        state.set(table, "", key, None, ver);
        self.changed.notify_all();
    }

    /// Answers a call.
    pub fn answer(&self, request: &http::Request) -> http::Answer {
        match request.path.as_str() {
            "/rows-tx" => Some(self.transact(&request.body)),
            "/rows-get" => Some(self.page(&request.query)),
            "/rows-feed" => Some(self.feed(&request.query)),
            _ => Some((404, "{}".to_owned())),
        }
    }

    /// Carries out a transaction in the turn of its part.
    fn transact(&self, body: &[u8]) -> (u16, String) {
        let Some(txn) = Json::parse(body) else {
            return (400, "{}".to_owned());
        };
        let lists = [txn.list("expected_rev"), txn.list("put"), txn.list("remove")];
        let entries = || lists.iter().flat_map(|list| list.iter());
        let part = entries().next().map_or("", |row| row.text("part")).to_owned();
        let too_long = txn.list("put").iter().any(|row| row.text("value").len() > ROW_BYTES);
        let across = entries().any(|row| row.text("part") != part);
        if entries().count() > 100 || too_long || across || body.len() > 1_000_000 {
            return (400, "{}".to_owned());
        }
        if entries().any(|row| row.text("table") == "servers") {
            return (403, "{}".to_owned());
        }
        let turn = {
            let mut turns = self.turns.lock().unwrap_or_else(PoisonError::into_inner);
            Arc::clone(turns.entry(part).or_default())
        };
        let _turn = turn.lock().unwrap_or_else(PoisonError::into_inner);
        thread::sleep(TX_TIME);
        let mut state = self.lock();
        let holds = |row: &Json| state.version(row) == row.number("ver").unwrap_or(0);
        if !txn.list("expected_rev").iter().all(holds) {
            let rows: Vec<String> =
                txn.list("expected_rev").iter().filter_map(|row| state.current(row)).collect();
            let (ver, now_ms) = (state.ver, self.now_ms());
            let rows = rows.join(",");
            return (412, format!("{{\"rows\":[{rows}],\"ver\":{ver},\"now_ms\":{now_ms}}}"));
        }
        state.ver += 1;
        let ver = state.ver;
        for row in txn.list("put") {
            let value = Some(row.text("value").to_owned());
            state.set(row.text("table"), row.text("part"), row.text("tls_key"), value, ver);
        }
        for row in txn.list("remove") {
            state.set(row.text("table"), row.text("part"), row.text("tls_key"), None, ver);
        }
        self.changed.notify_all();
        (200, format!("{{\"ver\":{ver},\"now_ms\":{}}}", self.now_ms()))
    }

    /// Answers a page of rows.
    fn page(&self, query: &str) -> (u16, String) {
        thread::sleep(Duration::from_millis(1));
        let (table, part) = (param(query, "table"), param(query, "part"));
        let (from, to) = (param(query, "from"), param(query, "target_version"));
        let limit = param(query, "limit").parse().unwrap_or(MAX_ROWS).min(MAX_ROWS);
        let state = self.lock();
        let mut rows = Vec::new();
        let (mut bytes, mut more) = (0, false);
        if let Some(known) = state.tables.get(&table) {
            for ((row_part, key), row) in known.rows.range((part.clone(), from)..) {
                if *row_part != part || (!to.is_empty() && *key >= to) {
                    break;
                }
                let Some(value) = &row.value else {
                    continue;
                };
                if rows.len() >= limit || bytes + value.len() > MAX_PAGE_BYTES {
                    more = true;
                    break;
                }
                bytes += value.len();
                rows.push(encode(&table, row_part, key, row));
            }
        }
        (200, answer(&rows, more, state.ver, self.now_ms()))
    }

    /// Answers the changes of a table as soon as there is one.
    fn feed(&self, query: &str) -> (u16, String) {
        let table = param(query, "table");
        let after: u64 = param(query, "after").parse().unwrap_or(0);
        let wait = Duration::from_millis(param(query, "wait_ms").parse().unwrap_or(0));
        let end = Instant::now() + wait;
        let mut state = self.lock();
        loop {
            let mut rows = Vec::new();
            let (mut bytes, mut more, mut ver) = (0, false, state.ver);
            if let Some(known) = state.tables.get(&table) {
                let first = (after + 1, String::new(), String::new());
                for (at, part, key) in known.changes.range(first..).map(|(key, ())| key) {
                    let Some(row) = known.rows.get(&(part.clone(), key.clone())) else {
                        continue;
                    };
                    let row_bytes = row.value.as_ref().map_or(0, String::len);
                    // All changes of one version stay together.
                    let full = rows.len() >= MAX_ROWS || bytes + row_bytes > MAX_PAGE_BYTES;
                    if full && *at != ver {
                        more = true;
                        break;
                    }
                    ver = *at;
                    bytes += row_bytes;
                    rows.push(encode(&table, part, key, row));
                }
            }
            let left = end.saturating_duration_since(Instant::now());
            if !rows.is_empty() || left.is_zero() {
                let ver = if more { ver } else { state.ver };
                return (200, answer(&rows, more, ver, self.now_ms()));
            }
            let waited = self.changed.wait_timeout(state, left);
            state = waited.unwrap_or_else(PoisonError::into_inner).0;
        }
    }
}

impl State {
    /// Sets or removes a row.
    fn set(&mut self, table: &str, part: &str, key: &str, value: Option<String>, ver: u64) {
        let table = self.tables.entry(table.to_owned()).or_default();
        let at = (part.to_owned(), key.to_owned());
        if let Some(before) = table.rows.get(&at) {
            table.changes.remove(&(before.ver, at.0.clone(), at.1.clone()));
        } else if value.is_none() {
            return;
        }
        table.changes.insert((ver, at.0.clone(), at.1.clone()), ());
        table.rows.insert(at, Row { value, ver });
    }

    /// Returns the row that an entry of a transaction names.
    fn named(&self, entry: &Json) -> Option<&Row> {
        let at = (entry.text("part").to_owned(), entry.text("tls_key").to_owned());
        let row = self.tables.get(entry.text("table"))?.rows.get(&at)?;
        row.value.is_some().then_some(row)
    }

    /// Returns the version of a row; zero if it is not there.
    fn version(&self, entry: &Json) -> u64 {
        self.named(entry).map_or(0, |row| row.ver)
    }

    /// Returns the current row that an entry of a transaction names, as it is answered.
    fn current(&self, entry: &Json) -> Option<String> {
        let row = self.named(entry)?;
        Some(encode(entry.text("table"), entry.text("part"), entry.text("tls_key"), row))
    }
}

/// Returns a row as it is answered.
fn encode(table: &str, part: &str, key: &str, row: &Row) -> String {
    let (table, part, key) = (quoted(table), quoted(part), quoted(key));
    let mut out = format!("{{\"table\":{table},\"part\":{part},\"tls_key\":{key},");
    match &row.value {
        Some(value) => {
            let _ = write!(out, "\"value\":{},", quoted(value));
        }
        None => out.push_str("\"gone\":true,"),
    }
    let _ = write!(out, "\"ver\":{}}}", row.ver);
    out
}

/// Returns an answer about rows.
fn answer(rows: &[String], more: bool, ver: u64, now_ms: u128) -> String {
    let rows = rows.join(",");
    format!("{{\"rows\":[{rows}],\"more\":{more},\"ver\":{ver},\"now_ms\":{now_ms}}}")
}

/// Returns a parameter of a query, decoded.
fn param(query: &str, name: &str) -> String {
    let mut pairs = query.split('&').filter_map(|pair| pair.split_once('='));
    let value = pairs.find(|(key, _)| *key == name).map_or("", |(_, value)| value);
    let mut bytes = Vec::new();
    let mut rest = value.as_bytes();
    while let Some((&byte, after)) = rest.split_first() {
        let code = after.get(..2).and_then(|code| std::str::from_utf8(code).ok());
        let code = code.and_then(|code| u8::from_str_radix(code, 16).ok());
        match (byte, code) {
            (b'%', Some(code)) => {
                bytes.push(code);
                rest = &after[2..];
            }
            _ => {
                bytes.push(byte);
                rest = after;
            }
        }
    }
    String::from_utf8_lossy(&bytes).into_owned()
}

/// Returns bytes in base64.
pub fn base64(bytes: &[u8]) -> String {
    const DIGITS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut out = String::new();
    for chunk in bytes.chunks(3) {
        let byte = |at: usize| u32::from(chunk.get(at).copied().unwrap_or(0));
        let bits = byte(0) << 16 | byte(1) << 8 | byte(2);
        for at in 0..4 {
            let digit = DIGITS[(bits >> (18 - 6 * at) & 63) as usize];
            out.push(if at <= chunk.len() { char::from(digit) } else { '=' });
        }
    }
    out
}
