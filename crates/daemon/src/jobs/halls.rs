//! Which halls are closed, as a host reads and follows the operator's table, and what its own operators order.

use std::collections;
use std::sync;

use hyper::StatusCode;
use wharflane::{id, job, rows};
use wharflane_adapter::{halls, store};
use wharflane_http::reply;

use super::Shared;
use super::holder;

/// The halls that are closed, with when it was heard of, in seconds since 1970.
pub type Since = collections::BTreeMap<id::HallId, u64>;

/// How often a write is tried whose condition did not hold, since others wrote meanwhile.
const TRIES: usize = 3;

/// Tells the holder which halls are closed, with each answer of the store: the holder also learns by it how new that is.
#[derive(Debug)]
pub struct Teller {
    /// What the parts of the job service share.
    shared: Shared,
    /// The holder.
    holder: ractor::ActorRef<holder::Msg>,
    /// What was told last.
    closed: job::ClosedHalls,
}

impl Teller {
    /// Makes a teller that has read nothing.
    #[must_use]
    pub fn new(shared: Shared, holder: ractor::ActorRef<holder::Msg>) -> Self {
        Self { shared, holder, closed: job::ClosedHalls::default() }
    }

    /// Tells what a reading of all rows says.
    pub fn read(&mut self, page: &rows::Page) {
        self.tell(read(page));
    }

    /// Tells what follows from rows that have changed.
    pub fn follow(&mut self, page: &rows::Page) {
        self.tell(follow(&self.closed, page));
    }

    /// Tells which halls are closed, and shows since when.
    fn tell(&mut self, closed: job::ClosedHalls) {
        if closed.halls != self.closed.halls {
            self.show(&closed);
        }
        self.closed = closed.clone();
        holder::tell(&self.holder, job::Event::Closed(closed));
    }

    /// Shows operators which halls are closed, each with the time of day at which it was heard of.
    fn show(&self, closed: &job::ClosedHalls) {
        let before = self.shared.closed.load();
        let now_s = super::wall_ms() / 1_000;
        let since = |hall: &id::HallId| (hall.clone(), before.get(hall).copied().unwrap_or(now_s));
        let after: Since = closed.halls.iter().map(since).collect();
        let gauge = &self.shared.metrics.hall_closed;
        gauge.reset();
        for (hall, since_s) in &after {
            let since_s = i64::try_from(*since_s).unwrap_or(i64::MAX);
            gauge.with_label_values(&[hall.as_str()]).set(since_s);
        }
        self.shared.closed.store(sync::Arc::new(after));
    }
}

/// Closes a hall by an operator's order, or opens it: done once its row stands, or is gone.
pub async fn order(shared: &Shared, hall: &str, closes: bool) -> reply::Reply {
    if hall.is_empty() {
        return reply::problem(StatusCode::BAD_REQUEST, "no-hall", "no hall is named");
    }
    let key = halls::key(&hall.into());
    for _ in 0..TRIES {
        match write(shared, &key, closes).await {
            Ok(true) => {
                tracing::info!(hall, closes, "an operator's order about a hall stands");
                return reply::json(StatusCode::OK, &serde_json::json!({ "closed": closes }));
            }
            Ok(false) => {}
            Err(err) => {
                tracing::warn!(hall, closes, %err, "an operator's order about a hall is in doubt");
                break;
            }
        }
    }
    reply::problem(
        StatusCode::SERVICE_UNAVAILABLE,
        "store",
        "the store gave no answer: nothing is known",
    )
}

/// Writes the row that closes a hall, or removes it; returns whether it is as wanted.
async fn write(shared: &Shared, key: &rows::Key, closes: bool) -> Result<bool, store::StoreError> {
    let row = shared.store.get(key).await;
    shared.count_call("get", &row);
    let row = row?;
    if row.is_some() == closes {
        return Ok(true);
    }
    let version = row.map_or(0, |row| row.version);
    let txn = rows::Txn {
        expects: vec![rows::Expect { key: key.clone(), version }],
        writes: vec![rows::Write { key: key.clone(), value: closes.then(|| "{}".to_owned()) }],
    };
    let answer = shared.store.transact(&txn).await;
    shared.count_call("close", &answer);
    Ok(matches!(answer?, rows::Answer::Done { .. }))
}

/// Returns the halls that are closed by a reading of all rows: one without a row is open.
#[must_use]
pub fn read(page: &rows::Page) -> job::ClosedHalls {
    follow(&job::ClosedHalls::default(), page)
}

/// Returns the halls that are closed once rows have changed.
#[must_use]
pub fn follow(before: &job::ClosedHalls, page: &rows::Page) -> job::ClosedHalls {
    let mut closed = job::ClosedHalls { version: page.version, halls: before.halls.clone() };
    let named = |row: &rows::Row| Some((halls::closed_hall(row)?, row.gone));
    for (hall, gone) in page.rows.iter().filter_map(named) {
        set(&mut closed, hall, gone);
    }
    closed
}

/// Notes whether a hall's row is gone.
fn set(closed: &mut job::ClosedHalls, hall: id::HallId, gone: bool) {
    if gone {
        closed.halls.remove(&hall);
    } else {
        closed.halls.insert(hall);
    }
}
