//! Detects a slow holder, which then gives its lease up to another host.
//!
//! Guards against this failure: callers got a count of zero while jobs had waited for five seconds.
//! The holder's host had become several times slower; its commits came one to two seconds apart,
//! and events waited for seconds to be handled, for as long as the host stayed slow. It kept
//! renewing its lease, so no other host took over.

mod sim;

use std::time;

use wharflane::{job, rows};
use wharflane_stand_in::cases;
use wharflane_stand_in::jobs::world;

/// How long the host runs at its usual speed first.
const USUAL_TIME: time::Duration = time::Duration::from_secs(10);
/// How long the host is observed after that.
const OBSERVED_TIME: time::Duration = time::Duration::from_secs(5);

/// Returns whether a host counts as slow that handles `usual` events between two ticks of 20 ms,
/// and later `later` events between two ticks that come `tick_gap_ms` apart and waited for
/// `waited_ms`.
fn is_slow(usual: u64, later: u64, tick_gap_ms: u64, waited_ms: u64) -> bool {
    let mut slowness = job::SlownessDetector::default();
    let mut now = time::Duration::ZERO;
    let mut pass = |until, events, tick_gap_ms, waited_ms| {
        while now < until {
            (0..events).for_each(|_| slowness.event());
            now += time::Duration::from_millis(tick_gap_ms);
            if slowness.tick(now, time::Duration::from_millis(waited_ms)) {
                return true;
            }
        }
        false
    };
    assert!(!pass(USUAL_TIME, usual, 20, 5), "a host at its usual speed is not slow");
    pass(USUAL_TIME + OBSERVED_TIME, later, tick_gap_ms, waited_ms)
}

/// Passes the event by which a slow holder gives up its domain, and returns the engine's effects.
fn yield_domain(sim: &mut sim::Sim) -> Vec<job::Effect> {
    sim.now += time::Duration::from_secs(1);
    sim.engine.step(sim.now, job::Event::Yield)
}

/// Returns an engine that has just acquired a free lease and requested the state, and the current
/// time.
fn loading() -> (job::Engine, time::Duration) {
    let mut engine = job::Engine::new("host".into(), world::settings(), 1);
    let now = time::Duration::from_secs(1);
    engine.step(now, job::Event::LeaseRead { row: None, store_ms: None });
    let outcome = rows::Outcome::Answered(rows::Answer::Done { version: 1 });
    assert_eq!(engine.step(now, job::Event::Txn { number: 1, outcome }), [job::Effect::Load]);
    (engine, now)
}

/// Advances the time while the state is being read and answers each renewal with `answer`. Returns
/// after how many milliseconds the engine gives up the lease.
fn given_up_after(answer: fn(u64) -> rows::Outcome) -> u64 {
    let (mut engine, start) = loading();
    for passed_ms in (0..20_000).step_by(100) {
        let now = start + time::Duration::from_millis(passed_ms);
        let effects = engine.step(now, job::Event::Tick { wall_ms: 0 });
        for effect in effects {
            let job::Effect::Txn(number, _) = effect else {
                continue;
            };
            engine.step(now, job::Event::Txn { number, outcome: answer(number) });
        }
        if engine.is_watching() {
            return passed_ms;
        }
    }
    panic!("never given up");
}

/// Returns the lease time less its margin, in milliseconds.
fn lease_less_margin_ms() -> u64 {
    let settings = world::settings();
    let lasts = settings.lease.saturating_sub(settings.margin);
    u64::try_from(lasts.as_millis()).expect("fits into u64")
}

cases! {
    a_host_that_becomes_five_times_slower_is_slow => {
        assert!(is_slow(20, 20, 100, 800));
    },
    a_host_with_three_times_the_load_is_not_slow => {
        // The host handles as much as it can, more than before, and lags nevertheless.
        assert!(!is_slow(20, 60, 40, 800));
    },
    a_host_that_handles_events_in_time_is_not_slow => {
        assert!(!is_slow(20, 4, 20, 50));
    },
    a_host_with_one_short_pause_is_not_slow => {
        let mut slowness = job::SlownessDetector::default();
        let mut slow = false;
        for at_ms in (20..20_000).step_by(20) {
            let at = time::Duration::from_millis(if at_ms < 10_000 { at_ms } else { at_ms + 700 });
            let waited = if at_ms == 10_000 { 700 } else { 5 };
            (0..20).for_each(|_| slowness.event());
            slow |= slowness.tick(at, time::Duration::from_millis(waited));
        }
        assert!(!slow);
    },
    a_host_without_a_usual_speed_is_not_slow => {
        let mut slowness = job::SlownessDetector::default();
        let slow = (1..200).any(|at: u64| {
            let now = time::Duration::from_millis(at * 100);
            slowness.tick(now, time::Duration::from_millis(900))
        });
        assert!(!slow);
    },
    a_slow_holder_gives_its_lease_up_with_the_next_commit => {
        let mut sim = sim::Sim::new(1, Vec::new());
        let effects = yield_domain(&mut sim);
        let lease = effects.iter().find_map(|effect| match effect {
            job::Effect::Txn(_, txn) => txn.writes.iter().find(|write| write.key.table == job::LEASES),
            _ => None,
        });
        let lease = lease.and_then(|write| write.value.as_deref()).expect("a commit at once");
        let lease: job::Lease = serde_json::from_str(lease).expect("a lease");
        assert_eq!(lease.holder, None);
    },
    a_slow_holder_takes_the_lease_again_only_if_no_other_host_does => {
        let mut sim = sim::Sim::new(1, Vec::new());
        for effect in yield_domain(&mut sim) {
            if let job::Effect::Txn(number, _) = effect {
                let outcome = rows::Outcome::Answered(rows::Answer::Done { version: 50 });
                sim.engine.step(sim.now, job::Event::Txn { number, outcome });
            }
        }
        assert!(sim.engine.is_watching());
        let free = Some((50, job::Lease::default()));
        let taken = |effects: &[job::Effect]| effects.iter().any(|effect| matches!(effect, job::Effect::Txn(..)));
        let effects = sim.engine.step(sim.now, job::Event::LeaseRead { row: free.clone(), store_ms: None });
        assert!(!taken(&effects), "other hosts take the lease first");
        sim.now += world::settings().lease;
        let effects = sim.engine.step(sim.now, job::Event::LeaseRead { row: free, store_ms: None });
        assert!(taken(&effects), "no other host took the lease");
    },
    a_lease_is_renewed_while_the_state_is_read => {
        let answer = |number| rows::Outcome::Answered(rows::Answer::Done { version: number + 1 });
        let given_up = given_up_after(answer);
        assert!((2 * lease_less_margin_ms()..2 * lease_less_margin_ms() + 200).contains(&given_up), "{given_up}");
    },
    a_lease_whose_renewals_are_not_answered_is_given_up_in_time => {
        let given_up = given_up_after(|_| rows::Outcome::Unknown);
        assert!((lease_less_margin_ms()..lease_less_margin_ms() + 200).contains(&given_up), "{given_up}");
    },
    a_lease_that_another_host_has_taken_is_given_up_at_once => {
        let conflict = |_| rows::Outcome::Answered(rows::Answer::Conflict { rows: Vec::new() });
        let renew_ms = u64::try_from(world::settings().renew.as_millis()).expect("fits into u64");
        let given_up = given_up_after(conflict);
        assert!((renew_ms..renew_ms + 200).contains(&given_up), "{given_up}");
    },
    a_renewal_in_flight_is_answered_before_the_first_commit => {
        let (mut engine, start) = loading();
        let later = start + world::settings().renew;
        let effects = engine.step(later, job::Event::Tick { wall_ms: 0 });
        let [job::Effect::Txn(renewal, _)] = effects.as_slice() else {
            panic!("{effects:?}");
        };
        let loaded = job::Event::Loaded { jobs: Vec::new(), progress: Vec::new(), learned: Vec::new() };
        let effects = engine.step(later, loaded);
        assert!(!effects.iter().any(|effect| matches!(effect, job::Effect::Txn(..))), "{effects:?}");
        let outcome = rows::Outcome::Answered(rows::Answer::Done { version: 9 });
        let commit = engine.step(later, job::Event::Txn { number: *renewal, outcome });
        let expected = commit.iter().find_map(|effect| match effect {
            job::Effect::Txn(_, txn) => Some(txn.expects[0].version),
            _ => None,
        });
        assert_eq!(expected, Some(9), "the commit must depend on the version of the renewal");
    },
    a_stopping_host_does_not_renew_its_lease_while_it_reads_the_state => {
        let (mut engine, start) = loading();
        engine.step(start, job::Event::Leave);
        let settings = world::settings();
        let mut renewals = 0;
        for passed_ms in (0..5_000).step_by(100) {
            let now = start + time::Duration::from_millis(passed_ms);
            for effect in engine.step(now, job::Event::Tick { wall_ms: 0 }) {
                let job::Effect::Txn(number, txn) = effect else {
                    continue;
                };
                let lease = txn.writes.iter().find(|write| write.key.table == job::LEASES);
                let lease = lease.and_then(|write| write.value.as_deref()).expect("a lease");
                let lease: job::Lease = serde_json::from_str(lease).expect("a lease");
                renewals += usize::from(lease.holder.is_some());
                let outcome = rows::Outcome::Answered(rows::Answer::Done { version: number + 1 });
                engine.step(now, job::Event::Txn { number, outcome });
            }
        }
        assert_eq!(renewals, 0, "the lease was renewed every {:?} though the host stops", settings.renew);
    },
    a_host_with_less_load_and_short_pauses_is_not_slow => {
        // Twice a second the host pauses for a tenth of a second, as under a CPU quota; all events
        // that arrive are handled at once.
        let mut slowness = job::SlownessDetector::default();
        let mut now = time::Duration::ZERO;
        let mut slow = false;
        for tick in 0..1_000 {
            let pause = tick >= 500 && tick % 20 == 0;
            (0..if tick < 500 { 40 } else { 4 }).for_each(|_| slowness.event());
            now += time::Duration::from_millis(if pause { 120 } else { 20 });
            slow |= slowness.tick(now, time::Duration::from_millis(if pause { 100 } else { 2 }));
        }
        assert!(!slow);
    },
}
