//! `wharflane why`: reads host logs and prints the history of one job, or a summary of all jobs by
//! queue.

mod read;
mod summary;

use std::collections;
use std::fs;
use std::path;
use std::time;

use anyhow::Context as _;

/// Exit code if no log has a line about the job.
const UNKNOWN: u8 = 4;

/// Returns the `why` subcommand.
pub fn command() -> clap::Command {
    let logs = clap::Arg::new("log")
        .long("log")
        .value_name("FILE")
        .required(true)
        .action(clap::ArgAction::Append)
        .value_parser(clap::value_parser!(path::PathBuf))
        .help("Host log as JSON lines; text before the first brace of a line is ignored");
    let job = clap::Arg::new("job")
        .value_name("ID")
        .help("The job's id; without it, a summary of all jobs by queue");
    clap::Command::new("why")
        .about("Explain from host logs what happened to a job, or where the time of all jobs went")
        .args([job, logs])
}

/// Runs the command and returns the exit code.
pub fn run(args: &clap::ArgMatches) -> anyhow::Result<u8> {
    let mut records = Vec::new();
    for log in args.get_many::<path::PathBuf>("log").into_iter().flatten() {
        let text = fs::read_to_string(log).with_context(|| log.display().to_string())?;
        records.extend(text.lines().filter_map(read::parse_line));
    }
    // The logs of several hosts are read in sequence; merge them by time.
    records.sort_by_key(|record| record.at);
    match args.get_one::<String>("job") {
        Some(job) => Ok(print_job(&records, job)),
        None => {
            summary::print(&records);
            Ok(0)
        }
    }
}

/// Prints the log lines of a job and of workers that counted as lost under it, each with the milliseconds since the first, and returns the exit
/// code.
fn print_job(records: &[read::Record], job: &str) -> u8 {
    let lost = lost_workers(records, job);
    let job_records: Vec<&read::Record> =
        records.iter().filter(|record| record.is_of(job) || is_return(record, &lost)).collect();
    let Some(first) = job_records.first() else {
        eprintln!("wharflane: no log line of job {job}");
        return UNKNOWN;
    };
    for record in &job_records {
        let since_ms = record.at.saturating_sub(first.at).as_millis();
        println!("{since_ms:>8} ms  {}", record.to_line());
    }
    0
}

/// Returns the workers that were lost under tasks of a job, each with the time of the first loss.
fn lost_workers<'a>(
    records: &'a [read::Record],
    job: &str,
) -> collections::BTreeMap<&'a str, time::Duration> {
    let losses = records.iter().filter(|record| record.is_loss() && record.is_of(job));
    let mut lost = collections::BTreeMap::new();
    for loss in losses {
        if let Some(worker) = loss.text("worker") {
            lost.entry(worker).or_insert(loss.at);
        }
    }
    lost
}

/// Returns whether a line tells that one of these lost workers lives; it names no task.
fn is_return(record: &read::Record, lost: &collections::BTreeMap<&str, time::Duration>) -> bool {
    let lost_at = record.text("worker").and_then(|worker| lost.get(worker));
    record.is_return() && lost_at.is_some_and(|at| record.at >= *at)
}
