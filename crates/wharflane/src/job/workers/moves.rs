//! Moves runs away from workers that stand still.
//!
//! A batch run is stopped as soon as it has stood for as long as its lost work took, so that waiting
//! and moving cost at most twice what the better of the two would have. A long-running task moves
//! only if fewer of its step are away than its caller permits, and only where another worker has
//! room for it.

use std::time;

use crate::id;
use crate::job::holding;
use crate::job::place::obstacle;
use crate::job::runs::order;
use crate::job::runs::work;
use crate::job::spec;
use crate::job::workers::stalled;
use crate::job::workers::worker;

/// How long a batch run may show no progress at the longest; also if it is the only one.
const STALLED_AFTER: time::Duration = time::Duration::from_millis(2_000);
/// The CPU share, in percent, from which a throttled task must show progress.
const PROGRESS_SHARE: u8 = 40;
/// The percentage that a long-running task reports while it works.
const AT_WORK: u64 = 100;
/// How long a task on a stalled worker still counts as present. Callers are promised that a bounded
/// number is away for longer, so the bound is kept well before they notice.
const PRESENT_FOR: time::Duration = time::Duration::from_millis(2_000);

/// What was done about workers that stood still.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct StallCounts {
    /// How often a worker was found to stand still.
    pub workers: u64,
    /// The runs that were stopped there to be moved.
    pub moved: u64,
    /// Those of them that were done before their stop.
    pub false_alarms: u64,
}

impl holding::Holding {
    /// Detects from a worker's answer whether it stands still.
    pub(in crate::job) fn detect_stall(
        &mut self,
        worker: &id::Incarnation,
        lists: &order::Lists,
        now: time::Duration,
    ) {
        let runs: Vec<stalled::Observation> = lists
            .running
            .iter()
            .map(|row| stalled::Observation {
                task: row.task,
                run: row.run,
                sign: self.sign(worker, row, now),
            })
            .collect();
        let Some(view) = self.views.get_mut(worker) else {
            return;
        };
        let Some(state) = view.stall.observe(&runs, now) else {
            return;
        };
        self.changed = true;
        match state {
            stalled::State::Stalled { since, .. } => {
                self.stalls.workers += 1;
                let stood_ms = worker::millis(now.saturating_sub(since));
                tracing::warn!(%worker, stood_ms, runs = runs.len(), "worker stands still");
            }
            stalled::State::Probing => tracing::info!(%worker, "stalled worker gets a probe"),
            stalled::State::Recovering { .. } => tracing::info!(%worker, "worker moves again"),
            stalled::State::Well => tracing::info!(%worker, "worker has recovered"),
        }
    }

    /// Returns what a worker's answer shows of one run.
    fn sign(
        &self,
        worker: &id::Incarnation,
        row: &order::Running,
        now: time::Duration,
    ) -> stalled::Sign {
        let placed = self.placed.get(&row.task);
        let ours = placed.is_some_and(|p| p.run == row.run && p.worker == *worker);
        let entry = self.jobs.get(&row.task.job).filter(|_| ours);
        let Some((entry, step)) = entry.and_then(|e| Some((e, e.job.step(row.task.step)?))) else {
            return stalled::Sign::Unknown;
        };
        if step.lasting {
            return match step.target_ms {
                Some(target_ms) if row.load > 0 => stalled::Sign::Tail {
                    tail_ms: row.load,
                    target_ms,
                    others_serve: row.load > target_ms
                        && self.serves_elsewhere(row.task, step, target_ms, now),
                },
                _ => stalled::Sign::Unknown,
            };
        }
        let share = self.views.get(worker).and_then(|view| view.filling.get(&row.task));
        if step.gang || share.is_some_and(|share| share.percent < PROGRESS_SHARE) {
            return stalled::Sign::Unknown;
        }
        let expected_ms = self.learned.times.expect_ms(&entry.job.queue, step.estimate_ms);
        let expected = time::Duration::from_secs_f64(expected_ms.clamp(0.0, 1e9) / 1e5);
        stalled::Sign::Progress { percent: row.percent, expected }
    }

    /// Returns whether some task of a serving task's job met its target shortly before.
    fn serves_elsewhere(
        &self,
        task: spec::TaskId,
        step: &spec::Step,
        target_ms: u64,
        now: time::Duration,
    ) -> bool {
        let image = self.learned.interference.known_image(step.image.as_deref());
        let limit = image.map(|image| self.learned.interference.limit(image, target_ms));
        let lowest = self.own_load(task.job, now);
        lowest.zip(limit).is_some_and(|(lowest, limit)| lowest < limit)
    }

    /// Stops the runs of a worker that stands still where moving them is better than waiting.
    pub(in crate::job) fn move_stalled(
        &mut self,
        worker: &id::Incarnation,
        lists: &order::Lists,
        now: time::Duration,
    ) {
        let mut without_progress = None;
        let mut moved_early = false;
        let mut showing = self.views.get(worker).map_or(0, |view| view.stall.showing());
        for row in &lists.running {
            let Some(stood) = self.note_progress(worker, row, now) else {
                continue;
            };
            let Some(view) = self.views.get(worker) else {
                return;
            };
            let standing = view.stall.is_stalled() && view.stall.standing_since(row.task).is_some();
            let is_lasting = self.is_lasting(row.task);
            let moves = if is_lasting {
                standing && showing > 1 && self.may_move_lasting(row.task, now)
            } else {
                // One at a time: each looks at the same free room.
                let patience = self.patience(row.task, stood, now);
                let early = !moved_early
                    && standing
                    && stood >= patience
                    && self.has_room_elsewhere(row.task, now);
                moved_early |= early;
                stood >= STALLED_AFTER || early
            };
            if !is_lasting && stood >= STALLED_AFTER {
                without_progress = without_progress.max(Some(stood));
            }
            if moves {
                showing = showing.saturating_sub(1);
                self.move_run(worker, row.task, stood, now);
            }
        }
        let Some(stood) = without_progress else {
            return;
        };
        let Some(view) = self.views.get_mut(worker) else {
            return;
        };
        if view.stall.note_stalled(now.saturating_sub(stood), now) {
            self.stalls.workers += 1;
            let stood_ms = worker::millis(stood);
            tracing::warn!(%worker, stood_ms, runs = 1, "worker stands still");
        }
    }

    /// Records the progress of a run; returns for how long it has shown none, or nothing if it is
    /// unknown or must not show any.
    fn note_progress(
        &mut self,
        worker: &id::Incarnation,
        row: &order::Running,
        now: time::Duration,
    ) -> Option<time::Duration> {
        let entry = self.jobs.get(&row.task.job);
        let step = entry.and_then(|entry| entry.job.step(row.task.step));
        let view = self.views.get(worker);
        let share = view.and_then(|view| view.filling.get(&row.task)).map(|f| f.percent);
        let placed = self.placed.get_mut(&row.task)?;
        let progressed =
            placed.progress.0 != row.percent || share.is_some_and(|s| s < PROGRESS_SHARE);
        if progressed || step.is_none_or(|step| step.lasting || step.gang) {
            placed.progress = (row.percent, now);
        }
        Some(now.saturating_sub(placed.progress.1))
    }

    /// Returns whether a task is long-running.
    pub(in crate::job) fn is_lasting(&self, task: spec::TaskId) -> bool {
        let entry = self.jobs.get(&task.job);
        entry.and_then(|entry| entry.job.step(task.step)).is_some_and(|step| step.lasting)
    }

    /// Returns how long a batch run may stand: as long as the work took that a stop throws away.
    fn patience(
        &self,
        task: spec::TaskId,
        stood: time::Duration,
        now: time::Duration,
    ) -> time::Duration {
        let entry = self.jobs.get(&task.job);
        let step = entry.and_then(|entry| entry.job.step(task.step));
        if step.is_some_and(|step| step.checkpoint) {
            return time::Duration::ZERO;
        }
        let began = self.placed.get(&task).and_then(|placed| placed.began);
        began.map_or(STALLED_AFTER, |began| now.saturating_sub(began).saturating_sub(stood))
    }

    /// Returns whether a long-running task on a stalled worker may be stopped now.
    fn may_move_lasting(&self, task: spec::TaskId, now: time::Duration) -> bool {
        let entry = self.jobs.get(&task.job);
        let Some(step) = entry.and_then(|entry| entry.job.step(task.step)) else {
            return false;
        };
        // It would take the room of what waits.
        if self.settings.stalled_moves == 0 || !self.ready.is_empty() {
            return false;
        }
        let siblings = (0..step.count).filter(|index| *index != task.index);
        let siblings = siblings.map(|index| spec::TaskId { index, ..task });
        let (mut absent, mut stalled) = (0, 0);
        for sibling in siblings {
            match self.lasting_presence(sibling, now) {
                Presence::AtWork => {}
                Presence::Stalled => stalled += 1,
                Presence::Absent => absent += 1,
            }
        }
        absent < self.settings.stalled_moves
            && step.may_miss.is_none_or(|may_miss| absent + stalled < may_miss)
            && self.has_room_elsewhere(task, now)
    }

    /// Returns whether a long-running task is at work.
    fn lasting_presence(&self, task: spec::TaskId, now: time::Duration) -> Presence {
        let placed = self.placed.get(&task).filter(|placed| {
            matches!(placed.start_state, work::StartState::Confirmed(_))
                && placed.stopped.is_none()
                && !placed.end_unlisted
                && placed.progress.0 == AT_WORK
        });
        let view = placed.and_then(|placed| self.views.get(&placed.worker));
        let Some(view) = view.filter(|view| view.missed_heartbeats == 0) else {
            return Presence::Absent;
        };
        let stands_itself = view.stall.standing_since(task);
        if stands_itself.is_some_and(|since| now.saturating_sub(since) >= PRESENT_FOR) {
            return Presence::Stalled;
        }
        match view.stall.state() {
            stalled::State::Stalled { since, .. } if now.saturating_sub(since) >= PRESENT_FOR => {
                Presence::Stalled
            }
            stalled::State::Probing => Presence::Stalled,
            _ => Presence::AtWork,
        }
    }

    /// Returns whether another worker has room for a task and nothing against it.
    fn has_room_elsewhere(&self, task: spec::TaskId, now: time::Duration) -> bool {
        let entry = self.jobs.get(&task.job);
        let Some((entry, step)) = entry.and_then(|e| Some((e, e.job.step(task.step)?))) else {
            return false;
        };
        let service = &entry.policy.service;
        self.views.values().any(|view| {
            obstacle::plain(view, service, task, step, now).is_none()
                && !self.reserved_workers.contains(&view.member.incarnation)
        })
    }

    /// Stops a run on a stalled worker, so that its task goes on elsewhere.
    fn move_run(
        &mut self,
        worker: &id::Incarnation,
        task: spec::TaskId,
        stood: time::Duration,
        now: time::Duration,
    ) {
        let Some(placed) = self.placed.get_mut(&task) else {
            return;
        };
        if !placed.moved {
            placed.moved = true;
            self.stalls.moved += 1;
            let (run, percent) = (placed.run, placed.progress.0);
            let stood_ms = worker::millis(stood);
            tracing::info!(%task, run, %worker, percent, stood_ms, "stalled run is moved");
        }
        self.stop(task, now);
    }

    /// Counts a run that was done before the stop that was to move it.
    pub(in crate::job) fn note_false_alarm(&mut self, ended: &order::Ended) {
        let moved = self.placed.get(&ended.task).is_some_and(|placed| placed.moved);
        if moved {
            self.stalls.false_alarms += 1;
            tracing::info!(
                task = %ended.task, run = ended.run, "stalled run was done before its stop"
            );
        }
    }
}

/// Whether a long-running task serves its users.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Presence {
    /// It does.
    AtWork,
    /// Its worker has stood still for some time.
    Stalled,
    /// It doesn't run, or is being stopped, or its worker is silent.
    Absent,
}
