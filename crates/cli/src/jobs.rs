//! `wharflane job`: submits and cancels jobs, prints their phase, and counts waiting jobs.

use std::fs;
use std::net;
use std::path;
use std::time;

use anyhow::Context as _;
use wharflane::job;
use wharflane_caller::job as caller;

/// Limit of one call to a host.
const TIMEOUT: time::Duration = time::Duration::from_secs(10);
/// Exit code of a call that the host refused permanently (status below 500).
const REFUSED: u8 = 2;
/// Exit code of a call whose outcome is unknown; the same call can be repeated.
const UNKNOWN: u8 = 4;
/// The lowest status with which the outcome is unknown or the call can be repeated.
const SERVER_ERRORS: u16 = 500;

/// Returns the `job` subcommand.
pub fn command() -> clap::Command {
    let text = |name: &'static str, value: &'static str, help: &'static str| {
        clap::Arg::new(name).value_name(value).required(true).help(help)
    };
    let queue = || text("queue", "QUEUE", "The queue");
    let id = || text("id", "ID", "The job's id: 16 hexadecimal digits");
    let file =
        || text("file", "FILE", "The job as TOML").value_parser(clap::value_parser!(path::PathBuf));
    let host = || {
        clap::Arg::new("host")
            .long("host")
            .value_name("ADDR")
            .required(true)
            .value_parser(clap::value_parser!(net::SocketAddr))
            .help("Address of the callers' port of a host")
    };
    clap::Command::new("job")
        .about("Submit jobs and follow them")
        .subcommand_required(true)
        .subcommand(
            clap::Command::new("submit")
                .about("Submit a job; repeating a submission with the same id is safe")
                .args([queue(), id(), file(), host()]),
        )
        .subcommand(clap::Command::new("state").about("Print the state of a job").args([
            queue(),
            id(),
            host(),
        ]))
        .subcommand(clap::Command::new("cancel").about("Cancel a job").args([
            queue(),
            id(),
            host(),
        ]))
        .subcommand(
            clap::Command::new("list")
                .about("Count the jobs of a queue that have not started any task")
                .args([queue(), host()]),
        )
}

/// Runs a subcommand of `job` and returns the exit code.
#[tokio::main(flavor = "current_thread")]
pub async fn run(args: &clap::ArgMatches) -> anyhow::Result<u8> {
    let (name, args) = args.subcommand().context("no command")?;
    let addr = *args.get_one::<net::SocketAddr>("host").context("no host")?;
    let client = caller::Jobs::new(addr, TIMEOUT);
    let queue = args.get_one::<String>("queue").context("no queue")?;
    let id = || -> anyhow::Result<job::JobId> {
        let text = args.get_one::<String>("id").context("no id")?;
        text.parse().with_context(|| format!("`{text}`"))
    };
    let result = match name {
        "submit" => {
            let path = args.get_one::<path::PathBuf>("file").context("no file")?;
            client.submit(queue, id()?, &read_submission(path)?).await
        }
        "state" => client.state(queue, id()?).await,
        "cancel" => client.cancel(queue, id()?).await,
        _ => client.count_waiting(queue).await,
    };
    match result {
        Ok(result) => {
            println!("{}", serde_json::to_string(&result)?);
            Ok(0)
        }
        Err(caller::JobError::Refused { status, title }) => {
            eprintln!("refused with status {status}: {title}");
            Ok(if status < SERVER_ERRORS { REFUSED } else { UNKNOWN })
        }
        Err(err @ caller::JobError::Call(_)) => {
            eprintln!("{err}; the outcome is unknown, the same call can be repeated");
            Ok(UNKNOWN)
        }
    }
}

/// Reads and parses a job file.
fn read_submission(path: &path::Path) -> anyhow::Result<caller::Submission> {
    let text =
        fs::read_to_string(path).with_context(|| format!("can't read {}", path.display()))?;
    toml::from_str(&text).with_context(|| path.display().to_string())
}
