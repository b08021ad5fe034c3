//! A read of the state for a holding that is over is not told to the next one.

use std::net;
use std::sync;
use std::sync::atomic;
use std::time;

use ractor::Actor;
use wharflane::{clock, job};
use wharflane_adapter::{advice, store, workers};
use wharflane_daemon::jobs::{self, holder, watch};
use wharflane_daemon::{metrics, settings};
use wharflane_stand_in::cases;
use wharflane_stand_in::jobs::server;

/// How long a call may take.
const LIMIT: time::Duration = time::Duration::from_millis(800);

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

/// Makes what the parts of the job service share.
fn shared(store: net::SocketAddr) -> jobs::Shared {
    let text = format!(
        "host = \"host\"\nhall = \"hall\"\n[listen]\ncaller = \"127.0.0.1:1\"\n\
         operator = \"127.0.0.1:2\"\npeer = \"127.0.0.1:3\"\n[jobs]\nstore = \"{store}\"\n"
    );
    let settings = settings::parse(&text).unwrap_or_else(|faults| panic!("{faults:?}"));
    jobs::Shared {
        settings: sync::Arc::new(settings),
        clock: sync::Arc::new(clock::SystemClock::new()),
        store: store::Store::new(store, LIMIT),
        workers: workers::Workers::new(LIMIT),
        advisor: advice::Advisor::new(None),
        queues: sync::Arc::default(),
        stopping: sync::Arc::default(),
        store_ok_ms: sync::Arc::default(),
        turned_away: sync::Arc::default(),
        metrics: metrics::Metrics::new().expect("metrics"),
        nonce: 7,
    }
}

/// Reads the state for a holding, which is over or not, and returns how often the holder is told.
async fn told(over: u64) -> usize {
    let platform = server::Platform::start(1, time::Duration::ZERO).await.expect("a platform");
    let told = sync::Arc::<atomic::AtomicUsize>::default();
    let (actor, ended) =
        Actor::spawn(None, Listener(sync::Arc::clone(&told)), ()).await.expect("an actor");
    let generation = (0, sync::Arc::new(atomic::AtomicU64::new(over)));
    let follower =
        watch::Follower { shared: shared(platform.store), holder: actor.clone(), generation };
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
