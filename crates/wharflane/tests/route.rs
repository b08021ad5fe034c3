//! The choice of an endpoint and the leaving of bad ones.

use std::time;

use wharflane::route;
use wharflane_stand_in::cases;

/// Milliseconds.
const fn ms(count: u64) -> time::Duration {
    time::Duration::from_millis(count)
}

/// Returns an endpoint whose answers took so long.
fn answering(latency: time::Duration) -> route::Health {
    let mut health = route::Health::default();
    (0..50).for_each(|_| health.answered(latency));
    health
}

cases! {
    the_cheaper_of_two_is_taken => {
        let slots = [answering(ms(50)), answering(ms(1))];
        let cost = |at: usize| route::request_cost(&slots[at], 8, ms(0));
        let mut draws = [0, 1].into_iter().cycle();
        let picked = route::pick(2, cost, |_| draws.next().unwrap_or(0));
        assert_eq!(picked, Some(1));
    },
    a_full_endpoint_is_not_taken => {
        let mut slots = [answering(ms(1)), answering(ms(50))];
        slots[0].in_flight = 8;
        let cost = |at: usize| route::request_cost(&slots[at], 8, ms(0));
        assert_eq!(route::pick(2, cost, |_| 0), Some(1));
        slots[1].in_flight = 8;
        let cost = |at: usize| route::request_cost(&slots[at], 8, ms(0));
        assert_eq!(route::pick(2, cost, |_| 0), None);
    },
    failing_fast_does_not_look_idle => {
        let mut failing = answering(ms(5));
        failing.failed(ms(0), false);
        assert!(failing.cost() > answering(ms(5)).cost());
    },
    failures_say_nothing_of_how_long_answers_take => {
        let mut failing = answering(ms(5));
        let before = failing.answer_us();
        (0..20).for_each(|_| failing.failed(ms(0), false));
        assert_eq!(failing.answer_us().to_bits(), before.to_bits());
    },
    a_bad_endpoint_is_left_and_probed => {
        let mut health = answering(ms(5));
        (0..5).for_each(|_| health.failed(ms(10), true));
        assert_eq!(health.availability(ms(11)), route::Availability::Ejected);
        assert_eq!(health.availability(ms(1_011)), route::Availability::Probe);
        health.failed(ms(1_012), true);
        assert_eq!(health.availability(ms(2_500)), route::Availability::Ejected, "left for twice as long");
        health.answered(ms(5));
        assert_eq!(health.availability(ms(2_500)), route::Availability::Open);
    },
    never_more_than_the_share_is_left => {
        assert!(route::may_eject(2, 10, 30));
        assert!(!route::may_eject(3, 10, 30));
        assert!(!route::may_eject(0, 3, 30));
    },
    a_full_endpoint_is_asked_again_soon => {
        let mut health = answering(ms(10));
        health.refused(ms(100));
        assert_eq!(route::request_cost(&health, 8, ms(101)), None);
        assert!(route::request_cost(&health, 8, ms(106)).is_some());
    },
}
