//! Where the time of all jobs went, by queue.
//!
//! The work of a job is the sum over its steps of the longest run seen; what it took beyond that is
//! dealt to the causes that the logs name: no holder, no store, or what kept its tasks from workers.

use std::collections;
use std::time;

use super::read;

/// What a job's time beyond its work went to.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Cause {
    /// No host held the domain.
    Takeover,
    /// The holder did not reach the store.
    Store,
    /// Processors or memory were short.
    Room,
    /// A serving task would have missed its target, or processors were short for what fills.
    Harm,
    /// Workers rested, were leaving or did not answer.
    Unavailable,
    /// Nothing that the logs name: retries of failed runs, waits below what is told, late looks.
    Other,
}

impl Cause {
    /// All causes, as the columns stand.
    const ALL: [Self; 6] =
        [Self::Takeover, Self::Store, Self::Room, Self::Harm, Self::Unavailable, Self::Other];

    /// Returns the head of its column.
    fn label(self) -> &'static str {
        match self {
            Self::Takeover => "takeover",
            Self::Store => "store",
            Self::Room => "room",
            Self::Harm => "harm",
            Self::Unavailable => "unavailable",
            Self::Other => "other",
        }
    }
}

/// A stretch of time.
type Span = (time::Duration, time::Duration);

/// What the logs tell of one job.
#[derive(Debug, Default)]
struct Job {
    /// Its queue: the path that it was handed in to.
    queue: Option<String>,
    /// When it was accepted.
    accepted: Option<time::Duration>,
    /// When it ended, and how.
    ended: Option<(time::Duration, String)>,
    /// When its first task was ordered to start.
    first: Option<time::Duration>,
    /// The runs under way, by task.
    under_way: collections::BTreeMap<String, time::Duration>,
    /// The longest run of each step.
    longest: collections::BTreeMap<u32, time::Duration>,
    /// Runs that failed.
    failed: u32,
    /// Runs that were stopped or lapsed.
    lost: u32,
    /// What kept its tasks waiting, as it was told last.
    kept: Option<Cause>,
}

/// Prints a table by queue.
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
    let total = |spans: &[Span]| spans.iter().map(|(from, to)| *to - *from).sum::<time::Duration>();
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
}

/// Returns the row of a queue.
fn row(queue: &str, jobs: &[Job], takeovers: &[Span], outages: &[Span]) -> String {
    let ended = |how: &str| {
        jobs.iter().filter(|job| job.ended.as_ref().is_some_and(|(_, end)| end == how)).count()
    };
    let mut beyond = collections::BTreeMap::<Cause, time::Duration>::new();
    let (mut whole, mut work, mut first) = (Vec::new(), Vec::new(), Vec::new());
    for job in jobs {
        let (Some(from), Some((to, _))) = (job.accepted, &job.ended) else {
            continue;
        };
        whole.push(to.saturating_sub(from));
        work.push(job.work());
        first.extend(job.first.map(|first| first.saturating_sub(from)));
        for (cause, time) in deal(job, (from, *to), takeovers, outages) {
            *beyond.entry(cause).or_default() += time;
        }
    }
    let seconds = |time: time::Duration| format!("{:.2}", time.as_secs_f64());
    let mut cells = vec![
        queue.to_owned(),
        jobs.len().to_string(),
        ended("job completed").to_string(),
        ended("job failed").to_string(),
        ended("cancelled").to_string(),
        seconds(median(&mut whole)),
        seconds(median(&mut work)),
        seconds(median(&mut first)),
        jobs.iter().map(|job| job.failed).sum::<u32>().to_string(),
        jobs.iter().map(|job| job.lost).sum::<u32>().to_string(),
    ];
    cells.extend(Cause::ALL.map(|cause| seconds(beyond.get(&cause).copied().unwrap_or_default())));
    format!("| {} |", cells.join(" | "))
}

/// Deals the time of a job beyond its work to causes.
fn deal(
    job: &Job,
    span: Span,
    takeovers: &[Span],
    outages: &[Span],
) -> Vec<(Cause, time::Duration)> {
    let mut left = span.1.saturating_sub(span.0).saturating_sub(job.work());
    let mut dealt = Vec::new();
    let mut take = |cause, time: time::Duration| {
        let time = time.min(left);
        left -= time;
        dealt.push((cause, time));
    };
    take(Cause::Takeover, overlap(span, takeovers));
    take(Cause::Store, overlap(span, outages));
    take(job.kept.unwrap_or(Cause::Other), time::Duration::MAX);
    dealt
}

impl Job {
    /// Returns the sum over its steps of the longest run.
    fn work(&self) -> time::Duration {
        self.longest.values().sum()
    }

    /// Takes a line about the job.
    fn take(&mut self, record: &read::Record) {
        let task = record.text("task").unwrap_or_default();
        match record.message.as_str() {
            "call answered" if record.text("answer") == Some("Accepted") => {
                let path = record.text("path").unwrap_or_default();
                self.queue = path.rsplit_once('/').map(|(queue, _)| queue.to_owned());
                self.accepted = self.accepted.or(Some(record.at));
            }
            "start ordered" => {
                self.first = self.first.or(Some(record.at));
                self.under_way.insert(task.to_owned(), record.at);
            }
            "end taken in" => self.take_end(record, task),
            "no worker for a task" => self.kept = kept(record),
            "job completed" | "job failed" | "cancelled" => {
                self.ended = self.ended.take().or(Some((record.at, record.message.clone())));
            }
            _ => {}
        }
    }

    /// Takes the end of a run.
    fn take_end(&mut self, record: &read::Record, task: &str) {
        let Some(began) = self.under_way.remove(task) else {
            return;
        };
        match record.text("how") {
            Some("failed") => self.failed += 1,
            Some("done") => {}
            _ => self.lost += 1,
        }
        let took = record.at.saturating_sub(began);
        let longest = self.longest.entry(record.step().unwrap_or(0)).or_default();
        *longest = (*longest).max(took);
    }
}

/// Returns what keeps a task from most workers.
fn kept(record: &read::Record) -> Option<Cause> {
    let counts = [
        (record.number("harm"), Cause::Harm),
        (record.number("no_room"), Cause::Room),
        (record.number("unavailable"), Cause::Unavailable),
    ];
    let most = counts.into_iter().max_by_key(|(count, _)| count.unwrap_or(0))?;
    most.0.filter(|count| *count > 0).map(|_| most.1)
}

/// Gathers the lines of each job.
fn jobs(records: &[read::Record]) -> collections::BTreeMap<String, Job> {
    let mut jobs = collections::BTreeMap::<String, Job>::new();
    for record in records {
        if let Some(job) = record.job() {
            jobs.entry(job.to_owned()).or_default().take(record);
        }
    }
    jobs
}

/// Returns the stretches without a holder: from the last order or end of one to the start of the next.
fn takeovers(records: &[read::Record]) -> Vec<Span> {
    let mut spans = Vec::new();
    let mut last = None;
    for record in records {
        match record.message.as_str() {
            "start ordered" | "end taken in" => last = Some(record.at),
            "holding the domain" => spans.extend(last.take().map(|last| (last, record.at))),
            _ => {}
        }
    }
    spans
}

/// Returns the stretches in which commits were in doubt: from the first line to the last of a row of them.
fn outages(records: &[read::Record]) -> Vec<Span> {
    /// Lines further apart belong to two outages; they come each 150 ms and the time of a call.
    const APART: time::Duration = time::Duration::from_millis(1_500);
    let mut spans = Vec::<Span>::new();
    for record in records.iter().filter(|record| record.message.starts_with("commit in doubt")) {
        match spans.last_mut() {
            Some(last) if record.at.saturating_sub(last.1) <= APART => last.1 = record.at,
            _ => spans.push((record.at, record.at)),
        }
    }
    spans
}

/// Returns how much of a stretch lies within others.
fn overlap(span: Span, others: &[Span]) -> time::Duration {
    let within = others.iter().map(|other| {
        let (from, to) = (span.0.max(other.0), span.1.min(other.1));
        to.saturating_sub(from)
    });
    within.sum()
}

/// Returns the middle one of some times.
fn median(times: &mut [time::Duration]) -> time::Duration {
    times.sort();
    times.get(times.len() / 2).copied().unwrap_or_default()
}
