//! What the serving tasks of a worker still bear, kept with the worker while it is fresh.

use std::time;

use super::holding;
use super::interference;
use super::pace;
use super::worker;
use crate::id;

/// How long what a worker bears is taken as known while nothing is placed there: loads change over seconds,
/// and figures of them come each half second.
const FRESH: time::Duration = time::Duration::from_millis(100);

impl holding::Holding {
    /// Finds out anew what workers bear of which it is not known, or not fresh.
    pub(super) fn refresh_headroom(&mut self, now: time::Duration) {
        let stale = self.views.iter().filter(|(_, view)| {
            view.headroom.as_ref().is_none_or(|known| now.saturating_sub(known.at) >= FRESH)
        });
        let stale: Vec<id::Incarnation> = stale.map(|(worker, _)| worker.clone()).collect();
        for worker in stale {
            self.refresh_headroom_of(&worker, now);
        }
    }

    /// Finds out anew what one worker bears.
    pub(super) fn refresh_headroom_of(&mut self, worker: &id::Incarnation, now: time::Duration) {
        let headroom = self.views.get(worker).map(|view| self.headroom(view, now));
        if let Some(view) = self.views.get_mut(worker) {
            view.headroom = headroom;
        }
    }

    /// Returns what a worker bears at the moment.
    pub(super) fn headroom(&self, view: &worker::View, now: time::Duration) -> worker::Headroom {
        let uses: Vec<interference::Use> = view
            .filling
            .values()
            .map(|filling| interference::Use {
                image: filling.image,
                part: view.part(filling.cpu_milli),
            })
            .collect();
        let kept_free = pace::MARGIN + pace::SLACK;
        let left = view.serving.iter().map(|(task, serving)| {
            let own = self.own_load(task.job, now).unwrap_or(0.0);
            let limit =
                self.learned.interference.limit(serving.image, serving.target_ms) - kept_free;
            (
                serving.image,
                limit - own - self.learned.interference.total_strain(serving.image, &uses),
            )
        });
        worker::Headroom {
            at: now,
            missed: self.misses(view, now).next().is_some(),
            left: left.collect(),
        }
    }
}
