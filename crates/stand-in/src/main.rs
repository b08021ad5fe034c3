//! Runs the fakes as separate processes, for tests and demos.

use std::net;
use std::process;
use std::time;

use anyhow::Context as _;
use wharflane::{id, size};
use wharflane_stand_in::{caller, endpoint, platform, worker};

fn main() -> process::ExitCode {
    let matches = command().get_matches();
    match run(&matches) {
        Ok(()) => process::ExitCode::SUCCESS,
        Err(err) => {
            eprintln!("wharflane-stand-in: {err:#}");
            process::ExitCode::FAILURE
        }
    }
}

/// Returns the command line.
fn command() -> clap::Command {
    let addr = || {
        clap::Arg::new("addr")
            .long("addr")
            .required(true)
            .value_parser(clap::value_parser!(net::SocketAddr))
            .help("The address to listen on")
    };
    let number = |name: &'static str, default: &'static str, help: &'static str| {
        clap::Arg::new(name)
            .long(name)
            .default_value(default)
            .value_parser(clap::value_parser!(u64))
            .help(help)
    };
    let service_ms = || number("service-ms", "2", "The service time of a request, in milliseconds");
    let worker = clap::Command::new("worker")
        .about("A worker that runs tasks and endpoints")
        .arg(addr())
        .arg(clap::Arg::new("name").long("name").required(true).help("The id of the worker"))
        .arg(number("cpu-milli", "16000", "The worker's processors, in thousandths of a core"))
        .arg(number("mem-mb", "60000", "The worker's memory, in megabytes"))
        .arg(number("accelerators", "0", "The worker's accelerators"))
        .arg(number("harm-percent", "0", "By how many percent a full batch load slows requests"))
        .arg(service_ms());
    let caller = clap::Command::new("caller")
        .about("Callers with an open-loop load")
        .arg(addr().help("The host to call"))
        .arg(clap::Arg::new("service").long("service").required(true).help("The service"))
        .arg(number("rate", "100", "Requests per second"))
        .arg(number("seconds", "10", "How long requests are sent, in seconds"));
    clap::Command::new("wharflane-stand-in")
        .version(env!("CARGO_PKG_VERSION"))
        .about("Small fakes of the platform, workers, endpoints and callers")
        .subcommand_required(true)
        .subcommand(clap::Command::new("platform").about("The platform").arg(addr()))
        .subcommand(worker)
        .subcommand(
            clap::Command::new("endpoint").about("One endpoint").arg(addr()).arg(service_ms()),
        )
        .subcommand(caller)
}

/// Runs the fake that the subcommand names.
#[tokio::main]
async fn run(matches: &clap::ArgMatches) -> anyhow::Result<()> {
    let Some((name, args)) = matches.subcommand() else {
        return Ok(());
    };
    let addr = *args.get_one::<net::SocketAddr>("addr").context("no address")?;
    match name {
        "platform" => platform::run(addr).await?,
        "worker" => worker::run(addr, worker_config(args)).await?,
        "endpoint" => {
            let faults = endpoint::Faults {
                service_ms: number(args, "service-ms"),
                ..endpoint::Faults::default()
            };
            endpoint::run(addr, faults).await?;
        }
        _ => call(addr, args).await,
    }
    Ok(())
}

/// Runs callers and prints the outcomes and latencies of their requests.
async fn call(addr: net::SocketAddr, args: &clap::ArgMatches) {
    let service = args.get_one::<String>("service").cloned().unwrap_or_default();
    let report = caller::run(caller::Load {
        hosts: vec![addr],
        service,
        rate: number(args, "rate") as f64,
        duration: time::Duration::from_secs(number(args, "seconds")),
        repeatable: None,
        timeout: time::Duration::from_secs(2),
        name: format!("call-{:x}", rand::random::<u32>()),
    })
    .await;
    for end in [
        caller::End::Answered,
        caller::End::Faulted,
        caller::End::NotRun,
        caller::End::Unknown,
        caller::End::Broken,
        caller::End::Wrong,
    ] {
        println!("{end:?}: {}", report.count(end));
    }
    for (label, share) in [("p50", 0.5), ("p99", 0.99), ("p99.9", 0.999)] {
        println!("{label}: {:.2} ms", report.quantile_ms(share));
    }
}

/// Returns the configuration of a worker from the command line.
fn worker_config(args: &clap::ArgMatches) -> worker::Config {
    let name = args.get_one::<String>("name").map_or("worker", String::as_str);
    worker::Config {
        worker: id::WorkerId::from(name),
        capacity: size::Size {
            cpu_milli: number(args, "cpu-milli"),
            mem_mb: number(args, "mem-mb"),
            accelerators: number(args, "accelerators"),
        },
        limits: endpoint::Limits::default(),
        endpoint_faults: endpoint::Faults {
            service_ms: number(args, "service-ms"),
            ..endpoint::Faults::default()
        },
        harm_percent: number(args, "harm-percent"),
    }
}

/// Returns a number from the command line, zero if absent.
fn number(args: &clap::ArgMatches, name: &str) -> u64 {
    args.get_one::<u64>(name).copied().unwrap_or(0)
}
