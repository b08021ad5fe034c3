//! The language of scenario tests: a hall, its tasks, timed faults and the expected outcome.
//!
//! ```text
//! hosts 2
//! workers 3 cpu 4000
//! job settle tasks 6 cpu 2000 run 2000 checkpoint priority 10
//! service dispatch count 2 cpu 1000
//! at 2000 freeze-holder
//! at 9000 thaw
//! until 60000
//! expect completed 6
//! walk
//! ```
//!
//! All times are in milliseconds. With `walk`, the scenario also runs twice for each write of
//! control state, with the writing host killed just before the write and just after it.

use std::collections;
use std::str;
use std::time;

use wharflane::{hall, id, lease, size, task_table, work};

use crate::checker;
use crate::history;
use crate::scenario_text;
use crate::store;
use crate::world;

/// The memory of every worker, more than any scenario uses.
const WORKER_MEM_MB: u64 = 100_000;

/// Why a scenario could not be parsed or failed.
#[derive(Debug, thiserror::Error)]
pub enum ScenarioError {
    /// A line that is not part of the language.
    #[error("line {line} can't be parsed: {text}")]
    Syntax {
        /// The line number, counted from one.
        line: usize,
        /// The text of the line.
        text: String,
    },
    /// The checker found a violation.
    #[error("seed {seed}, {kill:?}: {violation}")]
    Violated {
        /// The seed of the simulation.
        seed: u64,
        /// The kill point, if this run had one.
        kill: Option<world::KillPoint>,
        /// The violation that the checker found.
        violation: checker::Violation,
    },
    /// An expectation was not met.
    #[error("seed {seed}, {kill:?}: expected {expected}, found {found}")]
    Unexpected {
        /// The seed of the simulation.
        seed: u64,
        /// The kill point, if this run had one.
        kill: Option<world::KillPoint>,
        /// The expected count and its bounds.
        expected: String,
        /// The actual count.
        found: u64,
    },
}

/// A fault or another action of a scenario.
#[derive(Clone, Debug)]
pub(crate) enum Action {
    /// Freezes the holder: it handles no event.
    FreezeHolder,
    /// Thaws all frozen hosts.
    Thaw,
    /// Kills the holder.
    KillHolder,
    /// Starts all hosts that are down.
    Restart,
    /// Asks the holder to stop, as a planned stop does.
    HolderLeaves,
    /// Sets the faults of the store; the default has none.
    Store(store::Faults),
    /// Partitions the network: the holder reaches this worker only, the other hosts reach
    /// everything else.
    Isolate(String),
    /// Ends the partition: every host reaches the store and every worker.
    Reconnect,
    /// Withholds new configurations from all hosts but the holder.
    ConfigLags,
    /// Sends the newest configuration to all hosts.
    ConfigCatchesUp,
    /// Makes a worker unreachable.
    Cut(String),
    /// Makes a worker reachable again.
    Heal(String),
    /// Reboots a worker, which loses its memory.
    Reboot(String),
    /// Lists a worker as leaving: its stop is planned.
    Leave(String),
    /// Sets the actual use of each task of an owner, in thousandths of a core.
    Uses(String, u64),
    /// Sets whether every batch task fails when it starts on a worker.
    FailBatchTasks(String, bool),
    /// Sets whether every service task fails when it starts on a worker.
    FailServiceTasks(String, bool),
    /// Sets the greatest delay of messages to and from workers, in milliseconds.
    SlowWorkers(u64),
    /// Lists a worker as lost in the desired state.
    Lost(String),
    /// Removes a job from the desired state.
    Cancel(String),
    /// Adds a job or service to the desired state.
    Add(String),
    /// Sends a worker the start of an earlier attempt again, as a delayed message of a former
    /// holder.
    ReplayOldStart(String),
}

/// An expectation that must hold at the end.
#[derive(Clone, Debug)]
pub(crate) struct Expectation {
    /// The name of the count.
    pub what: String,
    /// The smallest allowed count.
    pub least: u64,
    /// The largest allowed count.
    pub most: u64,
}

/// A parsed scenario.
#[derive(Clone, Debug, Default)]
pub(crate) struct Scenario {
    /// The number of hosts.
    pub hosts: usize,
    /// The processors of each worker, in thousandths of a core.
    pub workers: Vec<u64>,
    /// How long a holder keeps its authority without the store; absent for the default.
    pub authority_ms: Option<u64>,
    /// The desired state in TOML, by the name of the job or service.
    pub owners: collections::BTreeMap<String, String>,
    /// The actions and their times in milliseconds, in order.
    pub actions: Vec<(u64, Action)>,
    /// The end of the simulation, in milliseconds.
    pub until_ms: u64,
    /// The expectations that are checked at the end.
    pub expectations: Vec<Expectation>,
    /// Whether the scenario also runs with every kill point.
    pub walk: bool,
    /// The number of seeds to run; zero counts as one.
    pub seeds: u64,
}

/// Parses a scenario and runs it with each seed, and for every kill point if it sets `walk`.
///
/// # Errors
/// Returns `ScenarioError` for a line that can't be parsed, a violation or an expectation that is
/// not met.
pub fn run(text: &str) -> Result<(), ScenarioError> {
    let scenario = scenario_text::parse(text)?;
    for seed in 0..scenario.seeds.max(1) {
        scenario.run_once(seed, None)?;
    }
    if scenario.walk { walk(&scenario) } else { Ok(()) }
}

/// Runs the scenario twice for each write, with a kill before and after it, until a run has no such
/// write.
fn walk(scenario: &Scenario) -> Result<(), ScenarioError> {
    for write in 1.. {
        let before = scenario.run_once(0, Some(world::KillPoint::Before(write)))?;
        let after = scenario.run_once(0, Some(world::KillPoint::After(write)))?;
        if !before || !after {
            break;
        }
    }
    Ok(())
}

impl Scenario {
    /// Runs the scenario once; returns whether the kill point was reached.
    fn run_once(&self, seed: u64, kill: Option<world::KillPoint>) -> Result<bool, ScenarioError> {
        let mut world = world::World::new(self.hosts, self.settings(), seed);
        if let Some(at) = kill {
            world.set_kill_point(at);
        }
        for (number, cpu_milli) in self.workers.iter().enumerate() {
            let capacity =
                size::Size { cpu_milli: *cpu_milli, mem_mb: WORKER_MEM_MB, accelerators: 0 };
            world.add_worker(&format!("worker-{number}"), capacity);
        }
        let mut owners = self.owners.clone();
        world.apply(&desired_text(&owners));
        for (at_ms, action) in &self.actions {
            world.run_until(time::Duration::from_millis(*at_ms));
            perform(&mut world, &mut owners, action);
        }
        world.run_until(time::Duration::from_millis(self.until_ms));
        let reached = kill.is_some() && world.killed();
        self.check(&world, seed, kill)?;
        Ok(reached)
    }

    /// Returns the settings of the engines.
    fn settings(&self) -> hall::Settings {
        let millis = time::Duration::from_millis;
        hall::Settings {
            timing: lease::Timing { lease: millis(2_000), turn: millis(400) },
            poll: millis(300),
            commit: millis(100),
            sync: millis(300),
            worker_lease: millis(2_000),
            margin: millis(300),
            authority: millis(self.authority_ms.unwrap_or(8_000)),
            drain: millis(1_000),
            snapshot_every: 4,
            ..hall::Settings::default()
        }
    }

    /// Checks the guarantees and expectations at the end.
    fn check(
        &self,
        world: &world::World,
        seed: u64,
        kill: Option<world::KillPoint>,
    ) -> Result<(), ScenarioError> {
        let events = world.history.events();
        if let Some(violation) = checker::check(&events).into_iter().next() {
            return Err(ScenarioError::Violated { seed, kill, violation });
        }
        for expectation in &self.expectations {
            let found = count(world, &events, &expectation.what);
            if found < expectation.least || found > expectation.most {
                let Expectation { what, least, most } = expectation;
                let expected = format!("{what} from {least} to {most}");
                return Err(ScenarioError::Unexpected { seed, kill, expected, found });
            }
        }
        Ok(())
    }
}

/// Returns the count that an expectation names.
fn count(world: &world::World, events: &[history::Event], what: &str) -> u64 {
    let counters = world.holding().map(hall::Holding::counters);
    let evicted = |cause: task_table::Cause| {
        counters.and_then(|counters| counters.evicted.get(&cause)).copied().unwrap_or(0)
    };
    let events_where = |test: fn(&history::Event) -> bool| {
        events.iter().filter(|event| test(event)).count() as u64
    };
    match what {
        "completed" => events_where(|event| matches!(event, history::Event::Completed { .. })),
        "started" => events_where(|event| matches!(event, history::Event::Started { .. })),
        "resumed" => events_where(
            |event| matches!(event, history::Event::Started { from_ms, .. } if *from_ms > 0),
        ),
        "services" => world.machines.values().map(|m| m.services().len() as u64).sum(),
        "preempted" => evicted(task_table::Cause::Preempted),
        "drained" => evicted(task_table::Cause::Drain),
        "cancelled" => evicted(task_table::Cause::Cancelled),
        "placed" => counters.map_or(0, |counters| counters.placed),
        "invalid_records" => counters.map_or(0, |counters| counters.invalid_records),
        "waiting" => world.holding().map_or(0, |holding| holding.waiting_count() as u64),
        "epoch" => world.holding().map_or(0, |holding| holding.head().epoch),
        "objects" => world.store.object_count() as u64,
        "commits" => world.holding().map_or(0, |holding| holding.head().seq),
        "overused-ms" => world.machines.values().map(|machine| machine.overused_ms).sum(),
        "running" => world.machines.values().map(|m| m.running_count() as u64).sum(),
        "txns" => world.store.counts.txns,
        _ => u64::MAX,
    }
}

/// Performs an action.
fn perform(
    world: &mut world::World,
    owners: &mut collections::BTreeMap<String, String>,
    action: &Action,
) {
    let holder = world.holder();
    match action {
        Action::FreezeHolder => holder.into_iter().for_each(|at| world.freeze(at)),
        Action::Thaw => world.thaw_all(),
        Action::KillHolder => holder.into_iter().for_each(|at| world.kill(at)),
        Action::Restart => world.restart_all(),
        Action::HolderLeaves => holder.into_iter().for_each(|at| world.request_leave(at)),
        Action::Store(faults) => world.store.set_faults(faults.clone()),
        Action::Isolate(worker) => {
            if let Some(at) = holder {
                world.partition(at, worker);
            }
        }
        Action::Reconnect => {
            world.without_store.clear();
            world.unreachable_from.clear();
        }
        Action::ConfigLags => world.withhold_config = true,
        Action::ConfigCatchesUp => world.publish_config(),
        Action::Cut(worker) => {
            world.unreachable.insert(worker.as_str().into());
        }
        Action::Heal(worker) => {
            world.unreachable.remove(&id::WorkerId::from(worker.as_str()));
        }
        Action::Reboot(worker) => {
            if let Some(machine) = world.machines.get_mut(&worker.as_str().into()) {
                machine.reboot();
            }
        }
        Action::Leave(worker) => world.leave(worker),
        Action::Uses(owner, milli) => {
            for machine in world.machines.values_mut() {
                machine.faults.uses_milli.insert(owner.clone(), *milli);
            }
        }
        Action::FailServiceTasks(worker, fail) => {
            if let Some(machine) = world.machines.get_mut(&worker.as_str().into()) {
                machine.faults.fail_services = *fail;
            }
        }
        Action::FailBatchTasks(worker, fail) => {
            if let Some(machine) = world.machines.get_mut(&worker.as_str().into()) {
                machine.faults.fail_all = *fail;
            }
        }
        Action::SlowWorkers(max_delay_ms) => world.max_worker_delay_ms = *max_delay_ms,
        Action::Lost(worker) => {
            owners.insert(String::new(), format!("lost_workers = [\"{worker}\"]\n"));
            world.apply(&desired_text(owners));
        }
        Action::Cancel(owner) => {
            owners.remove(owner);
            world.apply(&desired_text(owners));
        }
        Action::Add(line) => {
            if let Some((name, text)) = scenario_text::parse_owner(line) {
                owners.insert(name, text);
                world.apply(&desired_text(owners));
            }
        }
        Action::ReplayOldStart(worker) => replay_old(world, worker),
    }
}

/// Sends a worker another start, with epoch 1, of an attempt that was started before, as a former
/// holder might.
fn replay_old(world: &mut world::World, worker: &str) {
    let started = world.history.events().into_iter().find_map(|event| match event {
        history::Event::Started { task, attempt, batch: true, .. } => Some((task, attempt)),
        _ => None,
    });
    let Some((task, attempt)) = started else {
        return;
    };
    let size = size::Size { cpu_milli: 1, mem_mb: 1, accelerators: 0 };
    let kind = work::Kind::Batch { run_time_ms: 1, checkpoint: false };
    let start = work::Command::Start { task, attempt, size, checkpoint: None, kind };
    let sync = work::Sync {
        worker: worker.into(),
        boot: Some(1),
        epoch: 1,
        seq: 1,
        lease_until_ms: u64::MAX / 2,
        commands: vec![start],
    };
    let _ = world.replay_sync(&sync);
}

/// Returns the desired state of all owners as TOML.
fn desired_text(owners: &collections::BTreeMap<String, String>) -> String {
    // The empty name holds the text that must come before all tables.
    let mut text = owners.get("").cloned().unwrap_or_default();
    text.push_str(
        "[[team]]\nname = \"ours\"\n[[hall]]\nname = \"hall\"\n\
         [[class]]\nname = \"p1\"\npriority = 1\n[[class]]\nname = \"p10\"\npriority = 10\n\
         [[class]]\nname = \"p100\"\npriority = 100\n",
    );
    for (_, owner) in owners.iter().filter(|(name, _)| !name.is_empty()) {
        text.push_str(owner);
    }
    text
}
