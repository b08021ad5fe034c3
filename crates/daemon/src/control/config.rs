//! Maintains the declared configuration, which is the same for all hosts.
//!
//! A submission is checked as a whole, stored as an object and put in force by one conditional
//! write of the head row. A host never reverts to an older revision.

use std::fmt::Write as _;
use std::sync;

use ractor::Actor;
use serde::{Deserialize, Serialize};
use sha2::Digest as _;
use wharflane::{desired, hall, platform};
use wharflane_operator as operator;

use super::Shared;
use super::msg;

/// Key of the head row, which names the revision in force.
pub const HEAD_KEY: &str = "config/head";
/// Key of the row that lists recent submissions.
const RECENT_KEY: &str = "config/recent";
/// Number of submissions that are remembered to detect repeated ones.
const MAX_RECENT: usize = 64;
/// Reads made to learn whether a write with unknown outcome took effect.
const RESOLVE_READS: u32 = 5;

/// The value of the head row.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
struct Head {
    /// Revision in force.
    revision: u64,
    /// Key of the object that holds the revision.
    object: String,
}

/// An accepted submission.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
struct Recent {
    /// Id that the operator's client gave the submission.
    apply_id: String,
    /// Revision that the submission became.
    revision: u64,
}

/// Messages to the configuration actor.
#[derive(Debug)]
pub enum Msg {
    /// Poll timer: read the head row.
    Poll,
    /// The head row was read with this revision; `None` if the read failed.
    Head(Option<u64>),
    /// A revision was read from the object store or received from a peer.
    Fetched(Box<desired::Stored>),
    /// A revision was parsed outside the control thread.
    Parsed(msg::Loaded),
    /// A peer reported the revision that it has in force.
    RevisionAnnounced(u64),
}

/// The configuration actor.
#[derive(Debug)]
pub struct ConfigActor;

/// State of the configuration actor.
#[derive(Debug)]
pub struct State {
    /// State that all actors share.
    shared: Shared,
    /// The root actor, which receives new configurations.
    root: ractor::ActorRef<msg::Msg>,
    /// Revision in force; 0 before the first.
    revision: u64,
}

impl Actor for ConfigActor {
    type Msg = Msg;
    type State = State;
    type Arguments = (Shared, ractor::ActorRef<msg::Msg>);

    async fn pre_start(
        &self,
        myself: ractor::ActorRef<Msg>,
        (shared, root): Self::Arguments,
    ) -> Result<State, ractor::ActorProcessingErr> {
        myself.cast(Msg::Poll)?;
        myself.send_interval(shared.time("poll_ms"), || Msg::Poll);
        Ok(State { shared, root, revision: 0 })
    }

    async fn handle(
        &self,
        myself: ractor::ActorRef<Msg>,
        message: Msg,
        state: &mut State,
    ) -> Result<(), ractor::ActorProcessingErr> {
        match message {
            Msg::Poll => fetch(&myself, state.shared.clone(), state.revision),
            Msg::RevisionAnnounced(revision) if revision > state.revision => {
                fetch(&myself, state.shared.clone(), state.revision);
            }
            Msg::RevisionAnnounced(_) => {}
            Msg::Head(revision) => state.root.cast(msg::Msg::HeadRead(revision))?,
            Msg::Fetched(stored) => parse_in_background(&myself, *stored, state.revision),
            Msg::Parsed(loaded) => state.put_in_force(loaded)?,
        }
        Ok(())
    }
}

impl State {
    /// Puts a revision in force if it is newer than the one in force.
    fn put_in_force(&mut self, loaded: msg::Loaded) -> Result<(), ractor::ActorProcessingErr> {
        let revision = loaded.current.revision;
        if revision <= self.revision {
            return Ok(());
        }
        self.revision = revision;
        self.shared.metrics.revision.set(i64::try_from(revision).unwrap_or(i64::MAX));
        tracing::info!(revision, "configuration in force");
        self.root.cast(msg::Msg::Config(loaded))?;
        Ok(())
    }
}

/// Parses a newer revision on a blocking thread, since a large one would delay control.
fn parse_in_background(myself: &ractor::ActorRef<Msg>, stored: desired::Stored, known: u64) {
    let revision = stored.revision;
    if revision <= known {
        return;
    }
    let myself = myself.clone();
    tokio::task::spawn_blocking(move || match stored.desired() {
        Ok(desired) => {
            let current = sync::Arc::new(hall::Current { revision, desired });
            let loaded = msg::Loaded { stored: sync::Arc::new(stored), current };
            let _ = myself.cast(Msg::Parsed(loaded));
        }
        Err(_) => tracing::error!(revision, "configuration can't be parsed by this build"),
    });
}

/// Reads the head row and, if it is newer, the object that it names.
fn fetch(myself: &ractor::ActorRef<Msg>, shared: Shared, known: u64) {
    let myself = myself.clone();
    tokio::spawn(async move {
        let rows = shared.platform.read(vec![HEAD_KEY.to_owned()]).await;
        shared.count_call("read", &rows);
        let head = rows.ok().map(|rows| head_of(rows.first()).1);
        let _ = myself.cast(Msg::Head(head.as_ref().map(|head| head.revision)));
        let Some(head) = head.filter(|head| head.revision > known) else {
            return;
        };
        let object = shared.platform.get_object(&head.object).await;
        shared.count_call("get", &object);
        if let Ok(stored) = object.map(|bytes| serde_json::from_slice(&bytes))
            && let Ok(stored) = stored
        {
            let _ = myself.cast(Msg::Fetched(Box::new(stored)));
        }
    });
}

/// Parses a head row into its version and value; an absent row has version and revision 0.
fn head_of(row: Option<&platform::Row>) -> (u64, Head) {
    let version = row.map_or(0, |row| row.version);
    let head = row.and_then(|row| serde_json::from_str(&row.value).ok()).unwrap_or_default();
    (version, head)
}

/// The rows that a submission is checked against, as they were read.
struct SubmissionRows {
    /// Version and value of the head row.
    head: (u64, Head),
    /// Version and value of the row of recent submissions.
    recent: (u64, Vec<Recent>),
}

/// Checks a submission and puts it in force, or returns why it was not accepted.
pub async fn apply(shared: &Shared, apply: &operator::Apply) -> operator::Applied {
    let text = apply.text.clone();
    let parsed = tokio::task::spawn_blocking(move || desired::parse(&text)).await;
    let mut after = match parsed {
        Ok(Ok(after)) => after,
        Ok(Err(faults)) => return operator::Applied::Refused { faults },
        Err(_) => return operator::Applied::Unknown,
    };
    let Some(before) = read_submission_rows(shared).await else {
        return operator::Applied::Unknown;
    };
    if let Some(revision) = recent_revision(&before, &apply.apply_id) {
        return operator::Applied::Accepted { revision };
    }
    let head = &before.head.1;
    if head.revision != apply.base_revision {
        return operator::Applied::Conflict { revision: head.revision };
    }
    let Some(old) = read_desired(shared, head).await else {
        return operator::Applied::Unknown;
    };
    let revision = head.revision + 1;
    let born = match desired::check_update(&old, &mut after, revision) {
        Ok(born) => born,
        Err(faults) => return operator::Applied::Refused { faults },
    };
    let stored = desired::Stored { revision, text: apply.text.clone(), born };
    put_in_force(shared, apply, &before, &stored).await
}

/// Stores a revision and points the head row at it.
async fn put_in_force(
    shared: &Shared,
    apply: &operator::Apply,
    before: &SubmissionRows,
    stored: &desired::Stored,
) -> operator::Applied {
    let Ok(text) = serde_json::to_string(stored) else {
        return operator::Applied::Unknown;
    };
    let object = format!("config/{}", hash(&text));
    let put = shared.platform.put_object(&object, text).await;
    shared.count_call("put", &put);
    let txn = put.ok().and_then(|()| transaction(apply, before, stored.revision, &object));
    let Some(txn) = txn else {
        return operator::Applied::Unknown;
    };
    let answer = shared.platform.transact(&txn).await;
    shared.count_call("txn", &answer);
    match answer {
        Ok(platform::TxnAnswer::Committed) => {
            operator::Applied::Accepted { revision: stored.revision }
        }
        Ok(platform::TxnAnswer::Conflict { .. }) | Err(_) => {
            resolve(shared, apply, before.head.1.revision).await
        }
    }
}

/// Determines the result of a submission whose write had no answer or met a conflict.
async fn resolve(shared: &Shared, apply: &operator::Apply, base: u64) -> operator::Applied {
    for _ in 0..RESOLVE_READS {
        if let Some(now) = read_submission_rows(shared).await {
            if let Some(revision) = recent_revision(&now, &apply.apply_id) {
                return operator::Applied::Accepted { revision };
            }
            // An unchanged head row proves nothing: the write may still take effect.
            if now.head.1.revision > base {
                return operator::Applied::Conflict { revision: now.head.1.revision };
            }
        }
        tokio::time::sleep(shared.time("poll_ms") / RESOLVE_READS).await;
    }
    operator::Applied::Unknown
}

/// Returns the transaction that points the head row at a revision; `None` if encoding fails.
fn transaction(
    apply: &operator::Apply,
    before: &SubmissionRows,
    revision: u64,
    object: &str,
) -> Option<platform::Txn> {
    let head = Head { revision, object: object.to_owned() };
    let mut recent = before.recent.1.clone();
    recent.push(Recent { apply_id: apply.apply_id.clone(), revision });
    let excess = recent.len().saturating_sub(MAX_RECENT);
    recent.drain(..excess);
    let check = |key: &str, version| platform::Check { key: key.to_owned(), version };
    let write = |key: &str, value| platform::Write { key: key.to_owned(), value: Some(value) };
    Some(platform::Txn {
        checks: vec![check(HEAD_KEY, before.head.0), check(RECENT_KEY, before.recent.0)],
        writes: vec![
            write(HEAD_KEY, serde_json::to_string(&head).ok()?),
            write(RECENT_KEY, serde_json::to_string(&recent).ok()?),
        ],
    })
}

/// Reads the head row and the row of recent submissions.
async fn read_submission_rows(shared: &Shared) -> Option<SubmissionRows> {
    let keys = vec![HEAD_KEY.to_owned(), RECENT_KEY.to_owned()];
    let rows = shared.platform.read(keys).await;
    shared.count_call("read", &rows);
    let rows = rows.ok()?;
    let row = |key: &str| rows.iter().find(|row| row.key == key);
    let recent = match row(RECENT_KEY) {
        Some(row) => (row.version, serde_json::from_str(&row.value).ok()?),
        None => (0, Vec::new()),
    };
    Some(SubmissionRows { head: head_of(row(HEAD_KEY)), recent })
}

/// Reads the desired state that a head row points to.
async fn read_desired(shared: &Shared, head: &Head) -> Option<desired::Desired> {
    if head.revision == 0 {
        return Some(desired::Desired::default());
    }
    let object = shared.platform.get_object(&head.object).await;
    shared.count_call("get", &object);
    let stored: desired::Stored = serde_json::from_slice(&object.ok()?).ok()?;
    stored.desired().ok()
}

/// Returns the revision of a submission if it was accepted before.
fn recent_revision(before: &SubmissionRows, apply_id: &str) -> Option<u64> {
    let found = before.recent.1.iter().find(|recent| recent.apply_id == apply_id);
    found.map(|recent| recent.revision)
}

/// Returns the SHA-256 hash of a text in hexadecimal.
fn hash(text: &str) -> String {
    let mut hex = String::new();
    for byte in sha2::Sha256::digest(text.as_bytes()) {
        // Writing to a `String` can't fail.
        let _ = write!(hex, "{byte:02x}");
    }
    hex
}
