//! What is on its way in the world: messages, when they arrive, and what they do there.

use std::time;

use rand::RngExt as _;
use wharflane::{job, rows as table};

use super::{fault, world};

/// The longest way of a message; what was accepted so long ago has been told.
const LONGEST_WAY: time::Duration = time::Duration::from_millis(8);
/// The time between two answers of the feed of accepted jobs where nothing changes.
pub(super) const FEED: time::Duration = time::Duration::from_millis(700);

/// A message on its way.
#[derive(Debug)]
pub(super) enum Message {
    /// To the store, from an incarnation of a host; answered unless the answer is lost.
    Txn(usize, u64, u64, table::Txn, bool),
    /// An order to start, answered unless the answer is lost.
    Start(usize, u64, job::Start, bool, time::Duration),
    /// An order to stop, from an incarnation of a host, and whether the answer is lost.
    Stop(usize, u64, job::Order, bool),
    /// A look and when it must be answered at the latest.
    Heartbeat(usize, u64, job::Heartbeat, time::Duration, bool),
    /// An incarnation of a host reads everything, and is told of every change from then on.
    Load(usize, u64),
    /// Back to an incarnation of a host.
    Back(usize, u64, Box<job::Event>),
    /// A fault begins.
    Fault(fault::Fault),
    /// A fault ends.
    Mend(fault::Fault, usize),
    /// A worker crashes under a task that it has just started.
    Crash(usize, job::TaskId, u32),
    /// Another incarnation of a crashed worker takes its place.
    Replace(usize),
    /// A worker starts again under its id.
    Restart(usize),
    /// A worker tells of its room.
    Beat(usize),
    /// The feed of accepted jobs answers the hosts that follow it.
    Feed,
    /// A caller hands in a job.
    Submit,
    /// A caller cancels a job.
    Cancel(job::JobId),
}

impl world::World {
    /// Sends a message that arrives after a time.
    pub(super) fn send(&mut self, after: time::Duration, message: Message) {
        self.sent += 1;
        self.mail.insert((self.now + after, self.sent), message);
    }

    /// Sends a message that arrives at some time while there are faults.
    pub(super) fn plan(&mut self, message: Message) {
        let most = u64::try_from(world::CALM_FROM.as_millis()).unwrap_or(0);
        let at = time::Duration::from_millis(self.rng.random_range(1_000..most));
        self.send(at, message);
    }

    /// Returns a way of some milliseconds.
    pub(super) fn way(&mut self) -> time::Duration {
        time::Duration::from_millis(self.rng.random_range(1..LONGEST_WAY.as_millis() as u64))
    }

    /// Lets a message arrive.
    pub(super) fn deliver(&mut self, message: Message) {
        match message {
            Message::Back(host, incarnation, event) => {
                if self.hosts[host].incarnation == incarnation {
                    self.step(host, *event);
                }
            }
            Message::Load(host, incarnation) => {
                if self.hosts[host].incarnation == incarnation {
                    let event = if self.down { job::Event::LoadFailed } else { self.loaded() };
                    self.step(host, job::Event::Listed(self.listed()));
                    self.load_closed(host);
                    self.step(host, event);
                }
            }
            Message::Txn(host, incarnation, number, txn, lost) => {
                if self.down {
                    return self.silent_txn(host, incarnation, number);
                }
                let answer = self.rows.send(&txn);
                if lost {
                    return self.silent_txn(host, incarnation, number);
                }
                let event = Box::new(job::Event::Txn { number, outcome: answer });
                let way = self.way();
                self.send(way, Message::Back(host, incarnation, event));
            }
            Message::Start(host, incarnation, start, lost, ordered) => {
                self.start(host, incarnation, &start, lost, ordered);
            }
            Message::Stop(host, incarnation, order, lost) => {
                let now = self.now;
                let taken = self.reach(&order.worker).map(|worker| worker.stop(&order, now));
                if taken != Some(true) && !lost {
                    self.stop_not_taken(host, incarnation, order);
                }
            }
            Message::Heartbeat(host, incarnation, heartbeat, latest, lost) => {
                self.handle_heartbeat(host, incarnation, heartbeat, latest, lost);
            }
            Message::Fault(fault) => self.strike(fault),
            Message::Mend(fault, at) => self.mend(fault, at),
            Message::Crash(at, task, run) => self.crash_under(at, task, run),
            Message::Replace(at) => self.replace(at),
            Message::Restart(at) => self.start_again(at),
            Message::Beat(at) => self.tell_member(at),
            Message::Feed => self.feed(),
            Message::Submit => self.submit(),
            Message::Cancel(job) => self.cancel(job),
        }
    }

    /// Lets the feed of accepted jobs tell all hosts up to when they have heard all of them.
    fn feed(&mut self) {
        self.send(FEED, Message::Feed);
        if self.down {
            return;
        }
        if self.faults.closings > 0 {
            self.tell_closed();
        }
        let up_to = self.now.saturating_sub(LONGEST_WAY);
        let event = job::Event::JobsReadUpTo { up_to_ms: world::millis(up_to) };
        for host in 0..self.hosts.len() {
            let incarnation = self.hosts[host].incarnation;
            self.send(LONGEST_WAY, Message::Back(host, incarnation, Box::new(event.clone())));
        }
    }
}
