//! Headroom: how much more strain the serving tasks of a worker can tolerate, and how much of their
//! CPU they leave idle. It is cached per worker.

use std::borrow;
use std::collections;
use std::time;

use crate::id;
use crate::job::holding;
use crate::job::learn::interference;
use crate::job::runs::throttle;
use crate::job::spec;
use crate::job::workers::worker;

/// How long a worker's headroom stays valid while nothing is placed there. Loads change over
/// seconds, and their figures are updated every half second.
const MAX_AGE: time::Duration = time::Duration::from_millis(100);
/// Fraction of its reservation that a long-running task is assumed to use if its load is unknown.
const ASSUMED_USE: f64 = 0.5;

impl holding::Holding {
    /// Recomputes the headroom of all workers where it is missing or stale.
    ///
    /// The own load of a job is the same for its tasks on all workers, so it is looked up once.
    pub(in crate::job) fn refresh_headroom(&mut self, now: time::Duration) {
        let is_stale = |view: &worker::View| {
            view.headroom.as_ref().is_none_or(|known| now.saturating_sub(known.at) >= MAX_AGE)
        };
        let mut own_loads = collections::BTreeMap::<spec::JobId, Option<f64>>::new();
        let mut own_load = |job| *own_loads.entry(job).or_insert_with(|| self.own_load(job, now));
        let fresh: Vec<Option<worker::Headroom>> = self
            .views
            .values()
            .map(|view| is_stale(view).then(|| self.headroom_by(view, &mut own_load, now)))
            .collect();
        for (view, headroom) in self.views.values_mut().zip(fresh) {
            view.headroom = headroom.or(view.headroom.take());
        }
    }

    /// Recomputes the headroom of one worker.
    pub(in crate::job) fn refresh_headroom_of(
        &mut self,
        worker: &id::Incarnation,
        now: time::Duration,
    ) {
        let headroom = self.views.get(worker).map(|view| self.headroom(view, now));
        if let Some(view) = self.views.get_mut(worker) {
            view.headroom = headroom;
        }
    }

    /// Returns the headroom of a worker as last computed, or else the current one.
    pub(in crate::job) fn known_headroom<'a>(
        &self,
        view: &'a worker::View,
        now: time::Duration,
    ) -> borrow::Cow<'a, worker::Headroom> {
        let known = view.headroom.as_ref().map(borrow::Cow::Borrowed);
        known.unwrap_or_else(|| borrow::Cow::Owned(self.headroom(view, now)))
    }

    /// Computes the current headroom of a worker.
    pub(in crate::job) fn headroom(
        &self,
        view: &worker::View,
        now: time::Duration,
    ) -> worker::Headroom {
        self.headroom_by(view, &mut |job| self.own_load(job, now), now)
    }

    /// Computes the current headroom of a worker by the own loads of jobs.
    fn headroom_by(
        &self,
        view: &worker::View,
        own_load: &mut impl FnMut(spec::JobId) -> Option<f64>,
        now: time::Duration,
    ) -> worker::Headroom {
        let uses: Vec<interference::CpuUse> = view
            .filling
            .values()
            .map(|filling| interference::CpuUse {
                image: filling.image,
                part: view.part(filling.cpu_milli),
            })
            .collect();
        let margin = throttle::STRAIN_MARGIN + throttle::RAISE_SLACK;
        let mut left = Vec::with_capacity(view.serving.len());
        let mut unknown_milli = view.lasting.cpu_milli;
        let mut idle_milli = 0.0;
        for (task, serving) in &view.serving {
            let own = own_load(task.job);
            let limit = self.learned.interference.limit(serving.image, serving.target_ms) - margin;
            let strain = self.learned.interference.total_strain(serving.image, &uses);
            left.push((serving.image, limit - own.unwrap_or(0.0) - strain));
            // The strain of its own load is the part of its CPU that a task uses.
            idle_milli += serving.cpu_milli as f64 * (1.0 - own.unwrap_or(ASSUMED_USE));
            unknown_milli = unknown_milli.saturating_sub(serving.cpu_milli);
        }
        idle_milli += unknown_milli as f64 * (1.0 - ASSUMED_USE);
        worker::Headroom {
            at: now,
            missed: self.misses(view, now).next().is_some(),
            left,
            idle_milli: idle_milli as u64,
        }
    }
}
