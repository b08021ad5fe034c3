//! Throttles best-effort tasks on workers where a serving task would otherwise miss its latency
//! target.

use std::collections;
use std::time;

use crate::id;
use crate::job::event;
use crate::job::holding;
use crate::job::learn::interference;
use crate::job::runs::order;
use crate::job::runs::work;
use crate::job::spec;
use crate::job::workers::worker;

/// Strain that is left free below a target, since figures are imprecise and loads may rise
/// meanwhile. While best-effort tasks wait for workers it applies to placement only, and running
/// tasks are throttled only for a missed target.
pub(in crate::job) const STRAIN_MARGIN: f64 = 0.05;
/// Strain that must be free beyond the margin before throttled tasks get a larger share.
pub(in crate::job) const RAISE_SLACK: f64 = 0.04;
/// How long a changed share takes to show: it applies after 100 ms, and figures cover half a
/// second.
const SETTLE_TIME: time::Duration = time::Duration::from_millis(650);
/// Maximum age of a tail latency from which the own load of its job is estimated.
const MAX_TAIL_AGE: time::Duration = time::Duration::from_millis(1_300);
/// How long a missed target counts without a new report, since a task without requests reports no
/// tail latency. Twice the maximum age of a tail latency, since heartbeats may be late.
const MAX_MISS_AGE: time::Duration = time::Duration::from_millis(2_600);
/// Smallest change of a share that is ordered, in percent.
const MIN_CHANGE_PERCENT: f64 = 8.0;
/// CPU use, in percent of the request, from which on a task is assumed not to be throttled; in calm
/// phases tasks use two thirds.
const UNTHROTTLED_USE_PERCENT: u64 = 60;
/// Strain below which throttling a task has no effect that a tail latency would show.
const MIN_STRAIN: f64 = 0.01;
/// How long a target may be missed until all best-effort tasks of the worker get a share of zero,
/// whatever the model predicts. The requirement allows 4 s, and a change takes up to 1.2 s to show.
const MAX_MISS_DURATION: time::Duration = time::Duration::from_millis(1_900);
/// Largest increase of a share at a time, in percent.
const MAX_RAISE_PERCENT: f64 = 60.0;
/// Share below which a task is better moved to another worker, in percent.
const MOVE_BELOW_PERCENT: u8 = 15;
/// How long a task's share may be that low before the task is moved.
const MOVE_AFTER: time::Duration = time::Duration::from_millis(1_200);

/// The best-effort tasks of a worker with their intended shares.
type Shares = collections::BTreeMap<spec::TaskId, worker::Filling>;

impl holding::Holding {
    /// Returns the strain that a job's own load causes its tasks: the lowest recently reported one.
    pub(in crate::job) fn own_load(&self, job: spec::JobId, now: time::Duration) -> Option<f64> {
        let first = spec::TaskId { job, round: 0, step: 0, index: 0 };
        let strains = self.strains.range(first..).take_while(|(task, _)| task.job == job);
        let fresh = strains.filter(|(_, strain)| now.saturating_sub(strain.at) <= MAX_TAIL_AGE);
        fresh.map(|(_, strain)| strain.strain).min_by(f64::total_cmp)
    }

    /// Learns from a worker's reported tail latencies and sets the shares of its best-effort tasks.
    pub(in crate::job) fn update_shares(
        &mut self,
        worker: &id::Incarnation,
        lists: &order::Lists,
        now: time::Duration,
    ) {
        self.send_shares(worker, now);
        let tails: Vec<(spec::TaskId, worker::Serving, f64)> =
            self.read_strains(worker, lists, now);
        // What a stalled worker reports is not the doing of its best-effort tasks.
        if self.views.get(worker).is_some_and(|view| view.stall.distorts()) {
            return;
        }
        let uses = self.read_uses(worker, lists);
        let margin = if self.best_effort_waits { 0.0 } else { STRAIN_MARGIN };
        let mut over = 0.0_f64;
        let mut excess = Vec::new();
        for (task, serving, strain) in tails {
            let own = self.own_load(task.job, now).unwrap_or(strain);
            self.learned.interference.learn(serving.image, &uses, strain - own);
            let limit = self.learned.interference.limit(serving.image, serving.target_ms) - margin;
            over = over.max(strain - limit);
            excess.push((serving.image, strain - limit));
        }
        if excess.is_empty() {
            excess = self.unused_excess(worker, margin, now);
        }
        let Some(view) = self.views.get_mut(worker) else {
            return;
        };
        if excess.is_empty() && !view.serving.is_empty() {
            return;
        }
        view.headroom = None;
        let Some(view) = self.views.get(worker) else {
            return;
        };
        if view.filling.is_empty() || now.saturating_sub(view.share_changed) < SETTLE_TIME {
            return;
        }
        let shares = if self.misses_too_long(worker, now) {
            zero_shares(view)
        } else if over > 0.0 {
            self.lowered_shares(view, &excess)
        } else {
            self.raised_shares(view, &excess)
        };
        self.set_shares(worker, &shares, now);
        self.move_throttled(worker, now);
    }

    /// Sets the shares of tasks that an earlier holder started, based on their CPU use: what it
    /// throttled stays throttled, regardless of which of its orders arrived.
    pub(in crate::job) fn adopt_shares(
        &mut self,
        worker: &id::Incarnation,
        lists: &order::Lists,
        adopted: &collections::BTreeSet<spec::TaskId>,
        now: time::Duration,
    ) {
        let Some(view) = self.views.get_mut(worker).filter(|_| !adopted.is_empty()) else {
            return;
        };
        let mut shares = Shares::new();
        for row in lists.running.iter().filter(|row| adopted.contains(&row.task)) {
            let Some(filling) = view.filling.get_mut(&row.task) else {
                continue;
            };
            let used = row.load * 100 / filling.cpu_milli.max(1);
            let percent = if used >= UNTHROTTLED_USE_PERCENT {
                100
            } else {
                u8::try_from(used).unwrap_or(100)
            };
            // An impossible share differs from any other, so that the new one is ordered.
            filling.percent = u8::MAX;
            shares.insert(row.task, worker::Filling { percent, ..*filling });
        }
        self.set_shares(worker, &shares, now);
    }

    /// Converts the reported tail latencies of serving tasks to strains.
    fn read_strains(
        &mut self,
        worker: &id::Incarnation,
        lists: &order::Lists,
        now: time::Duration,
    ) -> Vec<(spec::TaskId, worker::Serving, f64)> {
        let Some(view) = self.views.get(worker) else {
            return Vec::new();
        };
        let mut tails = Vec::new();
        for row in lists.running.iter().filter(|row| row.load > 0) {
            let Some(serving) = view.serving.get(&row.task).copied() else {
                continue;
            };
            let strain =
                self.learned.interference.strain(serving.image, row.load, serving.target_ms);
            let before = self.strains.get(&row.task).and_then(|strain| strain.missed);
            let missed = worker::Missed::next(before, row.load, serving.target_ms, now);
            self.strains.insert(row.task, worker::Strain { at: now, strain, missed });
            tails.push((row.task, serving, strain));
        }
        tails
    }

    /// Returns how far serving tasks are below their limits if all of them reported tail latencies
    /// before, but none recently, because they get no requests. The list is empty if one of them
    /// may get requests.
    fn unused_excess(
        &self,
        worker: &id::Incarnation,
        margin: f64,
        now: time::Duration,
    ) -> Vec<(interference::Image, f64)> {
        let serving = self.views.get(worker).into_iter().flat_map(|view| &view.serving);
        let below = serving.map(|(task, serving)| {
            let reported = self.strains.get(task)?;
            let limit = self.learned.interference.limit(serving.image, serving.target_ms) - margin;
            (now.saturating_sub(reported.at) > MAX_TAIL_AGE).then_some((serving.image, -limit))
        });
        below.collect::<Option<_>>().unwrap_or_default()
    }

    /// Returns the fraction of a worker's CPU that each best-effort image uses.
    fn read_uses(
        &self,
        worker: &id::Incarnation,
        lists: &order::Lists,
    ) -> Vec<interference::CpuUse> {
        let Some(view) = self.views.get(worker) else {
            return Vec::new();
        };
        let mut parts = collections::BTreeMap::<interference::Image, f64>::new();
        for row in &lists.running {
            if let Some(filling) = view.filling.get(&row.task) {
                *parts.entry(filling.image).or_default() += view.part(row.load);
            }
        }
        let uses = parts.into_iter().filter(|(_, part)| *part > 0.0);
        uses.map(|(image, part)| interference::CpuUse { image, part }).collect()
    }

    /// Returns whether a serving task of a worker has missed its target for too long.
    pub(in crate::job) fn misses_too_long(
        &self,
        worker: &id::Incarnation,
        now: time::Duration,
    ) -> bool {
        let Some(view) = self.views.get(worker) else {
            return false;
        };
        let mut missed = self.misses(view, now);
        missed.any(|missed| now.saturating_sub(missed.since) >= MAX_MISS_DURATION)
    }

    /// Returns the current misses of a worker's serving tasks, without those not reported recently.
    pub(in crate::job) fn misses<'a>(
        &'a self,
        view: &'a worker::View,
        now: time::Duration,
    ) -> impl Iterator<Item = worker::Missed> + use<'a> {
        let strains = view.serving.keys().filter_map(|task| self.strains.get(task));
        let reported = strains.filter(move |strain| now.saturating_sub(strain.at) <= MAX_MISS_AGE);
        reported.filter_map(|strain| strain.missed)
    }

    /// Returns shares that throttle the tasks with the most interference until the excess strain is
    /// gone.
    fn lowered_shares(&self, view: &worker::View, excess: &[(interference::Image, f64)]) -> Shares {
        let capacity = view.member.capacity.cpu_milli.max(1) as f64;
        let mut shares = view.filling.clone();
        for (serving, over) in excess.iter().filter(|(_, over)| *over > 0.0) {
            let mut left = *over + RAISE_SLACK / 2.0;
            let mut causes: Vec<(f64, spec::TaskId)> = shares
                .iter()
                .map(|(task, filling)| {
                    let part =
                        filling.cpu_milli as f64 * f64::from(filling.percent) / 1e2 / capacity;
                    (self.learned.interference.slope(*serving, filling.image) * part, *task)
                })
                .collect();
            causes.sort_by(|a, b| b.0.total_cmp(&a.0));
            for (strain, task) in causes {
                let worth_it = left > 0.0 && strain > MIN_STRAIN;
                let Some(filling) = shares.get_mut(&task).filter(|_| worth_it) else {
                    continue;
                };
                let remaining = (1.0 - left / strain).max(0.0);
                let next = (f64::from(filling.percent) * remaining).floor();
                left -= strain * (1.0 - remaining);
                filling.percent = if next < MIN_CHANGE_PERCENT { 0 } else { next as u8 };
            }
        }
        shares
    }

    /// Returns larger shares for throttled tasks, as far as all targets stay met with a margin of
    /// `RAISE_SLACK`.
    fn raised_shares(&self, view: &worker::View, excess: &[(interference::Image, f64)]) -> Shares {
        let mut headroom: Vec<(interference::Image, f64)> =
            excess.iter().map(|(image, over)| (*image, -over - RAISE_SLACK)).collect();
        let mut shares = view.filling.clone();
        // A share that is not sent yet has had no effect, so nothing justifies a larger one.
        let is_throttled =
            |filling: &&mut worker::Filling| filling.percent < 100 && !filling.share_unsent;
        for filling in shares.values_mut().filter(is_throttled) {
            let cpu_fraction = view.part(filling.cpu_milli);
            let part = |(image, headroom): &(interference::Image, f64)| {
                let strain = self.learned.interference.slope(*image, filling.image) * cpu_fraction;
                if strain > 0.0 { (*headroom).max(0.0) / strain } else { 1.0 }
            };
            let more = headroom.iter().map(part).fold(1.0, f64::min) * 1e2;
            let more = more.min(MAX_RAISE_PERCENT).min(f64::from(100 - filling.percent));
            if more < MIN_CHANGE_PERCENT {
                continue;
            }
            for (image, headroom) in &mut headroom {
                *headroom -=
                    self.learned.interference.slope(*image, filling.image) * cpu_fraction * more
                        / 1e2;
            }
            filling.percent += more as u8;
        }
        shares
    }

    /// Sets and orders the shares that differ from the current ones.
    fn set_shares(&mut self, worker: &id::Incarnation, shares: &Shares, now: time::Duration) {
        let Some(view) = self.views.get_mut(worker) else {
            return;
        };
        for (task, share) in shares {
            let Some(filling) = view.filling.get_mut(task) else {
                continue;
            };
            if filling.percent == share.percent {
                continue;
            }
            tracing::info!(%task, %worker, from = filling.percent, to = share.percent, "paced");
            filling.percent = share.percent;
            filling.was_throttled |= share.percent < 100;
            filling.low_since = if share.percent < MOVE_BELOW_PERCENT {
                filling.low_since.or(Some(now))
            } else {
                None
            };
            filling.started_throttled &= share.percent < 100;
            filling.share_unsent = true;
            view.share_changed = now;
        }
        self.send_shares(worker, now);
    }

    /// Orders all unsent shares of tasks that run. An order for a task whose start is not confirmed
    /// would be refused.
    pub(in crate::job) fn send_shares(&mut self, worker: &id::Incarnation, now: time::Duration) {
        let epoch = self.fence(worker);
        let Some(view) = self.views.get_mut(worker) else {
            return;
        };
        for (task, filling) in view.filling.iter_mut().filter(|(_, filling)| filling.share_unsent) {
            let placed = self.placed.get(task);
            let confirmed = placed
                .filter(|placed| matches!(placed.start_state, work::StartState::Confirmed(_)));
            let Some(placed) = confirmed else {
                continue;
            };
            filling.share_unsent = false;
            view.share_changed = now;
            let order = work::order_for(placed, view.member.addr, *task, epoch);
            let change = order::SetShare { order, percent: filling.percent };
            self.out.push(event::Effect::SetShare(change));
        }
    }

    /// Stops tasks that have long been throttled and save checkpoints, so that they resume on
    /// another worker.
    fn move_throttled(&mut self, worker: &id::Incarnation, now: time::Duration) {
        let Some(view) = self.views.get(worker) else {
            return;
        };
        let throttled = view.filling.iter().filter(|(_, filling)| {
            // A starving task would be throttled on another worker as well.
            let moves = |since| now.saturating_sub(since) >= MOVE_AFTER;
            !filling.started_throttled && filling.low_since.is_some_and(moves)
        });
        let throttled: Vec<spec::TaskId> = throttled.map(|(task, _)| *task).collect();
        for task in throttled {
            let entry = self.jobs.get(&task.job);
            let step = entry.and_then(|entry| entry.job.step(task.step));
            if step.is_some_and(|step| step.checkpoint) {
                self.stop(task, now);
            }
        }
    }
}

/// Returns a share of zero for all best-effort tasks of a worker.
fn zero_shares(view: &worker::View) -> Shares {
    let mut shares = view.filling.clone();
    shares.values_mut().for_each(|filling| filling.percent = 0);
    shares
}
