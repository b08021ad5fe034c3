//! What goes wrong in the world, and how much.

/// How much goes wrong, as chances in thousandths or counts over the time of faults.
#[derive(Clone, Copy, Debug, Default)]
pub struct Faults {
    /// Starts without an answer that are carried out 2 to 12 s later.
    pub late_starts: u32,
    /// Looks and starts that are carried out and not answered.
    pub lost_answers: u32,
    /// Stops without an answer, half of which are never carried out and half 2 to 12 s later.
    pub lost_stops: u32,
    /// Transactions that are made and not answered.
    pub lost_txns: u32,
    /// Transactions that are made 1 to 6 s later and not answered.
    pub late_txns: u32,
    /// Kills of the holder.
    pub kills: u32,
    /// Holders that are removed for good; another host joins 4 s later.
    pub removals: u32,
    /// Freezes of the holder for 4 s.
    pub freezes: u32,
    /// Probes of a living holder that are refused or lost on the way.
    pub refused_probes: u32,
    /// Outages of the store for 4 s.
    pub outages: u32,
    /// Workers that die in silence; a new incarnation comes 4 s later.
    pub crashes: u32,
    /// Workers whose entry goes while they serve on for 8 s; a new incarnation comes then.
    pub unlisted: u32,
    /// Workers that can't be reached for 7 s and run on.
    pub cuts: u32,
    /// Workers that fail all that they start for 5 s.
    pub sick: u32,
    /// Suspensions of the holder for 4 s.
    pub suspends: u32,
    /// Workers whose room shrinks to a third for 6 s; none of the world guards its room then.
    pub shrinks: u32,
    /// Halls that are closed for 8 s, each other time beside one that is closed already.
    pub closings: u32,
    /// Jobs with a task that crashes each worker that starts it, in thousandths of all jobs.
    pub culprits: u32,
    /// Starts of such a task after which its worker goes down only a while later, in thousandths.
    pub late_culprits: u32,
    /// Workers that restart under their id, away for 20 to 1,500 ms.
    pub restarts: u32,
    /// Workers that are lost for another reason and whose next incarnation has their id, in thousandths.
    pub same_id: u32,
    /// Answers to looks and starts that take 100 to 600 ms more, in thousandths.
    pub slow_answers: u32,
}

/// A kind of fault that strikes one thing for a time.
#[derive(Clone, Copy, Debug)]
pub(super) enum Fault {
    /// The holder is killed.
    Kill,
    /// The holder is removed for good.
    Remove,
    /// The holder stands still.
    Freeze,
    /// The holder is suspended.
    Suspend,
    /// A worker's room shrinks.
    Shrink,
    /// A hall is closed.
    Close,
    /// The store is down.
    Outage,
    /// A worker dies.
    Crash,
    /// A worker's entry goes.
    Unlist,
    /// A worker can't be reached.
    Cut,
    /// A worker fails everything.
    Sick,
    /// A worker restarts under its id.
    Restart,
}
