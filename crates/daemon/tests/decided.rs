//! What was decided before a host was suspended is not sent after it wakes.

use std::sync;
use std::time;

use wharflane::clock;
use wharflane_daemon::jobs::decided;
use wharflane_stand_in::cases;

/// Returns whether an order may be sent so long after it was decided, in milliseconds by the clock.
fn sent_after(age_ms: u64) -> bool {
    let manual = sync::Arc::new(clock::ManualClock::default());
    let clock: sync::Arc<dyn clock::Clock> = sync::Arc::<clock::ManualClock>::clone(&manual);
    let decided = decided::Decided::now(&clock);
    manual.advance(time::Duration::from_millis(age_ms));
    decided.may_be_sent("start")
}

cases! {
    an_order_goes_out_at_once => assert!(sent_after(5)),
    one_decided_before_the_host_was_suspended_does_not => assert!(!sent_after(4_000)),
    nor_one_that_took_half_the_margin_of_the_lease => assert!(!sent_after(201)),
    the_clock_of_the_system_goes_on => {
        let clock = clock::SystemClock::new();
        let before = clock::Clock::now(&clock);
        std::thread::sleep(time::Duration::from_millis(20));
        assert!(clock::Clock::now(&clock) >= before + time::Duration::from_millis(19));
    },
}
