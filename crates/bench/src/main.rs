//! Runs one measurement and prints its table.

use wharflane_bench::{limits, recovery, routing, sharing};

fn main() {
    let commands = [
        clap::Command::new("sharing").about("Decision 1: slots shared between hosts"),
        clap::Command::new("routing").about("Decision 2: choice of an endpoint"),
        clap::Command::new("placement").about("Decision 5: placement and recovery of a hall"),
        clap::Command::new("limits").about("Decision 3: limits, priorities, retries"),
    ];
    let command = clap::Command::new("wharflane-bench")
        .about("Measures decisions and costs")
        .subcommand_required(true)
        .subcommands(commands);
    match command.get_matches().subcommand_name() {
        Some("sharing") => sharing::print(),
        Some("routing") => routing::print(),
        Some("placement") => recovery::print(),
        _ => limits::print(),
    }
}
