//! How much work a holder takes on: as many starts as it can send soon, and placement passes that
//! leave time for everything else.

use std::time;

/// The priority of urgent tasks, which is the first one.
const URGENT_PRIORITY: u32 = 0;
/// How long a start may wait to be sent. Beyond that it is better decided on later, by what is
/// known then, and a start of a higher priority can still go before it.
const MAX_SEND_WAIT: time::Duration = time::Duration::from_millis(75);
/// The largest age of a decision at which a call to a worker is still sent. Orders are given until
/// the lease has 400 ms left by default; the call takes a few milliseconds of that.
pub const MAX_SEND_AGE: time::Duration = time::Duration::from_millis(200);
/// How long answers of workers may wait until nothing that is not urgent is started: a holder that is
/// behind catches up first, since what it can't handle frees no room.
const MAX_BEHIND: time::Duration = time::Duration::from_millis(100);
/// The least number of starts that may wait, so that a slow host commits several at once.
const MIN_UNSENT: f64 = 32.0;
/// How long the sending of starts is measured at least until its rate is known anew.
const RATE_WINDOW: time::Duration = time::Duration::from_millis(100);
/// The factor by which the rate rises if the limit kept starts back although at times none waited.
const RATE_RISE: f64 = 1.25;
/// The rate that is assumed at first, in starts per second: that of a strong host.
const INITIAL_RATE_PER_S: f64 = 4_000.0;
/// The time between two passes as a multiple of the last one's duration; passes then take a sixth
/// of a holder's time at most.
const PASS_GAP_FACTOR: u32 = 6;

/// Returns whether calls for tasks of a priority are urgent.
pub(in crate::job) fn is_urgent(priority: u32) -> bool {
    priority == URGENT_PRIORITY
}

/// The numbers of starts that wait to be sent.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Unsent {
    /// The urgent ones.
    pub urgent: usize,
    /// The others.
    pub usual: usize,
}

impl Unsent {
    /// Adds starts, or removes them if the change is negative.
    pub(in crate::job) fn count(&mut self, urgent: bool, change: isize) {
        let number = if urgent { &mut self.urgent } else { &mut self.usual };
        *number = number.saturating_add_signed(change);
    }
}

/// The starts that wait to be sent.
#[derive(Clone, Copy, Debug)]
pub struct Starts {
    /// Their numbers.
    pub unsent: Unsent,
    /// How many may wait.
    pub limit: usize,
}

/// What a holder can take on at present. The default has no limits.
#[derive(Clone, Copy, Debug, Default)]
pub struct Pace {
    /// The starts that wait to be sent; absent if they are sent at once.
    pub starts: Option<Starts>,
    /// How long answers of workers that are not urgent have waited to be handled.
    pub behind: time::Duration,
    /// How long the last placement pass took.
    pub last_pass: time::Duration,
}

impl Pace {
    /// Returns how many starts of a priority may be decided on in addition to the staged ones. Only
    /// urgent ones that wait keep urgent ones back.
    pub(in crate::job) fn starts(&self, priority: u32, staged: usize) -> usize {
        if !is_urgent(priority) && self.is_behind() {
            return 0;
        }
        let Some(Starts { unsent, limit }) = self.starts else {
            return usize::MAX;
        };
        let before = if is_urgent(priority) { unsent.urgent } else { unsent.urgent + unsent.usual };
        limit.saturating_sub(before).saturating_sub(staged)
    }

    /// Returns whether answers of workers wait for so long that the holder has to catch up first.
    pub(in crate::job) fn is_behind(&self) -> bool {
        self.behind > MAX_BEHIND
    }

    /// Returns the minimum time from one placement pass to the next.
    pub(in crate::job) fn pass_gap(&self) -> time::Duration {
        self.last_pass * PASS_GAP_FACTOR
    }
}

/// How many starts a holder sends in a given time.
#[derive(Clone, Copy, Debug)]
pub(in crate::job) struct StartRate {
    /// When the current measurement began; absent before the first start.
    since: Option<time::Duration>,
    /// The starts sent since then.
    sent: u32,
    /// Whether at some time since then no start waited.
    idle: bool,
    /// Whether at some time since then as many starts waited as may.
    limited: bool,
    /// The starts sent per second.
    per_s: f64,
}

impl Default for StartRate {
    fn default() -> Self {
        Self { since: None, sent: 0, idle: false, limited: false, per_s: INITIAL_RATE_PER_S }
    }
}

impl StartRate {
    /// Records that a start was added, after which `waiting` wait.
    pub fn note_added(&mut self, waiting: Unsent, now: time::Duration) {
        let waiting = waiting.urgent + waiting.usual;
        self.idle |= waiting == 1;
        self.limited |= waiting >= self.limit();
        self.advance(now);
    }

    /// Records that a start was taken to be sent; it is not sent if its decision is too old.
    pub fn note_taken(&mut self, is_sent: bool, now: time::Duration) {
        self.sent += u32::from(is_sent);
        self.advance(now);
    }

    /// Returns how many starts may wait to be sent.
    pub fn limit(&self) -> usize {
        (self.per_s * MAX_SEND_WAIT.as_secs_f64()).max(MIN_UNSENT) as usize
    }

    /// Ends the measurement if it has lasted long enough. What was sent while starts always waited
    /// is what the holder can send. While at times none waited, it could have sent more, and the
    /// limit rises until starts always wait.
    fn advance(&mut self, now: time::Duration) {
        let lasted = now.saturating_sub(*self.since.get_or_insert(now));
        if lasted < RATE_WINDOW {
            return;
        }
        let measured = f64::from(self.sent) / lasted.as_secs_f64();
        let per_s = match (self.idle, self.limited) {
            (false, _) => (self.per_s + measured) / 2.0,
            (true, true) => self.per_s.max(measured) * RATE_RISE,
            (true, false) => self.per_s,
        };
        *self = Self { since: Some(now), per_s, ..Self::default() };
    }
}
