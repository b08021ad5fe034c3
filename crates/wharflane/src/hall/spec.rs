//! Expands the desired state into the tasks that one hall must run.

use std::collections;
use std::sync;

use crate::desired;
use crate::id;
use crate::size;
use crate::work;

/// The properties that all tasks of one service or job have in common.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) struct Spec {
    /// The name of the service or job.
    pub owner: String,
    /// The team that owns it.
    pub team: id::TeamId,
    /// The priority of its class.
    pub priority: u32,
    /// The declared resources of each task.
    pub size: size::Size,
    /// The properties that a worker needs besides the size.
    pub kind: work::Kind,
    /// The latency target of a service; `None` for a batch job.
    pub latency_target_ms: Option<u64>,
    /// The policy for a task whose worker is unreachable.
    pub on_loss: desired::OnLoss,
}

impl Spec {
    /// Returns whether the tasks are batch tasks.
    pub fn is_batch(&self) -> bool {
        matches!(self.kind, work::Kind::Batch { .. })
    }
}

/// The tasks that one hall must run, with their properties.
pub(super) type Wanted = collections::BTreeMap<id::TaskId, sync::Arc<Spec>>;

/// Returns the tasks that a desired state assigns to a hall.
pub(super) fn wanted(hall: &id::HallId, desired: &desired::Desired) -> Wanted {
    let mut wanted = Wanted::new();
    for (name, service) in &desired.services {
        let kind = work::Kind::Service { service: name.clone() };
        let spec = sync::Arc::new(Spec {
            owner: name.to_string(),
            team: service.team.clone(),
            priority: service.priority,
            size: service.size,
            kind,
            latency_target_ms: Some(service.latency_target_ms),
            on_loss: desired::OnLoss::Restart,
        });
        add_tasks(&mut wanted, hall, &service.halls, service.born, service.count, &spec);
    }
    for (name, job) in &desired.jobs {
        let kind = work::Kind::Batch { run_time_ms: job.run_time_ms, checkpoint: job.checkpoint };
        let spec = sync::Arc::new(Spec {
            owner: name.to_string(),
            team: job.team.clone(),
            priority: job.priority,
            size: job.size,
            kind,
            latency_target_ms: None,
            on_loss: job.on_loss,
        });
        add_tasks(&mut wanted, hall, &job.halls, job.born, job.tasks, &spec);
    }
    wanted
}

/// Adds the tasks of one owner that are assigned to a hall.
fn add_tasks(
    wanted: &mut Wanted,
    hall: &id::HallId,
    halls: &[id::HallId],
    born: u64,
    count: u32,
    spec: &sync::Arc<Spec>,
) {
    if !halls.contains(hall) {
        return;
    }
    let owner: sync::Arc<str> = spec.owner.as_str().into();
    for index in 0..count {
        if desired::assigned_hall(halls, &owner, index) == Some(hall) {
            let task = id::TaskId { owner: sync::Arc::clone(&owner), born, index };
            wanted.insert(task, sync::Arc::clone(spec));
        }
    }
}

/// Returns the share of a team's quota that each of `halls` halls may use, rounded up.
pub(super) fn quota_share(quota: &size::Size, halls: usize) -> size::Size {
    let halls = u64::try_from(halls.max(1)).unwrap_or(1);
    size::Size {
        cpu_milli: quota.cpu_milli.div_ceil(halls),
        mem_mb: quota.mem_mb.div_ceil(halls),
        accelerators: quota.accelerators.div_ceil(halls),
    }
}
