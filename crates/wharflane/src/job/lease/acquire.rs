//! Acquires the lease of a domain if it is free or its holder is gone. A lease counts as expired
//! once its row stands unchanged for the lease time by this host's own clock. A holder that is dead,
//! silent or cut off from the store is detected earlier by probing it, as soon as the time that it
//! wrote into the row is old.

use std::time;

use crate::id;
use crate::job::engine;
use crate::job::event;
use crate::job::lease::inherited;
use crate::job::lease::store_clock;
use crate::job::rows as job_rows;
use crate::job::store::commit;
use crate::job::workers::worker;
use crate::rows;

/// The number of lease times for which a host that gave its domain up for slowness waits longer
/// than others before it acquires a lease.
const YIELD_LEASES: u32 = 4;

impl engine::Engine {
    /// Acquires the lease if it is free or has expired; probes the holder if it may be gone.
    pub(in crate::job) fn handle_lease_read(
        &mut self,
        now: time::Duration,
        row: Option<(u64, job_rows::Lease)>,
        store_ms: Option<u64>,
    ) -> Vec<event::Effect> {
        if !matches!(self.role, engine::Role::Watching) {
            return Vec::new();
        }
        self.store_clock = store_clock::StoreClock::latest(self.store_clock, store_ms, now);
        let (version, lease) = row.unwrap_or_default();
        let known = self.seen.as_ref().is_some_and(|seen| seen.version == version);
        if !known {
            let written = now.saturating_sub(lease.age(store_ms));
            let lease = lease.clone();
            let seen = engine::Seen { version, lease, since: now, written, listened: false };
            self.seen = Some(seen);
        }
        let (since, written) = self.seen.as_ref().map_or((now, now), |s| (s.since, s.written));
        let unchanged_for = now.saturating_sub(since);
        let idle_for = now.saturating_sub(written);
        self.renewed_when_read = lease.holder.is_some() && idle_for < self.settings.probe;
        self.read_since.get_or_insert(now);
        // An earlier process of this host has certainly ended, since this one replaced it.
        let own = lease.holder.as_ref() == Some(&self.own) && lease.nonce != self.nonce;
        let free = lease.holder.is_none() || own;
        let wait = if free { time::Duration::ZERO } else { self.settings.lease };
        if self.leaving {
            return Vec::new();
        }
        if !self.may_take_after(unchanged_for, wait, now) {
            // Until a probe can lead to a takeover, it would only burden the holder.
            let may_take = !free && self.may_take_after(idle_for, self.settings.probe, now);
            let addr = lease.addr.filter(|_| may_take && now >= self.claimed_until);
            let delay = self.takeover_delay(now);
            let probe = addr.map(|addr| event::Effect::Probe { version, addr, delay });
            return probe.into_iter().collect();
        }
        self.acquire_lease(now, time::Duration::ZERO)
    }

    /// Acquires the lease of a holder that has vacated it, whose process is gone or whose host is
    /// silent.
    ///
    /// The probe is no proof: the network may refuse connections or lose packets while the holder
    /// continues until its next commit or the expiry of its lease. So the task leases that it may
    /// have granted are assumed to last longer by the time of its own lease.
    pub(in crate::job) fn handle_probe(
        &mut self,
        now: time::Duration,
        version: u64,
        result: event::ProbeResult,
    ) -> Vec<event::Effect> {
        let seen = self.seen.as_mut().filter(|seen| seen.version == version);
        let listened = seen.as_ref().is_some_and(|seen| seen.listened);
        let wait = match result {
            event::ProbeResult::Listens { claimed_for } => {
                // A process that did not answer is busy, and would be the busier for being asked again.
                self.claimed_until = now + claimed_for.unwrap_or(self.settings.lease);
                if let Some(seen) = seen {
                    seen.listened = true;
                }
                return Vec::new();
            }
            // A busy process drops connections. It was alive after its last write, so that only the
            // end of its lease tells that it is gone.
            event::ProbeResult::Silent if listened => return Vec::new(),
            event::ProbeResult::Vacated | event::ProbeResult::Refused => self.settings.probe,
            event::ProbeResult::Silent => self.settings.silence,
        };
        let seen = self.seen.clone().filter(|seen| seen.version == version);
        let Some(seen) =
            seen.filter(|_| matches!(self.role, engine::Role::Watching) && !self.leaving)
        else {
            return Vec::new();
        };
        let idle_for = now.saturating_sub(seen.written);
        if !self.may_take_after(idle_for, wait, now) {
            return Vec::new();
        }
        let unchanged_ms = worker::millis(idle_for);
        let domain = self.settings.domain;
        tracing::info!(
            domain, version, sign = ?result, unchanged_ms,
            "the lease holder is presumed dead"
        );
        self.acquire_lease(now, self.settings.lease)
    }

    /// Acquires the lease that was last read; `extra` is how much longer than its row says the
    /// previous holder may have granted task leases.
    fn acquire_lease(&mut self, now: time::Duration, extra: time::Duration) -> Vec<event::Effect> {
        let Some(seen) = self.seen.clone() else {
            return Vec::new();
        };
        let longest = self.settings.task_lease_max;
        let inherited = inherited::Inherited::from_seen(&seen, now, extra, longest);
        let engine::Seen { version, lease, since, .. } = seen;
        let mut next = job_rows::Lease {
            holder: Some(self.own.clone()),
            epoch: job_rows::next_epoch(lease.epoch),
            nonce: self.nonce,
            seq: 0,
            hold_ms: worker::millis(self.settings.task_lease),
            shown_upto: lease.shown_upto,
            addr: self.settings.addr,
            written_ms: self.store_clock.map(|clock| clock.ms(now)),
            ..job_rows::Lease::default()
        };
        inherited.hand_on(&mut next, now);
        tracing::info!(
            domain = self.settings.domain,
            version,
            before = lease.holder.as_ref().map_or("", id::HostId::as_str),
            unchanged_ms = worker::millis(now.saturating_sub(since)),
            before_hold_ms = lease.hold_ms,
            before_left_ms = lease.earlier_left_ms,
            before_shown_upto = lease.shown_upto,
            inherited_ms = inherited.left_ms(now),
            hold_ms = next.hold_ms,
            epoch = next.epoch,
            "taking the lease"
        );
        self.numbers += 1;
        let Ok(txn) = commit::lease_txn(self.settings.domain, version, &next) else {
            return Vec::new();
        };
        let number = self.numbers;
        let acquiring = engine::Acquiring { number, lease: next, sent: now, inherited };
        self.role = engine::Role::Acquiring(Box::new(acquiring));
        vec![event::Effect::Txn(self.numbers, txn)]
    }

    /// Starts loading the state once the lease is acquired.
    pub(in crate::job) fn handle_acquire_outcome(
        &mut self,
        now: time::Duration,
        outcome: &rows::Outcome,
    ) -> Vec<event::Effect> {
        let engine::Role::Acquiring(acquiring) = &self.role else {
            return Vec::new();
        };
        let engine::Acquiring { lease, sent, inherited, .. } = acquiring.as_ref();
        let Some(version) = commit::committed_version(outcome, lease) else {
            // Going back to watching is safe: if the write is applied late, this process reads the
            // lease as its own and acquires it again.
            self.step_down(now, "the lease was not taken");
            return Vec::new();
        };
        let loading = engine::Loading {
            lease: lease.clone(),
            version,
            acquired: *sent,
            inherited: inherited.clone(),
            renewed: *sent,
            renewal: None,
        };
        self.role = engine::Role::Loading(Box::new(loading));
        vec![event::Effect::Load]
    }

    /// Answers another host that found the lease of this process standing still at a version, and
    /// that waits longer than other hosts by `delay`.
    ///
    /// A holder that the store does not answer can neither commit nor start anything, so it steps
    /// down for a host that has just read the store. While nobody can read it, nobody asks, and the
    /// holder renews what runs for as long as its lease allows.
    pub fn answer_claim(
        &mut self,
        now: time::Duration,
        version: u64,
        delay: time::Duration,
        store_silence: time::Duration,
    ) -> event::LeaseClaim {
        let (own_version, renewed) = match &self.role {
            engine::Role::Watching => return event::LeaseClaim::Vacated,
            // What this process is acquiring is not what the other host has read.
            engine::Role::Acquiring(_) => {
                return event::LeaseClaim::Claimed { claimed_for: time::Duration::ZERO };
            }
            engine::Role::Loading(loading) => (loading.version, loading.renewed),
            engine::Role::Holding(holding) => (holding.version, holding.renewed),
        };
        let unrenewed = now.saturating_sub(renewed);
        // Other hosts could have had the lease for as long as the delay.
        let vacates_after = self.settings.vacate + delay;
        let claimed_for = vacates_after.saturating_sub(unrenewed.min(store_silence));
        if version < own_version || !claimed_for.is_zero() {
            return event::LeaseClaim::Claimed { claimed_for };
        }
        let (unrenewed_ms, silence_ms) = (worker::millis(unrenewed), worker::millis(store_silence));
        tracing::warn!(version, unrenewed_ms, silence_ms, "lease vacated for another host");
        self.step_down(now, "the store answers other hosts only");
        event::LeaseClaim::Vacated
    }

    /// Returns whether this host may take a lease that has stood still for a time, where a host
    /// without a delay may take it after `wait`.
    ///
    /// Time in which the row could not be read doesn't count towards the delay: while the store is
    /// away, leases stand still for all hosts, and those without a delay can't take them either.
    fn may_take_after(
        &self,
        stood_still: time::Duration,
        wait: time::Duration,
        now: time::Duration,
    ) -> bool {
        let delay = self.takeover_delay(now);
        let read_for = self.read_since.map_or(time::Duration::ZERO, |at| now.saturating_sub(at));
        stood_still >= wait + delay && read_for >= delay
    }

    /// Returns how much longer than other hosts this host waits before it acquires a lease.
    fn takeover_delay(&self, now: time::Duration) -> time::Duration {
        let yield_time = self.settings.lease * YIELD_LEASES;
        let slow = self.yielded.is_some_and(|at| now.saturating_sub(at) < yield_time);
        let own_delay = if slow { self.settings.lease } else { time::Duration::ZERO };
        self.settings.takeover_delay + own_delay
    }
}
