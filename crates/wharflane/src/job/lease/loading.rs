//! Loads the state of a domain after its lease was acquired, and renews the lease while loading.

use std::sync;
use std::time;

use crate::job::engine;
use crate::job::event;
use crate::job::holding;
use crate::job::rows as job_rows;
use crate::job::store::commit;
use crate::job::workers::worker;
use crate::rows;

/// How many lease periods loading may take, each renewed in time. A host that needs longer would
/// keep faster ones from taking over.
const MAX_LOAD_LEASES: u32 = 2;

impl engine::Engine {
    /// Renews the lease while loading, or steps down if loading takes too long.
    pub(in crate::job) fn continue_loading(&mut self, now: time::Duration) -> Vec<event::Effect> {
        let engine::Role::Loading(loading) = &mut self.role else {
            return Vec::new();
        };
        let engine::Loading { lease, version, acquired, inherited, renewed, renewal } =
            loading.as_mut();
        let lease_time = self.settings.lease.saturating_sub(self.settings.margin);
        let max_loading = lease_time * MAX_LOAD_LEASES;
        if now.saturating_sub(*renewed) >= lease_time
            || now.saturating_sub(*acquired) >= max_loading
        {
            self.step_down(now, "the state was not loaded in time");
            return Vec::new();
        }
        let due = match renewal {
            Some(renewal) => renewal.number.is_none(),
            None => self.leaving || now.saturating_sub(*renewed) >= self.settings.renew,
        };
        if !due {
            return Vec::new();
        }
        // A stopping host releases the lease instead of renewing it.
        let holder = lease.holder.clone().filter(|_| !self.leaving);
        let written_ms = self.store_clock.map(|clock| clock.ms(now));
        let new_renewal = || {
            let seq = lease.seq + 1;
            let mut lease = job_rows::Lease { seq, holder, written_ms, ..lease.clone() };
            inherited.hand_on(&mut lease, now);
            engine::Renewal { number: None, lease, sent: now }
        };
        let renewal = renewal.get_or_insert_with(new_renewal);
        let txn = match commit::lease_txn(self.settings.domain, *version, &renewal.lease) {
            Ok(txn) => txn,
            Err(err) => {
                tracing::error!(%err, "the lease can't be encoded; not renewing it");
                return Vec::new();
            }
        };
        self.numbers += 1;
        renewal.number = Some(self.numbers);
        vec![event::Effect::Txn(self.numbers, txn)]
    }

    /// Applies the result of a lease renewal that was made while loading.
    pub(in crate::job) fn handle_renewal_outcome(
        &mut self,
        now: time::Duration,
        number: u64,
        outcome: &rows::Outcome,
    ) {
        let engine::Role::Loading(loading) = &mut self.role else {
            return;
        };
        let engine::Loading { lease, version, renewed, renewal, .. } = loading.as_mut();
        let Some(mut in_flight) = renewal.take_if(|renewal| renewal.number == Some(number)) else {
            return;
        };
        match (commit::committed_version(outcome, &in_flight.lease), outcome) {
            (Some(_), _) if in_flight.lease.holder.is_none() => {
                self.step_down(now, "the lease was given up");
            }
            (Some(written), _) => {
                *version = written;
                *renewed = in_flight.sent;
                *lease = in_flight.lease;
            }
            (None, rows::Outcome::Unknown) => {
                // The write may have been committed, so only the same write may follow.
                in_flight.number = None;
                *renewal = Some(in_flight);
            }
            (None, rows::Outcome::Answered(_)) => {
                self.step_down(now, "another host has the lease");
            }
            (None, rows::Outcome::Refused) => {
                self.step_down(now, "the store refuses to renew the lease");
            }
        }
    }

    /// Starts to hold the domain with the loaded state.
    pub(in crate::job) fn finish_loading(
        &mut self,
        now: time::Duration,
        jobs: &[rows::Row],
        progress: &[rows::Row],
        learned: &[rows::Row],
    ) -> Vec<event::Effect> {
        let engine::Role::Loading(loading) = &self.role else {
            return Vec::new();
        };
        let engine::Loading { lease, version, acquired, inherited, renewed, renewal } =
            loading.as_ref();
        let mut holding = holding::Holding::new(
            self.settings,
            lease.clone(),
            *version,
            (*acquired, inherited.clone()),
            sync::Arc::clone(&self.queues),
        );
        holding.renewed = *renewed;
        holding.store_clock = self.store_clock;
        if let Some(renewal) = renewal
            && let Err(err) = holding.adopt_renewal(renewal.number, &renewal.lease, renewal.sent)
        {
            tracing::error!(%err, "the lease can't be encoded");
        }
        holding.restore_learned(learned);
        holding.restore_policies(learned);
        holding.load(jobs, progress, now);
        holding.set_members(&self.members, now);
        holding.set_closed_halls(&self.closed_halls);
        holding.restore_unlisted(learned, now);
        holding.stop_unwanted(now);
        if self.leaving {
            holding.leave();
        }
        tracing::info!(
            domain = self.settings.domain,
            epoch = lease.epoch,
            inherited_left_ms = inherited.left_ms(now),
            revision = self.queues.revision,
            jobs = jobs.len(),
            workers = self.members.len(),
            took_ms = worker::millis(now.saturating_sub(*acquired)),
            "holding the domain"
        );
        holding.log_unconfigured_queues();
        self.role = engine::Role::Holding(Box::new(holding));
        self.collect_effects(now)
    }
}
