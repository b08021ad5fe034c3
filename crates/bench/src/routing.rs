//! Decision 2: how a host chooses an endpoint.

use std::time;

use crate::queueing;
use crate::table;

/// The result of one routing policy with one condition of endpoints.
#[derive(Clone, Debug)]
pub struct Row {
    /// How endpoints are chosen.
    pub choice: queueing::Choice,
    /// The condition of the affected endpoints.
    pub condition: queueing::Condition,
    /// The number of affected endpoints.
    pub affected: usize,
    /// The outcome of the simulated load.
    pub outcome: queueing::Outcome,
}

/// The offered load as a share of the capacity.
const LOAD: f64 = 0.5;
/// When the affected endpoints recover, from the start of the run.
const RECOVERY: time::Duration = time::Duration::from_secs(4);

/// Measures every routing policy with every condition.
#[must_use]
pub fn measure() -> Vec<Row> {
    let mut rows = Vec::new();
    for (condition, affected) in [
        (queueing::Condition::Well, 0),
        (queueing::Condition::Slow(5.0), 6),
        (queueing::Condition::FailFast, 1),
        (queueing::Condition::Hang, 1),
    ] {
        for choice in [
            queueing::Choice::Random,
            queueing::Choice::LeastConnections,
            queueing::Choice::TwoChoices,
        ] {
            let mut setup = queueing::Setup::with_load(6, LOAD);
            setup.choice = choice;
            setup.max_attempts = 1;
            setup.conditions[..affected].fill((condition, RECOVERY));
            let outcome = queueing::run(&setup, 2);
            rows.push(Row { choice, condition, affected, outcome });
        }
    }
    rows
}

/// Measures and prints the table.
pub fn print() {
    let mut table = table::Table::new(&[
        "trouble",
        "endpoints",
        "choice",
        "p50 ms",
        "p99 ms",
        "not answered",
        "tries there",
        "left after s",
        "used again after s",
    ]);
    for row in measure() {
        let outcome = &row.outcome;
        let reused_after =
            outcome.reused_after.map_or("-".to_owned(), |at| table::two_decimals(at.as_secs_f64()));
        table.row(vec![
            format!("{:?}", row.condition).to_lowercase(),
            row.affected.to_string(),
            format!("{:?}", row.choice).to_lowercase(),
            table::two_decimals(outcome.quantile_ms(0.5)),
            table::two_decimals(outcome.quantile_ms(0.99)),
            table::percent(outcome.offered - outcome.answered, outcome.offered),
            table::percent(outcome.faulty_attempts, outcome.attempts),
            table::two_decimals(outcome.last_faulty_attempt.as_secs_f64()),
            reused_after,
        ]);
    }
    table.print();
}
