//! Summary of all jobs by queue: counts, medians, and causes of delay.
//!
//! The work of a job is the sum over its steps of the longest run in the logs. The remaining time
//! of the job is delay. It is attributed to the causes that the logs show: time without a holder,
//! time without the store, and the obstacle to the placement of the job's tasks on workers.

use std::collections;
use std::time;

use super::read;

/// The message of a line that tells that a job failed because of lost workers.
const FAILED_BY_LOSSES: &str = "job failed: workers crashed under its task";

/// Cause of the time that a job took beyond its work.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Cause {
    /// No host held the domain.
    Takeover,
    /// The holder could not reach the store.
    Store,
    /// Workers lacked free processors or memory.
    Capacity,
    /// A serving task would have missed its latency target, or processors were short for
    /// best-effort tasks.
    Interference,
    /// Workers were in quarantine, were leaving or did not answer.
    Unavailable,
    /// A cause that is not logged: retries of failed runs, waits too short to be logged, late
    /// heartbeats.
    Other,
    /// The start was deferred until it can be isolated, or workers were reserved for other such
    /// starts.
    Isolation,
}

impl Cause {
    /// All causes, in the order of the table's columns.
    const ALL: [Self; 7] = [
        Self::Takeover,
        Self::Store,
        Self::Capacity,
        Self::Interference,
        Self::Unavailable,
        Self::Other,
        Self::Isolation,
    ];

    /// Returns the column heading.
    fn label(self) -> &'static str {
        match self {
            Self::Takeover => "takeover",
            Self::Store => "store",
            Self::Capacity => "room",
            Self::Interference => "harm",
            Self::Unavailable => "unavailable",
            Self::Other => "other",
            Self::Isolation => "isolation",
        }
    }
}

/// Start and end of an interval, since the Unix epoch.
type Interval = (time::Duration, time::Duration);

/// The history of one job, from the logs.
#[derive(Debug, Default)]
struct Job {
    /// Queue: the request path of the submission without the job's id; absent if no log shows the
    /// submission.
    queue: Option<String>,
    /// Time of the first accepted submission.
    accepted: Option<time::Duration>,
    /// Time of the first end of the job, and the log message that reports it.
    ended: Option<(time::Duration, String)>,
    /// Time of the first order to start one of its tasks.
    first_start: Option<time::Duration>,
    /// Start time of each unfinished run, by task.
    running: collections::BTreeMap<String, time::Duration>,
    /// Duration of the longest run, by step.
    longest_run: collections::BTreeMap<u32, time::Duration>,
    /// Number of runs that failed.
    failed: u32,
    /// Number of runs that were stopped or whose lease expired.
    lost: u32,
    /// The obstacle to the placement of the job's tasks, from the last log line that names one.
    blocked_by: Option<Cause>,
}

/// Prints a table with one row for each queue, then totals over all logs.
pub fn print(records: &[read::Record]) {
    let takeovers = takeovers(records);
    let outages = outages(records);
    let mut queues = collections::BTreeMap::<String, Vec<Job>>::new();
    for job in jobs(records).into_values() {
        if let Some(queue) = job.queue.clone() {
            queues.entry(queue).or_default().push(job);
        }
    }
    let causes = Cause::ALL.map(Cause::label).join(" s | ");
    println!(
        "| queue | accepted | completed | failed | cancelled | median s | work s | first start s | \
         failed runs | lost runs | {causes} s |"
    );
    println!("|{}", " --- |".repeat(10 + Cause::ALL.len()));
    for (queue, jobs) in &queues {
        println!("{}", row(queue, jobs, &takeovers, &outages));
    }
    let total = |intervals: &[Interval]| {
        intervals.iter().map(|(from, to)| *to - *from).sum::<time::Duration>()
    };
    println!(
        "\nchanges of the holder: {}, {:.1} s without one; outages of the store at the holder: {}, {:.1} s",
        takeovers.len(),
        total(&takeovers).as_secs_f64(),
        outages.len(),
        total(&outages).as_secs_f64()
    );
    let refused = records.iter().filter(|record| {
        let answer = record.text("answer").unwrap_or_default();
        record.text("method") == Some("POST") && answer.starts_with("NotTaken")
    });
    println!("submissions turned away: {}", refused.count());
    let losses = records.iter().filter(|record| record.is_loss()).count();
    let returns = records.iter().filter(|record| record.is_return());
    let false_losses = returns.filter_map(|record| record.number("tasks")).sum::<u64>();
    println!("workers lost under tasks: {losses}, of which live: {false_losses}");
}

/// Formats the table row of a queue.
fn row(queue: &str, jobs: &[Job], takeovers: &[Interval], outages: &[Interval]) -> String {
    let ended = |how: &str| {
        let ends = jobs.iter().filter_map(|job| job.ended.as_ref());
        ends.filter(|(_, end)| end == how).count()
    };
    let mut delays = collections::BTreeMap::<Cause, time::Duration>::new();
    let (mut durations, mut work, mut first) = (Vec::new(), Vec::new(), Vec::new());
    for job in jobs {
        let (Some(from), Some((to, _))) = (job.accepted, &job.ended) else {
            continue;
        };
        durations.push(to.saturating_sub(from));
        work.push(job.work());
        first.extend(job.first_start.map(|first| first.saturating_sub(from)));
        for (cause, time) in attribute_delay(job, (from, *to), takeovers, outages) {
            *delays.entry(cause).or_default() += time;
        }
    }
    let seconds = |time: time::Duration| format!("{:.2}", time.as_secs_f64());
    let mut cells = vec![
        queue.to_owned(),
        jobs.len().to_string(),
        ended("job completed").to_string(),
        (ended("job failed") + ended(FAILED_BY_LOSSES)).to_string(),
        ended("cancelled").to_string(),
        seconds(median(&mut durations)),
        seconds(median(&mut work)),
        seconds(median(&mut first)),
        jobs.iter().map(|job| job.failed).sum::<u32>().to_string(),
        jobs.iter().map(|job| job.lost).sum::<u32>().to_string(),
    ];
    cells.extend(Cause::ALL.map(|cause| seconds(delays.get(&cause).copied().unwrap_or_default())));
    format!("| {} |", cells.join(" | "))
}

/// Attributes the time that a job took beyond its work to causes: first to takeovers, then to store
/// outages, and the remainder to the obstacle to its placement.
fn attribute_delay(
    job: &Job,
    interval: Interval,
    takeovers: &[Interval],
    outages: &[Interval],
) -> Vec<(Cause, time::Duration)> {
    let mut left = interval.1.saturating_sub(interval.0).saturating_sub(job.work());
    let mut shares = Vec::new();
    let mut attribute = |cause, time: time::Duration| {
        let time = time.min(left);
        left -= time;
        shares.push((cause, time));
    };
    attribute(Cause::Takeover, overlap(interval, takeovers));
    attribute(Cause::Store, overlap(interval, outages));
    attribute(job.blocked_by.unwrap_or(Cause::Other), time::Duration::MAX);
    shares
}

impl Job {
    /// Returns the sum over the steps of the longest run.
    fn work(&self) -> time::Duration {
        self.longest_run.values().sum()
    }

    /// Updates the job from one of its log lines.
    fn record_line(&mut self, record: &read::Record) {
        let task = record.text("task").unwrap_or_default();
        match record.message.as_str() {
            "call answered" if record.text("answer") == Some("Accepted") => {
                let path = record.text("path").unwrap_or_default();
                self.queue = path.rsplit_once('/').map(|(queue, _)| queue.to_owned());
                self.accepted = self.accepted.or(Some(record.at));
            }
            "start ordered" => {
                self.first_start = self.first_start.or(Some(record.at));
                self.running.insert(task.to_owned(), record.at);
            }
            "end taken in" => self.record_end(record, task),
            "no worker for a task" => self.blocked_by = main_obstacle(record),
            "start deferred until it can be isolated" => self.blocked_by = Some(Cause::Isolation),
            "job completed" | "job failed" | FAILED_BY_LOSSES | "cancelled" => {
                self.ended = self.ended.take().or(Some((record.at, record.message.clone())));
            }
            _ => {}
        }
    }

    /// Records the end of a run; ignores runs whose start is in none of the logs.
    fn record_end(&mut self, record: &read::Record, task: &str) {
        let Some(began) = self.running.remove(task) else {
            return;
        };
        match record.text("how") {
            Some("failed") => self.failed += 1,
            Some("done") => {}
            _ => self.lost += 1,
        }
        let took = record.at.saturating_sub(began);
        let longest = self.longest_run.entry(record.step().unwrap_or(0)).or_default();
        *longest = (*longest).max(took);
    }
}

/// Returns the obstacle to the placement of a task on most workers: interference, capacity,
/// availability or the isolation of suspects.
fn main_obstacle(record: &read::Record) -> Option<Cause> {
    let count = |field| record.number(field).unwrap_or(0);
    let counts = [
        (count("harm"), Cause::Interference),
        (count("no_room"), Cause::Capacity),
        (count("unavailable") + count("quarantined"), Cause::Unavailable),
        (count("isolated"), Cause::Isolation),
    ];
    let most = counts.into_iter().max_by_key(|(count, _)| *count)?;
    (most.0 > 0).then_some(most.1)
}

/// Builds the history of each job, by job id.
fn jobs(records: &[read::Record]) -> collections::BTreeMap<String, Job> {
    let mut jobs = collections::BTreeMap::<String, Job>::new();
    for record in records {
        if let Some(job) = record.job() {
            jobs.entry(job.to_owned()).or_default().record_line(record);
        }
    }
    jobs
}

/// Returns the intervals without a holder: from the last start ordered or end recorded by one
/// holder to the takeover by the next.
fn takeovers(records: &[read::Record]) -> Vec<Interval> {
    let mut intervals = Vec::new();
    let mut last = None;
    for record in records {
        match record.message.as_str() {
            "start ordered" | "end taken in" => last = Some(record.at),
            "holding the domain" => intervals.extend(last.take().map(|last| (last, record.at))),
            _ => {}
        }
    }
    intervals
}

/// Returns the store outages: each spans a series of log lines about commits with unknown outcome,
/// from the first to the last.
fn outages(records: &[read::Record]) -> Vec<Interval> {
    /// Lines further apart belong to different outages. During one outage a line is written every
    /// 150 ms plus the time of a call.
    const MAX_GAP: time::Duration = time::Duration::from_millis(1_500);
    let mut intervals = Vec::<Interval>::new();
    for record in records.iter().filter(|record| record.message.starts_with("commit in doubt")) {
        match intervals.last_mut() {
            Some(last) if record.at.saturating_sub(last.1) <= MAX_GAP => last.1 = record.at,
            _ => intervals.push((record.at, record.at)),
        }
    }
    intervals
}

/// Returns how much of an interval the others cover.
fn overlap(interval: Interval, others: &[Interval]) -> time::Duration {
    let within = others.iter().map(|other| {
        let (from, to) = (interval.0.max(other.0), interval.1.min(other.1));
        to.saturating_sub(from)
    });
    within.sum()
}

/// Returns the median, or zero for no times; sorts the slice.
fn median(times: &mut [time::Duration]) -> time::Duration {
    times.sort();
    times.get(times.len() / 2).copied().unwrap_or_default()
}
