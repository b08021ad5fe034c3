//! Decision 4: batch work beside services.
//!
//! The interference depends on the pair of service and job and on the load. The engine learns of it
//! only from delayed digests, as it does with real hosts.

use std::collections;
use std::time;

use serde::Deserialize;
use wharflane::{digest, hall, id, interference, placement, size, task_table};
use wharflane_stand_in::{history, world};

use crate::table;

/// The duration of each run, in virtual time.
const DURATION: time::Duration = time::Duration::from_secs(480);
/// The duration of each phase of low or high load.
const LOAD_PHASE: time::Duration = time::Duration::from_secs(80);
/// The interval between two digests of a host.
const DIGEST_INTERVAL: time::Duration = time::Duration::from_secs(1);
/// How many intervals pass until the holder receives a digest.
const DIGEST_DELAY: usize = 2;
/// The latency target of the service, in milliseconds.
const TARGET_MS: u64 = 50;
/// The latency of a service without interference, as a share of the target.
const BASE_RATIO: f64 = 0.5;

/// The contents of `data/sites.toml`.
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct Sites {
    /// The sites, in the order of the table.
    site: Vec<Site>,
}

/// The shape of a site: its workers and the tasks that they run.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Site {
    /// The name in the table.
    pub name: String,
    /// The number of workers.
    workers: usize,
    /// The processor capacity of a worker, in thousandths of a core.
    cpu_milli: u64,
    /// The processors of a service task, in thousandths of a core.
    service_milli: u64,
    /// The processors of a batch task, in thousandths of a core.
    batch_milli: u64,
    /// The batch tasks of each job per worker, in hundredths.
    tasks_percent: usize,
    /// The interference by one task of each job at full load, relative to the latency without it.
    harms: [f64; 4],
}

/// Returns the sites of `data/sites.toml`.
///
/// # Panics
/// Panics if the data is invalid, which would be a bug in this crate.
#[must_use]
pub fn sites() -> Vec<Site> {
    let text = include_str!("../data/sites.toml");
    toml::from_str::<Sites>(text).expect("built-in data is valid").site
}

impl Site {
    /// Returns the site with another number of workers.
    #[must_use]
    pub fn with_workers(&self, workers: usize) -> Self {
        Self { workers, ..self.clone() }
    }
}

/// A policy for placement and for the reaction to missed targets.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Policy {
    /// Places tasks on the first worker with free capacity and never reacts.
    FirstFit,
    /// Places tasks on the first worker with free capacity and evicts at the first missed target.
    EvictAtOnce,
    /// The scheduler's own control loops for placement, throttling and eviction.
    Product,
    /// The scheduler's control loops, with the true interference known from the start.
    KnowsHarm,
}

/// The result of one run.
#[derive(Clone, Copy, Debug, Default)]
pub struct Row {
    /// Run time of all service tasks in total, in seconds.
    pub seconds: u64,
    /// The part of `seconds` in which the latency exceeded the target.
    pub seconds_over: u64,
    /// The sum of the excess latency in these seconds, as multiples of the target.
    pub excess: f64,
    /// Batch tasks that completed.
    pub completed: u64,
    /// Evictions of batch tasks because of interference.
    pub evictions: u64,
    /// Throttle steps applied to batch tasks.
    pub throttles: u64,
    /// Violations found by the history checker.
    pub violations: usize,
}

/// Runs a site under a policy for a duration of virtual time.
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
    world.apply(&desired_state(site));
    world.run_until(time::Duration::from_secs(3));
    if policy == Policy::KnowsHarm {
        world.send_to_holder(hall::Event::Harms(true_model(site)));
    }
    let mut row = Row::default();
    let mut delayed_digests = collections::VecDeque::new();
    while world.now < duration {
        world.run_until(world.now + DIGEST_INTERVAL);
        let is_peak = (world.now.as_secs() / LOAD_PHASE.as_secs()) % 2 == 1;
        delayed_digests.push_back(observe(&world, site, if is_peak { 1.0 } else { 0.3 }, &mut row));
        if delayed_digests.len() > DIGEST_DELAY
            && let Some(digest) = delayed_digests.pop_front()
        {
            world.send_to_holder(hall::Event::Digest(digest));
        }
    }
    add_totals(&world, row)
}

/// Returns the engine's settings under a policy.
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

/// Returns the desired state of a site. It includes one job that fits on no worker.
fn desired_state(site: &Site) -> String {
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
        let checkpoint_line = if job % 2 == 0 { "checkpoint = true\n" } else { "" };
        text.push_str(&format!(
            "[[job]]\nname = \"job-{job}\"\nteam = \"ours\"\nclass = \"spare\"\n\
             halls = [\"hall\"]\ntasks = {tasks}\ncpu_milli = {cpu}\nmem_mb = 10\n\
             run_time_ms = 90000\n{checkpoint_line}"
        ));
    }
    text.push_str(
        "[[job]]\nname = \"giant\"\nteam = \"ours\"\nclass = \"paid\"\nhalls = [\"hall\"]\n\
         tasks = 1\ncpu_milli = 999000\nmem_mb = 10\nrun_time_ms = 1000\n",
    );
    text
}

/// Returns a model with the true interference of each pair.
fn true_model(site: &Site) -> interference::Model {
    let mut model = interference::Model::default();
    for (job, harm) in site.harms.iter().enumerate() {
        model.set("service", &format!("job-{job}"), harm * BASE_RATIO, 1.0 - BASE_RATIO);
    }
    model
}

/// Returns the digest of one interval and adds the interval to the result.
fn observe(world: &world::World, site: &Site, load: f64, row: &mut Row) -> digest::Digest {
    let mut endpoints = Vec::new();
    for machine in world.machines.values() {
        let total: f64 =
            machine.shares().map(|(task, percent)| interference_of(site, task, percent)).sum();
        let ratio = BASE_RATIO * (1.0 + total * load);
        for service in machine.services() {
            row.seconds += 1;
            if ratio <= 1.0 {
                continue;
            }
            row.seconds_over += 1;
            row.excess += ratio - 1.0;
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

/// Returns the interference by a task at full load, given its share of processors in percent.
fn interference_of(site: &Site, task: &id::TaskId, percent: u8) -> f64 {
    let job = task.owner.strip_prefix("job-").and_then(|job| job.parse::<usize>().ok());
    job.map_or(0.0, |job| site.harms[job] * f64::from(percent) / 100.0)
}

/// Adds the totals of the whole run to the result.
fn add_totals(world: &world::World, mut row: Row) -> Row {
    let events = world.history.events();
    let is_completion = |event: &&history::Event| matches!(event, history::Event::Completed { .. });
    row.completed = events.iter().filter(is_completion).count() as u64;
    row.violations = wharflane_stand_in::checker::check(&events).len();
    if let Some(counters) = world.holding().map(hall::Holding::counters) {
        row.evictions = counters.evicted.get(&task_table::Cause::Harm).copied().unwrap_or(0);
        row.throttles = counters.throttled;
    }
    row
}

/// Measures and prints the table.
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
                table::percent(row.seconds_over, row.seconds),
                format!("{:.0}", row.excess),
                row.completed.to_string(),
                row.evictions.to_string(),
                row.throttles.to_string(),
                row.violations.to_string(),
            ]);
        }
    }
    table.print();
}
