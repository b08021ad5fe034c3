//! The kinds of faults of a simulation, and how often each of them occurs.

/// How often each fault occurs: as a probability in thousandths, or as a count over the part of the
/// simulation that has faults.
#[derive(Clone, Copy, Debug, Default)]
pub struct Faults {
    /// Probability of a start that gets no answer and is carried out 2 to 12 s later.
    pub late_starts: u32,
    /// Probability of a heartbeat or start that is carried out and gets no answer.
    pub lost_answers: u32,
    /// Probability of a stop that gets no answer; half of these are never carried out, and half 2
    /// to 12 s later.
    pub lost_stops: u32,
    /// Probability of a transaction that is committed and gets no answer.
    pub lost_txns: u32,
    /// Probability of a transaction that is committed 1 to 6 s later and gets no answer.
    pub late_txns: u32,
    /// Count of kills of the holder.
    pub kills: u32,
    /// Count of holders that are removed permanently; another host joins 4 s later.
    pub removals: u32,
    /// Count of freezes of the holder for 4 s.
    pub freezes: u32,
    /// Probability of a probe of a running holder that is refused or lost.
    pub refused_probes: u32,
    /// Count of outages of the store for 4 s.
    pub outages: u32,
    /// Count of holders that the store leaves without answers for 5 s while it answers others.
    pub store_cuts: u32,
    /// Count of workers that crash without notice; a new incarnation starts 4 s later.
    pub crashes: u32,
    /// Count of workers whose entry is removed while they keep running for 8 s; then a new
    /// incarnation starts.
    pub unlisted: u32,
    /// Count of workers that are unreachable for 7 s and keep running.
    pub cuts: u32,
    /// Count of workers that fail every task they start for 5 s.
    pub failing_workers: u32,
    /// Count of suspensions of the holder for 4 s.
    pub suspends: u32,
    /// Count of workers whose capacity shrinks to a third for 6 s; if not zero, no worker refuses a
    /// start for lack of capacity.
    pub shrinks: u32,
    /// Count of closings of a hall for 8 s; the hall is drawn and may be closed already.
    pub closings: u32,
    /// Share of jobs with a task that crashes every worker that starts it, in thousandths.
    pub crashing_tasks: u32,
    /// Probability that a worker crashes only a while after it starts such a task.
    pub late_crashes: u32,
    /// Count of workers that restart under their id, after 20 to 1,500 ms.
    pub restarts: u32,
    /// Count of workers that restart likewise and are cut off for 9 s, 0 to 1.2 s after their return.
    pub restarts_then_cut: u32,
    /// Count of workers that restart likewise and are cut off from the hosts and the store for 9 s, 0
    /// to 1.2 s after their return.
    pub restarts_then_cut_from_all: u32,
    /// Count of workers that are cut off from the hosts and the store for 9 s and restart under their
    /// id meanwhile.
    pub restarts_behind_cuts: u32,
    /// Probability that the holder is killed between such a return, or the begin of the last kind,
    /// and 1 s after the cut.
    pub kills_beside_cuts: u32,
    /// Probability that the next incarnation of a worker lost for another reason keeps the id.
    pub same_id: u32,
    /// Probability of an answer to a heartbeat or start that takes 100 to 600 ms longer.
    pub slow_answers: u32,
}

/// A kind of fault that begins at one moment and, except for a restart, ends at another.
#[derive(Clone, Copy, Debug)]
pub(super) enum Kind {
    /// The holder is killed.
    Kill,
    /// The holder is removed permanently.
    Remove,
    /// The holder is frozen: it handles no event.
    Freeze,
    /// The holder is suspended, which the simulation treats like a freeze.
    Suspend,
    /// The capacity of a worker shrinks.
    Shrink,
    /// A hall is closed.
    Close,
    /// The store is down.
    Outage,
    /// The store leaves the holder without answers.
    StoreCut,
    /// A worker crashes.
    Crash,
    /// The entry of a worker is removed.
    Unlist,
    /// A worker can't be reached.
    Cut,
    /// A worker fails every task.
    FailTasks,
    /// A worker restarts under its id.
    Restart,
    /// A worker restarts under its id and is cut off soon after its return.
    RestartThenCut,
    /// A worker restarts under its id and is cut off from the hosts and the store after its return.
    RestartThenCutFromAll,
    /// A worker is cut off from the hosts and the store and restarts under its id meanwhile.
    RestartBehindCut,
}
