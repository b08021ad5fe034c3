//! Entries of workers that others wrote: what a holder is told of them.

use std::sync;
use std::sync::atomic;
use std::time;

use ractor::Actor;
use wharflane::{job, rows};
use wharflane_adapter::{config, entry, server_codec};
use wharflane_daemon::jobs::{holder, watch};
use wharflane_stand_in::cases;
use wharflane_stand_in::jobs::server;

mod common;

/// How long the feed may take to tell of a change.
const PATIENCE: time::Duration = time::Duration::from_secs(5);
/// More rows than one page of the store holds.
const MORE_THAN_A_PAGE: usize = 620;

/// What a holder was told of workers: whole lists, and single ones with whether they are listed.
#[derive(Debug, Default)]
struct Told {
    /// The names of each list.
    lists: Vec<Vec<String>>,
    /// The changes.
    changes: Vec<(String, bool)>,
}

/// Notes what it is told of workers.
struct Listener(sync::Arc<sync::Mutex<Told>>);

impl Actor for Listener {
    type Msg = holder::Msg;
    type State = ();
    type Arguments = ();

    async fn pre_start(
        &self,
        _: ractor::ActorRef<holder::Msg>,
        (): (),
    ) -> Result<(), ractor::ActorProcessingErr> {
        Ok(())
    }

    async fn handle(
        &self,
        _: ractor::ActorRef<holder::Msg>,
        message: holder::Msg,
        (): &mut (),
    ) -> Result<(), ractor::ActorProcessingErr> {
        let holder::Msg::Event(event) = message else {
            return Ok(());
        };
        let mut told = self.0.lock().expect("a lock");
        match *event {
            job::Event::Listed(list) => {
                told.lists.push(
                    list.iter().map(|member| member.incarnation.worker.to_string()).collect(),
                );
            }
            job::Event::Member(worker, member) => {
                told.changes.push((worker.to_string(), member.is_some()));
            }
            _ => {}
        }
        Ok(())
    }
}

/// A platform with one worker, and a follower of its list.
struct Followed {
    /// The platform.
    platform: server::Platform,
    /// What the holder was told.
    told: sync::Arc<sync::Mutex<Told>>,
}

impl Followed {
    /// Follows the list after others have written to it.
    async fn start(before: impl Fn(&server::Platform)) -> Self {
        let platform = server::Platform::start(1, time::Duration::ZERO).await.expect("a platform");
        before(&platform);
        let told = sync::Arc::<sync::Mutex<Told>>::default();
        let (actor, _) =
            Actor::spawn(None, Listener(sync::Arc::clone(&told)), ()).await.expect("an actor");
        let follower = watch::Follower {
            shared: common::shared(platform.store),
            holder: actor,
            entries: sync::Arc::default(),
            generation: (0, sync::Arc::new(atomic::AtomicU64::new(0))),
        };
        follower.load(0).await;
        Self { platform, told }
    }

    /// Waits until the holder was told of so many changes and returns them.
    async fn changes(&self, count: usize) -> Vec<(String, bool)> {
        self.wait(|told| (told.changes.len() >= count).then(|| told.changes.clone())).await
    }

    /// Waits until the holder was told of the whole list and returns it.
    async fn list(&self) -> Vec<String> {
        self.wait(|told| told.lists.first().cloned()).await
    }

    /// Waits until the holder was told of something.
    async fn wait<T>(&self, of: impl Fn(&Told) -> Option<T>) -> T {
        let wait = async {
            loop {
                if let Some(found) = of(&self.told.lock().expect("a lock")) {
                    return found;
                }
                tokio::time::sleep(time::Duration::from_millis(10)).await;
            }
        };
        tokio::time::timeout(PATIENCE, wait).await.expect("told in time")
    }
}

/// Returns the key of an entry.
fn key(name: &str, part: &str) -> rows::Key {
    rows::Key { table: entry::WORKERS_TABLE, part: part.to_owned(), name: name.to_owned() }
}

/// Returns the entry of a worker.
fn text() -> String {
    server_codec::member(&job::Member {
        incarnation: "w0".into(),
        addr: ([127, 0, 0, 1], 1).into(),
        hall: "hall".into(),
        service: "service".into(),
        leaving: false,
        capacity: wharflane::size::Size { cpu_milli: 4_000, mem_mb: 4_000, accelerators: 0 },
        labels: Vec::new(),
        rack: None,
    })
}

/// Runs a test on a runtime of its own.
fn run(test: impl Future<Output = ()>) {
    tokio::runtime::Runtime::new().expect("a runtime").block_on(test);
}

cases! {
    bad_entries_beside_a_good_one_leave_it_in_the_list => run(async {
        let followed = Followed::start(|platform| {
            for (name, value) in [("a", "{}"), ("b", "no json"), ("z", "{\"service\":7}")] {
                platform.write_row(key(name, config::EXTERNAL_PART), Some(value.to_owned()));
            }
        });
        let followed = followed.await;
        assert_eq!(followed.list().await, ["w0"]);
    }),
    odd_keys_over_several_pages_leave_the_list_whole => run(async {
        let followed = Followed::start(|platform| {
            for at in 0..MORE_THAN_A_PAGE {
                let name = format!("a key & its = {at:04} % # ? \u{e4}\u{10ffff}");
                platform.write_row(key(&name, config::EXTERNAL_PART), Some("odd".to_owned()));
            }
        });
        let followed = followed.await;
        assert_eq!(followed.list().await, ["w0"]);
    }),
    a_row_of_another_part_is_no_entry => run(async {
        let followed = Followed::start(|platform| {
            platform.write_row(key("w0", "elsewhere"), Some("{}".to_owned()));
        });
        let followed = followed.await;
        let elsewhere = key("w0", "elsewhere");
        followed.platform.write_row(elsewhere.clone(), Some(text()));
        followed.platform.write_row(elsewhere, None);
        followed.platform.write_row(key("w1", config::EXTERNAL_PART), Some(text()));
        assert_eq!(followed.changes(1).await, [("w1".to_owned(), true)]);
    }),
    an_entry_that_turns_bad_counts_as_gone_and_comes_back => run(async {
        let followed = Followed::start(|_| {}).await;
        let own = key("w0", config::EXTERNAL_PART);
        let unknown = text().replace("ready", "asleep");
        for value in [unknown, text(), "no json".to_owned(), text()] {
            followed.platform.write_row(own.clone(), Some(value));
            let known = followed.told.lock().expect("a lock").changes.len();
            followed.changes(known + 1).await;
        }
        let listed: Vec<bool> =
            followed.changes(4).await.into_iter().map(|(_, listed)| listed).collect();
        assert_eq!(listed, [false, true, false, true]);
    }),
}
