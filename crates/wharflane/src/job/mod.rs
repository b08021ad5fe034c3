//! The job service: accepts jobs from callers and runs them on workers.
//!
//! The engine does no I/O and never blocks: it takes events and returns effects. One host at a time
//! holds a domain. It does so by a lease row that each of its writes renews and is conditional on.
//! Nothing is reported to a caller or ordered from a worker before the write behind it is
//! committed.

mod call;
mod dispatch;
pub mod early_cancel;
mod engine;
mod event;
mod holding;
mod intake;
mod learn;
mod lease;
mod load;
mod loss;
mod place;
mod policies;
mod progress;
mod queue;
pub mod retry_after;
mod rows;
mod runs;
mod spec;
mod store;
pub mod submission;
mod workers;

pub use call::{Answer, Call};
pub use dispatch::inbox::{Arrival, Inbox};
pub use dispatch::outbox::Outbox;
pub use dispatch::pace::{MAX_SEND_AGE, Pace, Starts, Unsent};
pub use engine::Engine;
pub use event::{Effect, Event, LeaseClaim, ProbeResult, Settings};
pub use holding::{Dump, Holding};
pub use learn::run_times::{RunTimes, Spread, ratio};
pub use load::admission::{Admission, Backlog, Backlogs, decide as decide_admission};
pub use load::need::{Need, Outlook};
pub use load::picture::{Picture, QueueLoad, Round};
pub use place::precedence::{
    Precedence, Turn, batch as batch_precedence, lasting as lasting_precedence,
};
pub use place::tickets::{Advice, AdviceRequest, AdviceTiming};
pub use progress::{Losses, Phase, Progress, Task, TaskPosition};
pub use queue::{Policy, PolicyVersion, Queue, Queues};
pub use rows::{
    Accepted, JOBS, LEARNED, LEASES, Lease, PROGRESS, WAITING, Waiting, domain_of, job_key,
    job_parts, lease_key, part, progress_key, waiting_key,
};
pub use runs::order::{
    EndKind, Ended, Heartbeat, HeartbeatAnswer, Lists, Member, Order, Running, SetShare, Start,
    StartAnswer, StartRefusal,
};
pub use spec::{
    BadJobId, BadTaskId, Job, JobId, MAX_SPEC_BYTES, MAX_STEPS, MAX_TASKS, Refusal, Repeats, Step,
    TaskId, read_steps,
};
pub use workers::closed::ClosedHalls;
pub use workers::moves::StallCounts;
pub use workers::slowness::SlownessDetector;
pub use workers::stalled::{Observation, Sign, StallDetector, State as StallState};
