//! A host whose one processor handles the events of a holder and sends its calls, one after the
//! other.
//!
//! The costs are those of a holder with 890 workers (docs/CAPACITY.md); a slow host takes a multiple
//! of them.

use std::collections;
use std::time;

use wharflane::job;

/// Processor time of a call, from its decision until it is sent.
const SEND: time::Duration = time::Duration::from_micros(60);
/// Processor time of an answer, from its arrival until it is an event.
const RECEIVE: time::Duration = time::Duration::from_micros(60);
/// Processor time of the engine for the answer to a heartbeat.
const HEARTBEAT: time::Duration = time::Duration::from_micros(100);
/// Processor time of the engine for a tick.
const TICK: time::Duration = time::Duration::from_micros(700);
/// Processor time of the engine for a commit's answer, and for building the next one.
const COMMIT: time::Duration = time::Duration::from_millis(1);
/// Processor time of the engine for any other event.
const OTHER: time::Duration = time::Duration::from_micros(5);
/// Processor time of a placement pass, without its starts.
const PASS: time::Duration = time::Duration::from_millis(3);
/// Processor time of a pass for each start.
const PASS_START: time::Duration = time::Duration::from_micros(40);

/// Work that waits for the processor.
#[derive(Debug)]
pub(super) enum Work {
    /// An event for the engine.
    Handle(job::Event),
    /// A call that the engine decided on.
    Send(job::Effect),
}

/// The work of a host.
#[derive(Debug)]
pub(super) struct Host {
    /// How many times as long as usual everything takes, in percent.
    slow_percent: u32,
    /// The events that wait.
    inbox: job::Inbox,
    /// The calls to workers that wait.
    outbox: job::Outbox<job::Effect>,
    /// The calls to the store that wait.
    store_calls: collections::VecDeque<job::Effect>,
    /// Whether the last work was an event; events and calls to workers take turns.
    event_last: bool,
    /// How long the last placement pass took.
    last_pass: time::Duration,
    /// Whether the processor is at work.
    pub busy: bool,
}

impl Host {
    /// Creates an idle host that takes `slow_percent` of the usual time for everything.
    pub fn new(slow_percent: u32) -> Self {
        Self {
            slow_percent,
            inbox: job::Inbox::default(),
            outbox: job::Outbox::default(),
            store_calls: collections::VecDeque::new(),
            event_last: false,
            last_pass: time::Duration::ZERO,
            busy: false,
        }
    }

    /// Sets how much of the usual time everything takes.
    pub fn set_slow_percent(&mut self, slow_percent: u32) {
        self.slow_percent = slow_percent;
    }

    /// Adds an event that arrived.
    pub fn push_event(&mut self, event: job::Event, urgent: bool, at: time::Duration) {
        self.inbox.push(job::Arrival { event, at, urgent, call: time::Duration::ZERO });
    }

    /// Adds a call.
    pub fn push_call(&mut self, effect: job::Effect, now: time::Duration) {
        match effect {
            job::Effect::Start(_)
            | job::Effect::Stop(_)
            | job::Effect::SetShare(_)
            | job::Effect::SendHeartbeat(_) => self.outbox.push(effect, |effect| effect, now),
            _ => self.store_calls.push_back(effect),
        }
    }

    /// Removes the work that is done next.
    pub fn pop(&mut self, now: time::Duration) -> Option<Work> {
        if let Some(call) = self.store_calls.pop_front() {
            return Some(Work::Send(call));
        }
        let event_first = !self.inbox.is_empty() && (!self.event_last || self.outbox.is_empty());
        self.event_last = event_first;
        if event_first {
            return self.inbox.pop().map(|arrival| Work::Handle(arrival.event));
        }
        self.outbox.pop(now).map(Work::Send)
    }

    /// Returns what the host can take on.
    pub fn pace(&self, now: time::Duration) -> job::Pace {
        let starts = Some(self.outbox.starts());
        job::Pace { starts, behind: self.inbox.behind(now), last_pass: self.last_pass }
    }

    /// Records how long a placement pass took.
    pub fn note_pass(&mut self, took: time::Duration) {
        self.last_pass = took;
    }

    /// Returns how long a call takes to be sent.
    pub fn send_time(&self) -> time::Duration {
        self.scaled(SEND)
    }

    /// Returns how long an event of a kind takes that ran `passes` placement passes and after which
    /// `staged` more starts wait for their commit.
    pub fn handling_time(&self, kind: Kind, passes: u64, staged: usize) -> time::Duration {
        let event = match kind {
            Kind::Heartbeat => RECEIVE + HEARTBEAT,
            Kind::Tick => TICK,
            Kind::Commit => RECEIVE + COMMIT,
            Kind::Other => RECEIVE + OTHER,
        };
        let starts = u32::try_from(staged).unwrap_or(u32::MAX);
        let passes = u32::try_from(passes).unwrap_or(u32::MAX);
        self.scaled(event + PASS * passes + PASS_START * starts)
    }

    /// Returns a time at the speed of the host.
    fn scaled(&self, usual: time::Duration) -> time::Duration {
        usual * self.slow_percent / 100
    }
}

/// The kind of an event, which determines what it costs.
#[derive(Clone, Copy, Debug)]
pub(super) enum Kind {
    /// The answer to a heartbeat.
    Heartbeat,
    /// A tick.
    Tick,
    /// The answer to a commit.
    Commit,
    /// Any other event.
    Other,
}

impl Kind {
    /// Returns the kind of an event.
    pub fn of(event: &job::Event) -> Self {
        match event {
            job::Event::HeartbeatAnswered { .. } => Self::Heartbeat,
            job::Event::Tick { .. } => Self::Tick,
            job::Event::Txn { .. } => Self::Commit,
            _ => Self::Other,
        }
    }
}
