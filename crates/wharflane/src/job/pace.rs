//! Holds back tasks that fill a worker while a lasting task there would miss its target.

use std::collections;
use std::time;

use super::event;
use super::holding;
use super::interference;
use super::order;
use super::spec;
use super::work;
use super::worker;
use crate::id;

/// The strain that is kept free below a target: figures are rough and loads rise meanwhile. While work that
/// fills waits for workers it counts for placement alone, and what runs is held back only for a missed target.
pub(super) const MARGIN: f64 = 0.05;
/// The strain that must be free beyond the margin before work is let go faster.
pub(super) const SLACK: f64 = 0.04;
/// How long a change takes to show: it applies after 100 ms, and figures are of half a second.
const SETTLE: time::Duration = time::Duration::from_millis(650);
/// How old a tail may be to tell the own load of its job.
const FRESH: time::Duration = time::Duration::from_millis(1_300);
/// How long a miss holds that is not told again: a task without users tells no tail. Twice as long as a tail
/// tells the own load, since looks may be late.
const MISS_TOLD: time::Duration = time::Duration::from_millis(2_600);
/// The least change of a share that is ordered, in percent.
const LEAST_CHANGE: f64 = 8.0;
/// From which part of its processors on a task is taken not to be held back, in percent: in their calm
/// phases tasks use two thirds.
const UNPACED_USE: u64 = 60;
/// The strain below which holding a task back gains nothing that a tail would show.
const LEAST_STRAIN: f64 = 0.01;
/// How long a target may be missed before everything that fills the worker stands still, whatever
/// the model says; the users allow 4 s, and a change takes up to 1.2 s to show.
const PATIENCE: time::Duration = time::Duration::from_millis(1_900);
/// The most by which a share grows at a time, in percent.
const MOST_GROWTH: f64 = 60.0;
/// The share below which a task is rather moved, in percent.
const MOVE_BELOW: u8 = 15;
/// How long a task may be held back so far before it is moved.
const MOVE_AFTER: time::Duration = time::Duration::from_millis(1_200);

/// The tasks that fill a worker, at the shares that they are to have.
type Shares = collections::BTreeMap<spec::TaskId, worker::Filling>;

impl holding::Holding {
    /// Returns the strain that the own load of a job's tasks causes, the least of what they tell.
    pub(super) fn own_load(&self, job: spec::JobId, now: time::Duration) -> Option<f64> {
        let first = spec::TaskId { job, round: 0, step: 0, index: 0 };
        let strains = self.strains.range(first..).take_while(|(task, _)| task.job == job);
        let fresh = strains.filter(|(_, strain)| now.saturating_sub(strain.at) <= FRESH);
        fresh.map(|(_, strain)| strain.strain).min_by(f64::total_cmp)
    }

    /// Learns from the tails of a worker and sets the shares of what fills it.
    pub(super) fn update_shares(
        &mut self,
        worker: &id::Incarnation,
        lists: &order::Lists,
        now: time::Duration,
    ) {
        self.send_shares(worker, now);
        let tails: Vec<(spec::TaskId, worker::Serving, f64)> = self.read_tails(worker, lists, now);
        let uses = self.read_uses(worker, lists);
        let margin = if self.fills_wait { 0.0 } else { MARGIN };
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
            excess = self.unstrained(worker, margin, now);
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
        if view.filling.is_empty() || now.saturating_sub(view.paced) < SETTLE {
            return;
        }
        let shares = if self.missed_long(worker, now) {
            standing_still(view)
        } else if over > 0.0 {
            self.held_back(view, &excess)
        } else {
            self.let_go(view, &excess)
        };
        self.set_shares(worker, &shares, now);
        self.move_held(worker, now);
    }

    /// Sets the shares of tasks anew that an earlier holder ordered, by the processors that they use: what
    /// that holder held back stays so, whatever of its orders got through.
    pub(super) fn adopt_shares(
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
            let percent = if used >= UNPACED_USE { 100 } else { u8::try_from(used).unwrap_or(100) };
            // An unknown share differs from any, so that the order is given.
            filling.percent = u8::MAX;
            shares.insert(row.task, worker::Filling { percent, ..*filling });
        }
        self.set_shares(worker, &shares, now);
    }

    /// Reads the tails of serving tasks as strains.
    fn read_tails(
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

    /// Returns how far the serving tasks of a worker are below their limits where nobody uses them: they told
    /// tails once, and none of late. Nothing where one of them may be used.
    fn unstrained(
        &self,
        worker: &id::Incarnation,
        margin: f64,
        now: time::Duration,
    ) -> Vec<(interference::Image, f64)> {
        let serving = self.views.get(worker).into_iter().flat_map(|view| &view.serving);
        let below = serving.map(|(task, serving)| {
            let told = self.strains.get(task)?;
            let limit = self.learned.interference.limit(serving.image, serving.target_ms) - margin;
            (now.saturating_sub(told.at) > FRESH).then_some((serving.image, -limit))
        });
        below.collect::<Option<_>>().unwrap_or_default()
    }

    /// Reads which part of a worker's processors each filling image uses.
    fn read_uses(&self, worker: &id::Incarnation, lists: &order::Lists) -> Vec<interference::Use> {
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
        uses.map(|(image, part)| interference::Use { image, part }).collect()
    }

    /// Returns whether a task of a worker has missed its target for too long.
    pub(super) fn missed_long(&self, worker: &id::Incarnation, now: time::Duration) -> bool {
        let Some(view) = self.views.get(worker) else {
            return false;
        };
        let mut missed = self.misses(view, now);
        missed.any(|missed| now.saturating_sub(missed.since) >= PATIENCE)
    }

    /// Returns the misses of the tasks that serve on a worker, but for those that nobody tells of any more.
    pub(super) fn misses<'a>(
        &'a self,
        view: &'a worker::View,
        now: time::Duration,
    ) -> impl Iterator<Item = worker::Missed> + use<'a> {
        let strains = view.serving.keys().filter_map(|task| self.strains.get(task));
        let told = strains.filter(move |strain| now.saturating_sub(strain.at) <= MISS_TOLD);
        told.filter_map(|strain| strain.missed)
    }

    /// Returns shares that hold back what does most harm to the tasks that miss their target, until it is undone.
    fn held_back(&self, view: &worker::View, excess: &[(interference::Image, f64)]) -> Shares {
        let capacity = view.member.capacity.cpu_milli.max(1) as f64;
        let mut shares = view.filling.clone();
        for (serving, over) in excess.iter().filter(|(_, over)| *over > 0.0) {
            let mut left = *over + SLACK / 2.0;
            let mut by: Vec<(f64, spec::TaskId)> = shares
                .iter()
                .map(|(task, filling)| {
                    let part =
                        filling.cpu_milli as f64 * f64::from(filling.percent) / 1e2 / capacity;
                    (self.learned.interference.slope(*serving, filling.image) * part, *task)
                })
                .collect();
            by.sort_by(|a, b| b.0.total_cmp(&a.0));
            for (strain, task) in by {
                let worth_it = left > 0.0 && strain > LEAST_STRAIN;
                let Some(filling) = shares.get_mut(&task).filter(|_| worth_it) else {
                    continue;
                };
                let kept = (1.0 - left / strain).max(0.0);
                let next = (f64::from(filling.percent) * kept).floor();
                left -= strain * (1.0 - kept);
                filling.percent = if next < LEAST_CHANGE { 0 } else { next as u8 };
            }
        }
        shares
    }

    /// Returns shares at which work that is held back goes faster, as far as all targets are kept with ease.
    fn let_go(&self, view: &worker::View, excess: &[(interference::Image, f64)]) -> Shares {
        let mut room: Vec<(interference::Image, f64)> =
            excess.iter().map(|(image, over)| (*image, -over - SLACK)).collect();
        let mut shares = view.filling.clone();
        // Nothing speaks for a share that was not ordered yet.
        let held = |filling: &&mut worker::Filling| filling.percent < 100 && !filling.share_unsent;
        for filling in shares.values_mut().filter(held) {
            let whole = view.part(filling.cpu_milli);
            let part = |(image, room): &(interference::Image, f64)| {
                let harm = self.learned.interference.slope(*image, filling.image) * whole;
                if harm > 0.0 { (*room).max(0.0) / harm } else { 1.0 }
            };
            let more = room.iter().map(part).fold(1.0, f64::min) * 1e2;
            let more = more.min(MOST_GROWTH).min(f64::from(100 - filling.percent));
            if more < LEAST_CHANGE {
                continue;
            }
            for (image, room) in &mut room {
                *room -=
                    self.learned.interference.slope(*image, filling.image) * whole * more / 1e2;
            }
            filling.percent += more as u8;
        }
        shares
    }

    /// Orders the shares that differ from those in force.
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
            filling.paced |= share.percent < 100;
            filling.low_since =
                if share.percent < MOVE_BELOW { filling.low_since.or(Some(now)) } else { None };
            filling.started_throttled &= share.percent < 100;
            filling.share_unsent = true;
            view.paced = now;
        }
        self.send_shares(worker, now);
    }

    /// Orders the shares that differ from those in force, of tasks that are there: an order for a task that is not
    /// there yet would be refused.
    pub(super) fn send_shares(&mut self, worker: &id::Incarnation, now: time::Duration) {
        let epoch = self.fence(worker);
        let Some(view) = self.views.get_mut(worker) else {
            return;
        };
        for (task, filling) in view.filling.iter_mut().filter(|(_, filling)| filling.share_unsent) {
            let placed = self.placed.get(task);
            let there = placed
                .filter(|placed| matches!(placed.start_state, work::StartState::Confirmed(_)));
            let Some(placed) = there else {
                continue;
            };
            filling.share_unsent = false;
            view.paced = now;
            let order = work::order_for(placed, view.member.addr, *task, epoch);
            let pace = order::Pace { order, percent: filling.percent };
            self.out.push(event::Effect::Pace(pace));
        }
    }

    /// Stops tasks that are held back for long and keep their progress, so that they go elsewhere.
    fn move_held(&mut self, worker: &id::Incarnation, now: time::Duration) {
        let Some(view) = self.views.get(worker) else {
            return;
        };
        let held = view.filling.iter().filter(|(_, filling)| {
            // Elsewhere a task in need would be held back alike.
            let moves = |since| now.saturating_sub(since) >= MOVE_AFTER;
            !filling.started_throttled && filling.low_since.is_some_and(moves)
        });
        let held: Vec<spec::TaskId> = held.map(|(task, _)| *task).collect();
        for task in held {
            let entry = self.jobs.get(&task.job);
            let step = entry.and_then(|entry| entry.job.step(task.step));
            if step.is_some_and(|step| step.checkpoint) {
                self.stop(task, now);
            }
        }
    }
}

/// Returns shares at which everything that fills a worker stands still.
fn standing_still(view: &worker::View) -> Shares {
    let mut shares = view.filling.clone();
    shares.values_mut().for_each(|filling| filling.percent = 0);
    shares
}
