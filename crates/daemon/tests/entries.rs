//! Guards a holder's list of workers against entries that other programs wrote: invalid entries,
//! unusual keys and rows of other parts must not affect the valid ones.

use std::sync;
use std::sync::atomic;
use std::time;

use ractor::Actor;
use wharflane::{job, rows};
use wharflane_adapter::{config, entry, server_codec};
use wharflane_daemon::jobs::watch;
use wharflane_stand_in::cases;
use wharflane_stand_in::jobs::server;

mod common;

/// Longest time that the feed may take to deliver a change.
const FEED_TIMEOUT: time::Duration = time::Duration::from_secs(5);
/// More rows than one page of the store holds.
const MORE_THAN_A_PAGE: usize = 620;

/// Events about workers that the holder received.
#[derive(Debug, Default)]
struct Received {
    /// Names of the workers of each complete list.
    lists: Vec<Vec<String>>,
    /// Each changed entry: the worker's name and whether it is listed.
    changes: Vec<(String, bool)>,
}

impl Received {
    /// Records an event if it is about workers.
    fn record(&mut self, event: job::Event) {
        match event {
            job::Event::Listed(list) => {
                let names = list.iter().map(|member| member.incarnation.worker.to_string());
                self.lists.push(names.collect());
            }
            job::Event::Member(worker, member) => {
                self.changes.push((worker.to_string(), member.is_some()));
            }
            _ => {}
        }
    }
}

/// A platform with one worker, and a follower of its entries.
struct Fixture {
    /// Platform whose rows a test changes.
    platform: server::Platform,
    /// Events that the follower sent.
    received: sync::Arc<sync::Mutex<Received>>,
}

impl Fixture {
    /// Starts to follow the entries after `prepare` has written to them.
    async fn start(prepare: impl Fn(&server::Platform)) -> Self {
        let platform = server::Platform::start(1, time::Duration::ZERO).await.expect("a platform");
        prepare(&platform);
        let received = sync::Arc::<sync::Mutex<Received>>::default();
        let recorded = sync::Arc::clone(&received);
        let record = move |event| recorded.lock().expect("a lock").record(event);
        let (actor, _) =
            Actor::spawn(None, common::HolderStub(record), ()).await.expect("an actor");
        let follower = watch::Follower {
            shared: common::shared(platform.store),
            holder: actor,
            entries: sync::Arc::default(),
            generation: (0, sync::Arc::new(atomic::AtomicU64::new(0))),
        };
        follower.load(0).await;
        Self { platform, received }
    }

    /// Waits until `count` changes were received and returns all of them.
    async fn changes(&self, count: usize) -> Vec<(String, bool)> {
        self.wait_for(|received| {
            (received.changes.len() >= count).then(|| received.changes.clone())
        })
        .await
    }

    /// Waits until a complete list was received and returns it.
    async fn list(&self) -> Vec<String> {
        self.wait_for(|received| received.lists.first().cloned()).await
    }

    /// Waits until `find` returns a value for what was received.
    async fn wait_for<T>(&self, find: impl Fn(&Received) -> Option<T>) -> T {
        let wait = async {
            loop {
                if let Some(found) = find(&self.received.lock().expect("a lock")) {
                    return found;
                }
                tokio::time::sleep(time::Duration::from_millis(10)).await;
            }
        };
        tokio::time::timeout(FEED_TIMEOUT, wait).await.expect("received in time")
    }
}

/// Returns the key of an entry.
fn key(name: &str, part: &str) -> rows::Key {
    rows::Key { table: entry::WORKERS_TABLE, part: part.to_owned(), name: name.to_owned() }
}

/// Returns a valid entry of a worker.
fn valid_entry() -> String {
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
    invalid_entries_do_not_hide_a_valid_one => run(async {
        let fixture = Fixture::start(|platform| {
            for (name, value) in [("a", "{}"), ("b", "no json"), ("z", "{\"service\":7}")] {
                platform.write_row(key(name, config::EXTERNAL_PART), Some(value.to_owned()));
            }
        });
        let fixture = fixture.await;
        assert_eq!(fixture.list().await, ["w0"]);
    }),
    unusual_keys_over_several_pages_do_not_break_the_list => run(async {
        let fixture = Fixture::start(|platform| {
            for at in 0..MORE_THAN_A_PAGE {
                let name = format!("a key & its = {at:04} % # ? \u{e4}\u{10ffff}");
                platform.write_row(key(&name, config::EXTERNAL_PART), Some("odd".to_owned()));
            }
        });
        let fixture = fixture.await;
        assert_eq!(fixture.list().await, ["w0"]);
    }),
    a_row_of_another_part_is_no_entry => run(async {
        let fixture = Fixture::start(|platform| {
            platform.write_row(key("w0", "elsewhere"), Some("{}".to_owned()));
        });
        let fixture = fixture.await;
        let other_part = key("w0", "elsewhere");
        fixture.platform.write_row(other_part.clone(), Some(valid_entry()));
        fixture.platform.write_row(other_part, None);
        fixture.platform.write_row(key("w1", config::EXTERNAL_PART), Some(valid_entry()));
        assert_eq!(fixture.changes(1).await, [("w1".to_owned(), true)]);
    }),
    an_entry_that_turns_bad_counts_as_gone_and_comes_back => run(async {
        let fixture = Fixture::start(|_| {}).await;
        let own = key("w0", config::EXTERNAL_PART);
        let invalid = valid_entry().replace("ready", "asleep");
        for value in [invalid, valid_entry(), "no json".to_owned(), valid_entry()] {
            fixture.platform.write_row(own.clone(), Some(value));
            let before = fixture.received.lock().expect("a lock").changes.len();
            fixture.changes(before + 1).await;
        }
        let listed: Vec<bool> =
            fixture.changes(4).await.into_iter().map(|(_, listed)| listed).collect();
        assert_eq!(listed, [false, true, false, true]);
    }),
}
