//! Workers that each run one serving task.

use wharflane::{job, rows};

use super::Sim;

/// The job of the serving tasks.
pub const JOB: u64 = 1;

/// Returns rows of an interference model by which the image `filling` strains the image `serving`
/// by `harm`, with little uncertainty.
fn learned_rows(harm: f64) -> Vec<rows::Row> {
    let row = |name: &str, value: String| rows::Row {
        name: name.to_owned(),
        part: job::part(0),
        version: 1,
        value: Some(value),
        gone: false,
    };
    let images = r#"{"names":["serving","filling"],"rest_ms":{"0":13.0}}"#;
    let fit = format!(r#"{{"images":[1],"factors":[0.06,{harm}],"covariance":[0.0005,0.0,0.01]}}"#);
    vec![row("images", images.to_owned()), row("fit-0", fit)]
}

/// Returns the tail latency without interference, in milliseconds.
fn undisturbed_tail_ms(_filled_milli: u64) -> u64 {
    14
}

/// Returns a simulation in which each worker runs one serving task, with an interference of `harm`
/// learned.
pub fn workers(workers: usize, harm: f64) -> Sim {
    loaded_workers(workers, harm, 4_000, undisturbed_tail_ms)
}

/// Returns a simulation in which each worker runs one serving task that reserves `cpu_milli`
/// thousandths of a core and reports the tail latency `tail_ms`, with an interference of `harm`
/// learned.
pub fn loaded_workers(workers: usize, harm: f64, cpu_milli: u64, tail_ms: fn(u64) -> u64) -> Sim {
    let mut sim = Sim::new(workers, learned_rows(harm));
    sim.tail_ms = Some(tail_ms);
    let count = u32::try_from(workers).expect("fits into u32");
    let spread = job::Step { count, max_per_worker: Some(1), ..super::step("serving", cpu_milli) };
    sim.submit(JOB, "first", spread);
    sim.advance(1_000, false);
    assert_eq!(sim.starts(JOB).len(), workers);
    sim
}
