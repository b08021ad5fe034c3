//! Follows the rows that others write to the store: the configuration, closed halls, worker entries
//! and accepted jobs.
//!
//! Each feed is a long poll after a version. If the store no longer has the history after that
//! version, the table is read again as a whole.

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

/// Longest time that the store may hold a call for entries of workers open. A silent connection is
/// only detected after this time plus `FEED_SLACK`, and new workers and those that leave must be
/// known within seconds.
const WORKERS_FEED_WAIT: time::Duration = time::Duration::from_millis(850);
/// The same for accepted jobs, where every answer extends the time up to which the holder knows all
/// of them. Counts are only written every 0.7 s, and may be 2 s old when they are reported.
const JOBS_FEED_WAIT: time::Duration = time::Duration::from_millis(700);
/// Part of the time until a configuration must be in force that is left for the call after one
/// over a silent connection, and for the processing.
const CONFIG_RESERVE: time::Duration = time::Duration::from_millis(500);
/// Shortest time that the store is asked to hold a call for the configuration open.
const MIN_CONFIG_FEED_WAIT: time::Duration = time::Duration::from_millis(100);
/// Delay before a call is retried that was answered with an error or found no connection.
const RETRY_DELAY: time::Duration = time::Duration::from_millis(200);

/// Interval at which a read of the whole state checks whether its lease term has ended.
const TERM_POLL_INTERVAL: time::Duration = time::Duration::from_millis(100);
/// Number of parts of the accepted jobs that are read concurrently. The link of a weak host, 10
/// Mbit/s, has to carry a configuration within 3 s beside a read of the whole state, and each
/// concurrent read takes an equal share of it.
const MAX_CONCURRENT_READS: usize = 2;

/// Result of one call of a feed.
#[derive(Debug)]
enum FeedResult {
    /// A page of changes, which may be empty.
    Rows(rows::Page),
    /// The call failed, but the store keeps its history: the feed continues after the same version.
    Unchanged,
    /// The feed can't continue: the table must be read again as a whole.
    Reload,
}

/// Follows the configuration and closed halls for as long as the process runs.
pub async fn follow_config(shared: Shared, holder: ractor::ActorRef<holder::Msg>) {
    let key = rows::Key {
        table: config::OPERATOR_TABLE,
        part: config::EXTERNAL_PART.to_owned(),
        name: config::CONFIG_KEY.to_owned(),
    };
    let mut closed_halls = halls::ClosedHallsFeed::new(shared.clone(), holder.clone());
    let wait = config_feed_wait(shared.time("config_ms"));
    loop {
        let read = shared.store.read_part(key.table, &key.part);
        let page = match shared.call("config", read).await {
            Ok(page) => page,
            Err(err) => {
                pause_after_error(&err).await;
                continue;
            }
        };
        closed_halls.publish_all(&page);
        apply_config(&shared, &holder, &page.rows);
        let mut after = page.version;
        loop {
            match poll_feed(&shared, key.table, after, wait).await {
                FeedResult::Rows(page) => {
                    closed_halls.publish_changes(&page);
                    apply_config(&shared, &holder, &page.rows);
                    after = page.version;
                }
                FeedResult::Unchanged => {}
                FeedResult::Reload => break,
            }
        }
    }
}

/// Returns the longest time that the store may hold a call for the configuration open, where a
/// configuration must be in force within `in_force`. Each call has a cost on every host, and a
/// silent connection is only detected after this time plus `FEED_SLACK`.
#[must_use]
pub fn config_feed_wait(in_force: time::Duration) -> time::Duration {
    in_force.saturating_sub(CONFIG_RESERVE + store::FEED_SLACK).max(MIN_CONFIG_FEED_WAIT)
}

/// Puts a configuration in force if it is newer.
fn apply_config(shared: &Shared, holder: &ractor::ActorRef<holder::Msg>, rows: &[rows::Row]) {
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
                holder::send_event(shared, holder, job::Event::Queues(queues));
            }
            Ok(_) => {}
            Err(err) => tracing::error!(%err, "configuration rejected; keeping the last"),
        }
    }
}

/// Follows the rows that only the holder of the domain needs, for one lease term.
#[derive(Clone, Debug)]
pub struct Follower {
    /// State that the parts of the job service share.
    pub shared: Shared,
    /// Actor that receives the rows as events.
    pub holder: ractor::ActorRef<holder::Msg>,
    /// Parses worker entries and remembers the invalid ones.
    pub entries: sync::Arc<entries::EntryReader>,
    /// Lease term that this follower was started for, and the counter of the current one.
    pub generation: (u64, sync::Arc<atomic::AtomicU64>),
}

impl Follower {
    /// Reads the whole state that a new holder needs, then follows its changes.
    pub async fn load(self, domain: u32) {
        let part = job::part(domain);
        let reads = async {
            tokio::join!(
                self.read_part(entry::WORKERS_TABLE, config::EXTERNAL_PART),
                self.read_accepted(domain),
                self.read_part(job::PROGRESS, &part),
                self.read_part(job::LEARNED, &part),
                self.read_closed_halls(),
            )
        };
        // A read may outlast its lease term. The next term would then use the old rows as the
        // current state without their changes, and a weak link would carry both reads.
        let read = tokio::select! {
            read = reads => read,
            () = self.lease_term_ended() => {
                return tracing::info!(domain, "ignored the state read for an ended lease term");
            }
        };
        let (Ok(workers), Ok(jobs), Ok(progress), Ok(learned), closed) = read else {
            tokio::time::sleep(RETRY_DELAY).await;
            if self.is_current() {
                holder::send_event(&self.shared, &self.holder, job::Event::LoadFailed);
            }
            return;
        };
        if !self.is_current() {
            return tracing::info!(domain, "ignored the state read for an ended lease term");
        }
        let versions = (workers.version, jobs.version);
        let jobs_read_up_to_ms = jobs.now_ms;
        self.send_workers(&workers);
        match closed {
            Ok(page) => holder::send_event(
                &self.shared,
                &self.holder,
                job::Event::Closed(halls::read_all(&page)),
            ),
            // The engine bounds the wait for the closed halls.
            Err(err) => {
                tracing::warn!(domain, %err, "closed halls unknown; nothing starts yet");
                tokio::spawn(self.clone().read_closed_halls_later());
            }
        }
        let loaded =
            job::Event::Loaded { jobs: jobs.rows, progress: progress.rows, learned: learned.rows };
        holder::send_event(&self.shared, &self.holder, loaded);
        self.send_jobs_read_up_to(jobs_read_up_to_ms);
        tokio::spawn(self.clone().follow_workers(versions.0));
        tokio::spawn(self.follow_jobs(domain, versions.1));
    }

    /// Follows the entries of workers.
    async fn follow_workers(self, mut after: u64) {
        while self.is_current() {
            let wait = WORKERS_FEED_WAIT;
            while let Some(page) = self.next_page(entry::WORKERS_TABLE, &mut after, wait).await {
                for (worker, member) in page.rows.iter().filter_map(|row| self.entries.read(row)) {
                    holder::send_event(
                        &self.shared,
                        &self.holder,
                        job::Event::Member(worker, member),
                    );
                }
            }
            match self.read_part(entry::WORKERS_TABLE, config::EXTERNAL_PART).await {
                Ok(page) => {
                    after = page.version;
                    self.send_workers(&page);
                }
                Err(err) => pause_after_error(&err).await,
            }
        }
    }

    /// Follows accepted jobs and cancellations.
    async fn follow_jobs(self, domain: u32, mut after: u64) {
        while self.is_current() {
            while let Some(page) = self.next_page(job::JOBS, &mut after, JOBS_FEED_WAIT).await {
                self.send_jobs(page);
            }
            match self.read_accepted(domain).await {
                Ok(page) => {
                    after = page.version;
                    self.send_jobs(page);
                }
                Err(err) => pause_after_error(&err).await,
            }
        }
    }

    /// Sends accepted jobs and the time up to which they are complete.
    fn send_jobs(&self, page: rows::Page) {
        // Further jobs follow an incomplete page and may be as old as its last one.
        let jobs_read_up_to_ms = page.now_ms.filter(|_| !page.more);
        if !page.rows.is_empty() {
            holder::send_event(&self.shared, &self.holder, job::Event::Jobs(page.rows));
        }
        self.send_jobs_read_up_to(jobs_read_up_to_ms);
    }

    /// Sends the time up to which all accepted jobs have been sent, if the store reported it. It
    /// follows the jobs themselves, so that a lagging holder does not assume more than it has
    /// handled.
    fn send_jobs_read_up_to(&self, jobs_read_up_to_ms: Option<u64>) {
        if let Some(up_to_ms) = jobs_read_up_to_ms {
            holder::send_event(&self.shared, &self.holder, job::Event::JobsReadUpTo { up_to_ms });
        }
    }

    /// Sends the complete list of workers.
    fn send_workers(&self, page: &rows::Page) {
        holder::send_event(
            &self.shared,
            &self.holder,
            job::Event::Listed(self.entries.list(&page.rows)),
        );
    }

    /// Returns the next changes; `None` if the table must be read again or the lease term has
    /// ended.
    async fn next_page(
        &self,
        table: &'static str,
        after: &mut u64,
        wait: time::Duration,
    ) -> Option<rows::Page> {
        while self.is_current() {
            match poll_feed(&self.shared, table, *after, wait).await {
                FeedResult::Rows(page) => {
                    *after = page.version;
                    return Some(page);
                }
                FeedResult::Unchanged => {}
                FeedResult::Reload => return None,
            }
        }
        None
    }

    /// Reads a whole part of a table and counts the call.
    async fn read_part(&self, table: &str, part: &str) -> Result<rows::Page, store::StoreError> {
        self.shared.call("all", self.shared.store.read_part(table, part)).await
    }

    /// Reads the rows of closed halls and counts the call; the key range leaves out the
    /// configuration, which is large.
    async fn read_closed_halls(&self) -> Result<rows::Page, store::StoreError> {
        let keys = (closed::FIRST_KEY, closed::END_KEY);
        let (table, part) = (config::OPERATOR_TABLE, config::EXTERNAL_PART);
        self.shared.call("all", self.shared.store.read_range(table, part, keys)).await
    }

    /// Reads the closed halls until the store answers.
    async fn read_closed_halls_later(self) {
        while self.is_current() {
            tokio::time::sleep(RETRY_DELAY).await;
            if let Ok(page) = self.read_closed_halls().await {
                let event = job::Event::Closed(halls::read_all(&page));
                return holder::send_event(&self.shared, &self.holder, event);
            }
        }
    }

    /// Reads the accepted jobs of a domain; the version and the time are those of the oldest
    /// answer.
    async fn read_accepted(&self, domain: u32) -> Result<rows::Page, store::StoreError> {
        let reads = job::job_parts(domain)
            .map(|part| async move { self.read_part(job::JOBS, &part).await });
        let mut reads = stream::iter(reads).buffer_unordered(MAX_CONCURRENT_READS);
        let mut all =
            rows::Page { version: u64::MAX, now_ms: Some(u64::MAX), ..rows::Page::default() };
        while let Some(page) = reads.try_next().await? {
            all.version = all.version.min(page.version);
            all.now_ms = all.now_ms.min(page.now_ms);
            all.rows.extend(page.rows);
        }
        Ok(all)
    }

    /// Waits until the follower's lease term has ended.
    async fn lease_term_ended(&self) {
        while self.is_current() {
            tokio::time::sleep(TERM_POLL_INTERVAL).await;
        }
    }

    /// Returns whether the follower's lease term still lasts.
    fn is_current(&self) -> bool {
        let (own, current) = &self.generation;
        current.load(atomic::Ordering::Relaxed) == *own
    }
}

/// Makes one call of a feed; after a failure it waits, unless the call itself timed out.
async fn poll_feed(shared: &Shared, table: &str, after: u64, wait: time::Duration) -> FeedResult {
    match shared.poll("feed", shared.store.changes(table, after, wait)).await {
        Ok(rows::Changes::Rows(page)) => FeedResult::Rows(page),
        Ok(rows::Changes::Forgotten) => {
            tracing::info!(table, after, "the store's history is gone, reading the table again");
            FeedResult::Reload
        }
        Err(err) => {
            tracing::debug!(table, after, %err, "feed failed");
            pause_after_error(&err).await;
            let needs_reload = matches!(
                err,
                store::StoreError::Unexpected { .. } | store::StoreError::Refused { .. }
            );
            if needs_reload { FeedResult::Reload } else { FeedResult::Unchanged }
        }
    }
}

/// Waits before a retry, unless the failed call timed out: the next one uses a new connection.
async fn pause_after_error(err: &store::StoreError) {
    if !err.timed_out() {
        tokio::time::sleep(RETRY_DELAY).await;
    }
}
