//! Performs the effects that engines return: sends messages, and returns their answers or their
//! loss to the engines as events.

use std::time;

use rand::RngExt as _;
use wharflane::{job, rows as table};

use super::message::Message;
use super::world;

/// How long a share takes to take effect after the order.
const SHARE_DELAY: time::Duration = time::Duration::from_millis(100);

impl world::World {
    /// Performs one effect of a host's engine.
    pub(super) fn perform(&mut self, host: usize, incarnation: u64, effect: job::Effect) {
        let delay = self.draw_delay();
        match effect {
            job::Effect::ReadLease => {
                let row = self.rows.get(&job::lease_key(0)).map(|row| {
                    let value = row.value.unwrap_or_default();
                    (row.version, serde_json::from_str(&value).unwrap_or_default())
                });
                let store_ms = self.plan.lease_claims.then(|| world::millis(self.now));
                let event = match self.is_store_silent(host) {
                    true => job::Event::LeaseUnread,
                    false => job::Event::LeaseRead { row, store_ms },
                };
                self.send(delay, Message::Back(host, incarnation, Box::new(event)));
            }
            job::Effect::Probe { version, addr, delay: claim_delay } => {
                let at = usize::from(addr.port() - world::FIRST_PORT);
                let refused_anyway = self.chance(self.faults.refused_probes);
                let result =
                    match (self.hosts[at].engine.is_none() || refused_anyway, self.chance(500)) {
                        (false, _) => self.claim_lease(at, version, claim_delay),
                        (true, false) => job::ProbeResult::Refused,
                        (true, true) => job::ProbeResult::Silent,
                    };
                let event = Box::new(job::Event::Probed { version, result });
                self.send(delay, Message::Back(host, incarnation, event));
            }
            job::Effect::Load => {
                self.send(delay, Message::Load(host, incarnation));
            }
            job::Effect::Txn(number, txn) => {
                if self.chance(self.faults.late_txns) {
                    let late = time::Duration::from_millis(self.rng.random_range(1_000..6_000));
                    self.send(late, Message::Txn(host, incarnation, number, txn, true));
                    self.fail_txn(host, incarnation, number);
                } else {
                    let lost = self.chance(self.faults.lost_txns);
                    self.send(delay, Message::Txn(host, incarnation, number, txn, lost));
                }
            }
            job::Effect::Start(start) => {
                let late = self.chance(self.faults.late_starts);
                let lost = late || self.chance(self.faults.lost_answers);
                let late_ms = self.rng.random_range(2_000..12_000);
                let delay = if late { time::Duration::from_millis(late_ms) } else { delay };
                let message = Message::Start(host, incarnation, start.clone(), lost, self.now);
                self.send(delay, message);
                if lost {
                    let answer = job::StartAnswer::Silent;
                    let event = job::Event::Started { order: start.order, answer };
                    let after = time::Duration::from_millis(600);
                    self.send(after, Message::Back(host, incarnation, Box::new(event)));
                }
            }
            job::Effect::Stop(order) => {
                let lost = self.chance(self.faults.lost_stops);
                let late_ms = self.rng.random_range(2_000..12_000);
                let late = lost && self.rng.random_range(0..2) == 0;
                if late {
                    let after = time::Duration::from_millis(late_ms);
                    self.send(after, Message::Stop(host, incarnation, order.clone(), true));
                }
                if lost {
                    return self.fail_stop(host, incarnation, order);
                }
                self.send(delay, Message::Stop(host, incarnation, order, false));
            }
            job::Effect::SendHeartbeat(heartbeat) => {
                let lost = self.chance(self.faults.lost_answers);
                let deadline = self.now + delay + heartbeat.wait;
                self.send(delay, Message::Heartbeat(host, incarnation, heartbeat, deadline, lost));
            }
            job::Effect::SetShare(change) => {
                self.send(delay + SHARE_DELAY, Message::Share(change));
            }
            job::Effect::RequestAdvice(request) => self.advise(host, incarnation, request),
            job::Effect::Drop(..) | job::Effect::RemoveEarlyCancel { .. } => {}
        }
    }

    /// Asks a host for its lease, as another host does that finds the lease standing still.
    fn claim_lease(&mut self, at: usize, version: u64, delay: time::Duration) -> job::ProbeResult {
        let now = self.now;
        let host = &mut self.hosts[at];
        let silence = host.cut_since.map_or(time::Duration::ZERO, |since| now - since);
        let answers = self.plan.lease_claims && !host.frozen;
        let engine = host.engine.as_mut().filter(|_| answers);
        let claim = engine.map(|engine| engine.answer_claim(now, version, delay, silence));
        match claim {
            Some(job::LeaseClaim::Vacated) => job::ProbeResult::Vacated,
            Some(job::LeaseClaim::Claimed { claimed_for }) => {
                job::ProbeResult::Listens { claimed_for: Some(claimed_for) }
            }
            // A holder of a plan without claims listens and tells nothing.
            None => job::ProbeResult::Listens { claimed_for: Some(time::Duration::ZERO) },
        }
    }

    /// Reports to a host, after a timeout, that a stop got no answer.
    pub(super) fn fail_stop(&mut self, host: usize, incarnation: u64, order: job::Order) {
        let event = Box::new(job::Event::StopNotTaken(order));
        self.send(time::Duration::from_millis(600), Message::Back(host, incarnation, event));
    }

    /// Reports to a host, after a timeout, that a transaction got no answer.
    pub(super) fn fail_txn(&mut self, host: usize, incarnation: u64, number: u64) {
        let event = Box::new(job::Event::Txn { number, outcome: table::Outcome::Unknown });
        self.send(time::Duration::from_millis(800), Message::Back(host, incarnation, event));
    }

    /// Returns the rows of the domain as a new holder loads them.
    pub(super) fn domain_rows(&self) -> job::Event {
        let part = job::part(0);
        job::Event::Loaded {
            jobs: job::job_parts(0).flat_map(|part| self.rows.all(job::JOBS, &part)).collect(),
            progress: self.rows.all(job::PROGRESS, &part),
            learned: self.rows.all(job::LEARNED, &part),
        }
    }

    /// Returns the entries of all listed workers.
    pub(super) fn listed_members(&self) -> Vec<job::Member> {
        self.workers.iter().filter(|worker| worker.listed).map(world::member).collect()
    }
}
