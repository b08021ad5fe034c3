//! The job service: accepts jobs from callers and runs them on workers.
//!
//! The engine does no I/O and never blocks: it takes events and returns effects. One host at a time
//! holds a domain. It does so by a lease row that each of its writes renews and is conditional on.
//! Nothing is reported to a caller or ordered from a worker before the write behind it is
//! committed.

mod acks;
mod acquire;
mod advice;
mod assign;
mod call;
mod choose;
mod closed;
mod commit;
mod crash;
mod ends;
mod engine;
mod event;
mod fence;
mod gang;
mod group;
mod headroom;
mod heartbeats;
mod holding;
mod incarnations;
mod intake;
mod interference;
mod isolation;
mod learned;
mod link;
mod loading;
mod loss_record;
mod lost;
mod members;
mod obstacle;
mod order;
mod orders;
mod outlook;
mod pass;
mod pending;
mod placement;
mod progress;
mod queue;
mod ranking;
mod refused;
pub mod retry_after;
mod rows;
mod slowness;
mod spec;
mod starvation;
mod store_clock;
mod throttle;
mod tickets;
mod times;
mod unlisted;
mod waits;
mod work;
mod worker;

pub use call::{Answer, Call};
pub use closed::ClosedHalls;
pub use engine::Engine;
pub use event::{Effect, Event, LeaseClaim, ProbeResult, Settings};
pub use holding::{Dump, Holding};
pub use order::{
    EndKind, Ended, Heartbeat, HeartbeatAnswer, Lists, Member, Order, Running, SetShare, Start,
    StartAnswer, StartRefusal,
};
pub use progress::{Losses, Phase, Progress, Task, TaskPosition};
pub use queue::{Queue, Queues};
pub use rows::{
    Accepted, JOBS, LEARNED, LEASES, Lease, PROGRESS, WAITING, Waiting, domain_of, job_key,
    job_parts, lease_key, part, progress_key, waiting_key,
};
pub use slowness::SlownessDetector;
pub use spec::{
    BadJobId, BadTaskId, Job, JobId, MAX_SPEC_BYTES, MAX_STEPS, MAX_TASKS, Refusal, Repeats, Step,
    TaskId,
};
pub use tickets::{Advice, AdviceRequest, AdviceTiming};
