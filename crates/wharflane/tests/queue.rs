//! The request queue of a service: deadlines, priorities, and immediate refusals.

use std::time;

use wharflane::queue;
use wharflane_stand_in::cases;

/// Returns a duration of `count` milliseconds.
const fn ms(count: u64) -> time::Duration {
    time::Duration::from_millis(count)
}

/// Returns an empty queue that has learned a rate of one served request every ten milliseconds.
fn queue_with_known_rate(limit: usize) -> queue::Queue<u32> {
    let mut queue = queue::Queue::new(limit);
    for turn in 0..200 {
        for _ in 0..2 {
            let _ = queue.push(1, ms(100_000), ms(turn * 10), true, 0);
        }
        let _ = queue.pop(ms(turn * 10));
    }
    while queue.pop(ms(2_000)).1.is_some() {}
    for turn in 0..200 {
        for _ in 0..2 {
            let _ = queue.push(1, ms(100_000), ms(2_000), true, 0);
        }
        let _ = queue.pop(ms(2_000 + turn * 10));
    }
    while queue.pop(ms(200_000)).1.is_some() {}
    queue
}

cases! {
    a_request_that_cannot_be_served_in_time_is_refused_at_once => {
        let mut queue = queue_with_known_rate(1_000);
        let now = ms(200_000);
        let accepted = (0..100).take_while(|turn| {
            matches!(queue.push(1, now + ms(100), now, true, *turn), queue::Admission::Queued)
        });
        let accepted = accepted.count();
        assert!(accepted < 100, "{accepted} of 100 requests queued with 100 ms to go");
    },
    a_refusal_tells_when_to_retry => {
        let mut queue = queue_with_known_rate(8);
        let now = ms(200_000);
        for turn in 0..8 {
            assert!(matches!(queue.push(1, ms(900_000), now, true, turn), queue::Admission::Queued));
        }
        let queue::Admission::Refused(refused) = queue.push(1, ms(900_000), now, true, 9) else {
            panic!("the ninth request of eight was queued");
        };
        assert!(refused.retry_after > time::Duration::ZERO);
    },
    higher_priority_goes_first => {
        let mut queue = queue::Queue::new(8);
        for (priority, value) in [(1, 10), (5, 50), (1, 11), (9, 90)] {
            let _ = queue.push(priority, ms(1_000), ms(0), true, value);
        }
        let order: Vec<u32> = std::iter::from_fn(|| queue.pop(ms(1)).1).collect();
        assert_eq!(order, [90, 50, 10, 11]);
    },
    a_retried_request_goes_before_new_ones_of_its_priority => {
        let mut queue = queue::Queue::new(8);
        for (first, value) in [(true, 1), (true, 2), (false, 3)] {
            let _ = queue.push(1, ms(1_000), ms(0), first, value);
        }
        let _ = queue.push(2, ms(1_000), ms(0), true, 4);
        let order: Vec<u32> = std::iter::from_fn(|| queue.pop(ms(1)).1).collect();
        assert_eq!(order, [4, 3, 1, 2]);
    },
    a_higher_priority_displaces_a_lower_one => {
        let mut queue = queue::Queue::new(1);
        assert!(matches!(queue.push(1, ms(1_000), ms(0), true, 10), queue::Admission::Queued));
        assert!(matches!(
            queue.push(9, ms(1_000), ms(0), true, 90),
            queue::Admission::Displaced(10, _)
        ));
        assert!(matches!(queue.push(1, ms(1_000), ms(0), true, 11), queue::Admission::Refused(_)));
    },
    requests_past_their_deadline_are_handed_back => {
        let mut queue = queue::Queue::new(8);
        assert!(matches!(queue.push(1, ms(10), ms(0), true, 1), queue::Admission::Queued));
        assert!(matches!(queue.push(1, ms(100), ms(0), true, 2), queue::Admission::Queued));
        let (late, next) = queue.pop(ms(50));
        assert_eq!((late, next), (vec![1], Some(2)));
    },
    a_slot_goes_to_the_first_request_in_time_that_fits_it => {
        let mut queue = queue::Queue::new(8);
        for (start_by, value) in [(100, 1), (10, 2), (100, 3), (100, 4)] {
            assert!(matches!(queue.push(1, ms(start_by), ms(0), true, value), queue::Admission::Queued));
        }
        assert_eq!(queue.pop_for(ms(50), |value| *value > 2), (vec![2], Some(3)));
        assert_eq!(queue.pop_for(ms(50), |value| *value > 4), (vec![], None));
        assert_eq!(queue.pop(ms(50)), (vec![], Some(1)), "those passed over keep their order");
        assert_eq!(queue.pop(ms(50)), (vec![], Some(4)));
    },
}
