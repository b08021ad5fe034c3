//! The `wharflane` command line for operators.
//!
//! Scripts rely on the exit codes, which distinguish a refusal, a conflict with another submission
//! and an unknown outcome, after which the same command can be repeated.

mod jobs;
mod print;
mod trial;
mod why;

use std::fs;
use std::io;
use std::net;
use std::path;
use std::process;
use std::time;

use anyhow::Context as _;
use wharflane::{desired, toml_read};
use wharflane_operator as operator;

/// Exit code of a refused desired state or an invalid command line.
const REFUSED: u8 = 2;
/// Exit code of a submission whose base revision is no longer in force.
const CONFLICT: u8 = 3;
/// Exit code of a command whose outcome is unknown.
const UNKNOWN: u8 = 4;
/// Limit of one call to a host.
const TIMEOUT: time::Duration = time::Duration::from_secs(15);

fn main() -> process::ExitCode {
    let matches = command().get_matches();
    match run(&matches) {
        Ok(code) => process::ExitCode::from(code),
        Err(err) => {
            eprintln!("wharflane: {err:#}");
            process::ExitCode::FAILURE
        }
    }
}

/// Builds the command-line parser.
fn command() -> clap::Command {
    let host = || {
        clap::Arg::new("host")
            .long("host")
            .value_name("ADDR")
            .required(true)
            .value_parser(clap::value_parser!(net::SocketAddr))
            .help("Address of the operators' port of a host")
    };
    let json =
        || clap::Arg::new("json").long("json").action(clap::ArgAction::SetTrue).help("Print JSON");
    let file = || {
        clap::Arg::new("file")
            .value_name("FILE")
            .required(true)
            .value_parser(clap::value_parser!(path::PathBuf))
            .help("The complete desired state, as TOML")
    };
    let base = clap::Arg::new("base")
        .long("base")
        .value_name("REVISION")
        .value_parser(clap::value_parser!(u64))
        .help("Revision that FILE was made from; the one in force by default");
    let apply_id = clap::Arg::new("apply-id")
        .long("apply-id")
        .value_name("ID")
        .help("Id of the submission, so that it can be repeated safely; random by default");
    let seconds = clap::Arg::new("seconds")
        .long("seconds")
        .default_value("8")
        .value_parser(clap::value_parser!(u64).range(1..=60))
        .help("Duration of each of the two parts, in seconds");
    let hall = clap::Arg::new("hall")
        .value_name("HALL")
        .required(true)
        .value_parser(clap::builder::NonEmptyStringValueParser::new())
        .help("Name of the hall");
    let undo = clap::Arg::new("undo")
        .long("undo")
        .action(clap::ArgAction::SetTrue)
        .help("Reopen the hall");
    let shell = clap::Arg::new("shell")
        .required(true)
        .value_parser(clap::value_parser!(clap_complete::Shell))
        .help("Shell to generate the completion for");
    clap::Command::new("wharflane")
        .version(wharflane_build::DESCRIPTION)
        .about("Operates wharflane, a scheduler for services and batch work on the same workers")
        .after_help(
            "Exit codes: 0 done, 1 failed, 2 refused, 3 another submission came first, \
             4 outcome unknown",
        )
        .subcommand_required(true)
        .subcommand(
            clap::Command::new("check").about("Check a desired state").arg(file()).arg(json()),
        )
        .subcommand(clap::Command::new("apply").about("Replace the whole desired state").args([
            file(),
            host(),
            base,
            apply_id,
            json(),
        ]))
        .subcommand(
            clap::Command::new("status")
                .about("Show a summary of a host's state")
                .args([host(), json()]),
        )
        .subcommand(
            clap::Command::new("drain")
                .about("Stop a host and let its requests in flight finish")
                .arg(host()),
        )
        .subcommand(
            clap::Command::new("evacuate")
                .about("Cordon a hall: nothing new starts there, running tasks continue")
                .args([host(), hall, undo]),
        )
        .subcommand(
            clap::Command::new("dump")
                .about("Print the complete state of a host as JSON")
                .arg(host()),
        )
        .subcommand(
            clap::Command::new("try")
                .about("Run a demo of a whole system in one process")
                .args([seconds, json()]),
        )
        .subcommand(jobs::command())
        .subcommand(why::command())
        .subcommand(
            clap::Command::new("completion").about("Print a shell completion script").arg(shell),
        )
}

/// Runs the chosen subcommand and returns the exit code.
fn run(matches: &clap::ArgMatches) -> anyhow::Result<u8> {
    let Some((name, args)) = matches.subcommand() else {
        return Ok(REFUSED);
    };
    match name {
        "check" => check(args),
        "job" => jobs::run(args),
        "why" => why::run(args),
        "completion" => {
            if let Some(shell) = args.get_one::<clap_complete::Shell>("shell") {
                let mut command = command();
                clap_complete::generate(*shell, &mut command, "wharflane", &mut io::stdout());
            }
            Ok(0)
        }
        "try" => {
            let secs = args.get_one::<u64>("seconds").copied().unwrap_or(8);
            trial::run(time::Duration::from_secs(secs), args.get_flag("json"))
        }
        _ => call_host(name, args),
    }
}

/// Validates a desired state locally and returns the exit code.
fn check(args: &clap::ArgMatches) -> anyhow::Result<u8> {
    let (path, text) = read_file(args)?;
    let faults = desired::parse(&text).err().unwrap_or_default();
    report_faults(&path, &faults, args.get_flag("json"))
}

/// Runs a subcommand that calls a host and returns the exit code.
#[tokio::main(flavor = "current_thread")]
async fn call_host(name: &str, args: &clap::ArgMatches) -> anyhow::Result<u8> {
    let addr = *args.get_one::<net::SocketAddr>("host").context("no host")?;
    let host = operator::Operator::new(addr, TIMEOUT);
    match name {
        "apply" => apply(&host, args).await,
        "status" => {
            let status = host.status().await?;
            if args.get_flag("json") {
                println!("{}", serde_json::to_string_pretty(&status)?);
            } else {
                print::status(&status);
            }
            Ok(0)
        }
        "evacuate" => evacuate(&host, args).await,
        "drain" => {
            host.drain().await?;
            println!("stopping");
            Ok(0)
        }
        _ => {
            println!("{}", serde_json::to_string_pretty(&host.dump().await?)?);
            Ok(0)
        }
    }
}

/// Closes a hall to new tasks, or reopens it, and returns the exit code.
async fn evacuate(host: &operator::Operator, args: &clap::ArgMatches) -> anyhow::Result<u8> {
    let hall = args.get_one::<String>("hall").context("no hall")?;
    let undo = args.get_flag("undo");
    let done = if undo { host.open_hall(hall).await } else { host.close_hall(hall).await };
    match done {
        Ok(()) => {
            println!("{hall} {}", if undo { "open" } else { "closed" });
            Ok(0)
        }
        Err(err) => {
            eprintln!("{err}; the outcome is unknown, the same command can be repeated");
            Ok(UNKNOWN)
        }
    }
}

/// Submits a desired state and returns the exit code.
async fn apply(host: &operator::Operator, args: &clap::ArgMatches) -> anyhow::Result<u8> {
    let (path, text) = read_file(args)?;
    let base_revision = match args.get_one::<u64>("base") {
        Some(base) => *base,
        None => host.status().await?.revision,
    };
    let apply_id = args.get_one::<String>("apply-id").cloned();
    let apply_id = apply_id.unwrap_or_else(|| format!("{:x}", random_id()));
    let submission = operator::Apply { apply_id: apply_id.clone(), base_revision, text };
    let applied = host.apply(&submission).await.unwrap_or(operator::Applied::Unknown);
    let json = args.get_flag("json");
    if json {
        println!("{}", serde_json::to_string_pretty(&applied)?);
    }
    Ok(match applied {
        operator::Applied::Accepted { revision } => {
            if !json {
                println!("accepted as revision {revision}");
            }
            0
        }
        operator::Applied::Refused { faults } => {
            if json {
                REFUSED
            } else {
                report_faults(&path, &faults, false)?
            }
        }
        operator::Applied::Conflict { revision } => {
            eprintln!("refused: revision {revision} is in force, not {base_revision}");
            CONFLICT
        }
        operator::Applied::Unknown => {
            eprintln!(
                "the outcome is unknown; repeat with --apply-id {apply_id} --base {base_revision}"
            );
            UNKNOWN
        }
    })
}

/// Prints the faults of a desired state and returns the exit code.
fn report_faults(path: &path::Path, faults: &[toml_read::Fault], json: bool) -> anyhow::Result<u8> {
    if json {
        println!("{}", serde_json::to_string_pretty(faults)?);
    } else if faults.is_empty() {
        println!("{}: in order", path.display());
    }
    for fault in faults.iter().filter(|_| !json) {
        eprintln!("{}:{}: {}", path.display(), fault.line, fault.kind);
    }
    Ok(if faults.is_empty() { 0 } else { REFUSED })
}

/// Reads the desired state file and returns its path and text.
fn read_file(args: &clap::ArgMatches) -> anyhow::Result<(path::PathBuf, String)> {
    let path = args.get_one::<path::PathBuf>("file").context("no file")?;
    let text =
        fs::read_to_string(path).with_context(|| format!("can't read {}", path.display()))?;
    Ok((path.clone(), text))
}

/// Returns a random number as the id of a submission; a collision is practically impossible.
fn random_id() -> u64 {
    use std::hash::{BuildHasher as _, Hasher as _};
    std::collections::hash_map::RandomState::new().build_hasher().finish()
}
