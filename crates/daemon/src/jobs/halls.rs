//! Tracks which halls the operator has closed, and carries out orders to close or open one.
//!
//! A hall is closed while its row exists in the operator's table; a hall without a row is open.

use std::collections;
use std::sync;

use hyper::StatusCode;
use wharflane::{id, job, rows};
use wharflane_adapter::{halls, store};
use wharflane_http::reply;

use super::Shared;
use super::holder;

/// Closed halls, each with the time at which this host learned of its closure, in seconds since
/// 1970.
pub type ClosedSince = collections::BTreeMap<id::HallId, u64>;

/// Attempts at a conditional write that fails because of concurrent writes.
const MAX_ATTEMPTS: usize = 3;

/// Passes the closed halls to the holder after each answer of the store, whether changed or not, so
/// that the holder knows how recent its knowledge is.
#[derive(Debug)]
pub struct ClosedHallsFeed {
    /// State that the parts of the job service share.
    shared: Shared,
    /// Actor that receives the closed halls.
    holder: ractor::ActorRef<holder::Msg>,
    /// Closed halls as they were last passed on.
    closed: job::ClosedHalls,
}

impl ClosedHallsFeed {
    /// Creates a feed that has read nothing.
    #[must_use]
    pub fn new(shared: Shared, holder: ractor::ActorRef<holder::Msg>) -> Self {
        Self { shared, holder, closed: job::ClosedHalls::default() }
    }

    /// Passes on the closed halls of a complete read of the table.
    pub fn publish_all(&mut self, page: &rows::Page) {
        self.publish(read_all(page));
    }

    /// Passes on the closed halls after a page of changes.
    pub fn publish_changes(&mut self, page: &rows::Page) {
        self.publish(apply_changes(&self.closed, page));
    }

    /// Sends the closed halls to the holder and updates the gauge if they changed.
    fn publish(&mut self, closed: job::ClosedHalls) {
        if closed.halls != self.closed.halls {
            self.update_gauge(&closed);
        }
        self.closed = closed.clone();
        holder::send_event(&self.shared, &self.holder, job::Event::Closed(closed));
    }

    /// Updates the gauge and the status that show operators since when each hall is closed.
    fn update_gauge(&self, closed: &job::ClosedHalls) {
        let before = self.shared.closed.load();
        let now_s = super::wall_ms() / 1_000;
        let since = |hall: &id::HallId| (hall.clone(), before.get(hall).copied().unwrap_or(now_s));
        let after: ClosedSince = closed.halls.iter().map(since).collect();
        let gauge = &self.shared.metrics.hall_closed;
        gauge.reset();
        for (hall, since_s) in &after {
            let since_s = i64::try_from(*since_s).unwrap_or(i64::MAX);
            gauge.with_label_values(&[hall.as_str()]).set(since_s);
        }
        self.shared.closed.store(sync::Arc::new(after));
    }
}

/// Closes or opens a hall by an operator's order; answers with success once its row is written or
/// removed.
pub async fn set_closed(shared: &Shared, hall: &str, closes: bool) -> reply::Reply {
    if hall.is_empty() {
        return reply::problem(StatusCode::BAD_REQUEST, "no-hall", "no hall is named");
    }
    let key = halls::key(&hall.into());
    for _ in 0..MAX_ATTEMPTS {
        match write_row(shared, &key, closes).await {
            Ok(true) => {
                tracing::info!(hall, closes, "operator's order for a hall is stored");
                return reply::json(StatusCode::OK, &serde_json::json!({ "closed": closes }));
            }
            Ok(false) => {}
            Err(err) => {
                tracing::warn!(hall, closes, %err, "operator's order for a hall: outcome unknown");
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

/// Writes or removes the row that closes a hall; returns whether the table has the requested state.
async fn write_row(
    shared: &Shared,
    key: &rows::Key,
    closes: bool,
) -> Result<bool, store::StoreError> {
    let row = shared.call("get", shared.store.get(key)).await?;
    if row.is_some() == closes {
        return Ok(true);
    }
    let version = row.map_or(0, |row| row.version);
    let txn = rows::Txn {
        expects: vec![rows::Expect { key: key.clone(), version }],
        writes: vec![rows::Write { key: key.clone(), value: closes.then(|| "{}".to_owned()) }],
    };
    let answer = shared.call("close", shared.store.transact(&txn)).await?;
    Ok(matches!(answer, rows::Answer::Done { .. }))
}

/// Returns the closed halls of a complete read of the table; a hall without a row is open.
#[must_use]
pub fn read_all(page: &rows::Page) -> job::ClosedHalls {
    apply_changes(&job::ClosedHalls::default(), page)
}

/// Returns the closed halls after a page of changes.
#[must_use]
pub fn apply_changes(before: &job::ClosedHalls, page: &rows::Page) -> job::ClosedHalls {
    let mut closed = job::ClosedHalls { version: page.version, halls: before.halls.clone() };
    let named = |row: &rows::Row| Some((halls::closed_hall(row)?, row.gone));
    for (hall, gone) in page.rows.iter().filter_map(named) {
        set_hall(&mut closed, hall, gone);
    }
    closed
}

/// Adds a hall, or removes it if its row is gone.
fn set_hall(closed: &mut job::ClosedHalls, hall: id::HallId, gone: bool) {
    if gone {
        closed.halls.remove(&hall);
    } else {
        closed.halls.insert(hall);
    }
}
