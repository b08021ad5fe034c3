//! Runs one measurement and prints its table.

use std::alloc;

use wharflane_bench::{capacity, forwarder, harm, journal, limits, recovery, routing, sharing};

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
        clap::Command::new("journal").about("Scores of the users' bench by commit"),
        clap::Command::new("forwarder").about("A host's cost against a bare forwarder"),
    ];
    let command = clap::Command::new("wharflane-bench")
        .about("Measures decisions and costs")
        .subcommand_required(true)
        .subcommands(commands);
    match command.get_matches().subcommand_name() {
        Some("sharing") => sharing::print(),
        Some("routing") => routing::print(),
        Some("limits") => limits::print(),
        Some("harm") => harm::print(),
        Some("placement") => recovery::print(),
        Some("capacity") => capacity::print(live),
        Some("journal") => journal::print()?,
        _ => forwarder::print(),
    }
    Ok(())
}

/// Returns the bytes that are allocated now.
fn live() -> usize {
    let stats = ALLOC.stats();
    stats.bytes_allocated.saturating_sub(stats.bytes_deallocated)
}
