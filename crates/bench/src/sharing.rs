//! Decision 1: how hosts share the slots and connections of each endpoint.

use crate::queueing;
use crate::table;

/// The result of one way of sharing with one number of hosts.
#[derive(Clone, Debug)]
pub struct Row {
    /// How slots are shared among hosts.
    pub sharing: queueing::Sharing,
    /// The number of hosts.
    pub hosts: usize,
    /// Whether the first host receives half of the load.
    pub skewed: bool,
    /// The outcome of the simulated load.
    pub outcome: queueing::Outcome,
}

/// The offered load as a share of the capacity.
const LOAD: f64 = 0.7;

/// Measures every way of sharing, with even load and with half of the load on one host.
#[must_use]
pub fn measure() -> Vec<Row> {
    let mut rows = Vec::new();
    for hosts in [6, 9, 50] {
        for skewed in [false, true] {
            for sharing in [
                queueing::Sharing::Fixed,
                queueing::Sharing::Demand,
                queueing::Sharing::Owner,
                queueing::Sharing::Optimistic,
                queueing::Sharing::Window,
            ] {
                let mut setup = queueing::Setup::with_load(hosts, LOAD);
                setup.sharing = sharing;
                setup.duration = std::time::Duration::from_secs(4);
                if skewed {
                    setup.first_share = 0.5;
                }
                let outcome = queueing::run(&setup, 1);
                rows.push(Row { sharing, hosts, skewed, outcome });
            }
        }
    }
    rows
}

/// Measures and prints the table.
pub fn print() {
    let mut table = table::Table::new(&[
        "hosts",
        "load",
        "sharing",
        "p50 ms",
        "p99 ms",
        "full at endpoint",
        "not served",
        "control B/s a host",
    ]);
    for row in measure() {
        let outcome = &row.outcome;
        table.row(vec![
            row.hosts.to_string(),
            if row.skewed { "half on one host" } else { "even" }.to_owned(),
            format!("{:?}", row.sharing).to_lowercase(),
            table::two_decimals(outcome.quantile_ms(0.5)),
            table::two_decimals(outcome.quantile_ms(0.99)),
            table::percent(outcome.full_refusals, outcome.attempts),
            table::percent(outcome.offered - outcome.answered, outcome.offered),
            format!("{:.0}", outcome.control_bytes_per_s),
        ]);
    }
    table.print();
}
