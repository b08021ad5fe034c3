//! `wharflane job`: hands jobs in, asks how far they are, cancels them, counts what waits.

use std::fs;
use std::net;
use std::path;
use std::time;

use anyhow::Context as _;
use wharflane::job;
use wharflane_caller::job as caller;

/// How long a host may take to answer.
const TIMEOUT: time::Duration = time::Duration::from_secs(10);
/// The exit code of a refused call.
const REFUSED: u8 = 2;
/// The exit code where nothing is known of what happened.
const UNKNOWN: u8 = 4;
/// From this status on nothing is known, or the call may be made again.
const SERVER_ERRORS: u16 = 500;

/// Returns the command line.
pub fn command() -> clap::Command {
    let text = |name: &'static str, value: &'static str, help: &'static str| {
        clap::Arg::new(name).value_name(value).required(true).help(help)
    };
    let queue = || text("queue", "QUEUE", "The queue");
    let id = || text("id", "ID", "The job's name: 16 hexadecimal digits");
    let file =
        || text("file", "FILE", "The job as TOML").value_parser(clap::value_parser!(path::PathBuf));
    let host = || {
        clap::Arg::new("host")
            .long("host")
            .value_name("ADDR")
            .required(true)
            .value_parser(clap::value_parser!(net::SocketAddr))
            .help("The callers' port of a host")
    };
    clap::Command::new("job")
        .about("Hand in jobs and follow them")
        .subcommand_required(true)
        .subcommand(
            clap::Command::new("submit")
                .about("Hand a job in; the same name again is the same job")
                .args([queue(), id(), file(), host()]),
        )
        .subcommand(clap::Command::new("state").about("Tell how far a job is").args([
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
                .about("Count the jobs of a queue of which no task has begun")
                .args([queue(), host()]),
        )
}

/// Runs the command that was asked for and returns the exit code.
#[tokio::main(flavor = "current_thread")]
pub async fn run(args: &clap::ArgMatches) -> anyhow::Result<u8> {
    let (name, args) = args.subcommand().context("no command")?;
    let addr = *args.get_one::<net::SocketAddr>("host").context("no host")?;
    let jobs = caller::Jobs::new(addr, TIMEOUT);
    let queue = args.get_one::<String>("queue").context("no queue")?;
    let id = || -> anyhow::Result<job::JobId> {
        let text = args.get_one::<String>("id").context("no id")?;
        text.parse().with_context(|| format!("`{text}`"))
    };
    let told = match name {
        "submit" => {
            let path = args.get_one::<path::PathBuf>("file").context("no file")?;
            jobs.submit(queue, id()?, &read(path)?).await
        }
        "state" => jobs.state(queue, id()?).await,
        "cancel" => jobs.cancel(queue, id()?).await,
        _ => jobs.waiting(queue).await,
    };
    match told {
        Ok(told) => {
            println!("{}", serde_json::to_string(&told)?);
            Ok(0)
        }
        Err(caller::JobError::Refused { status, title }) => {
            eprintln!("refused with status {status}: {title}");
            Ok(if status < SERVER_ERRORS { REFUSED } else { UNKNOWN })
        }
        Err(err @ caller::JobError::Call(_)) => {
            eprintln!("{err}; nothing is known, the same call may be made again");
            Ok(UNKNOWN)
        }
    }
}

/// Reads a job file.
fn read(path: &path::Path) -> anyhow::Result<caller::Submission> {
    let text =
        fs::read_to_string(path).with_context(|| format!("can't read {}", path.display()))?;
    toml::from_str(&text).with_context(|| path.display().to_string())
}
