//! What the configuration asks of one hall, task by task.

use std::collections;
use std::sync;

use crate::desired;
use crate::id;
use crate::size;
use crate::work;

/// What all tasks of one service or job have in common.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) struct Spec {
    /// The service or job.
    pub owner: String,
    /// The team.
    pub team: id::TeamId,
    /// The priority paid for.
    pub priority: u32,
    /// The size of a task.
    pub size: size::Size,
    /// What a worker needs to know besides.
    pub kind: work::Kind,
    /// The latency that a service should keep.
    pub latency_target_ms: Option<u64>,
    /// What becomes of a task whose worker is lost.
    pub on_loss: desired::OnLoss,
}

impl Spec {
    /// Returns whether its tasks are batch tasks.
    pub fn batch(&self) -> bool {
        matches!(self.kind, work::Kind::Batch { .. })
    }
}

/// The tasks that one hall is to run.
pub(super) type Wanted = collections::BTreeMap<id::TaskId, sync::Arc<Spec>>;

/// Returns the tasks that a configuration gives to a hall.
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
        add(&mut wanted, hall, &service.halls, service.born, service.count, &spec);
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
        add(&mut wanted, hall, &job.halls, job.born, job.tasks, &spec);
    }
    wanted
}

/// Adds the tasks of one owner that belong to a hall.
fn add(
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

/// Returns the share of a team's quota that one of so many halls may use.
pub(super) fn quota_share(quota: &size::Size, halls: usize) -> size::Size {
    let halls = u64::try_from(halls.max(1)).unwrap_or(1);
    size::Size {
        cpu_milli: quota.cpu_milli.div_ceil(halls),
        mem_mb: quota.mem_mb.div_ceil(halls),
        accelerators: quota.accelerators.div_ceil(halls),
    }
}
