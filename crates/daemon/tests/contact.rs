//! For how long a host takes the store to be silent, and how long its feed of the configuration may
//! be silent.
//!
//! Guards against hosts that take the store for lost since they asked nothing, and against feeds
//! that wait on a silent connection beyond the time in which a configuration must be in force.

use std::time;

use wharflane_adapter::store;
use wharflane_daemon::jobs::{contact, watch};
use wharflane_stand_in::cases;

/// Returns a duration in milliseconds.
const fn millis(millis: u64) -> time::Duration {
    time::Duration::from_millis(millis)
}

/// Returns a contact whose store has answered all calls.
fn answered() -> contact::Contact {
    let contact = contact::Contact::default();
    contact.note_answer();
    contact
}

cases! {
    a_host_that_never_heard_the_store_takes_it_for_silent => {
        assert_eq!(contact::Contact::default().silence(millis(5_000)), millis(5_000));
    },
    time_without_calls_is_no_silence => {
        assert_eq!(answered().silence(millis(60_000)), time::Duration::ZERO);
    },
    silence_counts_from_the_first_call_without_an_answer => {
        let contact = answered();
        contact.note_call(millis(1_000));
        contact.note_call(millis(1_800));
        assert_eq!(contact.silence(millis(2_500)), millis(1_500));
        contact.note_answer();
        assert_eq!(contact.silence(millis(2_500)), time::Duration::ZERO);
        contact.note_call(millis(3_000));
        assert_eq!(contact.silence(millis(3_100)), millis(100));
    },
    the_store_is_as_slow_as_the_slowest_recent_answer => {
        let contact = answered();
        assert_eq!(contact.answer_time(millis(1_000)), time::Duration::ZERO);
        contact.note_row_call(millis(700), millis(1_000));
        contact.note_row_call(millis(1_480), millis(1_500));
        assert_eq!(contact.answer_time(millis(2_900)), millis(300));
        contact.note_row_call(millis(2_980), millis(3_000));
        assert_eq!(contact.answer_time(millis(3_100)), millis(20));
        assert_eq!(contact.answer_time(millis(60_000)), time::Duration::ZERO);
    },
    answers_that_pass_each_other_show_the_latest_call => {
        let contact = contact::Contact::default();
        assert_eq!(contact.latest_answered_sent_at(), None);
        contact.note_row_call(millis(500), millis(700));
        contact.note_row_call(millis(400), millis(800));
        assert_eq!(contact.latest_answered_sent_at(), Some(millis(500)));
    },
    a_silent_feed_delays_no_configuration_beyond_its_bound => {
        for in_force in [millis(2_000), millis(3_000), millis(5_000), millis(20_000)] {
            let silent = watch::config_feed_wait(in_force) + store::FEED_SLACK;
            assert!(silent + millis(500) <= in_force, "{in_force:?}: {silent:?}");
        }
    },
    // Counts calls of one host; all hosts follow the configuration.
    calls_for_the_configuration_halve_where_its_bound_doubles => {
        let calls_in = |time: time::Duration, in_force| {
            time.as_millis() / watch::config_feed_wait(in_force).as_millis()
        };
        let minute = millis(60_000);
        assert!(calls_in(minute, millis(2_000)) <= 70);
        assert!(calls_in(minute, millis(4_000)) <= 35);
    },
}
