//! An order that was decided before a host was suspended must not be sent after it resumes.

use std::sync;
use std::time;

use wharflane::clock;
use wharflane_daemon::jobs::decided;
use wharflane_stand_in::cases;

/// Returns whether an order may still be sent this many milliseconds after it was decided.
fn is_sent_after(age_ms: u64) -> bool {
    let manual = sync::Arc::new(clock::ManualClock::default());
    let clock: sync::Arc<dyn clock::Clock> = sync::Arc::<clock::ManualClock>::clone(&manual);
    let decided = decided::DecisionTime::now(&clock);
    manual.advance(time::Duration::from_millis(age_ms));
    decided.allows_sending("start")
}

cases! {
    a_recent_order_is_sent => assert!(is_sent_after(5)),
    an_order_from_before_a_suspension_is_not_sent => assert!(!is_sent_after(4_000)),
    an_order_older_than_half_the_lease_margin_is_not_sent => assert!(!is_sent_after(201)),
    the_system_clock_advances => {
        let clock = clock::SystemClock::new();
        let before = clock::Clock::now(&clock);
        std::thread::sleep(time::Duration::from_millis(20));
        assert!(clock::Clock::now(&clock) >= before + time::Duration::from_millis(19));
    },
}
