//! The desired state that operators declare, which is validated as a whole before it takes effect.

use std::collections;
use std::ops;

use serde::{Deserialize, Serialize};

use crate::id;
use crate::rendezvous;
use crate::size;
use crate::toml_read;

/// The maximum size of a desired state, in bytes.
pub const MAX_TEXT_BYTES: usize = 8 << 20;
/// The maximum number of tasks of one service or job.
const MAX_TASKS: u64 = 100_000;
/// One day, in milliseconds.
const DAY_MS: u64 = 86_400_000;

/// The complete desired state.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Desired {
    /// Priority classes by name.
    pub classes: collections::BTreeMap<id::ClassId, Class>,
    /// Teams by name.
    pub teams: collections::BTreeMap<id::TeamId, Team>,
    /// Names of the halls.
    pub halls: collections::BTreeSet<id::HallId>,
    /// Services by name.
    pub services: collections::BTreeMap<id::ServiceId, Service>,
    /// Batch jobs by name.
    pub jobs: collections::BTreeMap<id::JobId, Job>,
    /// Workers that operators declared permanently lost.
    pub lost_workers: collections::BTreeSet<id::WorkerId>,
}

/// A priority class.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Class {
    /// The priority of its services and jobs; a higher one is served and placed first.
    pub priority: u32,
}

/// A team that owns services and jobs.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Team {
    /// The maximum resources that all of the team's batch tasks may hold at once.
    pub quota: size::Size,
}

/// A latency-critical service.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Service {
    /// The revision that created the service.
    pub born: u64,
    /// The team that owns the service.
    pub team: id::TeamId,
    /// The priority of its class.
    pub priority: u32,
    /// The number of tasks.
    pub count: u32,
    /// The resources of each task.
    pub size: size::Size,
    /// The latency that 99 of 100 responses should stay below.
    pub latency_target_ms: u64,
    /// The deadline of requests whose caller sets none.
    pub deadline_ms: u64,
    /// Whether requests that don't say so themselves are idempotent and may be retried after they
    /// may have run.
    pub repeatable: bool,
    /// The halls in which its tasks may run, sorted.
    pub halls: Vec<id::HallId>,
}

/// A batch job.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Job {
    /// The revision that created the job.
    pub born: u64,
    /// The team that owns the job.
    pub team: id::TeamId,
    /// The priority of its class.
    pub priority: u32,
    /// The number of tasks.
    pub tasks: u32,
    /// The resources of each task.
    pub size: size::Size,
    /// The expected run time of a task.
    pub run_time_ms: u64,
    /// Whether its tasks can save their progress.
    pub checkpoint: bool,
    /// The policy for a task whose worker is unreachable.
    pub on_loss: OnLoss,
    /// The halls in which its tasks may run, sorted.
    pub halls: Vec<id::HallId>,
}

/// The policy for a batch task whose worker is unreachable.
///
/// After its lease has expired the task no longer runs, but it may have completed unreported.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum OnLoss {
    /// Start the task again on another worker, as the next attempt.
    #[default]
    Restart,
    /// Wait until the worker reports again or operators declare it lost.
    Hold,
}

/// An accepted configuration, in its stored form.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Stored {
    /// The revision number of the configuration.
    pub revision: u64,
    /// The text that the operators submitted.
    pub text: String,
    /// The revision that created each service and job.
    pub born: collections::BTreeMap<String, u64>,
}

impl Stored {
    /// Parses the stored text.
    ///
    /// # Errors
    /// Returns the errors of a text that this version can't read.
    pub fn desired(&self) -> Result<Desired, Vec<toml_read::Fault>> {
        let mut desired = parse(&self.text)?;
        desired.set_created_revisions(|name| self.born.get(name).copied().unwrap_or(self.revision));
        Ok(desired)
    }
}

/// Parses and validates a desired state.
///
/// # Errors
/// Returns all errors found, ordered by line.
pub fn parse(text: &str) -> Result<Desired, Vec<toml_read::Fault>> {
    let doc = toml_read::Doc::new(text);
    let mut desired = Desired::default();
    if let Some(mut root) = doc.root(MAX_TEXT_BYTES) {
        read_classes(&mut root, &mut desired);
        read_teams(&mut root, &mut desired);
        read_halls(&mut root, &mut desired);
        read_services(&doc, &mut root, &mut desired);
        read_jobs(&doc, &mut root, &mut desired);
        let lost = root.texts("lost_workers").into_iter();
        desired.lost_workers = lost.map(|(_, name)| name.as_str().into()).collect();
        root.end();
    }
    let faults = doc.finish();
    if faults.is_empty() { Ok(desired) } else { Err(faults) }
}

/// Validates a new desired state against the one in force, carries creation revisions over, and
/// returns them by name.
///
/// # Errors
/// Returns an error for each change that is not allowed.
pub fn check_update(
    before: &Desired,
    after: &mut Desired,
    revision: u64,
) -> Result<collections::BTreeMap<String, u64>, Vec<toml_read::Fault>> {
    let mut faults = Vec::new();
    for (name, job) in &after.jobs {
        let unchangeable = |key: &str| toml_read::Fault {
            line: 1,
            kind: toml_read::FaultKind::Fixed { key: key.to_owned(), name: name.to_string() },
        };
        if before.jobs.get(name).is_some_and(|old| old.halls != job.halls) {
            // A task's hall is computed from this list; a change could make two halls own the same
            // task.
            faults.push(unchangeable("halls"));
        }
    }
    if !faults.is_empty() {
        return Err(faults);
    }
    let previous_revisions = before.created_revisions();
    after.set_created_revisions(|name| previous_revisions.get(name).copied().unwrap_or(revision));
    Ok(after.created_revisions())
}

impl Desired {
    /// Returns the revision that created each service and job.
    fn created_revisions(&self) -> collections::BTreeMap<String, u64> {
        let services = self.services.iter().map(|(name, s)| (name.to_string(), s.born));
        let jobs = self.jobs.iter().map(|(name, j)| (name.to_string(), j.born));
        services.chain(jobs).collect()
    }

    /// Sets the revision that created each service and job.
    fn set_created_revisions(&mut self, created_revision: impl Fn(&str) -> u64) {
        for (name, service) in &mut self.services {
            service.born = created_revision(name.as_str());
        }
        for (name, job) in &mut self.jobs {
            job.born = created_revision(name.as_str());
        }
    }
}

/// Returns the hall that owns a task of a service or job. It depends only on the arguments, so that
/// all hosts agree.
#[must_use]
pub fn assigned_hall<'a>(
    halls: &'a [id::HallId],
    name: &str,
    index: u32,
) -> Option<&'a id::HallId> {
    if halls.is_empty() {
        return None;
    }
    // Tasks are assigned to the halls round-robin. The first hall depends on the name, so that
    // owners with few tasks are spread over all halls too.
    let start = rendezvous::weight("", name) % halls.len() as u64;
    let turn = (start + u64::from(index)) % halls.len() as u64;
    halls.get(usize::try_from(turn).ok()?)
}

/// Reads the priority classes.
fn read_classes(root: &mut toml_read::Table<'_, '_>, desired: &mut Desired) {
    for mut table in root.tables("class") {
        let name = table.need_name("name");
        let priority = to_u32(table.need_number("priority", 0..=1_000_000));
        if let Some((_, name)) = name {
            let replaced = desired.classes.insert(name.as_str().into(), Class { priority });
            report_duplicate(&table, replaced.is_some(), "class", &name);
        }
        table.end();
    }
}

/// Reads the teams.
fn read_teams(root: &mut toml_read::Table<'_, '_>, desired: &mut Desired) {
    for mut table in root.tables("team") {
        let name = table.need_name("name");
        let quota = size::Size {
            cpu_milli: table.number("quota_cpu_milli", u64::MAX, 0..=u64::MAX),
            mem_mb: table.number("quota_mem_mb", u64::MAX, 0..=u64::MAX),
            accelerators: table.number("quota_accelerators", u64::MAX, 0..=u64::MAX),
        };
        if let Some((_, name)) = name {
            let replaced = desired.teams.insert(name.as_str().into(), Team { quota });
            report_duplicate(&table, replaced.is_some(), "team", &name);
        }
        table.end();
    }
}

/// Reads the halls.
fn read_halls(root: &mut toml_read::Table<'_, '_>, desired: &mut Desired) {
    for mut table in root.tables("hall") {
        if let Some((_, name)) = table.need_name("name") {
            let is_new = desired.halls.insert(name.as_str().into());
            report_duplicate(&table, !is_new, "hall", &name);
        }
        table.end();
    }
}

/// Reads the services; classes, teams and halls must have been read before.
fn read_services(
    doc: &toml_read::Doc<'_>,
    root: &mut toml_read::Table<'_, '_>,
    desired: &mut Desired,
) {
    for mut table in root.tables("service") {
        let name = table.need_name("name");
        let owner = read_owner_config(doc, &mut table, desired);
        let service = Service {
            born: 0,
            team: owner.team,
            priority: owner.priority,
            count: to_u32(table.need_number("count", 0..=MAX_TASKS)),
            size: read_size(&mut table),
            latency_target_ms: table.need_number("latency_target_ms", 1..=DAY_MS),
            deadline_ms: table.number("deadline_ms", 2_000, 1..=DAY_MS),
            repeatable: table.flag("repeatable", false),
            halls: owner.halls,
        };
        if let Some((_, name)) = name {
            let is_duplicate = desired.services.insert(name.as_str().into(), service).is_some();
            report_duplicate(&table, is_duplicate, "service", &name);
        }
        table.end();
    }
}

/// Reads the batch jobs; classes, teams, halls and services must have been read before.
fn read_jobs(doc: &toml_read::Doc<'_>, root: &mut toml_read::Table<'_, '_>, desired: &mut Desired) {
    for mut table in root.tables("job") {
        let name = table.need_name("name");
        let owner = read_owner_config(doc, &mut table, desired);
        let job = Job {
            born: 0,
            team: owner.team,
            priority: owner.priority,
            tasks: to_u32(table.need_number("tasks", 1..=MAX_TASKS)),
            size: read_size(&mut table),
            run_time_ms: table.need_number("run_time_ms", 1..=30 * DAY_MS),
            checkpoint: table.flag("checkpoint", false),
            on_loss: read_on_loss(doc, &mut table),
            halls: owner.halls,
        };
        if let Some((_, name)) = name {
            let is_service = desired.services.contains_key(&id::ServiceId::from(name.as_str()));
            let is_duplicate = desired.jobs.insert(name.as_str().into(), job).is_some();
            report_duplicate(&table, is_duplicate || is_service, "job", &name);
        }
        table.end();
    }
}

/// Reads the policy for a task whose worker is unreachable.
fn read_on_loss(doc: &toml_read::Doc<'_>, table: &mut toml_read::Table<'_, '_>) -> OnLoss {
    match table.text("on_loss") {
        None => OnLoss::default(),
        Some((_, text)) if text == "restart" => OnLoss::Restart,
        Some((_, text)) if text == "hold" => OnLoss::Hold,
        Some((at, _)) => {
            let (key, expected) = ("on_loss".to_owned(), "\"restart\" or \"hold\"".to_owned());
            doc.fault(at, toml_read::FaultKind::WrongType { key, expected });
            OnLoss::default()
        }
    }
}

/// The properties that services and jobs have in common.
struct OwnerConfig {
    /// The team that owns the service or job.
    team: id::TeamId,
    /// The priority of its class.
    priority: u32,
    /// The halls in which its tasks may run, sorted.
    halls: Vec<id::HallId>,
}

/// Reads team, class and halls, and checks that each of them is declared.
fn read_owner_config(
    doc: &toml_read::Doc<'_>,
    table: &mut toml_read::Table<'_, '_>,
    desired: &Desired,
) -> OwnerConfig {
    let unknown = |at: usize, what: &str, name: &str| {
        let kind = toml_read::FaultKind::Unknown { what: what.to_owned(), name: name.to_owned() };
        doc.fault(at, kind);
    };
    let mut owner = OwnerConfig { team: "none".into(), priority: 0, halls: Vec::new() };
    if let Some((at, name)) = table.need_name("team") {
        owner.team = name.as_str().into();
        if !desired.teams.contains_key(&owner.team) {
            unknown(at, "team", &name);
        }
    }
    if let Some((at, name)) = table.need_name("class") {
        match desired.classes.get(&id::ClassId::from(name.as_str())) {
            Some(class) => owner.priority = class.priority,
            None => unknown(at, "class", &name),
        }
    }
    let halls = table.texts("halls");
    if halls.is_empty() {
        table.fault(toml_read::FaultKind::MissingKey { key: "halls".to_owned() });
    }
    for (at, name) in halls {
        let hall = id::HallId::from(name.as_str());
        if !desired.halls.contains(&hall) {
            unknown(at, "hall", &name);
        }
        owner.halls.push(hall);
    }
    owner.halls.sort();
    owner.halls.dedup();
    owner
}

/// Reads the resources of each task.
fn read_size(table: &mut toml_read::Table<'_, '_>) -> size::Size {
    const CPU: ops::RangeInclusive<u64> = 1..=1_000_000;
    size::Size {
        cpu_milli: table.need_number("cpu_milli", CPU),
        mem_mb: table.need_number("mem_mb", 1..=100_000_000),
        accelerators: table.number("accelerators", 0, 0..=1_000),
    }
}

/// Records an error if a name is used twice.
fn report_duplicate(table: &toml_read::Table<'_, '_>, is_duplicate: bool, what: &str, name: &str) {
    if is_duplicate {
        let (what, name) = (what.to_owned(), name.to_owned());
        table.fault(toml_read::FaultKind::Twice { what, name });
    }
}

/// Converts a number whose range was checked before.
fn to_u32(number: u64) -> u32 {
    u32::try_from(number).unwrap_or(u32::MAX)
}
