//! When the lease of a domain is acquired, and by which host.

mod sim;

use std::time;

use wharflane::{job, rows};
use wharflane_stand_in::cases;
use wharflane_stand_in::jobs::world;

/// How much later a weak host acquires a lease, in milliseconds.
const HANDICAP_MS: u64 = 1_200;

/// An engine that reads a lease repeatedly.
struct LeaseWatcher {
    /// The engine under test.
    engine: job::Engine,
    /// The current time, which starts at one second.
    now: time::Duration,
}

impl LeaseWatcher {
    /// Returns an engine whose host acquires a lease `delay_ms` later than others.
    fn new(delay_ms: u64) -> Self {
        let takeover_delay = time::Duration::from_millis(delay_ms);
        let settings = job::Settings { takeover_delay, ..world::settings() };
        let engine = job::Engine::new("host".into(), settings, 1);
        Self { engine, now: time::Duration::from_secs(1) }
    }

    /// Reads a lease that does not change, and returns after how many milliseconds the engine
    /// acquires it.
    fn takeover_time_ms(&mut self, row: Option<(u64, job::Lease)>) -> u64 {
        for waited_ms in (0..10_000).step_by(100) {
            let effects = self
                .engine
                .step(self.now, job::Event::LeaseRead { row: row.clone(), store_ms: None });
            if effects.iter().any(|effect| matches!(effect, job::Effect::Txn(..))) {
                return waited_ms;
            }
            self.now += time::Duration::from_millis(100);
        }
        panic!("the lease was never taken");
    }

    /// Reads a lease that does not change, answers probes of its holder with `result`, and returns
    /// after how many milliseconds the engine acquires the lease.
    fn takeover_time_from_dead_holder_ms(&mut self, result: job::ProbeResult) -> u64 {
        let addr = Some(([127, 0, 0, 1], 9).into());
        let row = held().map(|(version, lease)| (version, job::Lease { addr, ..lease }));
        for waited_ms in (0..10_000).step_by(100) {
            let effects = self
                .engine
                .step(self.now, job::Event::LeaseRead { row: row.clone(), store_ms: None });
            let probed = effects.iter().find_map(|effect| match effect {
                job::Effect::Probe { version, .. } => Some(*version),
                _ => None,
            });
            if let Some(version) = probed {
                let event = job::Event::Probed { version, result };
                if !self.engine.step(self.now, event).is_empty() {
                    return waited_ms;
                }
            }
            self.now += time::Duration::from_millis(100);
        }
        panic!("the lease was never taken");
    }

    /// Acquires a free lease; the engine then requests the state of the domain.
    fn acquire(&mut self) {
        self.takeover_time_ms(None);
        let outcome = rows::Outcome::Answered(rows::Answer::Done { version: 1 });
        let effects = self.engine.step(self.now, job::Event::Txn { number: 1, outcome });
        assert_eq!(effects, [job::Effect::Load]);
    }
}

/// Returns a lease that another host holds.
fn held() -> Option<(u64, job::Lease)> {
    let holder = Some("other".into());
    Some((
        7,
        job::Lease {
            holder,
            epoch: 3,
            nonce: 9,
            seq: 1,
            hold_ms: 4_000,
            earlier_left_ms: Some(0),
            restarted: Vec::new(),
            addr: None,
            written_ms: None,
            backlogs: Vec::new(),
            shown_upto: None,
        },
    ))
}

/// Returns a simulation whose engine holds its domain and has started a task, and whose store has
/// left every commit without an answer for `silent_ms`.
fn cut_off(silent_ms: u64) -> sim::Sim {
    let mut sim = sim::Sim::new(1, Vec::new());
    sim.submit(1, "first", sim::step("plain", 1_000));
    sim.advance(1_000, true);
    sim.leaves_txn_open = |_| true;
    for _ in 0..silent_ms / 100 {
        sim.advance(100, true);
    }
    sim
}

/// Returns what an engine answers to a host that found the lease standing still at `version`, where
/// the store has left this host's calls without answers for `silence_ms`.
fn claim(sim: &mut sim::Sim, version: u64, silence_ms: u64) -> job::LeaseClaim {
    claim_after_delay(sim, version, silence_ms, 0)
}

/// Returns what an engine answers to such a host if that one waits `delay_ms` longer for a lease.
fn claim_after_delay(
    sim: &mut sim::Sim,
    version: u64,
    silence_ms: u64,
    delay_ms: u64,
) -> job::LeaseClaim {
    let millis = time::Duration::from_millis;
    sim.engine.answer_claim(sim.now, version, millis(delay_ms), millis(silence_ms))
}

/// Returns after how many milliseconds a host probes the holder of a lease that it reads for the
/// first time and that its holder wrote `age_ms` before.
fn probed_after_ms(age_ms: u64, delay_ms: u64) -> u64 {
    let mut watcher = LeaseWatcher::new(delay_ms);
    let addr = Some(([127, 0, 0, 1], 9).into());
    let (version, lease) = held().expect("a lease");
    let row = Some((version, job::Lease { addr, written_ms: Some(50_000), ..lease }));
    for waited_ms in (0..10_000).step_by(100) {
        let store_ms = Some(50_000 + age_ms + waited_ms);
        let event = job::Event::LeaseRead { row: row.clone(), store_ms };
        let effects = watcher.engine.step(watcher.now, event);
        if effects.iter().any(|effect| matches!(effect, job::Effect::Probe { .. })) {
            return waited_ms;
        }
        let taken = effects.iter().any(|effect| matches!(effect, job::Effect::Txn(..)));
        assert!(!taken, "taken by the row's age alone after {waited_ms} ms");
        watcher.now += time::Duration::from_millis(100);
    }
    panic!("the holder was never probed");
}

/// Returns how long after the takeover a task is started again if only the previous holder may
/// reach its worker. The takeover is early, after a refused probe, or waits for the end of the
/// lease.
fn restart_time_after_takeover(early: bool) -> time::Duration {
    let mut sim = sim::Sim::new(1, Vec::new());
    let queues = sim::queues();
    sim.engine = job::Engine::new("host".into(), world::settings(), 2);
    sim.handle(job::Event::Queues(queues));
    sim.handle(job::Event::Listed(vec![sim::member(1)]));
    let addr = Some(([127, 0, 0, 1], 9).into());
    let row = held().map(|(version, lease)| (version, job::Lease { addr, ..lease }));
    sim.handle(job::Event::LeaseRead { row: row.clone(), store_ms: None });
    if early {
        sim.now += world::settings().probe;
        sim.handle(job::Event::Probed { version: 7, result: job::ProbeResult::Refused });
    } else {
        sim.now += world::settings().lease;
        sim.handle(job::Event::LeaseRead { row, store_ms: None });
    }
    let taken = sim.now;
    let (jobs, progress) = sim::started_rows();
    sim.handle(job::Event::Closed(job::ClosedHalls::default()));
    sim.handle(job::Event::Loaded { jobs, progress, learned: Vec::new() });
    while sim.starts(1).is_empty() {
        sim.advance(100, false);
        assert!(
            sim.now < taken + time::Duration::from_secs(30),
            "the task was never started again"
        );
    }
    sim.now - taken
}

cases! {
    // Guards against takeovers that wait for the whole lease where the store answers all hosts but
    // the holder's.
    a_holder_cut_off_from_the_store_vacates_its_lease_for_a_host_that_reads_it => {
        let mut sim = cut_off(1_300);
        let version = sim.version;
        assert_eq!(claim(&mut sim, version, 1_300), job::LeaseClaim::Vacated);
        assert!(sim.engine.is_watching());
        sim.pending.clear();
        let now = sim.now;
        let sent = |effect: &job::Effect| !matches!(effect, job::Effect::ReadLease);
        for passed_ms in (0..5_000).step_by(20) {
            let at = now + time::Duration::from_millis(passed_ms);
            let effects = sim.engine.step(at, job::Event::Tick { wall_ms: 1 });
            assert!(!effects.iter().any(sent), "it goes on: {effects:?}");
        }
    },
    a_vacated_lease_is_taken_without_its_whole_time => {
        let after = LeaseWatcher::new(0).takeover_time_from_dead_holder_ms(job::ProbeResult::Vacated);
        assert_eq!(after, 500);
    },
    // A store that is slow, or answers reads alone, is no reason to stop.
    a_holder_that_the_store_answers_keeps_its_lease => {
        for (silent_ms, silence_ms) in [(0, 5_000), (600, 5_000), (1_300, 600)] {
            let mut sim = cut_off(silent_ms);
            let version = sim.version;
            let answer = claim(&mut sim, version, silence_ms);
            let claimed = matches!(answer, job::LeaseClaim::Claimed { claimed_for } if !claimed_for.is_zero());
            assert!(claimed, "{silent_ms} {silence_ms}: {answer:?}");
            assert!(!sim.engine.is_watching());
        }
    },
    // Guards against weak hosts that get a lease from a holder which strong hosts asked too early.
    a_holder_vacates_its_lease_for_a_weak_host_only_after_its_delay => {
        let mut sim = cut_off(1_300);
        let version = sim.version;
        let silence_ms = u64::try_from(world::settings().vacate.as_millis()).expect("fits");
        let answer = claim_after_delay(&mut sim, version, silence_ms + 100, HANDICAP_MS);
        assert_ne!(answer, job::LeaseClaim::Vacated);
        let mut sim = cut_off(silence_ms + HANDICAP_MS);
        let version = sim.version;
        let answer = claim_after_delay(&mut sim, version, silence_ms + HANDICAP_MS, HANDICAP_MS);
        assert_eq!(answer, job::LeaseClaim::Vacated);
    },
    a_host_that_read_an_older_version_does_not_get_the_lease => {
        let mut sim = cut_off(1_300);
        assert_ne!(claim(&mut sim, 0, 1_300), job::LeaseClaim::Vacated);
    },
    a_host_that_does_not_hold_the_lease_does_not_claim_it => {
        let mut sim = cut_off(0);
        sim.engine = job::Engine::new("host".into(), world::settings(), 2);
        assert_eq!(claim(&mut sim, 1, 0), job::LeaseClaim::Vacated);
    },
    // Guards against takeovers from a holder that is too busy to take connections: it listened after
    // the last write of its row, so it was alive, and later connections are dropped.
    a_holder_that_listened_since_its_last_write_is_not_presumed_dead_for_its_silence => {
        let mut watcher = LeaseWatcher::new(0);
        let addr = Some(([127, 0, 0, 1], 9).into());
        let row = held().map(|(version, lease)| (version, job::Lease { addr, ..lease }));
        let mut results = [job::ProbeResult::Listens { claimed_for: Some(time::Duration::ZERO) }]
            .into_iter()
            .chain(std::iter::repeat(job::ProbeResult::Silent));
        let lease_ms = u64::try_from(world::settings().lease.as_millis()).expect("fits into u64");
        for waited_ms in (0..lease_ms).step_by(100) {
            let event = job::Event::LeaseRead { row: row.clone(), store_ms: None };
            for effect in watcher.engine.step(watcher.now, event) {
                let job::Effect::Probe { version, .. } = effect else {
                    panic!("taken after {waited_ms} ms: {effect:?}");
                };
                let result = results.next().expect("endless");
                let effects = watcher.engine.step(watcher.now, job::Event::Probed { version, result });
                assert!(effects.is_empty(), "taken after {waited_ms} ms: {effects:?}");
            }
            watcher.now += time::Duration::from_millis(100);
        }
        assert_eq!(watcher.takeover_time_ms(row), 0);
    },
    // Guards against a storm of probes while a slow store delays all commits of a holder.
    a_holder_is_not_asked_again_before_it_may_vacate_its_lease => {
        let mut watcher = LeaseWatcher::new(0);
        let addr = Some(([127, 0, 0, 1], 9).into());
        let row = held().map(|(version, lease)| (version, job::Lease { addr, ..lease }));
        let mut probed_at = Vec::new();
        for at_ms in (0..1_500).step_by(100) {
            let event = job::Event::LeaseRead { row: row.clone(), store_ms: None };
            for effect in watcher.engine.step(watcher.now, event) {
                let job::Effect::Probe { version, .. } = effect else {
                    continue;
                };
                probed_at.push(at_ms);
                let result = job::ProbeResult::Listens { claimed_for: Some(time::Duration::from_millis(450)) };
                watcher.engine.step(watcher.now, job::Event::Probed { version, result });
            }
            watcher.now += time::Duration::from_millis(100);
        }
        assert_eq!(probed_at, [500, 1_000]);
    },
    // Guards against weak hosts that take a lease before strong ones since it stood still while
    // nobody could read it.
    a_weak_host_takes_a_lease_after_its_delay_from_when_the_store_answers_again => {
        let after_outage_ms = |delay_ms| {
            let mut watcher = LeaseWatcher::new(delay_ms);
            let event = job::Event::LeaseRead { row: held(), store_ms: None };
            watcher.engine.step(watcher.now, event);
            for _ in 0..50 {
                watcher.now += time::Duration::from_millis(100);
                watcher.engine.step(watcher.now, job::Event::LeaseUnread);
            }
            watcher.takeover_time_ms(held())
        };
        assert_eq!(after_outage_ms(0), 0);
        assert_eq!(after_outage_ms(HANDICAP_MS), HANDICAP_MS);
    },
    // The same where the holder can be probed.
    a_weak_host_takes_a_dead_holders_lease_after_its_delay_from_when_the_store_answers_again => {
        let mut watcher = LeaseWatcher::new(HANDICAP_MS);
        let addr = Some(([127, 0, 0, 1], 9).into());
        let row = held().map(|(version, lease)| (version, job::Lease { addr, ..lease }));
        watcher.engine.step(watcher.now, job::Event::LeaseRead { row, store_ms: None });
        for _ in 0..19 {
            watcher.now += time::Duration::from_millis(100);
            watcher.engine.step(watcher.now, job::Event::LeaseUnread);
        }
        assert_eq!(watcher.takeover_time_from_dead_holder_ms(job::ProbeResult::Refused), HANDICAP_MS);
    },
    // Guards against questions of many hosts that keep a busy holder busy.
    a_holder_that_did_not_answer_is_not_asked_again_at_that_version => {
        let mut watcher = LeaseWatcher::new(0);
        let addr = Some(([127, 0, 0, 1], 9).into());
        let row = held().map(|(version, lease)| (version, job::Lease { addr, ..lease }));
        let mut probes = 0;
        for _ in 0..21 {
            let event = job::Event::LeaseRead { row: row.clone(), store_ms: None };
            for effect in watcher.engine.step(watcher.now, event) {
                if let job::Effect::Probe { version, .. } = effect {
                    probes += 1;
                    let result = job::ProbeResult::Listens { claimed_for: None };
                    watcher.engine.step(watcher.now, job::Event::Probed { version, result });
                }
            }
            watcher.now += time::Duration::from_millis(100);
        }
        assert_eq!(probes, 1);
    },
    // Guards against hosts that must read a lease often to see soon that it stands still.
    a_lease_that_was_written_long_ago_is_probed_at_its_first_read => {
        assert_eq!(probed_after_ms(500, 0), 0);
        assert_eq!(probed_after_ms(200, 0), 300);
    },
    // Guards against probes by every weak host, none of which may take the lease yet.
    a_weak_host_probes_no_holder_before_it_may_take_the_lease => {
        assert_eq!(probed_after_ms(500, HANDICAP_MS), HANDICAP_MS);
    },
    a_lease_is_not_taken_while_it_cannot_be_read_and_then_only_after_its_whole_time => {
        let mut watcher = LeaseWatcher::new(0);
        for _ in 0..600 {
            let effects = watcher.engine.step(watcher.now, job::Event::LeaseUnread);
            let ticked = watcher.engine.step(watcher.now, job::Event::Tick { wall_ms: 1 });
            let writes = |effect: &job::Effect| matches!(effect, job::Effect::Txn(..));
            assert!(!effects.iter().chain(&ticked).any(writes), "{effects:?} {ticked:?}");
            watcher.now += time::Duration::from_millis(100);
        }
        let lease_ms = u64::try_from(world::settings().lease.as_millis()).expect("fits into u64");
        assert!(watcher.takeover_time_ms(held()) >= lease_ms, "time without a reading does not count towards the takeover");
    },
    after_an_early_takeover_a_task_out_of_reach_is_restarted_one_lease_later => {
        let (hold, lease) = (time::Duration::from_millis(4_000), world::settings().lease);
        let (early, late) = (restart_time_after_takeover(true), restart_time_after_takeover(false));
        assert!(late >= hold && late < hold + lease, "{late:?}");
        assert!(early >= hold + lease, "{early:?}");
    },
    a_host_without_takeover_delay_takes_a_free_lease_at_once => {
        assert_eq!(LeaseWatcher::new(0).takeover_time_ms(None), 0);
    },
    a_weak_host_takes_a_free_lease_after_its_delay => {
        assert_eq!(LeaseWatcher::new(HANDICAP_MS).takeover_time_ms(None), HANDICAP_MS);
    },
    a_weak_host_takes_an_expired_lease_after_its_delay => {
        let lease_ms = u64::try_from(world::settings().lease.as_millis()).expect("fits into u64");
        assert_eq!(LeaseWatcher::new(0).takeover_time_ms(held()), lease_ms);
        assert_eq!(LeaseWatcher::new(HANDICAP_MS).takeover_time_ms(held()), lease_ms + HANDICAP_MS);
    },
    the_lease_of_a_dead_holder_is_taken_before_it_expires => {
        let after = |takeover_delay, result| LeaseWatcher::new(takeover_delay).takeover_time_from_dead_holder_ms(result);
        assert_eq!(after(0, job::ProbeResult::Refused), 500);
        assert_eq!(after(HANDICAP_MS, job::ProbeResult::Refused), 500 + HANDICAP_MS);
        assert_eq!(after(0, job::ProbeResult::Silent), 1_200);
    },
    probes_of_an_older_lease_or_of_a_live_holder_cause_no_takeover => {
        let mut watcher = LeaseWatcher::new(0);
        let row = held();
        watcher.engine.step(watcher.now, job::Event::LeaseRead { row, store_ms: None });
        watcher.now += time::Duration::from_millis(900);
        let effects = watcher.engine.step(watcher.now, job::Event::Probed { version: 6, result: job::ProbeResult::Refused });
        assert_eq!(effects, []);
        let effects = watcher.engine.step(watcher.now, job::Event::Probed { version: 7, result: job::ProbeResult::Listens { claimed_for: None } });
        assert_eq!(effects, []);
    },
    a_lease_is_given_up_if_the_state_cannot_be_read => {
        let mut watcher = LeaseWatcher::new(0);
        watcher.acquire();
        let effects = watcher.engine.step(watcher.now, job::Event::LoadFailed);
        assert_eq!(effects, [job::Effect::Load], "there is time for one more attempt");
        watcher.now += world::settings().lease;
        watcher.engine.step(watcher.now, job::Event::Tick { wall_ms: 0 });
        assert!(watcher.engine.is_watching());
        let effects = watcher.engine.step(watcher.now, job::Event::LoadFailed);
        assert_eq!(effects, [], "another host may hold the domain");
    },
}
