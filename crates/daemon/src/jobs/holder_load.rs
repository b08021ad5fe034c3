//! Measures what the actor of a domain spends its time on, and how long its inputs wait for it.
//!
//! A holder that can't keep up looks like one that lacks room: ends that have not been handled
//! still take up room, and tasks find no worker. Only these figures distinguish the two.

use std::time;

use wharflane::job;

/// Interval between two reports.
const REPORT_INTERVAL: time::Duration = time::Duration::from_secs(1);

/// A group of events that is measured together.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Kind {
    /// Answers of workers to heartbeats, which report the ends of runs.
    Heartbeat,
    /// Answers of workers to orders to start.
    Start,
    /// Answers of the store to commits.
    Commit,
    /// Accepted and cancelled jobs.
    Jobs,
    /// Ticks of the engine.
    Tick,
    /// All other events.
    Other,
}

impl Kind {
    /// All kinds, in the order of their discriminants.
    pub const ALL: [Self; 6] =
        [Self::Heartbeat, Self::Start, Self::Commit, Self::Jobs, Self::Tick, Self::Other];

    /// Returns the kind of an event.
    #[must_use]
    pub fn of(event: &job::Event) -> Self {
        match event {
            job::Event::HeartbeatAnswered { .. } => Self::Heartbeat,
            job::Event::Started { .. } => Self::Start,
            job::Event::Txn { .. } => Self::Commit,
            job::Event::Jobs(_) | job::Event::JobsReadUpTo { .. } => Self::Jobs,
            job::Event::Tick { .. } => Self::Tick,
            _ => Self::Other,
        }
    }

    /// Returns the name of the kind in metrics.
    #[must_use]
    pub fn label(self) -> &'static str {
        match self {
            Self::Heartbeat => "heartbeat",
            Self::Start => "start",
            Self::Commit => "commit",
            Self::Jobs => "jobs",
            Self::Tick => "tick",
            Self::Other => "other",
        }
    }
}

/// How one event was handled.
#[derive(Clone, Copy, Debug, Default)]
pub struct Handling {
    /// Time from the arrival of the event until its handling began.
    pub waited: time::Duration,
    /// Time that the handling took, with the effects that it began.
    pub took: time::Duration,
    /// Number of placement passes that it ran.
    pub passes: u64,
    /// Time of the call to a worker that the event answers; zero for other events.
    pub call: time::Duration,
}

/// The events of one kind since the last report.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct KindLoad {
    /// Number of events.
    pub events: u64,
    /// Time that their handling took, without the passes.
    pub busy: time::Duration,
    /// Sum of the times that they waited.
    pub waited: time::Duration,
    /// The longest of these.
    pub longest_wait: time::Duration,
    /// Sum of the times of the calls that they answer.
    pub calls: time::Duration,
    /// The longest of these.
    pub longest_call: time::Duration,
}

impl KindLoad {
    /// Returns the mean time that the events waited; zero without an event.
    #[must_use]
    pub fn mean_wait(&self) -> time::Duration {
        self.waited / u32::try_from(self.events.max(1)).unwrap_or(u32::MAX)
    }

    /// Returns the mean time of the calls that the events answer; zero without an event.
    #[must_use]
    pub fn mean_call(&self) -> time::Duration {
        self.calls / u32::try_from(self.events.max(1)).unwrap_or(u32::MAX)
    }
}

/// What an actor did since the last report.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Report {
    /// The time that the report covers.
    pub lasted: time::Duration,
    /// The events by kind, in the order of `Kind::ALL`.
    pub kinds: [KindLoad; Kind::ALL.len()],
    /// Number of placement passes.
    pub passes: u64,
    /// Time that the events took during which a pass ran.
    pub passing: time::Duration,
    /// The longest of these.
    pub longest_pass: time::Duration,
}

impl Report {
    /// Returns the events of a kind.
    #[must_use]
    pub fn kind(&self, kind: Kind) -> &KindLoad {
        &self.kinds[kind as usize]
    }

    /// Returns the time that all events took, passes included.
    #[must_use]
    pub fn busy(&self) -> time::Duration {
        self.passing + self.kinds.iter().map(|kind| kind.busy).sum::<time::Duration>()
    }

    /// Logs the report, with what the holder can take on at its end.
    pub fn log(&self, pace: &job::Pace) {
        let [heartbeat, start, commit, jobs] =
            [Kind::Heartbeat, Kind::Start, Kind::Commit, Kind::Jobs].map(|kind| self.kind(kind));
        tracing::info!(
            lasted_ms = self.lasted.as_millis(),
            busy_ms = self.busy().as_millis(),
            passes = self.passes,
            pass_ms = self.passing.as_millis(),
            pass_max_ms = self.longest_pass.as_millis(),
            tick_ms = self.kind(Kind::Tick).busy.as_millis(),
            heartbeats = heartbeat.events,
            heartbeat_ms = heartbeat.busy.as_millis(),
            heartbeat_wait_ms = heartbeat.mean_wait().as_millis(),
            heartbeat_wait_max_ms = heartbeat.longest_wait.as_millis(),
            starts = start.events,
            start_ms = start.busy.as_millis(),
            start_wait_ms = start.mean_wait().as_millis(),
            start_wait_max_ms = start.longest_wait.as_millis(),
            start_call_ms = start.mean_call().as_millis(),
            start_call_max_ms = start.longest_call.as_millis(),
            commits = commit.events,
            commit_ms = commit.busy.as_millis(),
            commit_wait_ms = commit.mean_wait().as_millis(),
            commit_call_ms = commit.mean_call().as_millis(),
            commit_call_max_ms = commit.longest_call.as_millis(),
            jobs = jobs.events,
            jobs_ms = jobs.busy.as_millis(),
            jobs_wait_max_ms = jobs.longest_wait.as_millis(),
            other_ms = self.kind(Kind::Other).busy.as_millis(),
            behind_ms = pace.behind.as_millis(),
            unsent_urgent = pace.starts.map(|starts| starts.unsent.urgent),
            unsent = pace.starts.map(|starts| starts.unsent.usual),
            unsent_limit = pace.starts.map(|starts| starts.limit),
            "load of the holder"
        );
    }
}

/// Collects what an actor does.
#[derive(Clone, Debug, Default)]
pub struct HolderLoad {
    /// When the current report began; `None` before the first event.
    since: Option<time::Duration>,
    /// The report so far.
    report: Report,
}

impl HolderLoad {
    /// Records an event whose handling ended now; returns a report if one is due.
    pub fn record(
        &mut self,
        kind: Kind,
        handling: Handling,
        now: time::Duration,
    ) -> Option<Report> {
        let since = *self.since.get_or_insert(now);
        let load = &mut self.report.kinds[kind as usize];
        load.events += 1;
        load.waited += handling.waited;
        load.longest_wait = load.longest_wait.max(handling.waited);
        load.calls += handling.call;
        load.longest_call = load.longest_call.max(handling.call);
        if handling.passes == 0 {
            load.busy += handling.took;
        } else {
            self.report.passes += handling.passes;
            self.report.passing += handling.took;
            self.report.longest_pass = self.report.longest_pass.max(handling.took);
        }
        let lasted = now.saturating_sub(since);
        if lasted < REPORT_INTERVAL {
            return None;
        }
        self.since = Some(now);
        Some(Report { lasted, ..std::mem::take(&mut self.report) })
    }
}
