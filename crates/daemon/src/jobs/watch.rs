//! Follows what others write to the store: the configuration, closed halls, the list of workers, accepted jobs.

use std::sync;
use std::sync::atomic;
use std::time;

use futures::{StreamExt as _, TryStreamExt as _, stream};
use wharflane::{job, rows};
use wharflane_adapter::{config, entry, halls as closed, store};

use super::Shared;
use super::entries;
use super::halls;
use super::holder;

/// How long the store may hold a feed open. Each call has its price, and silence goes unseen until this
/// and the slack are over, so it takes what `SILENCE` leaves.
const FEED_WAIT: time::Duration = time::Duration::from_millis(850);
/// The same for accepted jobs, whose every answer renews what the holder may say of them. Counts are written
/// every 0.7 s besides, and may be 2 s old where they are told.
const JOBS_FEED_WAIT: time::Duration = time::Duration::from_millis(700);
/// How long a feed may go on over a connection that has gone silent: a configuration has to be in force
/// 2 s after its acknowledgement, and half a second is left for the next call and what follows.
const SILENCE: time::Duration = time::Duration::from_millis(1_500);
/// The wait before a call that was answered by an error, or got no connection, is made again.
const AGAIN: time::Duration = time::Duration::from_millis(200);

/// How often a read of the whole state looks whether it is still wanted.
const OVER_TICK: time::Duration = time::Duration::from_millis(100);
/// How many parts of the accepted jobs are read at once: beside a whole state the link of a weak host, 10 Mbit/s, has to
/// carry a configuration within 3 s, and each read takes as much of it.
const READS_AT_ONCE: usize = 2;

const _: () = assert!(FEED_WAIT.as_millis() + store::FEED_SLACK.as_millis() <= SILENCE.as_millis());

/// What a feed gave.
#[derive(Debug)]
enum Next {
    /// Changes, maybe none.
    Rows(rows::Page),
    /// No answer that tells of changes; the store keeps its history, so the feed goes on after the same version.
    Same,
    /// What it gave can't be gone on from: the table must be read anew.
    Anew,
}

/// Follows the configuration and closed halls for as long as the process runs.
pub async fn config(shared: Shared, holder: ractor::ActorRef<holder::Msg>) {
    let key = rows::Key {
        table: config::OPERATOR_TABLE,
        part: config::EXTERNAL_PART.to_owned(),
        name: config::CONFIG_KEY.to_owned(),
    };
    let mut teller = halls::Teller::new(shared.clone(), holder.clone());
    loop {
        let page = shared.store.read_part(key.table, &key.part).await;
        shared.count_call("config", &page);
        let page = match page {
            Ok(page) => page,
            Err(err) => {
                pause(&err).await;
                continue;
            }
        };
        teller.read(&page);
        take_config(&shared, &holder, &page.rows);
        let mut after = page.version;
        loop {
            match next(&shared, key.table, after, FEED_WAIT).await {
                Next::Rows(page) => {
                    teller.follow(&page);
                    take_config(&shared, &holder, &page.rows);
                    after = page.version;
                }
                Next::Same => {}
                Next::Anew => break,
            }
        }
    }
}

/// Puts a configuration in force if it is newer.
fn take_config(shared: &Shared, holder: &ractor::ActorRef<holder::Msg>, rows: &[rows::Row]) {
    let ours =
        |row: &&rows::Row| row.name == config::CONFIG_KEY && row.part == config::EXTERNAL_PART;
    let rows = rows.iter().filter(ours);
    for text in rows.filter_map(|row| row.value.as_deref()) {
        match config::queues(text) {
            Ok(queues) if queues.revision > shared.queues.load().revision => {
                tracing::info!(revision = queues.revision, queues = queues.queues.len(), "config");
                shared.metrics.revision.set(i64::try_from(queues.revision).unwrap_or(i64::MAX));
                let queues = sync::Arc::new(queues);
                shared.queues.store(sync::Arc::clone(&queues));
                holder::tell(holder, job::Event::Queues(queues));
            }
            Ok(_) => {}
            Err(err) => tracing::error!(%err, "configuration refused, the last one stays"),
        }
    }
}

/// What is followed only while this host holds the domain.
#[derive(Clone, Debug)]
pub struct Follower {
    /// What the parts of the job service share.
    pub shared: Shared,
    /// The holder.
    pub holder: ractor::ActorRef<holder::Msg>,
    /// Reads the entries of workers.
    pub entries: sync::Arc<entries::Entries>,
    /// Which holding this belongs to, and the one that is on.
    pub generation: (u64, sync::Arc<atomic::AtomicU64>),
}

impl Follower {
    /// Reads everything that a new holder must know, then follows its changes.
    pub async fn load(self, domain: u32) {
        let part = job::part(domain);
        let reads = async {
            tokio::join!(
                self.all(entry::WORKERS_TABLE, config::EXTERNAL_PART),
                self.accepted(domain),
                self.all(job::PROGRESS, &part),
                self.all(job::LEARNED, &part),
                self.closed(),
            )
        };
        // A read may outlast its holding. The next one would take old rows for the state, with no one to follow on
        // from them, and a weak link would carry both.
        let read = tokio::select! {
            read = reads => read,
            () = self.over() => {
                return tracing::info!(domain, "state read for a holding that is over, passed over");
            }
        };
        let (Ok(workers), Ok(jobs), Ok(progress), Ok(learned), closed) = read else {
            tokio::time::sleep(AGAIN).await;
            if self.wanted() {
                holder::tell(&self.holder, job::Event::LoadFailed);
            }
            return;
        };
        if !self.wanted() {
            return tracing::info!(domain, "state read for a holding that is over, passed over");
        }
        let versions = (workers.version, jobs.version);
        let heard_ms = jobs.now_ms;
        self.tell_list(&workers);
        match closed {
            Ok(page) => holder::tell(&self.holder, job::Event::Closed(halls::read(&page))),
            // The feed of that table may tell it soon; the engine knows for how long to wait.
            Err(err) => tracing::warn!(domain, %err, "closed halls not read, nothing starts yet"),
        }
        let loaded =
            job::Event::Loaded { jobs: jobs.rows, progress: progress.rows, learned: learned.rows };
        holder::tell(&self.holder, loaded);
        self.tell_heard(heard_ms);
        tokio::spawn(self.clone().follow_workers(versions.0));
        tokio::spawn(self.follow_jobs(domain, versions.1));
    }

    /// Follows the list of workers.
    async fn follow_workers(self, mut after: u64) {
        while self.wanted() {
            while let Some(page) = self.next(entry::WORKERS_TABLE, &mut after, FEED_WAIT).await {
                for (worker, member) in page.rows.iter().filter_map(|row| self.entries.read(row)) {
                    holder::tell(&self.holder, job::Event::Member(worker, member));
                }
            }
            match self.all(entry::WORKERS_TABLE, config::EXTERNAL_PART).await {
                Ok(page) => {
                    after = page.version;
                    self.tell_list(&page);
                }
                Err(err) => pause(&err).await,
            }
        }
    }

    /// Follows accepted jobs and cancels.
    async fn follow_jobs(self, domain: u32, mut after: u64) {
        while self.wanted() {
            while let Some(page) = self.next(job::JOBS, &mut after, JOBS_FEED_WAIT).await {
                self.tell_jobs(page);
            }
            match self.accepted(domain).await {
                Ok(page) => {
                    after = page.version;
                    self.tell_jobs(page);
                }
                Err(err) => pause(&err).await,
            }
        }
    }

    /// Tells of accepted jobs, and up to when they are all that were accepted.
    fn tell_jobs(&self, page: rows::Page) {
        // Behind an answer that is not whole there are more, as old as its last.
        let heard_ms = page.now_ms.filter(|_| !page.more);
        if !page.rows.is_empty() {
            holder::tell(&self.holder, job::Event::Jobs(page.rows));
        }
        self.tell_heard(heard_ms);
    }

    /// Tells up to when all accepted jobs were told, where the store said; behind them, so that a holder that
    /// lags knows no more than it has taken in.
    fn tell_heard(&self, heard_ms: Option<u64>) {
        if let Some(up_to_ms) = heard_ms {
            holder::tell(&self.holder, job::Event::JobsReadUpTo { up_to_ms });
        }
    }

    /// Tells the whole list of workers.
    fn tell_list(&self, page: &rows::Page) {
        holder::tell(&self.holder, job::Event::Listed(self.entries.list(&page.rows)));
    }

    /// Returns the next changes while they are wanted, or nothing where the table must be read anew.
    async fn next(
        &self,
        table: &'static str,
        after: &mut u64,
        wait: time::Duration,
    ) -> Option<rows::Page> {
        while self.wanted() {
            match next(&self.shared, table, *after, wait).await {
                Next::Rows(page) => {
                    *after = page.version;
                    return Some(page);
                }
                Next::Same => {}
                Next::Anew => return None,
            }
        }
        None
    }

    /// Reads a whole part of a table and counts the call.
    async fn all(&self, table: &str, part: &str) -> Result<rows::Page, store::StoreError> {
        let page = self.shared.store.read_part(table, part).await;
        self.shared.count_call("all", &page);
        page
    }

    /// Reads the rows of closed halls and counts the call; the configuration beside them is not wanted, it is long.
    async fn closed(&self) -> Result<rows::Page, store::StoreError> {
        let keys = (closed::FIRST_KEY, closed::END_KEY);
        let page =
            self.shared.store.read_range(config::OPERATOR_TABLE, config::EXTERNAL_PART, keys).await;
        self.shared.count_call("all", &page);
        page
    }

    /// Reads the accepted jobs of a domain; the version and the time are those of the oldest answer.
    async fn accepted(&self, domain: u32) -> Result<rows::Page, store::StoreError> {
        let reads =
            job::job_parts(domain).map(|part| async move { self.all(job::JOBS, &part).await });
        let mut reads = stream::iter(reads).buffer_unordered(READS_AT_ONCE);
        let mut all =
            rows::Page { version: u64::MAX, now_ms: Some(u64::MAX), ..rows::Page::default() };
        while let Some(page) = reads.try_next().await? {
            all.version = all.version.min(page.version);
            all.now_ms = all.now_ms.min(page.now_ms);
            all.rows.extend(page.rows);
        }
        Ok(all)
    }

    /// Waits until the holding that this belongs to is over.
    async fn over(&self) {
        while self.wanted() {
            tokio::time::sleep(OVER_TICK).await;
        }
    }

    /// Returns whether the holding that this belongs to goes on.
    fn wanted(&self) -> bool {
        let (own, on) = &self.generation;
        on.load(atomic::Ordering::Relaxed) == *own
    }
}

/// Makes one call of a feed; after a failure it waits a little where it has not waited in vain already.
async fn next(shared: &Shared, table: &str, after: u64, wait: time::Duration) -> Next {
    let changes = shared.store.changes(table, after, wait).await;
    shared.count_call("feed", &changes);
    match changes {
        Ok(rows::Changes::Rows(page)) => Next::Rows(page),
        Ok(rows::Changes::Forgotten) => {
            tracing::info!(table, after, "history forgotten, the table is read anew");
            Next::Anew
        }
        Err(err) => {
            tracing::debug!(table, after, %err, "feed failed");
            pause(&err).await;
            let strange = matches!(
                err,
                store::StoreError::Unexpected { .. } | store::StoreError::Refused { .. }
            );
            if strange { Next::Anew } else { Next::Same }
        }
    }
}

/// Waits before a failed call is made again, unless it has waited in vain already: the next goes over a new connection.
async fn pause(err: &store::StoreError) {
    if !err.timed_out() {
        tokio::time::sleep(AGAIN).await;
    }
}
