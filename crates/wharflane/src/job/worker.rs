//! What a holder knows of one worker.

use std::collections;
use std::time;

use super::crash;
use super::interference;
use super::order;
use super::spec;
use crate::size;

/// A worker's clock may run this much slow, in thousandths; the platform promises 2 %.
const SLOW_CLOCK_MILLI: u32 = 20;
/// Failures in a row after which a worker gets nothing new for a while.
const FAILURES_BEFORE_REST: u32 = 2;
/// A tail above this part of its target counts as a miss, in percent; figures are rough.
const MISSED_PERCENT: u64 = 100;
/// How long a target must be kept until a time of misses is over.
const KEPT: time::Duration = time::Duration::from_millis(700);
/// How long such a worker rests: troubles of this kind last some 4 to 8 s.
const REST: time::Duration = time::Duration::from_secs(4);

/// The least time between two looks at a worker where something runs.
pub(super) const LOOK_GAP: time::Duration = time::Duration::from_millis(50);

/// A task that serves, as its worker's neighbours are weighed against it.
#[derive(Clone, Copy, Debug)]
pub(super) struct Serving {
    /// What it runs.
    pub image: interference::Image,
    /// The tail to keep.
    pub target_ms: u64,
}

/// A task that fills a worker.
#[derive(Clone, Copy, Debug)]
pub(super) struct Filling {
    /// What it runs.
    pub image: interference::Image,
    /// The processors that it asks for.
    pub cpu_milli: u64,
    /// The share at which it works.
    pub percent: u8,
    /// Whether it was ever held back.
    pub paced: bool,
    /// Whether it was started in need and never worked at full speed.
    pub started_throttled: bool,
    /// Whether the share is to be ordered as soon as the task is there.
    pub share_unsent: bool,
    /// Since when it is held back so far that it had better move.
    pub low_since: Option<time::Duration>,
}

/// The strain of a serving task when it was last told.
#[derive(Clone, Copy, Debug)]
pub(super) struct Strain {
    /// When.
    pub at: time::Duration,
    /// The strain.
    pub strain: f64,
    /// Since when the target is missed, and when it was last.
    pub missed: Option<Missed>,
}

/// A time in which a target was missed, with pauses too short to count.
#[derive(Clone, Copy, Debug)]
pub(super) struct Missed {
    /// When it began.
    pub since: time::Duration,
    /// When it was last seen.
    pub last: time::Duration,
}

impl Missed {
    /// Goes on with a time of misses after one more tail; nothing once the target is kept for long.
    pub fn next(
        before: Option<Self>,
        tail_ms: u64,
        target_ms: u64,
        now: time::Duration,
    ) -> Option<Self> {
        if tail_ms * 100 > target_ms * MISSED_PERCENT {
            let since = before.map_or(now, |missed| missed.since);
            return Some(Self { since, last: now });
        }
        before.filter(|missed| now.saturating_sub(missed.last) < KEPT)
    }
}

/// What the serving tasks of a worker bear of one more neighbour.
#[derive(Clone, Debug)]
pub(super) struct Headroom {
    /// When it was found out.
    pub at: time::Duration,
    /// Whether one of them misses its target.
    pub missed: bool,
    /// The strain that each has left.
    pub left: Vec<(interference::Image, f64)>,
}

/// What may run on a worker by orders and leases from before this holder knew it.
#[derive(Clone, Copy, Debug)]
pub(super) struct Inherited {
    /// The longest lease that it may grant.
    pub lease: time::Duration,
    /// When all of that is over at the latest, by this holder's clock.
    pub until: time::Duration,
}

/// An incarnation of a worker as its holder sees it.
#[derive(Debug)]
pub(super) struct View {
    /// The worker as it was listed last.
    pub member: order::Member,
    /// When this holder first knew of it.
    pub known_since: time::Duration,
    /// Whether the store lists it.
    pub listed: bool,
    /// Whether its hall is closed.
    pub closed: bool,
    /// Whether it has answered a look of this epoch, so that no earlier holder's order counts.
    pub fenced: bool,
    /// Its clock when it answered last, and when that answer came.
    pub sample: Option<(u64, time::Duration)>,
    /// Until when tasks may run there by this holder's word, by the worker's clock.
    pub granted_ms: u64,
    /// What may run there from before.
    pub inherited: Inherited,
    /// The ends that were taken in and whose result is not committed yet.
    pub unrecorded: collections::BTreeSet<u64>,
    /// The last end that was taken in.
    pub heard: u64,
    /// The last end that its last answer told; zero where that told none.
    pub told: u64,
    /// When the look under way was sent.
    pub heartbeat_sent: Option<time::Duration>,
    /// When the next look is due.
    pub heartbeat_due: time::Duration,
    /// Looks in a row without an answer.
    pub misses: u32,
    /// The room that is set aside.
    pub used: size::Size,
    /// The room of runs there that are none of this holder's, as the last look told; they are being stopped.
    pub strays: size::Size,
    /// Processors wanted by tasks that fill, in thousandths of a core.
    pub filling_milli: u64,
    /// The part of the room that is set aside for lasting tasks.
    pub lasting: size::Size,
    /// The tasks that may run there.
    pub tasks: collections::BTreeSet<spec::TaskId>,
    /// Until when it gets nothing new, since it turned a start away.
    pub rests_until: time::Duration,
    /// Until when it gets nothing new but tasks in need, since runs failed or stood still there.
    pub unsound_until: time::Duration,
    /// Failed runs in a row.
    pub failures: u32,
    /// What was there when its leases lapsed, until it answers or is known to be gone.
    pub lapsed: Vec<crash::Presence>,
    /// The suspect that it is kept for alone, since it may have crashed its last worker.
    pub alone: Option<spec::TaskId>,
    /// The tasks that serve.
    pub serving: collections::BTreeMap<spec::TaskId, Serving>,
    /// The tasks that fill.
    pub filling: collections::BTreeMap<spec::TaskId, Filling>,
    /// When a share was changed last.
    pub paced: time::Duration,
    /// What the tasks that serve bear of one more neighbour, as it was found out last.
    pub headroom: Option<Headroom>,
}

impl View {
    /// Makes the view of a worker that was not looked at yet.
    pub fn new(member: order::Member, inherited: Inherited, now: time::Duration) -> Self {
        Self {
            member,
            known_since: now,
            listed: true,
            closed: false,
            fenced: false,
            sample: None,
            granted_ms: 0,
            inherited,
            unrecorded: collections::BTreeSet::new(),
            heard: 0,
            told: 0,
            heartbeat_sent: None,
            heartbeat_due: time::Duration::ZERO,
            misses: 0,
            used: size::Size::default(),
            strays: size::Size::default(),
            filling_milli: 0,
            lasting: size::Size::default(),
            tasks: collections::BTreeSet::new(),
            rests_until: time::Duration::ZERO,
            unsound_until: time::Duration::ZERO,
            failures: 0,
            lapsed: Vec::new(),
            alone: None,
            serving: collections::BTreeMap::new(),
            filling: collections::BTreeMap::new(),
            paced: time::Duration::ZERO,
            headroom: None,
        }
    }

    /// Returns the least that the worker's clock can show now, once it has answered.
    pub fn clock_ms(&self, now: time::Duration) -> Option<u64> {
        let (clock_ms, at) = self.sample?;
        let passed = now.saturating_sub(at);
        let slow = passed * SLOW_CLOCK_MILLI / 1_000;
        Some(clock_ms + millis(passed.saturating_sub(slow)))
    }

    /// Returns how long ago the worker answered last; nothing where it never did.
    pub fn silence(&self, now: time::Duration) -> Option<time::Duration> {
        self.sample.map(|(_, answered)| now.saturating_sub(answered))
    }

    /// Returns until when a new grant of a length lasts, by the worker's clock, and notes it.
    pub fn grant(&mut self, now: time::Duration, hold: time::Duration) -> Option<u64> {
        let lease_until_ms = self.clock_ms(now)? + millis(hold);
        self.granted_ms = self.granted_ms.max(lease_until_ms);
        Some(lease_until_ms)
    }

    /// Returns whether all that was granted is over, so that nothing can run there any more.
    pub fn lapsed(&self, now: time::Duration) -> bool {
        if !self.fenced && now < self.inherited.until {
            return false;
        }
        match self.clock_ms(now) {
            Some(clock_ms) => clock_ms > self.granted_ms,
            None => now >= self.inherited.until,
        }
    }

    /// Returns whether a new task may go there.
    pub fn takes(&self, task: spec::TaskId, now: time::Duration) -> bool {
        self.takes_in_need(task, now) && !self.is_quarantined(now)
    }

    /// Returns whether it rests, since runs failed or stood still there.
    pub fn is_quarantined(&self, now: time::Duration) -> bool {
        now < self.unsound_until
    }

    /// Returns whether a task in need may go there, also while it rests.
    pub fn takes_in_need(&self, task: spec::TaskId, now: time::Duration) -> bool {
        self.alone.is_none_or(|alone| alone == task) && self.is_available(now)
    }

    /// Returns whether new tasks may go there as far as the worker is concerned.
    fn is_available(&self, now: time::Duration) -> bool {
        self.listed
            && self.fenced
            && !self.member.leaving
            && self.misses == 0
            && now >= self.rests_until
    }

    /// Returns whether no start may be ordered there any more, not even again: it leaves, or its hall is closed.
    pub fn is_barred(&self) -> bool {
        self.member.leaving || self.closed
    }

    /// Returns whether it gets nothing new for now, whatever waits.
    pub fn is_closed_to_all(&self, now: time::Duration) -> bool {
        !self.is_available(now) || self.is_quarantined(now) || self.alone.is_some()
    }

    /// Returns the last end that the worker is to forget: all up to it are committed. None is named where the worker
    /// has forgotten them already, or may have started again since its last answer: the next incarnation numbers its ends from one.
    pub fn seen(&self) -> u64 {
        let committed = self.unrecorded.first().map_or(self.heard, |first| first - 1);
        if self.misses > 0 { 0 } else { committed.min(self.told) }
    }

    /// Returns the room that nothing has, by our word or without it.
    pub fn free(&self) -> size::Size {
        self.member.capacity.minus(&self.used).minus(&self.strays)
    }

    /// Returns the room that nothing has once everything has ended that ends.
    pub fn free_in_time(&self) -> size::Size {
        self.member.capacity.minus(&self.lasting).minus(&self.strays)
    }

    /// Returns whether everything that is set aside fits the room that the worker told last.
    pub fn fits(&self) -> bool {
        self.used.plus(&self.strays).fits(&self.member.capacity)
    }

    /// Returns so many of its processors as a part of all.
    pub fn part(&self, cpu_milli: u64) -> f64 {
        cpu_milli as f64 / self.member.capacity.cpu_milli.max(1) as f64
    }

    /// Returns the processors that are set aside, or at work for tasks that fill.
    pub fn at_work_milli(&self) -> u64 {
        self.used.cpu_milli + self.filling_at_work_milli()
    }

    /// Returns the processors that are at work for tasks that fill, by their shares.
    pub fn filling_at_work_milli(&self) -> u64 {
        let shares = self.filling.values();
        shares.map(|filling| filling.cpu_milli * u64::from(filling.percent) / 100).sum()
    }

    /// Returns whether the worker has a label.
    pub fn has_label(&self, label: &str) -> bool {
        self.member.labels.iter().any(|own| own == label)
    }

    /// Notes how a run ended, and lets a worker rest that fails again and again.
    pub fn note_end(&mut self, kind: order::EndKind, now: time::Duration) {
        match kind {
            order::EndKind::Done => self.failures = 0,
            order::EndKind::Failed => {
                self.failures += 1;
                if self.failures >= FAILURES_BEFORE_REST {
                    self.quarantine(now);
                }
            }
            _ => {}
        }
    }

    /// Gives it nothing new for a while.
    pub fn quarantine(&mut self, now: time::Duration) {
        self.unsound_until = now + REST;
    }

    /// Sets room aside for a task.
    pub fn add(&mut self, task: spec::TaskId, step: &spec::Step, image: interference::Image) {
        if self.tasks.insert(task) {
            self.headroom = None;
            if let Some(target_ms) = step.target_ms {
                self.serving.insert(task, Serving { image, target_ms });
            }
            if step.fills {
                let cpu_milli = step.size.cpu_milli;
                let filling = Filling {
                    image,
                    cpu_milli,
                    percent: 100,
                    paced: false,
                    started_throttled: false,
                    share_unsent: false,
                    low_since: None,
                };
                self.filling.insert(task, filling);
            }
            self.used = self.used.plus(&step.reserved());
            self.filling_milli += filling(step);
            self.lasting = self.lasting.plus(&lasting(step));
        }
    }

    /// Gives the room of a task back.
    pub fn remove(&mut self, task: spec::TaskId, step: &spec::Step) {
        if self.tasks.remove(&task) {
            self.alone.take_if(|alone| *alone == task);
            self.headroom = None;
            self.serving.remove(&task);
            self.filling.remove(&task);
            self.used = self.used.minus(&step.reserved());
            self.filling_milli = self.filling_milli.saturating_sub(filling(step));
            self.lasting = self.lasting.minus(&lasting(step));
        }
    }
}

/// Returns the processors that a task wants beyond what is set aside.
fn filling(step: &spec::Step) -> u64 {
    if step.fills { step.size.cpu_milli } else { 0 }
}

/// Returns the room that is set aside for a lasting task.
fn lasting(step: &spec::Step) -> size::Size {
    if step.lasting { step.reserved() } else { size::Size::default() }
}

/// Returns how long a lease may last by the holder's clock: the worker's may be 2 % slow, and as much is added for
/// rounding and trips.
pub(super) fn longest(lease: time::Duration) -> time::Duration {
    lease + lease * (2 * SLOW_CLOCK_MILLI) / 1_000
}

/// Returns a duration in whole milliseconds.
pub(super) fn millis(duration: time::Duration) -> u64 {
    u64::try_from(duration.as_millis()).unwrap_or(u64::MAX)
}
