//! Decision 4: batch work beside services, with harm that differs by pair and shifts with load.

use std::collections;
use std::time;

use serde::Deserialize;
use wharflane::{digest, hall, id, interference, placement, size, task_table};
use wharflane_stand_in::{history, world};

use crate::table;

/// How long each run lasts.
const DURATION: time::Duration = time::Duration::from_secs(480);
/// How long the load stays low or high.
const PHASE: time::Duration = time::Duration::from_secs(80);
/// How often hosts tell what they saw.
const INTERVAL: time::Duration = time::Duration::from_secs(1);
/// How late the holder hears of it, in intervals.
const LATE: usize = 2;
/// The latency target, in milliseconds.
const TARGET_MS: u64 = 50;
/// The share of the target that a service takes alone.
const ALONE: f64 = 0.5;

/// The sites of a file.
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct Sites {
    /// The sites in their order.
    site: Vec<Site>,
}

/// A site with its work.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Site {
    /// Its name.
    pub name: String,
    /// The number of workers.
    workers: usize,
    /// The processors of each, in thousandths.
    cpu_milli: u64,
    /// The processors of a service task.
    service_milli: u64,
    /// The processors of a batch task.
    batch_milli: u64,
    /// Batch tasks of each job for each worker, in hundredths.
    tasks_percent: usize,
    /// The harm of one task of each job at full load.
    harms: [f64; 4],
}

/// Returns the sites of `data/sites.toml`.
///
/// # Panics
/// Panics on data with faults, which would be a fault of the bench.
#[must_use]
pub fn sites() -> Vec<Site> {
    let text = include_str!("../data/sites.toml");
    toml::from_str::<Sites>(text).expect("the bench's own data").site
}

impl Site {
    /// Returns a part of the site.
    #[must_use]
    pub fn part(&self, workers: usize) -> Self {
        Self { workers, ..self.clone() }
    }
}

/// A way to place and to react.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Policy {
    /// The first worker with room, and no reaction.
    FirstFit,
    /// The first worker with room, and an eviction at the first breach.
    EvictAtOnce,
    /// The product's three loops.
    Product,
    /// The product's loops, with the true harm known from the start.
    KnowsHarm,
}

/// What came of a run.
#[derive(Clone, Copy, Debug, Default)]
pub struct Row {
    /// Seconds of service tasks.
    pub seconds: u64,
    /// Of them, seconds over the target.
    pub over: u64,
    /// The sum by which the target was missed.
    pub missed: f64,
    /// Batch tasks that came to their end.
    pub done: u64,
    /// Evictions.
    pub evictions: u64,
    /// Throttles.
    pub throttles: u64,
    /// Promises broken.
    pub broken: usize,
}

/// Runs a site under a policy.
#[must_use]
pub fn run(site: &Site, policy: Policy, duration: time::Duration) -> Row {
    let settings = settings(policy);
    let mut world = world::World::new(1, settings, 5);
    for number in 0..site.workers {
        let capacity = size::Size { cpu_milli: site.cpu_milli, mem_mb: 1_000_000, accelerators: 0 };
        world.add_worker(&format!("worker-{number}"), capacity);
    }
    if let Some(machine) = world.machines.get_mut(&"worker-3".into()) {
        machine.faults.fail_all = true;
    }
    world.apply(&desired(site));
    world.run_until(time::Duration::from_secs(3));
    if policy == Policy::KnowsHarm {
        world.tell_holder(hall::Event::Harms(true_harms(site)));
    }
    let mut row = Row::default();
    let mut late = collections::VecDeque::new();
    while world.now < duration {
        world.run_until(world.now + INTERVAL);
        let rush = (world.now.as_secs() / PHASE.as_secs()) % 2 == 1;
        late.push_back(observe(&world, site, if rush { 1.0 } else { 0.3 }, &mut row));
        if late.len() > LATE
            && let Some(digest) = late.pop_front()
        {
            world.tell_holder(hall::Event::Digest(digest));
        }
    }
    finish(&world, row)
}

/// Returns the times and weights of a policy.
fn settings(policy: Policy) -> hall::Settings {
    let mut settings = hall::Settings::default();
    let first_fit = placement::Weights { unused: 0.0, harm: 0.0, spread: 0.5 };
    match policy {
        Policy::FirstFit => {
            settings.weights = first_fit;
            settings.throttle_policy.misses = u32::MAX;
            settings.throttle_policy.steps = &[];
        }
        Policy::EvictAtOnce => {
            settings.weights = first_fit;
            settings.throttle_policy = interference::ThrottlePolicy {
                misses: 1,
                settle: time::Duration::ZERO,
                calm: 20,
                steps: &[],
            };
        }
        Policy::Product | Policy::KnowsHarm => {}
    }
    settings
}

/// Returns the work of a site, with one job that fits nowhere.
fn desired(site: &Site) -> String {
    let mut text = format!(
        "[[class]]\nname = \"paid\"\npriority = 100\n[[class]]\nname = \"spare\"\npriority = 1\n\
         [[team]]\nname = \"ours\"\n[[hall]]\nname = \"hall\"\n[[service]]\nname = \"service\"\n\
         team = \"ours\"\nclass = \"paid\"\nhalls = [\"hall\"]\ncount = {}\ncpu_milli = {}\n\
         mem_mb = 10\nlatency_target_ms = {TARGET_MS}\n",
        site.workers, site.service_milli
    );
    for job in 0..site.harms.len() {
        let tasks = site.workers * site.tasks_percent / 100;
        let cpu = site.batch_milli;
        let save = if job % 2 == 0 { "checkpoint = true\n" } else { "" };
        text.push_str(&format!(
            "[[job]]\nname = \"job-{job}\"\nteam = \"ours\"\nclass = \"spare\"\n\
             halls = [\"hall\"]\ntasks = {tasks}\ncpu_milli = {cpu}\nmem_mb = 10\n\
             run_time_ms = 90000\n{save}"
        ));
    }
    text.push_str(
        "[[job]]\nname = \"giant\"\nteam = \"ours\"\nclass = \"paid\"\nhalls = [\"hall\"]\n\
         tasks = 1\ncpu_milli = 999000\nmem_mb = 10\nrun_time_ms = 1000\n",
    );
    text
}

/// Returns the harm of each pair as it truly is.
fn true_harms(site: &Site) -> interference::Model {
    let mut harms = interference::Model::default();
    for (job, harm) in site.harms.iter().enumerate() {
        harms.set("service", &format!("job-{job}"), harm * ALONE, 1.0 - ALONE);
    }
    harms
}

/// Returns what the hosts see in one interval, and counts it.
fn observe(world: &world::World, site: &Site, load: f64, row: &mut Row) -> digest::Digest {
    let mut endpoints = Vec::new();
    for machine in world.machines.values() {
        let harm: f64 = machine.shares().map(|(task, percent)| harm_of(site, task, percent)).sum();
        let ratio = ALONE * (1.0 + harm * load);
        for service in machine.services() {
            row.seconds += 1;
            if ratio <= 1.0 {
                continue;
            }
            row.over += 1;
            row.missed += ratio - 1.0;
            let p95_us = (ratio * TARGET_MS as f64 * 1_000.0) as u64;
            endpoints.push(digest::EndpointStats {
                task: service,
                in_flight: 1,
                answers: 100,
                failures: 0,
                p95_us,
            });
        }
    }
    digest::Digest { host: "entry-0".into(), hall: world::HALL.into(), endpoints }
}

/// Returns the harm that a task does at full load with its share of processors.
fn harm_of(site: &Site, task: &id::TaskId, percent: u8) -> f64 {
    let job = task.owner.strip_prefix("job-").and_then(|job| job.parse::<usize>().ok());
    job.map_or(0.0, |job| site.harms[job] * f64::from(percent) / 100.0)
}

/// Counts what the whole run came to.
fn finish(world: &world::World, mut row: Row) -> Row {
    let events = world.history.events();
    let done = |event: &&history::Event| matches!(event, history::Event::Completed { .. });
    row.done = events.iter().filter(done).count() as u64;
    row.broken = wharflane_stand_in::checker::check(&events).len();
    if let Some(counters) = world.holding().map(hall::Holding::counters) {
        row.evictions = counters.evicted.get(&task_table::Cause::Harm).copied().unwrap_or(0);
        row.throttles = counters.throttled;
    }
    row
}

/// Prints the result.
pub fn print() {
    let mut table = table::Table::new(&[
        "site",
        "policy",
        "service seconds over target",
        "sum missed",
        "batch done",
        "evictions",
        "throttles",
        "promises broken",
    ]);
    for site in sites() {
        for policy in [Policy::FirstFit, Policy::EvictAtOnce, Policy::Product, Policy::KnowsHarm] {
            let row = run(&site, policy, DURATION);
            table.row(vec![
                site.name.clone(),
                format!("{policy:?}"),
                table::percent(row.over, row.seconds),
                format!("{:.0}", row.missed),
                row.done.to_string(),
                row.evictions.to_string(),
                row.throttles.to_string(),
                row.broken.to_string(),
            ]);
        }
    }
    table.print();
}
