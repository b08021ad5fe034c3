//! The command line of the bench: every subcommand runs one measurement and prints its tables.

use std::alloc;
use std::path;
use wharflane_bench::{
    capacity, compare, crashes, forwarder, interference, journal, limits, player, recovery,
    routing, sharing,
};

/// Counts allocations, so that measurements can report the memory in use.
#[global_allocator]
static ALLOCATOR: &stats_alloc::StatsAlloc<alloc::System> = &stats_alloc::INSTRUMENTED_SYSTEM;

fn main() -> anyhow::Result<()> {
    let commands = [
        clap::Command::new("sharing").about("Decision 1: sharing of slots among hosts"),
        clap::Command::new("routing").about("Decision 2: choice of endpoints"),
        clap::Command::new("limits").about("Decision 3: limits, priorities and retries"),
        clap::Command::new("harm").about("Decision 4: batch work beside services"),
        clap::Command::new("placement").about("Decision 5: placement in a hall and its recovery"),
        clap::Command::new("capacity")
            .about("Costs from which docs/CAPACITY.md derives its slopes"),
        clap::Command::new("decisions")
            .about("Cost of one task start for the holder of a domain")
            .arg(
                clap::Arg::new("workers")
                    .long("workers")
                    .help("Measure only the size with this number of workers")
                    .value_parser(clap::value_parser!(usize)),
            ),
        clap::Command::new("crashes").about("Decision 11: tasks that crash their workers").arg(
            clap::Arg::new("seeds")
                .long("seeds")
                .help("Number of simulated worlds for each row")
                .default_value("100")
                .value_parser(clap::value_parser!(u64)),
        ),
        clap::Command::new("journal").about("Scores of past commits from the journal"),
        clap::Command::new("forwarder").about("Cost of a host compared with a minimal forwarder"),
        compare_command(),
    ];
    let command = clap::Command::new("wharflane-bench")
        .about("Measures design decisions and resource costs")
        .subcommand_required(true)
        .subcommands(commands);
    match command.get_matches().subcommand() {
        Some(("sharing", _)) => sharing::print(),
        Some(("routing", _)) => routing::print(),
        Some(("limits", _)) => limits::print(),
        Some(("harm", _)) => interference::print(),
        Some(("placement", _)) => recovery::print(),
        Some(("capacity", _)) => capacity::print(allocated_bytes),
        Some(("decisions", args)) => {
            capacity::print_decisions(args.get_one("workers").copied());
        }
        Some(("crashes", args)) => crashes::print(args.get_one("seeds").copied().unwrap_or(100)),
        Some(("journal", _)) => journal::print()?,
        Some(("compare", args)) => compare_trees(args)?,
        _ => forwarder::print(),
    }
    Ok(())
}

/// Returns the number of bytes that are allocated at present.
fn allocated_bytes() -> usize {
    let stats = ALLOCATOR.stats();
    stats.bytes_allocated.saturating_sub(stats.bytes_deallocated)
}

/// Returns the definition of the `compare` subcommand.
fn compare_command() -> clap::Command {
    let required_arg = |name: &'static str, help: &'static str| {
        clap::Arg::new(name).long(name).required(true).help(help)
    };
    let list_arg = |name, help| required_arg(name, help).value_delimiter(',').num_args(1..);
    clap::Command::new("compare")
        .about("Worth of two source trees, or of one with and without each mechanism, by day")
        .arg(required_arg("player", "Path of the program that plays days"))
        .arg(required_arg("after", "Tree with the change, or the full tree for --ablate"))
        .arg(required_arg("before", "Tree without the change").required(false))
        .arg(required_arg("ablate", "List of mechanisms to remove one at a time").required(false))
        .group(clap::ArgGroup::new("against").args(["before", "ablate"]).required(true))
        .arg(list_arg("site", "Files that describe deployments"))
        .arg(list_arg("day", "Names of days"))
        .arg(list_arg("seed", "Seeds of each day").value_parser(clap::value_parser!(u64)))
        .arg(required_arg("why", "Note that the player records with each run"))
        .arg(
            required_arg("jobs", "Number of days that run at a time")
                .required(false)
                .default_value("4")
                .value_parser(clap::value_parser!(usize)),
        )
}

/// Runs `compare`: two trees against each other, or one tree against itself without each mechanism.
fn compare_trees(args: &clap::ArgMatches) -> anyhow::Result<()> {
    let path_of = |name| -> anyhow::Result<path::PathBuf> {
        Ok(path::absolute(args.get_one::<String>(name).map_or(".", String::as_str))?)
    };
    let values_of = |name| args.get_many::<String>(name).into_iter().flatten();
    let mut days = Vec::new();
    for site in values_of("site") {
        for name in values_of("day") {
            for seed in args.get_many::<u64>("seed").into_iter().flatten() {
                let (site, name) = (path::absolute(site)?, name.clone());
                days.push(player::Day { site, name, seed: *seed });
            }
        }
    }
    let player = player::Player {
        program: path_of("player")?,
        parallelism: args.get_one("jobs").copied().unwrap_or(1),
        note: args.get_one::<String>("why").cloned().unwrap_or_default(),
    };
    let comparison = compare::Comparison { player, days, journal: path::absolute("journal")? };
    let after = player::Tree { name: "change".to_owned(), folder: path_of("after")? };
    match args.get_one::<String>("ablate") {
        Some(list) => comparison.print_ablation(&after, path::Path::new(list))?,
        None => {
            let before = player::Tree { name: "before".to_owned(), folder: path_of("before")? };
            comparison.print(&before, &after)?;
        }
    }
    Ok(())
}
