//! A state read that outlasts its lease term must not be sent to the next term, which would use old
//! rows as the current state.

use std::sync;
use std::sync::atomic;
use std::time;

use ractor::Actor;
use wharflane::job;
use wharflane_daemon::jobs::watch;
use wharflane_stand_in::cases;
use wharflane_stand_in::jobs::server;

mod common;

/// Reads the state for lease term 0 while `current` is the current one; returns how many results
/// the holder received.
async fn loads_sent(current: u64) -> usize {
    let platform = server::Platform::start(1, time::Duration::ZERO).await.expect("a platform");
    let sent = sync::Arc::<atomic::AtomicUsize>::default();
    let counted = sync::Arc::clone(&sent);
    let count = move |event| {
        if matches!(event, job::Event::Loaded { .. } | job::Event::LoadFailed) {
            counted.fetch_add(1, atomic::Ordering::Relaxed);
        }
    };
    let (actor, ended) = Actor::spawn(None, common::HolderStub(count), ()).await.expect("an actor");
    let generation = (0, sync::Arc::new(atomic::AtomicU64::new(current)));
    let follower = watch::Follower {
        shared: common::shared(platform.store),
        holder: actor.clone(),
        entries: sync::Arc::default(),
        generation,
    };
    follower.load(0).await;
    actor.drain().expect("all messages taken");
    ended.await.expect("ended");
    sent.load(atomic::Ordering::Relaxed)
}

cases! {
    a_state_read_in_the_current_lease_term_is_sent => {
        assert_eq!(tokio::runtime::Runtime::new().expect("a runtime").block_on(loads_sent(0)), 1);
    },
    a_state_read_in_an_ended_lease_term_is_not_sent => {
        assert_eq!(tokio::runtime::Runtime::new().expect("a runtime").block_on(loads_sent(1)), 0);
    },
}
