//! A domain of two workers, one of which restarts under its id while the first order to it is on its
//! way, takes the order and is then cut off from the hosts. Its list entry and the holders change by
//! a script.
#![allow(dead_code, reason = "each test file uses a part of it")]

use std::time;

use wharflane::job;
use wharflane_stand_in::jobs::worker;

use crate::{silent_worker, sim};

/// The step in which time advances.
const STEP: time::Duration = time::Duration::from_millis(20);
/// How long the first order is on its way.
const TRANSIT: time::Duration = time::Duration::from_millis(300);
/// How long a call to a worker waits for its answer, in addition to what it allows the worker.
const CALL_TIMEOUT: time::Duration = time::Duration::from_millis(600);
/// The speed of the clock of the next incarnation, in thousandths.
const CLOCK_MILLI: u32 = 980;
/// How long a script runs after the first order: longer than any run that it leaves behind.
const SCRIPT: time::Duration = time::Duration::from_secs(40);

/// What the store's list tells of the restarted worker. Times count from the first order, in
/// milliseconds.
#[derive(Clone, Copy, Debug)]
pub enum Entry {
    /// The former incarnation's entry stays.
    Stays,
    /// The former incarnation's entry goes; no other comes.
    Goes(u64),
    /// The former incarnation's entry goes and comes back as it was.
    GoesAndReturns(u64, u64),
    /// The next incarnation's entry comes and stays.
    NextComes(u64),
    /// The next incarnation's entry comes and goes.
    NextComesAndGoes(u64, u64),
    /// The former incarnation's entry says from then on that the worker leaves.
    Leaves(u64),
}

/// How a holder ends.
#[derive(Clone, Copy, Debug)]
pub enum End {
    /// It releases its lease.
    Released,
    /// It is killed, and a probe of its address is refused.
    Killed,
    /// It is killed, and its lease expires.
    Expired,
}

/// What happens to the worker, its entry and the holders.
#[derive(Clone, Copy, Debug)]
pub struct Script {
    /// The longest lease that workers grant.
    pub longest: time::Duration,
    /// Whether the answer to the first order arrives.
    pub answered: bool,
    /// When the worker is cut off from the hosts, after it took the order, in milliseconds.
    pub cut_after_ms: u64,
    /// Whether the cut loses answers only, so that calls to the worker arrive.
    pub answers_only: bool,
    /// When the cut ends, after the first order, in milliseconds; absent if it doesn't.
    pub cut_ends_ms: Option<u64>,
    /// What the list tells of the worker.
    pub entry: Entry,
    /// When holders end, after the first order, in milliseconds, and how.
    pub ends: &'static [(u64, End)],
}

/// What came of a script.
#[derive(Clone, Copy, Debug, Default)]
pub struct Outcome {
    /// For how long the task ran on two workers at once.
    pub twice: time::Duration,
    /// How long after the first order the task was taken by the other worker; absent if it wasn't.
    pub moved: Option<time::Duration>,
}

/// A call to a worker.
#[derive(Clone, Debug)]
enum Call {
    /// An order to start a task.
    Start(job::Start),
    /// An order to stop a task.
    Stop(job::Order),
    /// A heartbeat.
    Heartbeat(job::Heartbeat),
}

/// A domain that plays a script.
struct Play {
    /// The domain under the present holder.
    domain: silent_worker::Domain,
    /// The script.
    script: Script,
    /// The workers.
    workers: Vec<worker::Worker>,
    /// Which worker restarts; absent before the first order.
    restarts: Option<usize>,
    /// When the first order was sent.
    ordered: time::Duration,
    /// When the next incarnation took it.
    taken: Option<time::Duration>,
    /// The store's list.
    members: Vec<Option<job::Member>>,
    /// Calls on their way, with the time at which they arrive.
    calls: Vec<(time::Duration, Call)>,
    /// Heartbeats that a worker holds back, with the latest time of their answers.
    waiting: Vec<(time::Duration, job::Heartbeat)>,
    /// Answers on their way, with the time at which they arrive.
    replies: Vec<(time::Duration, job::Event)>,
    /// What came of it until now.
    outcome: Outcome,
}

/// Plays a script.
pub fn play(script: Script) -> Outcome {
    let mut play = Play::new(script);
    play.domain.submit();
    while play.restarts.is_none() {
        play.tick();
    }
    let mut ends = script.ends.iter();
    let mut next = ends.next();
    while play.domain.sim.now < play.ordered + SCRIPT {
        match next {
            Some((at_ms, end)) if play.since_order_ms() >= *at_ms => {
                play.change_holder(*end);
                next = ends.next();
            }
            _ => play.tick(),
        }
    }
    play.outcome
}

impl Play {
    /// Returns a domain whose workers have run for a while.
    fn new(script: Script) -> Self {
        let domain = silent_worker::Domain::with_longest_lease(script.longest);
        let members: Vec<job::Member> = (0..2).map(silent_worker::old_member).collect();
        let workers = members.iter().map(|member| {
            let incarnation = member.incarnation.clone();
            let mut worker = worker::Worker::new(incarnation, member.capacity, 1_000);
            worker.clock_from_ms = 0;
            worker.longest_lease = script.longest;
            worker
        });
        Self {
            workers: workers.collect(),
            ordered: domain.sim.now,
            domain,
            script,
            restarts: None,
            taken: None,
            members: members.into_iter().map(Some).collect(),
            calls: Vec::new(),
            waiting: Vec::new(),
            replies: Vec::new(),
            outcome: Outcome::default(),
        }
    }

    /// Returns the time since the first order, in milliseconds.
    fn since_order_ms(&self) -> u64 {
        u64::try_from((self.domain.sim.now - self.ordered).as_millis()).expect("fits into u64")
    }

    /// Advances the time by one step.
    fn tick(&mut self) {
        self.domain.sim.now += STEP;
        let now = self.domain.sim.now;
        self.workers.iter_mut().for_each(|worker| worker.tick(now));
        self.change_entry();
        for (_, call) in take_due(&mut self.calls, now) {
            self.deliver(call);
        }
        self.answer_heartbeats();
        for (_, event) in take_due(&mut self.replies, now) {
            self.domain.sim.handle(event);
        }
        let wall_ms = u64::try_from(now.as_millis()).expect("fits into u64");
        self.domain.sim.handle(job::Event::JobsReadUpTo { up_to_ms: wall_ms });
        self.domain.sim.handle(job::Event::Tick { wall_ms });
        for effect in std::mem::take(&mut self.domain.sim.pending) {
            self.send(effect);
        }
        self.observe();
    }

    /// Notes where the task runs.
    fn observe(&mut self) {
        let Some(restarts) = self.restarts else {
            return;
        };
        let task = silent_worker::task();
        let runs = |worker: &worker::Worker| worker.running().any(|(running, _)| running == task);
        if self.workers.iter().all(runs) {
            self.outcome.twice += STEP;
        }
        if runs(&self.workers[1 - restarts]) {
            let after = self.domain.sim.now - self.ordered;
            self.outcome.moved.get_or_insert(after);
        }
    }

    /// Sends a call. The worker of the first order restarts before that arrives.
    fn send(&mut self, effect: job::Effect) {
        let now = self.domain.sim.now;
        let (call, after) = match effect {
            job::Effect::Start(start) if self.restarts.is_none() => {
                self.ordered = now;
                self.restarts = Some(silent_worker::number_of(&start.order.worker));
                (Call::Start(start), TRANSIT)
            }
            job::Effect::Start(start) => (Call::Start(start), time::Duration::ZERO),
            job::Effect::Stop(order) => (Call::Stop(order), time::Duration::ZERO),
            job::Effect::SendHeartbeat(sent) => (Call::Heartbeat(sent), time::Duration::ZERO),
            _ => return,
        };
        self.calls.push((now + after, call));
    }

    /// Returns whether calls to a worker, or their answers, are lost now.
    fn is_cut(&self, at: usize) -> bool {
        let cut_after = time::Duration::from_millis(self.script.cut_after_ms);
        let begun = self.taken.is_some_and(|taken| self.domain.sim.now >= taken + cut_after);
        let over = self.script.cut_ends_ms.is_some_and(|ends_ms| self.since_order_ms() >= ends_ms);
        self.restarts == Some(at) && begun && !over
    }

    /// Delivers a call to its worker.
    fn deliver(&mut self, call: Call) {
        let now = self.domain.sim.now;
        let to = match &call {
            Call::Start(start) => &start.order.worker,
            Call::Stop(order) => &order.worker,
            Call::Heartbeat(heartbeat) => &heartbeat.worker,
        };
        let at = silent_worker::number_of(to);
        let lost = self.is_cut(at);
        let arrives = !lost || self.script.answers_only;
        match call {
            Call::Start(start) => {
                let is_first = self.taken.is_none() && self.restarts == Some(at);
                if is_first {
                    self.restart(at);
                    self.taken = Some(now);
                }
                let size = start_size();
                let behaviour = worker::Behaviour { work: None, fails: false, size };
                let answer = arrives.then(|| self.workers[at].start(&start, behaviour, now).0);
                let silent = lost || is_first && !self.script.answered;
                let (after, answer) = match answer.filter(|_| !silent) {
                    Some(answer) => (time::Duration::ZERO, answer),
                    None => (CALL_TIMEOUT, job::StartAnswer::Silent),
                };
                self.replies
                    .push((now + after, job::Event::Started { order: start.order, answer }));
            }
            Call::Stop(order) => {
                let stopped = arrives && self.workers[at].stop(&order, now);
                if !stopped || lost {
                    self.replies.push((now + CALL_TIMEOUT, job::Event::StopNotTaken(order)));
                }
            }
            Call::Heartbeat(heartbeat) if arrives => {
                self.waiting.push((now + heartbeat.wait, heartbeat));
            }
            Call::Heartbeat(heartbeat) => self.break_heartbeat(heartbeat, CALL_TIMEOUT),
        }
    }

    /// Lets a heartbeat have no answer.
    fn break_heartbeat(&mut self, heartbeat: job::Heartbeat, after: time::Duration) {
        let (worker, epoch) = (heartbeat.worker, heartbeat.epoch);
        let answer = job::HeartbeatAnswer::Silent;
        let event = job::Event::HeartbeatAnswered { worker, epoch, answer };
        self.replies.push((self.domain.sim.now + after, event));
    }

    /// Lets workers carry out new heartbeats and answer those that are due.
    fn answer_heartbeats(&mut self) {
        let now = self.domain.sim.now;
        for (until, heartbeat) in std::mem::take(&mut self.waiting) {
            let at = silent_worker::number_of(&heartbeat.worker);
            let answer = self.workers[at].handle_heartbeat(&heartbeat, now);
            let (worker, epoch) = (heartbeat.worker.clone(), heartbeat.epoch);
            if self.is_cut(at) {
                self.break_heartbeat(heartbeat, CALL_TIMEOUT);
            } else if now < until {
                // It extends the lease once.
                self.waiting.push((until, job::Heartbeat { lease_until_ms: None, ..heartbeat }));
            } else {
                self.replies.push((now, job::Event::HeartbeatAnswered { worker, epoch, answer }));
            }
        }
    }

    /// Restarts a worker under its id; heartbeats that the former incarnation holds back break.
    fn restart(&mut self, at: usize) {
        let now = self.domain.sim.now;
        let born_ms = u64::try_from(now.as_millis()).expect("fits into u64");
        self.workers[at] = self.workers[at].next_incarnation(born_ms, now);
        self.workers[at].clock_milli = CLOCK_MILLI;
        let id = self.workers[at].incarnation.worker.clone();
        let (broken, others) = std::mem::take(&mut self.waiting)
            .into_iter()
            .partition(|(_, heartbeat)| heartbeat.worker.worker == id);
        self.waiting = others;
        let broken: Vec<(time::Duration, job::Heartbeat)> = broken;
        for (_, heartbeat) in broken {
            self.break_heartbeat(heartbeat, time::Duration::ZERO);
        }
    }

    /// Changes the list entry of the restarted worker as the script has it.
    fn change_entry(&mut self) {
        let Some(at) = self.restarts else {
            return;
        };
        if self.taken.is_none() && !matches!(self.script.entry, Entry::Leaves(_)) {
            return;
        }
        let since_ms = self.since_order_ms();
        let former = || Some(silent_worker::old_member(at));
        let next = || {
            let incarnation = self.workers[at].incarnation.clone();
            Some(job::Member { incarnation, ..sim::member(at) })
        };
        let entry = match self.script.entry {
            Entry::Goes(gone_ms) if since_ms >= gone_ms => None,
            Entry::GoesAndReturns(gone_ms, back_ms) if (gone_ms..back_ms).contains(&since_ms) => {
                None
            }
            Entry::NextComesAndGoes(_, gone_ms) if since_ms >= gone_ms => None,
            Entry::NextComes(come_ms) | Entry::NextComesAndGoes(come_ms, _)
                if since_ms >= come_ms =>
            {
                next()
            }
            Entry::Leaves(from_ms) if since_ms >= from_ms => {
                former().map(|former| job::Member { leaving: true, ..former })
            }
            _ => former(),
        };
        if entry != self.members[at] {
            self.members[at] = entry.clone();
            let id = self.workers[at].incarnation.worker.clone();
            self.domain.sim.handle(job::Event::Member(id, entry));
        }
    }

    /// Ends the holder; another host takes the lease and loads the state.
    fn change_holder(&mut self, end: End) {
        if matches!(end, End::Released) {
            self.domain.sim.handle(job::Event::Leave);
            while !self.domain.sim.engine.is_watching() {
                self.tick();
            }
        }
        self.domain.sim.pending.clear();
        self.replies.clear();
        let nonce = u64::try_from(self.domain.sim.now.as_nanos()).expect("fits into u64");
        let name = format!("host-{nonce}");
        let addr = Some(([127, 0, 0, 1], 9).into());
        let settings = job::Settings { addr, ..self.domain.settings };
        self.domain.sim.engine = job::Engine::new(name.as_str().into(), settings, nonce);
        self.domain.sim.handle(job::Event::Queues(sim::queues()));
        let members = self.members.iter().flatten().cloned().collect();
        self.domain.sim.handle(job::Event::Listed(members));
        self.domain.read_lease();
        match end {
            End::Released => {}
            End::Killed => {
                self.advance(self.domain.settings.probe);
                let version = self.domain.version_of(job::LEASES);
                let result = job::ProbeResult::Refused;
                self.domain.sim.handle(job::Event::Probed { version, result });
            }
            End::Expired => {
                self.advance(self.domain.settings.lease);
                self.domain.read_lease();
            }
        }
        assert!(!self.domain.sim.engine.is_watching(), "the lease is taken after {end:?}");
        self.domain.load();
    }

    /// Advances the time.
    fn advance(&mut self, passed: time::Duration) {
        let until = self.domain.sim.now + passed;
        while self.domain.sim.now < until {
            self.tick();
        }
    }
}

/// Returns the size of the task.
fn start_size() -> wharflane::size::Size {
    sim::step("plain", 1_000).size
}

/// Removes the entries that are due by now and returns them.
fn take_due<T>(
    entries: &mut Vec<(time::Duration, T)>,
    now: time::Duration,
) -> Vec<(time::Duration, T)> {
    let (due, later) = std::mem::take(entries).into_iter().partition(|entry| entry.0 <= now);
    *entries = later;
    due
}
