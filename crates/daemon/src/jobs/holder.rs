//! Runs the engine of a domain: carries out its effects and brings back what comes of them.

use std::sync;
use std::sync::atomic;
use std::time;

use ractor::Actor;
use wharflane::{job, rows};
use wharflane_adapter::store;

use super::Shared;
use super::decided;
use super::entries;
use super::lag;
use super::watch;
use crate::settings;

/// How often the engine is asked what is due while this host holds the domain.
const TICK_HOLDING: time::Duration = time::Duration::from_millis(20);
/// How long a host may take to answer a connection; between halls it takes 2 ms.
const PROBE_TIMEOUT: time::Duration = time::Duration::from_millis(200);
/// The bytes of a megabit.
const BYTES_PER_MBIT: u64 = 125_000;
/// How often it is asked while another host does.
const TICK_WATCHING: time::Duration = time::Duration::from_millis(100);

/// What the actor of a domain is told.
#[derive(Debug)]
pub enum Msg {
    /// Time has passed.
    Tick {
        /// When it was due, by the clock.
        due: time::Duration,
    },
    /// Something happened to the engine.
    Event(Box<job::Event>),
    /// The state is asked for.
    Dump(ractor::RpcReplyPort<serde_json::Value>),
    /// Whether nothing of the domain is left to give up is asked for.
    Left(ractor::RpcReplyPort<bool>),
}

/// The actor of a domain.
#[derive(Debug)]
pub struct Holder;

/// What the actor knows.
#[derive(Debug)]
pub struct State {
    /// What the parts of the job service share.
    shared: Shared,
    /// The engine.
    engine: job::Engine,
    /// Reads the entries of workers.
    entries: sync::Arc<entries::Entries>,
    /// Numbers the holdings of this process; those who follow for one end with it.
    generation: sync::Arc<atomic::AtomicU64>,
    /// How late ticks are taken.
    lag: lag::Lag,
    /// Tells whether this host is slow while it holds the domain.
    slowness: job::SlownessDetector,
}

/// Tells the actor of an event; one that has ended needs no news.
pub fn tell(holder: &ractor::ActorRef<Msg>, event: job::Event) {
    if holder.cast(Msg::Event(Box::new(event))).is_err() {
        tracing::debug!("event for a holder that has ended");
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
        Ok(State {
            shared: args,
            engine,
            entries: sync::Arc::default(),
            generation: sync::Arc::default(),
            lag: lag::Lag::default(),
            slowness: job::SlownessDetector::default(),
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
                state.note_lag(due);
                state.yield_if_slow(&myself, due);
                state.step(&myself, job::Event::Tick { wall_ms: super::wall_ms() });
                let holds = state.engine.holding().is_some();
                let next = if holds { TICK_HOLDING } else { TICK_WATCHING };
                let due = state.shared.clock.now() + next;
                myself.send_after(next, move || Msg::Tick { due });
            }
            Msg::Event(event) => {
                state.slowness.event();
                state.step(&myself, *event);
            }
            Msg::Dump(port) => {
                let dump = state.engine.holding().map(job::Holding::dump);
                if port.send(serde_json::to_value(dump)?).is_err() {
                    tracing::debug!("nobody waits for the dump any more");
                }
            }
            Msg::Left(port) => {
                if port.send(state.engine.left()).is_err() {
                    tracing::debug!("nobody waits for the answer any more");
                }
            }
        }
        Ok(())
    }
}

impl State {
    /// Notes how late a tick is taken.
    fn note_lag(&mut self, due: time::Duration) {
        let now = self.shared.clock.now();
        let lag = now.saturating_sub(due);
        let lag_ms = i64::try_from(lag.as_millis()).unwrap_or(i64::MAX);
        self.shared.metrics.holder_lag_ms.set(lag_ms);
        if let Some(longest) = self.lag.note(due, now) {
            let holds = self.engine.holding().is_some();
            let limit_ms = lag::MOST.as_millis();
            tracing::warn!(
                lag_ms,
                longest_ms = longest.as_millis(),
                limit_ms,
                holds,
                "domain lags"
            );
        }
    }

    /// Gives the domain up where this host has become too slow for it.
    fn yield_if_slow(&mut self, myself: &ractor::ActorRef<Msg>, due: time::Duration) {
        if self.engine.holding().is_none() {
            self.slowness = job::SlownessDetector::default();
            return;
        }
        let now = self.shared.clock.now();
        if self.slowness.tick(now, now.saturating_sub(due)) {
            self.slowness = job::SlownessDetector::default();
            self.step(myself, job::Event::Yield);
        }
    }

    /// Takes one event and carries out what follows.
    fn step(&mut self, myself: &ractor::ActorRef<Msg>, event: job::Event) {
        let held = !self.engine.left();
        let now = self.shared.clock.now();
        for effect in self.engine.step(now, event) {
            self.carry_out(myself, effect);
        }
        if held && self.engine.left() {
            self.generation.fetch_add(1, atomic::Ordering::Relaxed);
        }
        let metrics = &self.shared.metrics;
        let holding = self.engine.holding();
        metrics.hall_held.with_label_values(&["jobs"]).set(i64::from(holding.is_some()));
        let given_up = holding.map_or(0, job::Holding::given_up);
        metrics.jobs_given_up.set(i64::try_from(given_up).unwrap_or(i64::MAX));
        let restarted = holding.map_or(0, job::Holding::restarted);
        metrics.workers_restarted.set(i64::try_from(restarted).unwrap_or(i64::MAX));
    }

    /// Carries out one effect beside the actor and brings the result back as an event.
    fn carry_out(&self, myself: &ractor::ActorRef<Msg>, effect: job::Effect) {
        let myself = myself.clone();
        let shared = self.shared.clone();
        let domain = self.engine.domain();
        let decided = decided::Decided::now(&shared.clock);
        match effect {
            job::Effect::ReadLease => drop(tokio::spawn(async move {
                let event = read_lease(&shared, domain).await;
                tell(&myself, event);
            })),
            job::Effect::Probe { version, addr } => drop(tokio::spawn(async move {
                let sign = probe(addr).await;
                tell(&myself, job::Event::Probed { version, sign });
            })),
            job::Effect::Load => {
                let on = self.generation.load(atomic::Ordering::Relaxed);
                let generation = (on, sync::Arc::clone(&self.generation));
                let entries = sync::Arc::clone(&self.entries);
                let follower = watch::Follower { shared, holder: myself, entries, generation };
                drop(tokio::spawn(follower.load(domain)));
            }
            job::Effect::Txn(number, txn) => drop(tokio::spawn(async move {
                let answer = shared.store.transact(&txn).await;
                shared.count_call("commit", &answer);
                tell(&myself, job::Event::Txn { number, outcome: outcome(answer) });
            })),
            job::Effect::Drop(job, txn) => drop(tokio::spawn(async move {
                let answer = shared.store.transact(&txn).await;
                shared.count_call("drop", &answer);
                let done = matches!(answer, Ok(rows::Answer::Done { .. }));
                tell(&myself, job::Event::Dropped { job, done });
            })),
            job::Effect::Start(start) => drop(tokio::spawn(async move {
                let answer = match decided.may_be_sent("start") {
                    true => shared.workers.start(&start).await,
                    false => job::StartAnswer::Silent,
                };
                tell(&myself, job::Event::Started { order: start.order, answer });
            })),
            job::Effect::Stop(order) => drop(tokio::spawn(async move {
                if !decided.may_be_sent("stop") || !shared.workers.stop(&order).await {
                    tell(&myself, job::Event::StopNotTaken(order));
                }
            })),
            job::Effect::Pace(pace) => drop(tokio::spawn(async move {
                if decided.may_be_sent("pace") {
                    shared.workers.pace(&pace).await;
                }
            })),
            job::Effect::Ask(question) => drop(tokio::spawn(async move {
                let answer = shared.advisor.ask(&question).await;
                if let Err(err) = &answer {
                    tracing::warn!(job = %question.job, step = question.step, %err, "no advice");
                }
                tell(&myself, job::Event::Advised { question, answer: answer.ok() });
            })),
            job::Effect::SendHeartbeat(heartbeat) => drop(tokio::spawn(async move {
                let answer = match decided.may_be_sent("look") {
                    true => shared.workers.send_heartbeat(&heartbeat).await,
                    false => job::HeartbeatAnswer::Silent,
                };
                let (worker, epoch) = (heartbeat.worker, heartbeat.epoch);
                tell(&myself, job::Event::HeartbeatAnswered { worker, epoch, answer });
            })),
        }
    }
}

/// Returns what a host answers to a connection.
async fn probe(addr: std::net::SocketAddr) -> job::ProbeResult {
    let connecting = tokio::net::TcpStream::connect(addr);
    match tokio::time::timeout(PROBE_TIMEOUT, connecting).await {
        Ok(Ok(_)) => job::ProbeResult::Listens,
        Ok(Err(err)) if err.kind() == std::io::ErrorKind::ConnectionRefused => {
            job::ProbeResult::Refused
        }
        // Other errors are this host's own, such as too few descriptors, and say nothing of the holder.
        Ok(Err(err)) => {
            tracing::warn!(%addr, %err, "the holder can't be looked for");
            job::ProbeResult::Listens
        }
        Err(_) => job::ProbeResult::Silent,
    }
}

/// Returns what is known of a transaction.
fn outcome(answer: Result<rows::Answer, store::StoreError>) -> rows::Outcome {
    match answer {
        Ok(answer) => rows::Outcome::Answered(answer),
        Err(store::StoreError::Refused { .. }) => rows::Outcome::Refused,
        Err(_) => rows::Outcome::Unknown,
    }
}

/// Reads the lease row.
async fn read_lease(shared: &Shared, domain: u32) -> job::Event {
    let row = shared.store.get(&job::lease_key(domain)).await;
    shared.count_call("lease", &row);
    match row {
        Err(_) => job::Event::LeaseUnread,
        Ok(None) => job::Event::LeaseRead(None),
        Ok(Some(row)) => {
            let lease = row.value.as_deref().map(serde_json::from_str::<job::Lease>);
            match lease {
                Some(Ok(lease)) => job::Event::LeaseRead(Some((row.version, lease))),
                Some(Err(err)) => {
                    tracing::error!(%err, "the lease can't be read");
                    job::Event::LeaseUnread
                }
                None => job::Event::LeaseRead(None),
            }
        }
    }
}

/// Returns whether this host can hold a domain with ease.
fn is_strong(settings: &settings::Settings) -> bool {
    let limits = &settings.limits;
    let jobs = |key| settings.number("jobs", key);
    limits.cpu_milli.is_none_or(|milli| milli >= jobs("holder_cpu_milli"))
        && limits.link_mbps.is_none_or(|mbps| mbps >= jobs("holder_link_mbps"))
}

/// Returns how the engine is timed.
fn engine_settings(shared: &Shared) -> job::Settings {
    let task_lease_max = shared.time("hold_max_ms");
    let strong = is_strong(&shared.settings);
    let (takeover_delay, poll) = if strong {
        (time::Duration::ZERO, "poll_ms")
    } else {
        (shared.time("weak_wait_ms"), "weak_poll_ms")
    };
    // A weak host looks at workers less often and hears of them late, so that its leases last as long as they may.
    let task_lease =
        if strong { task_lease_max.min(shared.time("hold_ms")) } else { task_lease_max };
    job::Settings {
        domain: 0,
        lease: shared.time("lease_ms"),
        margin: shared.time("margin_ms"),
        addr: Some(shared.settings.operator_addr),
        probe: shared.time("probe_ms"),
        silence: shared.time("silence_ms"),
        takeover_delay,
        poll: shared.time(poll),
        commit: shared.time("commit_ms"),
        renew: shared.time("renew_ms"),
        task_lease,
        task_lease_max,
        stop: shared.time("stop_ms"),
        heartbeat_wait: shared.time("look_ms"),
        idle_heartbeat_gap: shared.time("look_idle_ms"),
        keep: time::Duration::from_secs(shared.settings.number("jobs", "keep_s")),
        closed_wait: shared.time("closed_wait_ms"),
        link_bytes_per_s: shared.settings.limits.link_mbps.map(|mbps| mbps * BYTES_PER_MBIT),
    }
}
