//! `wharflane why`: reads the logs of hosts and tells what became of one job, or of all by queue.

mod read;
mod summary;

use std::fs;
use std::path;

use anyhow::Context as _;

/// The exit code where the job is in none of the logs.
const UNKNOWN: u8 = 4;

/// Returns the command line.
pub fn command() -> clap::Command {
    let logs = clap::Arg::new("log")
        .long("log")
        .value_name("FILE")
        .required(true)
        .action(clap::ArgAction::Append)
        .value_parser(clap::value_parser!(path::PathBuf))
        .help("Logs of hosts as JSON lines; what stands before the first brace is passed over");
    let job = clap::Arg::new("job")
        .value_name("ID")
        .help("The job's name; all jobs by queue where it is left out");
    clap::Command::new("why")
        .about("Tell from logs what became of a job, or where the time of all jobs went")
        .args([job, logs])
}

/// Runs the command and returns the exit code.
pub fn run(args: &clap::ArgMatches) -> anyhow::Result<u8> {
    let mut records = Vec::new();
    for log in args.get_many::<path::PathBuf>("log").into_iter().flatten() {
        let text = fs::read_to_string(log).with_context(|| log.display().to_string())?;
        records.extend(text.lines().filter_map(read::record));
    }
    // Logs of several hosts are read one after the other.
    records.sort_by_key(|record| record.at);
    match args.get_one::<String>("job") {
        Some(job) => Ok(tell_job(&records, job)),
        None => {
            summary::print(&records);
            Ok(0)
        }
    }
}

/// Prints the lines of one job, each with the time since the first.
fn tell_job(records: &[read::Record], job: &str) -> u8 {
    let own: Vec<&read::Record> = records.iter().filter(|record| record.is_of(job)).collect();
    let Some(first) = own.first() else {
        eprintln!("wharflane: no line of job {job}");
        return UNKNOWN;
    };
    for record in &own {
        let since_ms = record.at.saturating_sub(first.at).as_millis();
        println!("{since_ms:>8} ms  {}", record.told());
    }
    0
}
