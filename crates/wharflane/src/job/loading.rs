//! Reads the state of a domain whose lease was just taken, and begins to hold it.

use std::sync;
use std::time;

use super::commit;
use super::engine;
use super::event;
use super::holding;
use super::rows as kept;
use super::worker;
use crate::rows;

/// For how many leases the state may be read, each renewed in time; a host that needs longer keeps stronger ones out.
const LOAD_LEASES: u32 = 2;

impl engine::Engine {
    /// Renews the lease while the state is being read, as long as that may take.
    pub(super) fn go_on_loading(&mut self, now: time::Duration) -> Vec<event::Effect> {
        let engine::Role::Loading { lease, version, taken, renewed, renewal, .. } = &mut self.role
        else {
            return Vec::new();
        };
        let lasts = self.settings.lease.saturating_sub(self.settings.margin);
        let most = lasts * LOAD_LEASES;
        if now.saturating_sub(*renewed) >= lasts || now.saturating_sub(*taken) >= most {
            self.step_down(now, "the state was not read within the lease");
            return Vec::new();
        }
        let due = match renewal {
            Some(renewal) => renewal.number.is_none(),
            None => self.leaving || now.saturating_sub(*renewed) >= self.settings.renew,
        };
        if !due {
            return Vec::new();
        }
        // A host that stops gives the lease up rather than to renew it.
        let holder = lease.holder.clone().filter(|_| !self.leaving);
        let first = || engine::Renewal {
            number: None,
            lease: kept::Lease { seq: lease.seq + 1, holder, ..lease.clone() },
            sent: now,
        };
        let renewal = renewal.get_or_insert_with(first);
        let txn = match commit::lease_txn(self.settings.domain, *version, &renewal.lease) {
            Ok(txn) => txn,
            Err(err) => {
                tracing::error!(%err, "the lease can't be encoded, it is not renewed");
                return Vec::new();
            }
        };
        self.numbers += 1;
        renewal.number = Some(self.numbers);
        vec![event::Effect::Txn(self.numbers, txn)]
    }

    /// Takes the answer to a renewal made while the state is being read.
    pub(super) fn renewed(&mut self, now: time::Duration, number: u64, outcome: &rows::Outcome) {
        let engine::Role::Loading { lease, version, renewed, renewal, .. } = &mut self.role else {
            return;
        };
        let Some(mut made) = renewal.take_if(|renewal| renewal.number == Some(number)) else {
            return;
        };
        match (commit::committed_version(outcome, &made.lease), outcome) {
            (Some(_), _) if made.lease.holder.is_none() => {
                self.step_down(now, "the lease was given up");
            }
            (Some(written), _) => {
                *version = written;
                *renewed = made.sent;
                *lease = made.lease;
            }
            (None, rows::Outcome::Unknown) => {
                // It may have been made, so only the same write can follow.
                made.number = None;
                *renewal = Some(made);
            }
            (None, rows::Outcome::Answered(_)) => {
                self.step_down(now, "another host has the lease");
            }
            (None, rows::Outcome::Refused) => {
                self.step_down(now, "the store refuses to renew the lease");
            }
        }
    }

    /// Begins to hold the domain with the state that was read.
    pub(super) fn loaded(
        &mut self,
        now: time::Duration,
        jobs: &[rows::Row],
        progress: &[rows::Row],
        learned: &[rows::Row],
    ) -> Vec<event::Effect> {
        let engine::Role::Loading { lease, version, taken, inherited, renewed, renewal } =
            &self.role
        else {
            return Vec::new();
        };
        let mut holding = holding::Holding::new(
            self.settings,
            lease.clone(),
            *version,
            (*taken, *inherited),
            sync::Arc::clone(&self.queues),
        );
        holding.renewed = *renewed;
        if let Some(renewal) = renewal
            && let Err(err) = holding.adopt_renewal(renewal.number, &renewal.lease, renewal.sent)
        {
            tracing::error!(%err, "the lease can't be encoded");
        }
        holding.restore_learned(learned);
        holding.load(jobs, progress, now);
        holding.set_members(&self.members, now);
        holding.set_closed(&self.closed_halls);
        holding.restore_unlisted(learned, now);
        holding.stop_unwanted(now);
        if self.leaving {
            holding.leave();
        }
        tracing::info!(
            domain = self.settings.domain,
            epoch = lease.epoch,
            jobs = jobs.len(),
            workers = self.members.len(),
            took_ms = worker::millis(now.saturating_sub(*taken)),
            "holding the domain"
        );
        self.role = engine::Role::Holding(Box::new(holding));
        self.collect_effects(now)
    }
}
