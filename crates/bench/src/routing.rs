//! Decision 2: how a host chooses an endpoint.

use std::time;

use crate::queueing;
use crate::table;

/// One choice with one trouble.
#[derive(Clone, Debug)]
pub struct Row {
    /// How endpoints are chosen.
    pub choice: queueing::Choice,
    /// What is wrong.
    pub trouble: queueing::Trouble,
    /// How many of the endpoints it is wrong with.
    pub troubled: usize,
    /// What came of it.
    pub outcome: queueing::Outcome,
}

/// The share of the capacity that is asked for.
const LOAD: f64 = 0.5;
/// When the trouble ends.
const HEALED: time::Duration = time::Duration::from_secs(4);

/// Measures every choice with every trouble.
#[must_use]
pub fn measure() -> Vec<Row> {
    let mut rows = Vec::new();
    for (trouble, troubled) in [
        (queueing::Trouble::Well, 0),
        (queueing::Trouble::Slow(5.0), 6),
        (queueing::Trouble::FailFast, 1),
        (queueing::Trouble::Hang, 1),
    ] {
        for choice in [
            queueing::Choice::Random,
            queueing::Choice::LeastConnections,
            queueing::Choice::TwoChoices,
        ] {
            let mut setup = queueing::Setup::shared(6, LOAD);
            setup.choice = choice;
            setup.tries = 1;
            setup.troubles[..troubled].fill((trouble, HEALED));
            let outcome = queueing::run(&setup, 2);
            rows.push(Row { choice, trouble, troubled, outcome });
        }
    }
    rows
}

/// Prints the result.
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
        let again = outcome.used_again.map_or("-".to_owned(), |at| table::two(at.as_secs_f64()));
        table.row(vec![
            format!("{:?}", row.trouble).to_lowercase(),
            row.troubled.to_string(),
            format!("{:?}", row.choice).to_lowercase(),
            table::two(outcome.quantile_ms(0.5)),
            table::two(outcome.quantile_ms(0.99)),
            table::percent(outcome.asked - outcome.answered, outcome.asked),
            table::percent(outcome.at_trouble, outcome.tries),
            table::two(outcome.left_after.as_secs_f64()),
            again,
        ]);
    }
    table.print();
}
