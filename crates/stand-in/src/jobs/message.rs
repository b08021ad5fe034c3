//! Messages in flight in the simulation, and what happens when they arrive.

use std::sync;
use std::time;

use rand::RngExt as _;
use wharflane::job::early_cancel;
use wharflane::{job, rows as table};

use super::{fault, world};

/// The upper bound of a message's delay; a job that was accepted before that has been delivered.
const MAX_DELAY: time::Duration = time::Duration::from_millis(8);
/// The time between two answers of the feed of accepted jobs when nothing changes.
pub(super) const FEED_INTERVAL: time::Duration = time::Duration::from_millis(700);

/// A message in flight.
#[derive(Debug)]
pub(super) enum Message {
    /// A transaction for the store from an incarnation of a host, with its number; the flag is set
    /// if its answer is lost.
    Txn(usize, u64, u64, table::Txn, bool),
    /// An order to start, with the time of the order; the flag is set if its answer is lost.
    Start(usize, u64, job::Start, bool, time::Duration),
    /// An order to stop from an incarnation of a host; the flag is set if its answer is lost.
    Stop(usize, u64, job::Order, bool),
    /// A heartbeat, the time by which it must be answered, and whether its answer is lost.
    Heartbeat(usize, u64, job::Heartbeat, time::Duration, bool),
    /// A read of all rows by an incarnation of a host, which receives every later change.
    Load(usize, u64),
    /// An event for an incarnation of a host; dropped if the host has restarted since.
    Back(usize, u64, Box<job::Event>),
    /// A fault begins.
    Fault(fault::Kind),
    /// A fault ends, at the host, worker or hall with this index.
    EndFault(fault::Kind, usize),
    /// A worker crashes if it still has this run of a crashing task.
    Crash(usize, job::TaskId, u32),
    /// Another incarnation takes the place of a crashed worker.
    Replace(usize),
    /// The next incarnation of a worker starts under the same id.
    Restart(usize),
    /// The next incarnation of a worker starts under the same id, and is cut off soon after.
    ReturnThenCut(usize),
    /// A worker is cut off after its return.
    CutOff(usize),
    /// The next incarnation of a worker starts under the same id, and is cut off from all soon after.
    ReturnThenCutFromAll(usize),
    /// A worker is cut off from all after its return.
    CutOffFromAll(usize),
    /// A worker is cut off from all and restarts behind the cut.
    CutThenRestart(usize),
    /// A worker crashes behind a cut that lasts until this time.
    CrashBehindCut(usize, time::Duration),
    /// The next incarnation of a worker starts behind a cut that lasts until this time.
    ReturnBehindCut(usize, time::Duration),
    /// The entry of a worker that writes no more lapses.
    LapseEntry(usize),
    /// The store lists an incarnation of a worker in place of the one before it.
    ListIncarnation(usize),
    /// The holder is killed.
    KillHolder,
    /// A worker reports its capacity.
    Report(usize),
    /// The feed of accepted jobs answers the hosts that follow it.
    Feed,
    /// A share takes effect at a worker.
    Share(job::SetShare),
    /// A wave crashes a share of the workers.
    Wave,
    /// An outage of the store begins.
    BeginOutage,
    /// A worker whose entry has lapsed is listed again.
    ListAgain(usize),
    /// A share of the workers can't be reached any more.
    BeginCut,
    /// A series of changes of the holder begins.
    BeginHandovers,
    /// The holder changes, as the first of this many changes.
    ChangeHolder(u32),
    /// The operator writes another configuration.
    ChangeConfiguration,
    /// The operator writes a configuration with all queues.
    RestoreQueues,
    /// An incarnation of a host reads the newest configuration.
    ReadConfiguration(usize, u64),
    /// An incarnation of a host ends after it was stopped.
    EndHost(usize, u64),
    /// A long-running task fails.
    FailLasting,
    /// A caller submits a random job.
    Submit,
    /// A caller submits this job.
    SubmitJob(job::JobId, Box<job::Job>),
    /// A caller cancels a job.
    Cancel(job::JobId),
    /// A caller submits a random job whose write takes effect late.
    SubmitInDoubt,
    /// The late write of a submission takes effect.
    WriteLate(early_cancel::Submitted),
    /// A caller submits a job again.
    SubmitAgain(job::JobId),
    /// A caller cancels a job that may not be stored.
    CancelAnywhere(job::JobId),
}

impl world::World {
    /// Sends a message that arrives after a delay.
    pub(super) fn send(&mut self, after: time::Duration, message: Message) {
        self.sent += 1;
        self.messages.insert((self.now + after, self.sent), message);
    }

    /// Sends a message that arrives at a random time while there are faults.
    pub(super) fn send_at_random(&mut self, message: Message) {
        let until = u64::try_from(world::FAULTS_UNTIL.as_millis()).unwrap_or(0);
        let at = time::Duration::from_millis(self.rng.random_range(1_000..until));
        self.send(at, message);
    }

    /// Draws the delay of a message, below `MAX_DELAY`.
    pub(super) fn draw_delay(&mut self) -> time::Duration {
        time::Duration::from_millis(self.rng.random_range(1..MAX_DELAY.as_millis() as u64))
    }

    /// Handles a message that arrives.
    pub(super) fn deliver(&mut self, message: Message) {
        match message {
            Message::Back(host, incarnation, event) => {
                if self.hosts[host].incarnation == incarnation {
                    self.step(host, *event);
                }
            }
            Message::Load(host, incarnation) => {
                if self.hosts[host].incarnation == incarnation {
                    let event = match self.is_store_silent(host) {
                        true => job::Event::LoadFailed,
                        false => self.domain_rows(),
                    };
                    self.step(host, job::Event::Listed(self.listed_members()));
                    self.send_closed_halls(host);
                    self.step(host, event);
                }
            }
            Message::Txn(host, incarnation, number, txn, lost) => {
                if self.is_store_silent(host) {
                    return self.fail_txn(host, incarnation, number);
                }
                let answer = self.rows.send(&txn);
                if lost {
                    self.waits.note_disturbance(self.now);
                    return self.fail_txn(host, incarnation, number);
                }
                let event = Box::new(job::Event::Txn { number, outcome: answer });
                let delay = self.draw_delay();
                self.send(delay, Message::Back(host, incarnation, event));
            }
            Message::Start(host, incarnation, start, lost, ordered) => {
                self.start(host, incarnation, &start, lost, ordered);
            }
            Message::Stop(host, incarnation, order, lost) => {
                let now = self.now;
                if lost {
                    self.waits.note_disturbance(now);
                }
                let answered = !self.loses_answers(&order.worker);
                let accepted = self.reach(&order.worker).map(|worker| worker.stop(&order, now));
                if (accepted != Some(true) || !answered) && !lost {
                    self.fail_stop(host, incarnation, order);
                }
            }
            Message::Heartbeat(host, incarnation, heartbeat, deadline, lost) => {
                self.handle_heartbeat(host, incarnation, heartbeat, deadline, lost);
            }
            Message::Fault(fault) => self.inject(fault),
            Message::EndFault(fault, at) => self.end_fault(fault, at),
            Message::Crash(at, task, run) => self.crash_if_running(at, task, run),
            Message::Replace(at) => self.replace(at),
            Message::Restart(at) => self.add_next_incarnation(at),
            Message::ReturnThenCut(at) => self.return_then_cut(at),
            Message::CutOff(at) => self.cut_off_after_return(at),
            Message::ReturnThenCutFromAll(at) => self.return_then_cut_from_all(at),
            Message::CutOffFromAll(at) => self.cut_off_from_all(at),
            Message::CutThenRestart(at) => self.cut_then_restart(at),
            Message::CrashBehindCut(at, cut_until) => self.crash_behind_cut(at, cut_until),
            Message::ReturnBehindCut(at, cut_until) => self.return_behind_cut(at, cut_until),
            Message::LapseEntry(at) => self.lapse_entry(at),
            Message::ListIncarnation(at) => self.list_incarnation(at),
            Message::KillHolder => self.kill_holder(),
            Message::Report(at) => self.announce_member(at),
            Message::Feed => self.answer_feed(),
            Message::Share(change) => self.share(&change),
            Message::Wave => self.crash_wave(),
            Message::BeginOutage => self.begin_outage(),
            Message::ListAgain(at) => self.list_again(at),
            Message::BeginCut => self.begin_cut(),
            Message::BeginHandovers => self.begin_handovers(),
            Message::ChangeHolder(left) => self.change_holder(left),
            Message::ChangeConfiguration => self.change_configuration(),
            Message::RestoreQueues => self.restore_queues(),
            Message::ReadConfiguration(host, incarnation) => {
                if self.hosts[host].incarnation == incarnation {
                    let queues = sync::Arc::clone(&self.configuration.newest);
                    self.step(host, job::Event::Queues(queues));
                }
            }
            Message::EndHost(host, incarnation) => self.end_host(host, incarnation),
            Message::FailLasting => self.fail_lasting(),
            Message::Submit => self.submit(),
            Message::SubmitJob(id, job) => self.accept(id, *job),
            Message::Cancel(job) => self.cancel(job),
            Message::SubmitInDoubt => self.submit_in_doubt(),
            Message::WriteLate(submitted) => self.write_late(submitted),
            Message::SubmitAgain(job) => self.submit_again(job),
            Message::CancelAnywhere(job) => self.cancel_anywhere(job),
        }
    }

    /// Makes the feed of accepted jobs report to all hosts the time up to which they have received
    /// every accepted job.
    fn answer_feed(&mut self) {
        self.send(FEED_INTERVAL, Message::Feed);
        if self.down {
            return;
        }
        if self.faults.closings > 0 {
            self.announce_closed_halls();
        }
        let up_to = self.now.saturating_sub(MAX_DELAY);
        let event = job::Event::JobsReadUpTo { up_to_ms: world::millis(up_to) };
        for host in self.hosts_with_feeds() {
            let incarnation = self.hosts[host].incarnation;
            self.send(MAX_DELAY, Message::Back(host, incarnation, Box::new(event.clone())));
        }
    }
}
