//! The desired state: what operators declare, checked as a whole.

use std::collections;
use std::ops;

use serde::{Deserialize, Serialize};

use crate::id;
use crate::rendezvous;
use crate::size;
use crate::toml_read;

/// The largest desired state that is read, in bytes.
pub const MAX_TEXT_BYTES: usize = 8 << 20;
/// The most tasks that one service or job may have.
const MAX_TASKS: u64 = 100_000;
/// A day, in milliseconds.
const DAY_MS: u64 = 86_400_000;

/// The whole desired state.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Desired {
    /// Priority classes by name.
    pub classes: collections::BTreeMap<id::ClassId, Class>,
    /// Teams by name.
    pub teams: collections::BTreeMap<id::TeamId, Team>,
    /// Halls by name.
    pub halls: collections::BTreeSet<id::HallId>,
    /// Services by name.
    pub services: collections::BTreeMap<id::ServiceId, Service>,
    /// Batch jobs by name.
    pub jobs: collections::BTreeMap<id::JobId, Job>,
    /// Workers that will not come back.
    pub lost_workers: collections::BTreeSet<id::WorkerId>,
}

/// A priority class.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Class {
    /// The priority paid for; a greater one goes first.
    pub priority: u32,
}

/// A team that owns services and jobs.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Team {
    /// The most that all its batch tasks may hold at once.
    pub quota: size::Size,
}

/// A latency-critical service.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Service {
    /// The revision in which it first stood.
    pub born: u64,
    /// The owner.
    pub team: id::TeamId,
    /// The priority paid for.
    pub priority: u32,
    /// The number of tasks.
    pub count: u32,
    /// The size of each task.
    pub size: size::Size,
    /// The latency that 99 of 100 answers should keep.
    pub latency_target_ms: u64,
    /// The time a request may take where the caller names none.
    pub deadline_ms: u64,
    /// Whether requests may be run again where they do not say.
    pub repeatable: bool,
    /// Where its tasks may run.
    pub halls: Vec<id::HallId>,
}

/// A batch job.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Job {
    /// The revision in which it first stood.
    pub born: u64,
    /// The owner.
    pub team: id::TeamId,
    /// The priority paid for.
    pub priority: u32,
    /// The number of tasks.
    pub tasks: u32,
    /// The size of each task.
    pub size: size::Size,
    /// How long a task is expected to run.
    pub run_time_ms: u64,
    /// Whether its tasks can save their progress.
    pub checkpoint: bool,
    /// What becomes of a task whose worker is lost.
    pub on_loss: OnLoss,
    /// Where its tasks may run.
    pub halls: Vec<id::HallId>,
}

/// What becomes of a batch task whose worker can't be reached any more.
///
/// Once its lease has lapsed the task does not run, but it may have come to its end unheard.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum OnLoss {
    /// It is started again elsewhere, under the next attempt.
    #[default]
    Restart,
    /// It waits until the worker is heard again, or operators list the worker as lost.
    Hold,
}

/// An accepted configuration as it is stored.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Stored {
    /// The revision.
    pub revision: u64,
    /// The operators' text.
    pub text: String,
    /// The revision in which each service and job first stood.
    pub born: collections::BTreeMap<String, u64>,
}

impl Stored {
    /// Reads the desired state back.
    ///
    /// # Errors
    /// Returns the faults of a text that this build can't read.
    pub fn desired(&self) -> Result<Desired, Vec<toml_read::Fault>> {
        let mut desired = parse(&self.text)?;
        desired.set_born(|name| self.born.get(name).copied().unwrap_or(self.revision));
        Ok(desired)
    }
}

/// Reads and checks a desired state, and names every fault by its line.
///
/// # Errors
/// Returns all faults found.
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

/// Checks a new desired state against the one before, and returns the faults and the birth marks.
pub fn check_update(
    before: &Desired,
    after: &mut Desired,
    revision: u64,
) -> Result<collections::BTreeMap<String, u64>, Vec<toml_read::Fault>> {
    let mut faults = Vec::new();
    for (name, job) in &after.jobs {
        let fixed = |key: &str| toml_read::Fault {
            line: 1,
            kind: toml_read::FaultKind::Fixed { key: key.to_owned(), name: name.to_string() },
        };
        if before.jobs.get(name).is_some_and(|old| old.halls != job.halls) {
            // A task's hall follows from this list, and two halls must never both own it.
            faults.push(fixed("halls"));
        }
    }
    if !faults.is_empty() {
        return Err(faults);
    }
    let born_before = before.births();
    after.set_born(|name| born_before.get(name).copied().unwrap_or(revision));
    Ok(after.births())
}

impl Desired {
    /// Returns the revision in which each service and job first stood.
    fn births(&self) -> collections::BTreeMap<String, u64> {
        let services = self.services.iter().map(|(name, s)| (name.to_string(), s.born));
        let jobs = self.jobs.iter().map(|(name, j)| (name.to_string(), j.born));
        services.chain(jobs).collect()
    }

    /// Sets the revision in which each service and job first stood.
    fn set_born(&mut self, born: impl Fn(&str) -> u64) {
        for (name, service) in &mut self.services {
            service.born = born(name.as_str());
        }
        for (name, job) in &mut self.jobs {
            job.born = born(name.as_str());
        }
    }
}

/// Returns the hall that owns a task of a job: the same for everyone, whatever else changes.
#[must_use]
pub fn assigned_hall<'a>(
    halls: &'a [id::HallId],
    name: &str,
    index: u32,
) -> Option<&'a id::HallId> {
    if halls.is_empty() {
        return None;
    }
    // Halls take turns, and names start at different ones, so that small owners spread too.
    let start = rendezvous::weight("", name) % halls.len() as u64;
    let turn = (start + u64::from(index)) % halls.len() as u64;
    halls.get(usize::try_from(turn).ok()?)
}

/// Reads the priority classes.
fn read_classes(root: &mut toml_read::Table<'_, '_>, desired: &mut Desired) {
    for mut table in root.tables("class") {
        let name = table.need_name("name");
        let priority = small(table.need_number("priority", 0..=1_000_000));
        if let Some((_, name)) = name {
            let twice = desired.classes.insert(name.as_str().into(), Class { priority });
            note_twice(&table, twice.is_some(), "class", &name);
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
            let twice = desired.teams.insert(name.as_str().into(), Team { quota });
            note_twice(&table, twice.is_some(), "team", &name);
        }
        table.end();
    }
}

/// Reads the halls.
fn read_halls(root: &mut toml_read::Table<'_, '_>, desired: &mut Desired) {
    for mut table in root.tables("hall") {
        if let Some((_, name)) = table.need_name("name") {
            let fresh = desired.halls.insert(name.as_str().into());
            note_twice(&table, !fresh, "hall", &name);
        }
        table.end();
    }
}

/// Reads the services.
fn read_services(
    doc: &toml_read::Doc<'_>,
    root: &mut toml_read::Table<'_, '_>,
    desired: &mut Desired,
) {
    for mut table in root.tables("service") {
        let name = table.need_name("name");
        let owner = read_owner(doc, &mut table, desired);
        let service = Service {
            born: 0,
            team: owner.team,
            priority: owner.priority,
            count: small(table.need_number("count", 0..=MAX_TASKS)),
            size: read_size(&mut table),
            latency_target_ms: table.need_number("latency_target_ms", 1..=DAY_MS),
            deadline_ms: table.number("deadline_ms", 2_000, 1..=DAY_MS),
            repeatable: table.flag("repeatable", false),
            halls: owner.halls,
        };
        if let Some((_, name)) = name {
            let taken = desired.services.insert(name.as_str().into(), service).is_some();
            note_twice(&table, taken, "service", &name);
        }
        table.end();
    }
}

/// Reads the batch jobs.
fn read_jobs(doc: &toml_read::Doc<'_>, root: &mut toml_read::Table<'_, '_>, desired: &mut Desired) {
    for mut table in root.tables("job") {
        let name = table.need_name("name");
        let owner = read_owner(doc, &mut table, desired);
        let job = Job {
            born: 0,
            team: owner.team,
            priority: owner.priority,
            tasks: small(table.need_number("tasks", 1..=MAX_TASKS)),
            size: read_size(&mut table),
            run_time_ms: table.need_number("run_time_ms", 1..=30 * DAY_MS),
            checkpoint: table.flag("checkpoint", false),
            on_loss: read_on_loss(doc, &mut table),
            halls: owner.halls,
        };
        if let Some((_, name)) = name {
            let is_service = desired.services.contains_key(&id::ServiceId::from(name.as_str()));
            let taken = desired.jobs.insert(name.as_str().into(), job).is_some();
            note_twice(&table, taken || is_service, "job", &name);
        }
        table.end();
    }
}

/// Reads what becomes of a task whose worker is lost.
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

/// What services and jobs share.
struct Owner {
    /// The owning team.
    team: id::TeamId,
    /// The priority of the class.
    priority: u32,
    /// Where the tasks may run.
    halls: Vec<id::HallId>,
}

/// Reads team, class and halls, and checks that each is declared.
fn read_owner(
    doc: &toml_read::Doc<'_>,
    table: &mut toml_read::Table<'_, '_>,
    desired: &Desired,
) -> Owner {
    let unknown = |at: usize, what: &str, name: &str| {
        let kind = toml_read::FaultKind::Unknown { what: what.to_owned(), name: name.to_owned() };
        doc.fault(at, kind);
    };
    let mut owner = Owner { team: "none".into(), priority: 0, halls: Vec::new() };
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

/// Reads the size of a task.
fn read_size(table: &mut toml_read::Table<'_, '_>) -> size::Size {
    const CPU: ops::RangeInclusive<u64> = 1..=1_000_000;
    size::Size {
        cpu_milli: table.need_number("cpu_milli", CPU),
        mem_mb: table.need_number("mem_mb", 1..=100_000_000),
        accelerators: table.number("accelerators", 0, 0..=1_000),
    }
}

/// Notes that a name stands twice.
fn note_twice(table: &toml_read::Table<'_, '_>, twice: bool, what: &str, name: &str) {
    if twice {
        let (what, name) = (what.to_owned(), name.to_owned());
        table.fault(toml_read::FaultKind::Twice { what, name });
    }
}

/// Narrows a number whose range was checked before.
fn small(number: u64) -> u32 {
    u32::try_from(number).unwrap_or(u32::MAX)
}
