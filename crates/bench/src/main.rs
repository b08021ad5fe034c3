//! Runs one measurement and prints its table.

use std::alloc;
use std::path;
use wharflane_bench::{
    capacity, compare, crashes, forwarder, harm, journal, limits, plays, recovery, routing, sharing,
};

/// Counts what is allocated.
#[global_allocator]
static ALLOC: &stats_alloc::StatsAlloc<alloc::System> = &stats_alloc::INSTRUMENTED_SYSTEM;

fn main() -> anyhow::Result<()> {
    let commands = [
        clap::Command::new("sharing").about("Decision 1: slots shared between hosts"),
        clap::Command::new("routing").about("Decision 2: choice of an endpoint"),
        clap::Command::new("limits").about("Decision 3: limits, priorities, retries"),
        clap::Command::new("harm").about("Decision 4: batch work beside services"),
        clap::Command::new("placement").about("Decision 5: placement and recovery of a hall"),
        clap::Command::new("capacity").about("The slopes behind docs/CAPACITY.md"),
        clap::Command::new("decisions").about("What one start costs the holder of a domain").arg(
            clap::Arg::new("workers")
                .long("workers")
                .help("Only the size with so many workers")
                .value_parser(clap::value_parser!(usize)),
        ),
        clap::Command::new("crashes").about("Tasks under which workers crash").arg(
            clap::Arg::new("seeds")
                .long("seeds")
                .help("How many worlds for each row")
                .default_value("100")
                .value_parser(clap::value_parser!(u64)),
        ),
        clap::Command::new("journal").about("Scores of the users' bench by commit"),
        clap::Command::new("forwarder").about("A host's cost against a bare forwarder"),
        compare_command(),
    ];
    let command = clap::Command::new("wharflane-bench")
        .about("Measures decisions and costs")
        .subcommand_required(true)
        .subcommands(commands);
    match command.get_matches().subcommand() {
        Some(("sharing", _)) => sharing::print(),
        Some(("routing", _)) => routing::print(),
        Some(("limits", _)) => limits::print(),
        Some(("harm", _)) => harm::print(),
        Some(("placement", _)) => recovery::print(),
        Some(("capacity", _)) => capacity::print(live),
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

/// Returns the bytes that are allocated now.
fn live() -> usize {
    let stats = ALLOC.stats();
    stats.bytes_allocated.saturating_sub(stats.bytes_deallocated)
}

/// Describes the comparison of two trees.
fn compare_command() -> clap::Command {
    let text = |name: &'static str, help: &'static str| {
        clap::Arg::new(name).long(name).required(true).help(help)
    };
    let many = |name, help| text(name, help).value_delimiter(',').num_args(1..);
    clap::Command::new("compare")
        .about("Worth of two trees, or of one without each of its mechanisms, day by day")
        .arg(text("player", "The program that plays days"))
        .arg(text("after", "The tree with the change, or the whole one"))
        .arg(text("before", "The tree without the change").required(false))
        .arg(text("ablate", "A list of mechanisms to take out").required(false))
        .group(clap::ArgGroup::new("against").args(["before", "ablate"]).required(true))
        .arg(many("site", "Files of deployments"))
        .arg(many("day", "Days by name"))
        .arg(many("seed", "Seeds").value_parser(clap::value_parser!(u64)))
        .arg(text("why", "What the player notes of each run"))
        .arg(
            text("jobs", "Days at once")
                .required(false)
                .default_value("4")
                .value_parser(clap::value_parser!(usize)),
        )
}

/// Compares two trees, or takes one apart.
fn compare_trees(args: &clap::ArgMatches) -> anyhow::Result<()> {
    let folder = |name| -> anyhow::Result<path::PathBuf> {
        Ok(path::absolute(args.get_one::<String>(name).map_or(".", String::as_str))?)
    };
    let words = |name| args.get_many::<String>(name).into_iter().flatten();
    let mut days = Vec::new();
    for site in words("site") {
        for name in words("day") {
            for seed in args.get_many::<u64>("seed").into_iter().flatten() {
                let (site, name) = (path::absolute(site)?, name.clone());
                days.push(plays::Day { site, name, seed: *seed });
            }
        }
    }
    let player = plays::Player {
        program: folder("player")?,
        jobs: args.get_one("jobs").copied().unwrap_or(1),
        why: args.get_one::<String>("why").cloned().unwrap_or_default(),
    };
    let comparison = compare::Comparison { player, days, journal: path::absolute("journal")? };
    let after = plays::Tree { name: "change".to_owned(), folder: folder("after")? };
    match args.get_one::<String>("ablate") {
        Some(list) => comparison.print_ablation(&after, path::Path::new(list))?,
        None => {
            let before = plays::Tree { name: "before".to_owned(), folder: folder("before")? };
            comparison.print(&before, &after)?;
        }
    }
    Ok(())
}
