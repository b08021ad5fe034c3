//! Who takes the lease of a domain, and when.

mod desk;

use std::time;

use wharflane::{job, rows};
use wharflane_stand_in::cases;
use wharflane_stand_in::jobs::world;

/// How much later the weak host takes a lease.
const HANDICAP_MS: u64 = 1_200;

/// An engine that watches a lease.
struct Watch {
    /// The engine.
    engine: job::Engine,
    /// The time.
    now: time::Duration,
}

impl Watch {
    /// Makes an engine with a handicap.
    fn new(handicap_ms: u64) -> Self {
        let takeover_delay = time::Duration::from_millis(handicap_ms);
        let settings = job::Settings { takeover_delay, ..world::settings() };
        let engine = job::Engine::new("host".into(), settings, 1);
        Self { engine, now: time::Duration::from_secs(1) }
    }

    /// Reads a lease that does not change, and returns after how many milliseconds it is taken.
    fn taken_after(&mut self, row: Option<(u64, job::Lease)>) -> u64 {
        for waited_ms in (0..10_000).step_by(100) {
            let effects = self.engine.step(self.now, job::Event::LeaseRead(row.clone()));
            if effects.iter().any(|effect| matches!(effect, job::Effect::Txn(..))) {
                return waited_ms;
            }
            self.now += time::Duration::from_millis(100);
        }
        panic!("never taken");
    }

    /// Reads a lease of a holder whose host answers probes like this, and returns after how many milliseconds
    /// it is taken.
    fn taken_from_a_dead_holder_after(&mut self, sign: job::ProbeResult) -> u64 {
        let addr = Some(([127, 0, 0, 1], 9).into());
        let row = held().map(|(version, lease)| (version, job::Lease { addr, ..lease }));
        for waited_ms in (0..10_000).step_by(100) {
            let effects = self.engine.step(self.now, job::Event::LeaseRead(row.clone()));
            let probed = effects.iter().find_map(|effect| match effect {
                job::Effect::Probe { version, .. } => Some(*version),
                _ => None,
            });
            if let Some(version) = probed {
                let event = job::Event::Probed { version, sign };
                if !self.engine.step(self.now, event).is_empty() {
                    return waited_ms;
                }
            }
            self.now += time::Duration::from_millis(100);
        }
        panic!("never taken");
    }

    /// Takes a free lease, so that the state is to be read.
    fn take(&mut self) {
        self.taken_after(None);
        let outcome = rows::Outcome::Answered(rows::Answer::Done { version: 1 });
        let effects = self.engine.step(self.now, job::Event::Txn { number: 1, outcome });
        assert_eq!(effects, [job::Effect::Load]);
    }
}

/// Returns a lease that another host holds.
fn held() -> Option<(u64, job::Lease)> {
    let holder = Some("other".into());
    Some((7, job::Lease { holder, epoch: 3, nonce: 9, seq: 1, hold_ms: 4_000, addr: None }))
}

/// Returns after how long a task is started again that runs on a worker which only the last holder may
/// reach, counted from when the lease was taken.
fn started_again_after(early: bool) -> time::Duration {
    let mut desk = desk::Desk::new(1, Vec::new());
    let queues = desk::queues();
    desk.engine = job::Engine::new("host".into(), world::settings(), 2);
    desk.take(job::Event::Queues(queues));
    desk.take(job::Event::Listed(vec![desk::member(1)]));
    let addr = Some(([127, 0, 0, 1], 9).into());
    let row = held().map(|(version, lease)| (version, job::Lease { addr, ..lease }));
    desk.take(job::Event::LeaseRead(row.clone()));
    if early {
        desk.now += world::settings().probe;
        desk.take(job::Event::Probed { version: 7, sign: job::ProbeResult::Refused });
    } else {
        desk.now += world::settings().lease;
        desk.take(job::Event::LeaseRead(row));
    }
    let taken = desk.now;
    let (jobs, progress) = desk::started_rows();
    desk.take(job::Event::Closed(job::ClosedHalls::default()));
    desk.take(job::Event::Loaded { jobs, progress, learned: Vec::new() });
    while desk.starts(1).is_empty() {
        desk.pass(100, false);
        assert!(desk.now < taken + time::Duration::from_secs(30), "never started again");
    }
    desk.now - taken
}

cases! {
    a_lease_that_can_not_be_read_is_taken_by_nobody_and_later_after_its_whole_time => {
        let mut watch = Watch::new(0);
        for _ in 0..600 {
            let effects = watch.engine.step(watch.now, job::Event::LeaseUnread);
            let ticked = watch.engine.step(watch.now, job::Event::Tick { wall_ms: 1 });
            let writes = |effect: &job::Effect| matches!(effect, job::Effect::Txn(..));
            assert!(!effects.iter().chain(&ticked).any(writes), "{effects:?} {ticked:?}");
            watch.now += time::Duration::from_millis(100);
        }
        let lease_ms = u64::try_from(world::settings().lease.as_millis()).expect("a small number");
        assert!(watch.taken_after(held()) >= lease_ms, "what was not read has not stood still");
    },
    what_an_early_takeover_can_t_reach_may_be_renewed_for_a_lease_more => {
        let (hold, lease) = (time::Duration::from_millis(4_000), world::settings().lease);
        let (early, late) = (started_again_after(true), started_again_after(false));
        assert!(late >= hold && late < hold + lease, "{late:?}");
        assert!(early >= hold + lease, "{early:?}");
    },
    a_strong_host_takes_a_free_lease_at_once => {
        assert_eq!(Watch::new(0).taken_after(None), 0);
    },
    a_weak_host_leaves_a_free_lease_to_stronger_ones => {
        assert_eq!(Watch::new(HANDICAP_MS).taken_after(None), HANDICAP_MS);
    },
    a_weak_host_takes_a_lapsed_lease_later => {
        let lease_ms = u64::try_from(world::settings().lease.as_millis()).expect("a small number");
        assert_eq!(Watch::new(0).taken_after(held()), lease_ms);
        assert_eq!(Watch::new(HANDICAP_MS).taken_after(held()), lease_ms + HANDICAP_MS);
    },
    the_lease_of_a_dead_process_is_taken_before_it_is_over => {
        let after = |takeover_delay, sign| Watch::new(takeover_delay).taken_from_a_dead_holder_after(sign);
        assert_eq!(after(0, job::ProbeResult::Refused), 500);
        assert_eq!(after(HANDICAP_MS, job::ProbeResult::Refused), 500 + HANDICAP_MS);
        assert_eq!(after(0, job::ProbeResult::Silent), 1_200);
    },
    a_probe_of_an_older_lease_says_nothing => {
        let mut watch = Watch::new(0);
        let row = held();
        watch.engine.step(watch.now, job::Event::LeaseRead(row));
        watch.now += time::Duration::from_millis(900);
        let effects = watch.engine.step(watch.now, job::Event::Probed { version: 6, sign: job::ProbeResult::Refused });
        assert_eq!(effects, []);
        let effects = watch.engine.step(watch.now, job::Event::Probed { version: 7, sign: job::ProbeResult::Listens });
        assert_eq!(effects, []);
    },
    a_lease_whose_state_can_t_be_read_is_left_to_others => {
        let mut watch = Watch::new(0);
        watch.take();
        let effects = watch.engine.step(watch.now, job::Event::LoadFailed);
        assert_eq!(effects, [job::Effect::Load], "there is time for one more try");
        watch.now += world::settings().lease;
        watch.engine.step(watch.now, job::Event::Tick { wall_ms: 0 });
        assert!(watch.engine.left());
        let effects = watch.engine.step(watch.now, job::Event::LoadFailed);
        assert_eq!(effects, [], "another host may hold the domain");
    },
}
