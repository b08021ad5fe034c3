//! Takes the lease of a domain that is free, or whose holder is gone.

use std::time;

use super::commit;
use super::engine;
use super::event;
use super::rows as kept;
use super::worker;
use crate::id;
use crate::rows;

/// For how many leases a host that gave its domain up because it was slow leaves it to others.
const YIELD_LEASES: u32 = 4;

impl engine::Engine {
    /// Takes the lease if it is free, or its holder has let it lapse.
    pub(super) fn lease_read(
        &mut self,
        now: time::Duration,
        row: Option<(u64, kept::Lease)>,
    ) -> Vec<event::Effect> {
        if !matches!(self.role, engine::Role::Watching) {
            return Vec::new();
        }
        let (version, lease) = row.unwrap_or_default();
        let known = self.seen.as_ref().is_some_and(|seen| seen.version == version);
        if !known {
            self.seen = Some(engine::Seen { version, lease: lease.clone(), since: now });
        }
        let since = self.seen.as_ref().map_or(now, |seen| seen.since);
        let stands = now.saturating_sub(since);
        // An earlier process of this host is gone for sure, since this one runs in its place.
        let own = lease.holder.as_ref() == Some(&self.own) && lease.nonce != self.nonce;
        let free = lease.holder.is_none() || own;
        let wait = if free { time::Duration::ZERO } else { self.settings.lease };
        if self.leaving {
            return Vec::new();
        }
        if stands < wait + self.takeover_delay(now) {
            let addr = lease.addr.filter(|_| !free && stands >= self.settings.probe);
            return addr.map(|addr| event::Effect::Probe { version, addr }).into_iter().collect();
        }
        self.take(now, version, &lease, time::Duration::ZERO)
    }

    /// Takes the lease of a holder whose process is gone, or whose host is silent.
    ///
    /// Nothing rests on that: a path that refuses connections or loses them may lie, and the holder then acts
    /// on until its next commit or until its lease is over. So the leases of tasks that it may grant are taken
    /// to last longer by its own.
    pub(super) fn probed(
        &mut self,
        now: time::Duration,
        version: u64,
        sign: event::ProbeResult,
    ) -> Vec<event::Effect> {
        let wait = match sign {
            event::ProbeResult::Listens => return Vec::new(),
            event::ProbeResult::Refused => self.settings.probe,
            event::ProbeResult::Silent => self.settings.silence,
        };
        let seen = self.seen.clone().filter(|seen| seen.version == version);
        let Some(seen) =
            seen.filter(|_| matches!(self.role, engine::Role::Watching) && !self.leaving)
        else {
            return Vec::new();
        };
        let stands = now.saturating_sub(seen.since);
        if stands < wait + self.takeover_delay(now) {
            return Vec::new();
        }
        let unchanged_ms = worker::millis(stands);
        let domain = self.settings.domain;
        tracing::info!(domain, version, ?sign, unchanged_ms, "the holder seems to be gone");
        self.take(now, version, &seen.lease, self.settings.lease)
    }

    /// Takes a lease; `beyond` is how much longer than by the row its holder may have acted.
    fn take(
        &mut self,
        now: time::Duration,
        version: u64,
        lease: &kept::Lease,
        beyond: time::Duration,
    ) -> Vec<event::Effect> {
        let stands = self.seen.as_ref().map_or(now, |seen| now.saturating_sub(seen.since));
        let before = lease.holder.clone();
        let next = kept::Lease {
            holder: Some(self.own.clone()),
            epoch: kept::next_epoch(lease.epoch),
            nonce: self.nonce,
            seq: 0,
            hold_ms: worker::millis(self.settings.task_lease),
            addr: self.settings.addr,
        };
        let inherited = match lease.hold_ms {
            0 => self.settings.task_lease_max,
            hold_ms => time::Duration::from_millis(hold_ms),
        } + beyond;
        tracing::info!(
            domain = self.settings.domain,
            version,
            before = before.as_ref().map_or("", id::HostId::as_str),
            unchanged_ms = worker::millis(stands),
            epoch = next.epoch,
            "taking the lease"
        );
        self.numbers += 1;
        let Ok(txn) = commit::lease_txn(self.settings.domain, version, &next) else {
            return Vec::new();
        };
        self.role =
            engine::Role::Acquiring { number: self.numbers, lease: next, sent: now, inherited };
        vec![event::Effect::Txn(self.numbers, txn)]
    }

    /// Begins to read the state once the lease is taken.
    pub(super) fn acquired(
        &mut self,
        now: time::Duration,
        outcome: &rows::Outcome,
    ) -> Vec<event::Effect> {
        let engine::Role::Acquiring { lease, sent, inherited, .. } = &self.role else {
            return Vec::new();
        };
        let Some(version) = commit::committed_version(outcome, lease) else {
            // Nothing is lost by watching on: a write that comes late makes this process
            // the holder, which it then reads as its own and takes again.
            self.step_down(now, "the lease was not taken");
            return Vec::new();
        };
        let (lease, taken, inherited) = (lease.clone(), *sent, *inherited);
        self.role = engine::Role::Loading {
            lease,
            version,
            taken,
            inherited,
            renewed: taken,
            renewal: None,
        };
        vec![event::Effect::Load]
    }

    /// Returns how much longer than others this host waits before it takes a lease.
    fn takeover_delay(&self, now: time::Duration) -> time::Duration {
        let rest = self.settings.lease * YIELD_LEASES;
        let slow = self.yielded.is_some_and(|at| now.saturating_sub(at) < rest);
        let own = if slow { self.settings.lease } else { time::Duration::ZERO };
        self.settings.takeover_delay + own
    }
}
