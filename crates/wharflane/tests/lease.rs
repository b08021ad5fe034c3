//! Who takes the lease of a domain, and when.

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
        let handicap = time::Duration::from_millis(handicap_ms);
        let settings = job::Settings { handicap, ..world::settings() };
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
    Some((7, job::Lease { holder, epoch: 3, nonce: 9, seq: 1, hold_ms: 4_000 }))
}

cases! {
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
