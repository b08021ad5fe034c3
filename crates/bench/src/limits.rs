//! Decision 3: limits, priorities and retries beyond the capacity.

use crate::queueing;
use crate::table;

/// One way to wait at one load.
#[derive(Clone, Debug)]
pub struct Row {
    /// The load as a multiple of the capacity.
    pub load: f64,
    /// What is done with requests that must wait.
    pub waiting: queueing::Waiting,
    /// What came of it.
    pub outcome: queueing::Outcome,
}

/// Returns a few of the endpoints, so that queues without an end stay small.
fn small(load: f64) -> queueing::Setup {
    let mut setup = queueing::Setup::shared(6, load);
    setup.rate *= SMALL as f64 / setup.endpoints as f64;
    setup.endpoints = SMALL;
    setup.troubles.truncate(SMALL);
    setup
}

/// The number of endpoints.
const SMALL: usize = 12;

/// Measures both ways to wait at loads below and beyond the capacity.
#[must_use]
pub fn measure() -> Vec<Row> {
    let mut rows = Vec::new();
    for load in [0.5, 1.0, 1.5, 3.0] {
        for waiting in [queueing::Waiting::Endless, queueing::Waiting::Bounded] {
            let mut setup = small(load);
            setup.waiting = waiting;
            setup.duration = std::time::Duration::from_secs(4);
            rows.push(Row { load, waiting, outcome: queueing::run(&setup, 3) });
        }
    }
    rows
}

/// Returns the load on endpoints of which every one fails, with and without the retry budget.
#[must_use]
pub fn storm() -> [queueing::Outcome; 2] {
    [false, true].map(|budget| {
        let mut setup = small(0.5);
        setup.budget = budget;
        setup.duration = std::time::Duration::from_secs(4);
        setup.troubles.fill((queueing::Trouble::FailFast, std::time::Duration::from_secs(99)));
        queueing::run(&setup, 4)
    })
}

/// Prints the result.
pub fn print() {
    let mut table = table::Table::new(&[
        "load",
        "waiting",
        "answered in time",
        "of capacity",
        "paid answered",
        "p99 ms",
        "refused",
        "refused after ms (p50)",
        "full at endpoint",
    ]);
    for row in measure() {
        let outcome = &row.outcome;
        let capacity = outcome.asked as f64 / row.load;
        table.row(vec![
            format!("{:.1}", row.load),
            format!("{:?}", row.waiting).to_lowercase(),
            table::percent(outcome.answered, outcome.asked),
            format!("{:.2}", outcome.answered as f64 / capacity),
            table::percent(outcome.paid_answered, outcome.paid),
            table::two(outcome.quantile_ms(0.99)),
            table::percent(outcome.refused, outcome.asked),
            table::two(outcome.refusal_us.value_at_quantile(0.5) as f64 / 1_000.0),
            table::percent(outcome.full, outcome.tries),
        ]);
    }
    table.print();
    let mut table = table::Table::new(&["every endpoint fails", "tries for each request"]);
    for (name, outcome) in ["without a budget", "with the budget"].iter().zip(storm()) {
        let tries = outcome.tries as f64 / outcome.asked as f64;
        table.row(vec![(*name).to_owned(), table::two(tries)]);
    }
    table.print();
}
