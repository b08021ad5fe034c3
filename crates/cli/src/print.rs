//! Human-readable output of `wharflane status`.

use wharflane_operator as operator;

/// Prints the summary of a host: its state, closed halls, services and the holder of each hall.
pub fn status(status: &operator::Status) {
    let platform = if status.platform_up { "up" } else { "down" };
    let stopping = if status.stopping { ", stopping" } else { "" };
    println!("host {}, revision {}, platform {platform}{stopping}", status.host, status.revision);
    if !status.build.is_empty() {
        println!("build {}", status.build);
    }
    for (hall, since_s) in &status.closed_since_s {
        println!("hall {hall} closed since {since_s} s after 1970");
    }
    if !status.services.is_empty() {
        println!("\n{:<24} {:>8} {:>10} {:>8}", "service", "wanted", "endpoints", "leaving");
    }
    for (name, service) in &status.services {
        let (wanted, endpoints, leaving) = (service.wanted, service.endpoints, service.leaving);
        println!("{name:<24} {wanted:>8} {endpoints:>10} {leaving:>8}");
    }
    if !status.halls.is_empty() {
        println!("\n{:<24} {:<16} {:>6}  tasks", "hall", "holder", "epoch");
    }
    for (name, hall) in &status.halls {
        let holder = hall.holder.as_deref().unwrap_or("-");
        let tasks: Vec<String> =
            hall.tasks.iter().map(|(state, count)| format!("{count} {state}")).collect();
        println!("{name:<24} {holder:<16} {:>6}  {}", hall.epoch, tasks.join(", "));
    }
}
