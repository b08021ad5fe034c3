//! Injects faults into the simulation: hosts, the store, halls and workers fail for a time.

use std::time;

use rand::RngExt as _;
use wharflane::{job, size};

use super::{fault, message, world};

/// The time between two reports of a worker's capacity, in milliseconds.
const REPORT_INTERVAL_MS: u64 = 1_100;
/// The capacity of every worker.
pub(super) const CAPACITY: size::Size =
    size::Size { cpu_milli: 4_000, mem_mb: 4_000, accelerators: 0 };

impl world::World {
    /// Begins a fault and schedules its end.
    pub(super) fn inject(&mut self, fault: fault::Kind) {
        self.waits.note_disturbance(self.now);
        let holder = self.holder();
        let worker = self.rng.random_range(0..self.workers.len());
        let (at, secs) = match fault {
            fault::Kind::Kill
            | fault::Kind::Freeze
            | fault::Kind::Suspend
            | fault::Kind::StoreCut
            | fault::Kind::Remove => {
                let Some(holder) = holder else {
                    return;
                };
                (holder, if matches!(fault, fault::Kind::StoreCut) { 5 } else { 4 })
            }
            fault::Kind::Close => (0, 8),
            fault::Kind::Outage => (0, 4),
            fault::Kind::Shrink => (worker, 6),
            fault::Kind::Crash => (worker, 4),
            fault::Kind::Unlist => (worker, 8),
            fault::Kind::Cut => (worker, 7),
            fault::Kind::FailTasks => (worker, 5),
            fault::Kind::Restart => return self.restart(worker),
            fault::Kind::RestartThenCut => return self.restart_then_cut(),
            fault::Kind::RestartThenCutFromAll => return self.restart_then_cut_from_all(),
            fault::Kind::RestartBehindCut => return self.cut_from_all_then_restart(),
        };
        let at = if matches!(fault, fault::Kind::Close) { self.close_hall() } else { at };
        match fault {
            fault::Kind::Close => {}
            fault::Kind::Kill => return self.kill_host(at, time::Duration::from_secs(secs)),
            fault::Kind::Remove => {
                self.hosts[at].engine = None;
                self.hosts[at].incarnation += 1;
            }
            fault::Kind::Freeze | fault::Kind::Suspend => self.hosts[at].frozen = true,
            fault::Kind::Outage => self.down = true,
            fault::Kind::StoreCut => self.hosts[at].cut_since = Some(self.now),
            fault::Kind::Shrink => {
                let now = self.now;
                let worker = &mut self.workers[at];
                worker.shrunk_at = Some(now);
                worker.capacity.cpu_milli = CAPACITY.cpu_milli / 3;
                self.schedule_report(at);
            }
            fault::Kind::Crash => {
                if !self.workers[at].alive {
                    return;
                }
                self.workers[at].alive = false;
            }
            fault::Kind::Unlist => {
                if !self.workers[at].alive || !self.workers[at].listed {
                    return;
                }
                self.workers[at].listed = false;
                self.announce_member(at);
            }
            fault::Kind::Cut => {
                return self.cut_off_worker(at, time::Duration::from_secs(secs));
            }
            fault::Kind::FailTasks => self.workers[at].fails_every_task = true,
            fault::Kind::Restart
            | fault::Kind::RestartThenCut
            | fault::Kind::RestartThenCutFromAll
            | fault::Kind::RestartBehindCut => {}
        }
        self.waits.open_faults += 1;
        self.send(time::Duration::from_secs(secs), message::Message::EndFault(fault, at));
    }

    /// Returns the host that holds the domain.
    pub(super) fn holder(&self) -> Option<usize> {
        let holds = |engine: &job::Engine| engine.holding().is_some();
        self.hosts.iter().position(|host| host.engine.as_ref().is_some_and(holds))
    }

    /// Kills the process of a host, which starts again after a time.
    pub(super) fn kill_host(&mut self, at: usize, down: time::Duration) {
        self.waits.note_disturbance(self.now);
        self.hosts[at].engine = None;
        self.hosts[at].incarnation += 1;
        self.waits.open_faults += 1;
        self.send(down, message::Message::EndFault(fault::Kind::Kill, at));
    }

    /// Makes a worker unreachable for a time, in which it runs on.
    pub(super) fn cut_off_worker(&mut self, at: usize, cut: time::Duration) {
        self.waits.note_disturbance(self.now);
        self.workers[at].reachable = false;
        self.workers[at].cut_since = Some(self.now);
        self.waits.open_faults += 1;
        self.send(cut, message::Message::EndFault(fault::Kind::Cut, at));
    }

    /// Ends a fault.
    pub(super) fn end_fault(&mut self, fault: fault::Kind, at: usize) {
        self.waits.open_faults -= 1;
        self.waits.note_disturbance(self.now);
        match fault {
            fault::Kind::Kill => {
                if self.hosts[at].engine.is_none() {
                    self.start_host(at);
                }
            }
            fault::Kind::Remove => {
                self.hosts.push(world::Host::default());
                self.start_host(self.hosts.len() - 1);
            }
            fault::Kind::Freeze | fault::Kind::Suspend => {
                self.hosts[at].frozen = false;
                let inbox = std::mem::take(&mut self.hosts[at].inbox);
                inbox.into_iter().for_each(|event| self.step(at, event));
            }
            fault::Kind::Close => self.open_hall(at),
            fault::Kind::Outage => self.end_outage(),
            fault::Kind::StoreCut => {
                self.hosts[at].cut_since = None;
                self.catch_up_feeds(at);
            }
            fault::Kind::Shrink => {
                self.workers[at].capacity = CAPACITY;
                self.schedule_report(at);
            }
            fault::Kind::Crash if self.draws_same_id() => self.add_next_incarnation(at),
            fault::Kind::Crash => {
                self.workers[at].listed = false;
                self.add_worker();
                self.announce_member(at);
                self.announce_member(self.workers.len() - 1);
            }
            fault::Kind::Unlist if self.draws_same_id() => {
                self.workers[at].alive = false;
                self.add_next_incarnation(at);
            }
            fault::Kind::Unlist => {
                self.workers[at].alive = false;
                self.add_worker();
                self.announce_member(self.workers.len() - 1);
            }
            fault::Kind::Cut => {
                self.workers[at].reachable = true;
                self.workers[at].cut_since = None;
                self.workers[at].answers_lost_from = None;
            }
            fault::Kind::FailTasks => self.workers[at].fails_every_task = false,
            fault::Kind::Restart
            | fault::Kind::RestartThenCut
            | fault::Kind::RestartThenCutFromAll
            | fault::Kind::RestartBehindCut => {}
        }
    }

    /// Sends a host what its feeds would have told it while the store was silent for it.
    pub(super) fn catch_up_feeds(&mut self, host: usize) {
        let jobs = job::job_parts(0).flat_map(|part| self.rows.all(job::JOBS, &part)).collect();
        let events = [
            job::Event::Jobs(jobs),
            job::Event::Listed(self.listed_members()),
            job::Event::Closed(self.closed_halls()),
        ];
        let incarnation = self.hosts[host].incarnation;
        let delay = self.draw_delay();
        for event in events {
            self.send(delay, message::Message::Back(host, incarnation, Box::new(event)));
        }
    }

    /// Schedules the next report of a worker's capacity.
    fn schedule_report(&mut self, at: usize) {
        let after = time::Duration::from_millis(self.rng.random_range(0..REPORT_INTERVAL_MS));
        self.send(after, message::Message::Report(at));
    }

    /// Sends the entry of a worker, or its removal, to all hosts. In an outage of the plan the feeds
    /// are silent, and hosts catch up at its end.
    pub(super) fn announce_member(&mut self, at: usize) {
        if self.down && self.plan.outages.is_some() {
            return;
        }
        let worker = &self.workers[at];
        let entry = worker.listed.then(|| world::member(worker));
        let event = job::Event::Member(worker.incarnation.worker.clone(), entry);
        for host in self.hosts_with_feeds() {
            let incarnation = self.hosts[host].incarnation;
            let delay = self.draw_delay();
            self.send(delay, message::Message::Back(host, incarnation, Box::new(event.clone())));
        }
    }
}
