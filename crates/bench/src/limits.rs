//! Decision 3: limits, priorities and retries under overload.

use crate::queueing;
use crate::table;

/// The result of one queue policy at one load.
#[derive(Clone, Debug)]
pub struct Row {
    /// The offered load as a multiple of the capacity.
    pub load: f64,
    /// How hosts queue requests that find no free endpoint.
    pub queue_policy: queueing::QueuePolicy,
    /// The outcome of the simulated load.
    pub outcome: queueing::Outcome,
}

/// Returns a setup with fewer endpoints, so that unbounded queues stay small.
fn small_setup(load: f64) -> queueing::Setup {
    let mut setup = queueing::Setup::with_load(6, load);
    setup.rate *= ENDPOINTS as f64 / setup.endpoints as f64;
    setup.endpoints = ENDPOINTS;
    setup.conditions.truncate(ENDPOINTS);
    setup
}

/// The number of endpoints in this measurement.
const ENDPOINTS: usize = 12;

/// Measures both queue policies at loads below and above the capacity.
#[must_use]
pub fn measure() -> Vec<Row> {
    let mut rows = Vec::new();
    for load in [0.5, 1.0, 1.5, 3.0] {
        for queue_policy in [queueing::QueuePolicy::Endless, queueing::QueuePolicy::Bounded] {
            let mut setup = small_setup(load);
            setup.queue_policy = queue_policy;
            setup.duration = std::time::Duration::from_secs(4);
            rows.push(Row { load, queue_policy, outcome: queueing::run(&setup, 3) });
        }
    }
    rows
}

/// Returns the outcomes without and with the retry budget when every endpoint fails all requests.
#[must_use]
pub fn measure_retry_budget() -> [queueing::Outcome; 2] {
    [false, true].map(|retry_budget| {
        let mut setup = small_setup(0.5);
        setup.retry_budget = retry_budget;
        setup.duration = std::time::Duration::from_secs(4);
        setup.conditions.fill((queueing::Condition::FailFast, std::time::Duration::from_secs(99)));
        queueing::run(&setup, 4)
    })
}

/// Measures and prints both tables.
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
        let capacity = outcome.offered as f64 / row.load;
        table.row(vec![
            format!("{:.1}", row.load),
            format!("{:?}", row.queue_policy).to_lowercase(),
            table::percent(outcome.answered, outcome.offered),
            format!("{:.2}", outcome.answered as f64 / capacity),
            table::percent(outcome.paid_answered, outcome.paid),
            table::two_decimals(outcome.quantile_ms(0.99)),
            table::percent(outcome.refused, outcome.offered),
            table::two_decimals(outcome.refusal_us.value_at_quantile(0.5) as f64 / 1_000.0),
            table::percent(outcome.full_refusals, outcome.attempts),
        ]);
    }
    table.print();
    let mut table = table::Table::new(&["every endpoint fails", "tries for each request"]);
    for (name, outcome) in
        ["without a budget", "with the budget"].iter().zip(measure_retry_budget())
    {
        let tries = outcome.attempts as f64 / outcome.offered as f64;
        table.row(vec![(*name).to_owned(), table::two_decimals(tries)]);
    }
    table.print();
}
