//! The actor of a domain: runs the engine, executes its effects and feeds the results back as
//! events.
//!
//! A host that has become too slow gives its domain up, so that another host can acquire it.

use std::sync;
use std::sync::atomic;
use std::time;

use ractor::Actor;
use wharflane::{job, rows};
use wharflane_adapter::store;

use super::Shared;
use super::calls;
use super::decided;
use super::entries;
use super::holder_load;
use super::lag;
use super::probe;
use super::watch;
use crate::settings;

/// Maximum number of events that the actor handles before other tasks of the process get their
/// turn.
const EVENTS_PER_TURN: usize = 32;
/// Tick interval of the engine while this host holds the domain.
const TICK_HOLDING: time::Duration = time::Duration::from_millis(20);
/// Bytes per second of a megabit per second.
const BYTES_PER_MBIT: u64 = 125_000;
/// Tick interval of the engine while another host holds the domain.
const TICK_STANDBY: time::Duration = time::Duration::from_millis(100);

/// Messages to the actor of a domain.
#[derive(Debug)]
pub enum Msg {
    /// Timer of the engine.
    Tick {
        /// Clock reading at which the tick was due.
        due: time::Duration,
    },
    /// An event for the engine.
    Event(Box<job::Arrival>),
    /// The next events of the inbox are to be handled.
    HandleNext,
    /// Request for a dump of the holder's state; null while this host is not the holder.
    Dump(ractor::RpcReplyPort<serde_json::Value>),
    /// Request by another host for whether this one still acts under the lease.
    ClaimLease {
        /// Version at which the row of the lease stands still.
        version: u64,
        /// How much longer than others the other host waits for a lease.
        delay: time::Duration,
        /// Port for the answer.
        port: ractor::RpcReplyPort<job::LeaseClaim>,
    },
    /// Request for whether the domain is fully released.
    IsReleased(ractor::RpcReplyPort<bool>),
}

/// The actor of a domain.
#[derive(Debug)]
pub struct Holder;

/// State of the actor.
#[derive(Debug)]
pub struct State {
    /// State that the parts of the job service share.
    shared: Shared,
    /// State machine that holds or watches the domain's lease.
    engine: job::Engine,
    /// Parses worker entries and remembers the invalid ones.
    entries: sync::Arc<entries::EntryReader>,
    /// Number of lease terms that ended in this process; followers started for an earlier term
    /// stop.
    generation: sync::Arc<atomic::AtomicU64>,
    /// Delay of ticks behind their due times.
    lag: lag::Lag,
    /// Detects whether this host is slow while it holds the domain.
    slowness: job::SlownessDetector,
    /// What the actor spends its time on.
    load: holder_load::HolderLoad,
    /// Events that wait to be handled.
    inbox: job::Inbox,
    /// Calls to workers that wait to be sent.
    outbox: sync::Arc<calls::Outbox>,
    /// How long the last placement pass took.
    last_pass: time::Duration,
}

/// Sends an event to the actor; an event for an actor that has ended is dropped.
pub fn send_event(shared: &Shared, holder: &ractor::ActorRef<Msg>, event: job::Event) {
    let at = shared.clock.now();
    send_arrival(holder, job::Arrival { event, at, urgent: false, call: time::Duration::ZERO });
}

/// Sends the event that a call returned which was decided on at `decided_at`.
pub(super) fn send_answer(
    shared: &Shared,
    holder: &ractor::ActorRef<Msg>,
    event: job::Event,
    (decided_at, urgent): (time::Duration, bool),
) {
    let at = shared.clock.now();
    let call = at.saturating_sub(decided_at);
    send_arrival(holder, job::Arrival { event, at, urgent, call });
}

/// Sends an event that arrived; one for an actor that has ended is dropped.
fn send_arrival(holder: &ractor::ActorRef<Msg>, arrival: job::Arrival) {
    if holder.cast(Msg::Event(Box::new(arrival))).is_err() {
        tracing::debug!("event dropped: the holder has ended");
    }
}

impl Actor for Holder {
    type Msg = Msg;
    type State = State;
    type Arguments = Shared;

    async fn pre_start(
        &self,
        myself: ractor::ActorRef<Msg>,
        args: Shared,
    ) -> Result<State, ractor::ActorProcessingErr> {
        let settings = engine_settings(&args);
        let engine = job::Engine::new(args.settings.host.clone(), settings, args.nonce);
        myself.cast(Msg::Tick { due: args.clock.now() })?;
        let outbox = sync::Arc::<calls::Outbox>::default();
        drop(tokio::spawn(calls::send_all(args.clone(), myself, sync::Arc::clone(&outbox))));
        Ok(State {
            shared: args,
            engine,
            entries: sync::Arc::default(),
            generation: sync::Arc::default(),
            lag: lag::Lag::default(),
            slowness: job::SlownessDetector::default(),
            load: holder_load::HolderLoad::default(),
            inbox: job::Inbox::default(),
            outbox,
            last_pass: time::Duration::ZERO,
        })
    }

    async fn handle(
        &self,
        myself: ractor::ActorRef<Msg>,
        message: Msg,
        state: &mut State,
    ) -> Result<(), ractor::ActorProcessingErr> {
        match message {
            Msg::Tick { due } => {
                let lag = state.lag_of(due);
                state.record_lag(lag);
                state.yield_if_slow(&myself, lag);
                let event = job::Event::Tick { wall_ms: super::wall_ms() };
                let call = time::Duration::ZERO;
                state.handle(&myself, job::Arrival { event, at: due, urgent: false, call });
                let holds = state.engine.holding().is_some();
                let next = if holds { TICK_HOLDING } else { TICK_STANDBY };
                let due = state.shared.clock.now() + next;
                myself.send_after(next, move || Msg::Tick { due });
            }
            Msg::Event(arrival) => {
                // All events that have arrived are in the inbox before the next one is chosen.
                if state.inbox.is_empty() {
                    myself.cast(Msg::HandleNext)?;
                }
                state.inbox.push(*arrival);
            }
            Msg::HandleNext => {
                for _ in 0..EVENTS_PER_TURN {
                    let Some(arrival) = state.inbox.pop() else {
                        break;
                    };
                    state.slowness.event();
                    state.handle(&myself, arrival);
                }
                if !state.inbox.is_empty() {
                    tokio::task::yield_now().await;
                    myself.cast(Msg::HandleNext)?;
                }
            }
            Msg::Dump(port) => {
                let dump = state.engine.holding().map(job::Holding::dump);
                if port.send(serde_json::to_value(dump)?).is_err() {
                    tracing::debug!("the caller of the dump is gone");
                }
            }
            Msg::ClaimLease { version, delay, port } => {
                if port.send(state.answer_claim(version, delay)).is_err() {
                    tracing::debug!("the host that asked for the lease is gone");
                }
            }
            Msg::IsReleased(port) => {
                if port.send(state.engine.is_watching()).is_err() {
                    tracing::debug!("the caller of the release check is gone");
                }
            }
        }
        Ok(())
    }
}

impl State {
    /// Returns how late this host is: by the delay of a tick that was due then, or the wait of the
    /// oldest answer in the inbox.
    fn lag_of(&self, due: time::Duration) -> time::Duration {
        let now = self.shared.clock.now();
        now.saturating_sub(due).max(self.inbox.behind(now))
    }

    /// Records the lag of this host and logs it if a warning is due.
    fn record_lag(&mut self, lag: time::Duration) {
        let now = self.shared.clock.now();
        let lag_ms = i64::try_from(lag.as_millis()).unwrap_or(i64::MAX);
        self.shared.metrics.holder_lag_ms.set(lag_ms);
        if let Some(longest) = self.lag.record(lag, now) {
            let holds = self.engine.holding().is_some();
            let limit_ms = lag::WARN_THRESHOLD.as_millis();
            tracing::warn!(
                lag_ms,
                longest_ms = longest.as_millis(),
                limit_ms,
                holds,
                "events of the domain are handled late"
            );
        }
    }

    /// Gives the domain up if this host has become too slow to hold it.
    fn yield_if_slow(&mut self, myself: &ractor::ActorRef<Msg>, lag: time::Duration) {
        if self.engine.holding().is_none() {
            self.slowness = job::SlownessDetector::default();
            return;
        }
        if self.slowness.tick(self.shared.clock.now(), lag) {
            self.slowness = job::SlownessDetector::default();
            self.step(myself, job::Event::Yield);
        }
    }

    /// Passes an event that arrived to the engine and records what that took.
    fn handle(&mut self, myself: &ractor::ActorRef<Msg>, arrival: job::Arrival) {
        let began = self.shared.clock.now();
        let pace = self.pace(began);
        self.engine.set_pace(pace);
        let kind = holder_load::Kind::of(&arrival.event);
        let passes = self.engine.holding().map_or(0, job::Holding::passes);
        self.step(myself, arrival.event);
        let Some(holding) = self.engine.holding() else {
            self.load = holder_load::HolderLoad::default();
            return;
        };
        let now = self.shared.clock.now();
        let handling = holder_load::Handling {
            waited: began.saturating_sub(arrival.at),
            took: now.saturating_sub(began),
            passes: holding.passes().saturating_sub(passes),
            call: arrival.call,
        };
        if handling.passes > 0 {
            self.last_pass = handling.took;
        }
        self.shared.metrics.note_handling(kind, &handling);
        if let Some(report) = self.load.record(kind, handling, now) {
            report.log(&pace);
        }
    }

    /// Returns what this host can take on.
    fn pace(&self, now: time::Duration) -> job::Pace {
        let starts = Some(self.outbox.starts());
        job::Pace { starts, behind: self.inbox.behind(now), last_pass: self.last_pass }
    }

    /// Passes an event to the engine, executes its effects and updates the gauges.
    fn step(&mut self, myself: &ractor::ActorRef<Msg>, event: job::Event) {
        let held = !self.engine.is_watching();
        let now = self.shared.clock.now();
        for effect in self.engine.step(now, event) {
            self.run_effect(myself, effect);
        }
        self.note_role(held);
    }

    /// Answers another host that found the lease of this one standing still.
    fn answer_claim(&mut self, version: u64, delay: time::Duration) -> job::LeaseClaim {
        let held = !self.engine.is_watching();
        let now = self.shared.clock.now();
        let silence = self.shared.store_silence();
        let answer = self.engine.answer_claim(now, version, delay, silence);
        self.note_role(held);
        answer
    }

    /// Ends the lease term of the followers if the domain was `held` and no longer is, and updates
    /// the gauges.
    fn note_role(&mut self, held: bool) {
        if held && self.engine.is_watching() {
            self.generation.fetch_add(1, atomic::Ordering::Relaxed);
        }
        self.publish_backlogs();
        let metrics = &self.shared.metrics;
        let holding = self.engine.holding();
        metrics.hall_held.with_label_values(&["jobs"]).set(i64::from(holding.is_some()));
        let early_cancels = holding.map_or(0, job::Holding::early_cancels);
        metrics.early_cancels_kept.set(i64::try_from(early_cancels).unwrap_or(i64::MAX));
        let given_up = holding.map_or(0, job::Holding::given_up);
        metrics.jobs_given_up.set(i64::try_from(given_up).unwrap_or(i64::MAX));
        let false_losses = holding.map_or(0, job::Holding::false_losses);
        metrics.false_losses.set(i64::try_from(false_losses).unwrap_or(i64::MAX));
        let withheld = holding.map_or(0, job::Holding::withheld);
        metrics.tasks_withheld.set(i64::try_from(withheld).unwrap_or(i64::MAX));
        let restarted = holding.map_or(0, job::Holding::restarted);
        metrics.workers_restarted.set(i64::try_from(restarted).unwrap_or(i64::MAX));
        let others = holding.map_or(0, job::Holding::taken_by_others);
        metrics.taken_by_others.set(i64::try_from(others).unwrap_or(i64::MAX));
        let kept = holding.map_or(0, job::Holding::kept_for_next);
        metrics.kept_for_next.set(i64::try_from(kept).unwrap_or(i64::MAX));
        let unshown = holding.map_or(0, job::Holding::unshown_given_up);
        metrics.unshown_given_up.set(i64::try_from(unshown).unwrap_or(i64::MAX));
        let unlisted = holding.map_or(0, job::Holding::unlisted_ends);
        metrics.unlisted_ends.set(i64::try_from(unlisted).unwrap_or(i64::MAX));
        let unconfigured = holding.map_or(0, job::Holding::unconfigured_queues);
        metrics.unconfigured_queues.set(i64::try_from(unconfigured).unwrap_or(i64::MAX));
        let stalls = holding.map(job::Holding::stalls).unwrap_or_default();
        for (event, count) in [
            ("worker", stalls.workers),
            ("moved", stalls.moved),
            ("false_alarm", stalls.false_alarms),
        ] {
            let count = i64::try_from(count).unwrap_or(i64::MAX);
            metrics.stalls.with_label_values(&[event]).set(count);
        }
    }

    /// Shows the callers' side of this host what the holder last told of its queues.
    fn publish_backlogs(&self) {
        let told = self.engine.backlogs();
        let before = self.shared.backlogs.load();
        if told.queues.is_empty() && before.queues.is_empty() {
            return;
        }
        if **before != told {
            self.shared.backlogs.store(sync::Arc::new(told));
        }
    }

    /// Executes one effect in a task of its own and feeds the result back as an event.
    fn run_effect(&self, myself: &ractor::ActorRef<Msg>, effect: job::Effect) {
        let myself = myself.clone();
        let shared = self.shared.clone();
        let domain = self.engine.domain();
        let decided = decided::DecisionTime::now(&shared.clock);
        match effect {
            job::Effect::ReadLease => drop(tokio::spawn(async move {
                let event = read_lease(&shared, domain).await;
                send_event(&shared, &myself, event);
            })),
            job::Effect::Probe { version, addr, delay } => drop(tokio::spawn(async move {
                let result = probe::probe(addr, version, delay).await;
                send_event(&shared, &myself, job::Event::Probed { version, result });
            })),
            job::Effect::Load => {
                let current = self.generation.load(atomic::Ordering::Relaxed);
                let generation = (current, sync::Arc::clone(&self.generation));
                let entries = sync::Arc::clone(&self.entries);
                let follower = watch::Follower { shared, holder: myself, entries, generation };
                drop(tokio::spawn(follower.load(domain)));
            }
            job::Effect::Txn(number, txn) => drop(tokio::spawn(async move {
                let answer = shared.timed_call("commit", shared.store.transact(&txn)).await;
                let event = job::Event::Txn { number, outcome: outcome(answer) };
                send_answer(&shared, &myself, event, (decided.at(), true));
            })),
            job::Effect::Drop(job, txn) => drop(tokio::spawn(async move {
                let answer = shared.call("drop", shared.store.transact(&txn)).await;
                let done = matches!(answer, Ok(rows::Answer::Done { .. }));
                send_event(&shared, &myself, job::Event::Dropped { job, done });
            })),
            job::Effect::RemoveEarlyCancel { job, version, txn } => {
                drop(tokio::spawn(async move {
                    // After a conflict, the row is gone.
                    if shared.call("drop", shared.store.transact(&txn)).await.is_ok() {
                        send_event(
                            &shared,
                            &myself,
                            job::Event::EarlyCancelRemoved { job, version },
                        );
                    }
                }))
            }
            job::Effect::RequestAdvice(request) => drop(tokio::spawn(async move {
                let answer = shared.advisor.ask(&request).await;
                if let Err(err) = &answer {
                    tracing::warn!(
                        job = %request.job, step = request.step, %err,
                        "request for advice failed"
                    );
                }
                send_event(
                    &shared,
                    &myself,
                    job::Event::AdviceAnswered { request, answer: answer.ok() },
                );
            })),
            job::Effect::Start(_)
            | job::Effect::Stop(_)
            | job::Effect::SetShare(_)
            | job::Effect::SendHeartbeat(_) => self.outbox.push(effect, decided),
        }
    }
}

/// Returns the outcome of a transaction as far as it is known.
fn outcome(answer: Result<rows::Answer, store::StoreError>) -> rows::Outcome {
    match answer {
        Ok(answer) => rows::Outcome::Answered(answer),
        Err(store::StoreError::Refused { .. }) => rows::Outcome::Refused,
        Err(_) => rows::Outcome::Unknown,
    }
}

/// Reads the lease row of a domain.
async fn read_lease(shared: &Shared, domain: u32) -> job::Event {
    let read = shared.timed_call("lease", shared.store.get_stamped(&job::lease_key(domain))).await;
    let Ok((row, store_ms)) = read else {
        return job::Event::LeaseUnread;
    };
    let lease = row.as_ref().and_then(|row| Some((row.version, row.value.as_deref()?)));
    let lease = lease.map(|(version, text)| Ok((version, serde_json::from_str(text)?)));
    match lease.transpose() {
        Ok(row) => job::Event::LeaseRead { row, store_ms },
        Err(err) => {
            let err: serde_json::Error = err;
            tracing::error!(%err, "the lease can't be read");
            job::Event::LeaseUnread
        }
    }
}

/// Returns whether this host's CPU and link suffice to hold a domain without lagging.
fn is_strong(settings: &settings::Settings) -> bool {
    let limits = &settings.limits;
    let jobs = |key| settings.number("jobs", key);
    limits.cpu_milli.is_none_or(|milli| milli >= jobs("holder_cpu_milli"))
        && limits.link_mbps.is_none_or(|mbps| mbps >= jobs("holder_link_mbps"))
}

/// Returns the settings of the engine, which depend on whether this host is weak.
fn engine_settings(shared: &Shared) -> job::Settings {
    let task_lease_max = shared.time("hold_max_ms");
    let strong = is_strong(&shared.settings);
    let (takeover_delay, poll, poll_standstill) = if strong {
        (time::Duration::ZERO, "poll_ms", "standstill_poll_ms")
    } else {
        (shared.time("weak_wait_ms"), "weak_poll_ms", "weak_standstill_poll_ms")
    };
    // A weak host sends heartbeats less often and gets the answers late, so it requests the longest
    // leases that workers grant.
    let task_lease =
        if strong { task_lease_max.min(shared.time("hold_ms")) } else { task_lease_max };
    job::Settings {
        domain: 0,
        lease: shared.time("lease_ms"),
        margin: shared.time("margin_ms"),
        addr: Some(shared.settings.operator_addr),
        probe: shared.time("probe_ms"),
        silence: shared.time("silence_ms"),
        vacate: shared.time("vacate_ms"),
        takeover_delay,
        poll: shared.time(poll),
        poll_standstill: shared.time(poll_standstill),
        commit: shared.time("commit_ms"),
        renew: shared.time("renew_ms"),
        task_lease,
        task_lease_max,
        stop: shared.time("stop_ms"),
        heartbeat_wait: shared.time("look_ms"),
        idle_heartbeat_gap: shared.time("look_idle_ms"),
        keep: time::Duration::from_secs(shared.settings.number("jobs", "keep_s")),
        closed_wait: shared.time("closed_wait_ms"),
        stalled_moves: u32::try_from(shared.settings.number("jobs", "stalled_moves"))
            .unwrap_or(u32::MAX),
        link_bytes_per_s: shared.settings.limits.link_mbps.map(|mbps| mbps * BYTES_PER_MBIT),
    }
}
