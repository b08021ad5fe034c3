//! Helpers for tests of the job service's parts.
#![allow(dead_code, reason = "each test file uses a part of it")]

use std::net;
use std::sync;
use std::time;

use ractor::Actor;
use wharflane::{clock, job, size};
use wharflane_adapter::{advice, store, workers};
use wharflane_daemon::jobs::holder;
use wharflane_daemon::{jobs, metrics, settings};

/// Longest time that a call to the store or a worker may take.
const LIMIT: time::Duration = time::Duration::from_millis(800);

/// Stands in for the holder and passes each event that it receives to a function.
pub struct HolderStub<F>(pub F);

impl<F: Fn(job::Event) + Send + Sync + 'static> Actor for HolderStub<F> {
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
        if let holder::Msg::Event(arrival) = message {
            (self.0)(arrival.event);
        }
        Ok(())
    }
}

/// Returns a job of one task.
pub fn job() -> job::Job {
    let size = size::Size { cpu_milli: 100, mem_mb: 100, accelerators: 0 };
    let step = job::Step { count: 1, size, ..job::Step::default() };
    job::Job {
        queue: "queue".to_owned(),
        service: "service".into(),
        spec: "spec".to_owned(),
        steps: vec![step],
        repeats: None,
    }
}

/// Builds the state that the parts of the job service share.
pub fn shared(store: net::SocketAddr) -> jobs::Shared {
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
        closed: sync::Arc::default(),
        backlogs: sync::Arc::default(),
        stopping: sync::Arc::default(),
        closes_at: sync::Arc::default(),
        contact: sync::Arc::default(),
        turned_away: sync::Arc::default(),
        metrics: metrics::Metrics::new().expect("metrics"),
        nonce: 7,
    }
}
