//! What strikes the world: hosts, the store and workers fail for a time.

use std::time;

use rand::RngExt as _;
use wharflane::{job, size};

use super::{fault, mail, world};

/// The time between two beats of a worker, in milliseconds.
const BEAT_MS: u64 = 1_100;
/// What each worker of the world has.
pub(super) const ROOM: size::Size = size::Size { cpu_milli: 4_000, mem_mb: 4_000, accelerators: 0 };

impl world::World {
    /// Lets a fault begin.
    pub(super) fn strike(&mut self, fault: fault::Fault) {
        let holder = self
            .hosts
            .iter()
            .position(|host| host.engine.as_ref().is_some_and(|engine| engine.holding().is_some()));
        let worker = self.rng.random_range(0..self.workers.len());
        let (at, secs) = match fault {
            fault::Fault::Kill
            | fault::Fault::Freeze
            | fault::Fault::Suspend
            | fault::Fault::Remove => {
                let Some(holder) = holder else {
                    return;
                };
                (holder, 4)
            }
            fault::Fault::Close => (0, 8),
            fault::Fault::Outage => (0, 4),
            fault::Fault::Shrink => (worker, 6),
            fault::Fault::Crash => (worker, 4),
            fault::Fault::Unlist => (worker, 8),
            fault::Fault::Cut => (worker, 7),
            fault::Fault::Sick => (worker, 5),
            fault::Fault::Restart => return self.restart(worker),
        };
        let at = if matches!(fault, fault::Fault::Close) { self.close() } else { at };
        match fault {
            fault::Fault::Close => {}
            fault::Fault::Kill | fault::Fault::Remove => {
                self.hosts[at].engine = None;
                self.hosts[at].incarnation += 1;
            }
            fault::Fault::Freeze | fault::Fault::Suspend => self.hosts[at].frozen = true,
            fault::Fault::Outage => self.down = true,
            fault::Fault::Shrink => {
                let now = self.now;
                let worker = &mut self.workers[at];
                worker.shrunk = Some(now);
                worker.capacity.cpu_milli = ROOM.cpu_milli / 3;
                self.beat(at);
            }
            fault::Fault::Crash => {
                if !self.workers[at].alive {
                    return;
                }
                self.workers[at].alive = false;
            }
            fault::Fault::Unlist => {
                if !self.workers[at].alive || !self.workers[at].listed {
                    return;
                }
                self.workers[at].listed = false;
                self.tell_member(at);
            }
            fault::Fault::Cut => self.workers[at].reachable = false,
            fault::Fault::Sick => self.workers[at].fails_all = true,
            fault::Fault::Restart => {}
        }
        self.send(time::Duration::from_secs(secs), mail::Message::Mend(fault, at));
    }

    /// Lets a fault end.
    pub(super) fn mend(&mut self, fault: fault::Fault, at: usize) {
        match fault {
            fault::Fault::Kill => {
                if self.hosts[at].engine.is_none() {
                    self.boot(at);
                }
            }
            fault::Fault::Remove => {
                self.hosts.push(world::Host::default());
                self.boot(self.hosts.len() - 1);
            }
            fault::Fault::Freeze | fault::Fault::Suspend => {
                self.hosts[at].frozen = false;
                let inbox = std::mem::take(&mut self.hosts[at].inbox);
                inbox.into_iter().for_each(|event| self.step(at, event));
            }
            fault::Fault::Close => self.open(at),
            fault::Fault::Outage => self.down = false,
            fault::Fault::Shrink => {
                self.workers[at].capacity = ROOM;
                self.beat(at);
            }
            fault::Fault::Crash if self.keeps_id() => self.start_again(at),
            fault::Fault::Crash => {
                self.workers[at].listed = false;
                self.add_worker();
                self.tell_member(at);
                self.tell_member(self.workers.len() - 1);
            }
            fault::Fault::Unlist if self.keeps_id() => {
                self.workers[at].alive = false;
                self.start_again(at);
            }
            fault::Fault::Unlist => {
                self.workers[at].alive = false;
                self.add_worker();
                self.tell_member(self.workers.len() - 1);
            }
            fault::Fault::Cut => self.workers[at].reachable = true,
            fault::Fault::Sick => self.workers[at].fails_all = false,
            fault::Fault::Restart => {}
        }
    }

    /// Lets a worker's next beat tell of its room.
    fn beat(&mut self, at: usize) {
        let after = time::Duration::from_millis(self.rng.random_range(0..BEAT_MS));
        self.send(after, mail::Message::Beat(at));
    }

    /// Tells all hosts how a worker is listed.
    pub(super) fn tell_member(&mut self, at: usize) {
        let worker = &self.workers[at];
        let entry = worker.listed.then(|| world::member(worker));
        let event = job::Event::Member(worker.incarnation.worker.clone(), entry);
        for host in 0..self.hosts.len() {
            let incarnation = self.hosts[host].incarnation;
            let way = self.way();
            self.send(way, mail::Message::Back(host, incarnation, Box::new(event.clone())));
        }
    }
}
