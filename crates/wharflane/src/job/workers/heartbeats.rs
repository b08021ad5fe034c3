//! Heartbeats: the periodic requests of a holder to each worker. A heartbeat renews the leases of
//! the worker's tasks, carries the fencing token, and is answered with the lists of running and
//! ended runs, from which the holder corrects its view and finds unknown or stalled runs.

use std::time;

use crate::id;
use crate::job::event;
use crate::job::holding;
use crate::job::runs::order;
use crate::job::workers::worker;

/// The delay after a heartbeat without an answer, and how often it may double.
const HEARTBEAT_RETRY: (time::Duration, u32) = (time::Duration::from_millis(100), 3);
/// How long a heartbeat is deferred while reported ends are uncommitted; task leases are renewed at
/// this interval meanwhile.
const MAX_DEFERRAL: time::Duration = time::Duration::from_millis(1_000);
/// How much longer than usual an overloaded holder waits between two heartbeats to a worker.
const OVERLOAD_DEFERRAL: time::Duration = time::Duration::from_millis(500);
/// How long a worker may delay its answer where both serving and best-effort tasks run; latencies
/// are reported this often.
const MIXED_HEARTBEAT_WAIT: time::Duration = time::Duration::from_millis(500);

impl holding::Holding {
    /// Sends heartbeats to the workers whose next one is due.
    pub(in crate::job) fn send_due_heartbeats(&mut self, now: time::Duration) {
        let due = self.views.iter().filter(|(_, view)| {
            // Uncommitted ends would only be reported again; the delay is bounded so that leases
            // are renewed.
            let deferred = !view.unrecorded.is_empty() && now < view.heartbeat_due + MAX_DEFERRAL;
            // A holder that is overloaded asks workers less often, so that an answer reports more
            // ends; those of the first priority are not kept waiting.
            let spread = self.is_overloaded()
                && view.urgent.is_empty()
                && now < view.heartbeat_due + OVERLOAD_DEFERRAL;
            let deferred = deferred || spread && !view.tasks.is_empty();
            // A list entry whose service no queue names may belong to another system.
            let ours = !view.tasks.is_empty() || self.services.contains(&view.member.service);
            ours && view.heartbeat_sent.is_none() && now >= view.heartbeat_due && !deferred
        });
        let due: Vec<id::Incarnation> = due.map(|(worker, _)| worker.clone()).collect();
        for worker in due {
            self.send_heartbeat(&worker, now);
        }
    }

    /// Sends a heartbeat to a worker; if a start is being abandoned there, the answer is requested
    /// without delay.
    fn send_heartbeat(&mut self, worker: &id::Incarnation, now: time::Duration) {
        let unsettled = self.unsettled.remove(worker);
        if unsettled {
            self.raise_fence(worker);
        }
        let epoch = self.fence(worker);
        let Some(view) = self.views.get_mut(worker) else {
            return;
        };
        let busy = !view.tasks.is_empty();
        // A silent worker is granted no further lease, or its leases would never expire.
        let granted = busy && view.missed_heartbeats == 0;
        let lease_until_ms = if granted { view.grant(now, self.settings.task_lease) } else { None };
        let mixed = !view.serving.is_empty() && !view.filling.is_empty();
        let wait = match (view.fenced && busy && !unsettled, mixed) {
            (false, _) => time::Duration::ZERO,
            (true, true) => self.settings.heartbeat_wait.min(MIXED_HEARTBEAT_WAIT),
            (true, false) => self.settings.heartbeat_wait,
        };
        let urgent = view.heartbeat_delayed || !view.urgent.is_empty();
        view.heartbeat_sent = Some(now);
        self.out.push(event::Effect::SendHeartbeat(order::Heartbeat {
            worker: worker.clone(),
            addr: view.member.addr,
            epoch,
            acknowledged_end: view.acknowledged_end(),
            lease_until_ms,
            wait,
            urgent,
        }));
    }

    /// Handles the answer to a heartbeat.
    pub(in crate::job) fn handle_heartbeat_answer(
        &mut self,
        worker: &id::Incarnation,
        epoch: u64,
        mut answer: order::HeartbeatAnswer,
        now: time::Duration,
    ) {
        if !self.is_own(epoch) {
            return;
        }
        // A heartbeat that a later order of the same holder overtook counts as unanswered.
        let overtaken = answer == order::HeartbeatAnswer::Fenced && epoch < self.fence(worker);
        match answer.other_incarnation(worker) {
            Some(next) if worker.is_before(&next) => {
                return self.handle_next_incarnation(worker, next, now);
            }
            Some(past) => {
                tracing::warn!(%worker, %past, "answer from an earlier incarnation ignored");
                answer = order::HeartbeatAnswer::Silent;
            }
            None => {}
        }
        if overtaken {
            answer = order::HeartbeatAnswer::Silent;
        }
        if matches!(answer, order::HeartbeatAnswer::Lists(_)) {
            self.note_alive(worker);
        }
        let Some(view) = self.views.get_mut(worker) else {
            return;
        };
        let sent = view.heartbeat_sent.take();
        match answer {
            order::HeartbeatAnswer::Lists(lists) => {
                if view.missed_heartbeats > 0 {
                    tracing::info!(
                        %worker, misses = view.missed_heartbeats, "worker answers again"
                    );
                }
                view.heartbeat_delayed = false;
                view.missed_heartbeats = 0;
                view.silent_since = None;
                view.last_end_listed = lists.ended.last().map_or(0, |ended| ended.number);
                view.last_answer = Some((lists.clock_ms, now));
                let first = !view.fenced;
                if first {
                    let longest = worker::longest_by_holder_clock(self.settings.task_lease_max);
                    self.inherited.note_answer(worker, !lists.running.is_empty(), now + longest);
                    // No answer to this holder is older than its lease.
                    let left = view.inherited.longest_left(sent.unwrap_or(self.acquired));
                    let inherited_ms = lists.clock_ms.saturating_add(worker::millis(left));
                    view.granted_until_ms = view.granted_until_ms.max(inherited_ms);
                }
                view.fenced = true;
                view.heartbeat_due = if view.tasks.is_empty() {
                    now + self.settings.idle_heartbeat_gap
                } else {
                    now + self.link.gap()
                };
                self.changed |= first;
                self.note_answers(worker);
                self.apply_lists(worker, (epoch, &lists), sent.unwrap_or(now), now);
            }
            order::HeartbeatAnswer::NotSent => {
                view.heartbeat_delayed = true;
                view.heartbeat_due = now;
            }
            order::HeartbeatAnswer::Fenced => self.fenced = true,
            order::HeartbeatAnswer::Gone => self.remove_worker(worker),
            order::HeartbeatAnswer::Silent => {
                let first = view.missed_heartbeats == 0;
                view.missed_heartbeats += 1;
                view.silent_since = view.silent_since.or(Some(now));
                view.last_silent = Some(now);
                let (delay, doublings) = HEARTBEAT_RETRY;
                let delay = delay * 2u32.pow(view.missed_heartbeats.min(doublings));
                // A missing worker is asked to learn whether it lives; nothing there needs a lease.
                let is_missing = !view.listed && view.tasks.is_empty();
                let gap = if is_missing { self.settings.idle_heartbeat_gap } else { delay };
                view.heartbeat_due = now + gap.max(delay);
                if first {
                    tracing::warn!(%worker, "worker does not answer");
                    self.ask_idle_workers(worker, now);
                }
            }
        }
    }
}
