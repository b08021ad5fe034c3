//! Which halls are closed, as a host reads and follows the operator's table.

use wharflane::{id, job, rows};
use wharflane_adapter::halls;

use super::Shared;
use super::holder;

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

    /// Tells which halls are closed, and shows each with the time of day at which it was heard of.
    fn tell(&mut self, closed: job::ClosedHalls) {
        let gauge = &self.shared.metrics.hall_closed;
        for hall in self.closed.halls.difference(&closed.halls) {
            if let Err(err) = gauge.remove_label_values(&[hall.as_str()]) {
                tracing::debug!(%hall, %err, "a hall that was not shown as closed is open");
            }
        }
        for hall in closed.halls.difference(&self.closed.halls) {
            let since_s = i64::try_from(super::wall_ms() / 1_000).unwrap_or(i64::MAX);
            gauge.with_label_values(&[hall.as_str()]).set(since_s);
        }
        self.closed = closed.clone();
        holder::tell(&self.holder, job::Event::Closed(closed));
    }
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
    let named = |row: &rows::Row| Some((halls::named(row)?, row.gone));
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
