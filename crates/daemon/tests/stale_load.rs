//! A read of the state for a holding that is over is not told to the next one.

use std::sync;
use std::sync::atomic;
use std::time;

use ractor::Actor;
use wharflane::job;
use wharflane_daemon::jobs::{holder, watch};
use wharflane_stand_in::cases;
use wharflane_stand_in::jobs::server;

mod common;

/// Notes whether it was told of a state that was read.
struct Listener(sync::Arc<atomic::AtomicUsize>);

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
        if let holder::Msg::Event(event) = message
            && matches!(*event, job::Event::Loaded { .. } | job::Event::LoadFailed)
        {
            self.0.fetch_add(1, atomic::Ordering::Relaxed);
        }
        Ok(())
    }
}

/// Reads the state for a holding, which is over or not, and returns how often the holder is told.
async fn told(over: u64) -> usize {
    let platform = server::Platform::start(1, time::Duration::ZERO).await.expect("a platform");
    let told = sync::Arc::<atomic::AtomicUsize>::default();
    let (actor, ended) =
        Actor::spawn(None, Listener(sync::Arc::clone(&told)), ()).await.expect("an actor");
    let generation = (0, sync::Arc::new(atomic::AtomicU64::new(over)));
    let follower = watch::Follower {
        shared: common::shared(platform.store),
        holder: actor.clone(),
        entries: sync::Arc::default(),
        generation,
    };
    follower.load(0).await;
    actor.drain().expect("all messages taken");
    ended.await.expect("ended");
    told.load(atomic::Ordering::Relaxed)
}

cases! {
    a_state_read_for_this_holding_is_told => {
        assert_eq!(tokio::runtime::Runtime::new().expect("a runtime").block_on(told(0)), 1);
    },
    a_state_read_for_a_holding_that_is_over_is_not_told => {
        assert_eq!(tokio::runtime::Runtime::new().expect("a runtime").block_on(told(1)), 0);
    },
}
