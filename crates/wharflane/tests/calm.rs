//! When room counts as lost, so that long-running tasks that return go behind batch work in time.

use std::time;

use wharflane::job;
use wharflane_stand_in::cases;

/// Number of workers in all cases.
const WORKERS: usize = 100;

/// Returns a time in seconds.
fn at(secs: u64) -> time::Duration {
    time::Duration::from_secs(secs)
}

/// Returns the state after each of these numbers of unusable workers, one a second.
fn after(unusable: &[usize]) -> job::Calm {
    let mut calm = job::Calm::default();
    for (second, unusable) in (1..).zip(unusable) {
        calm.note(*unusable, WORKERS, at(second));
    }
    calm
}

cases! {
    it_is_calm_before_anything_was_lost => assert!(job::Calm::default().is_calm(at(0))),
    it_is_not_calm_for_four_seconds_after_a_loss => {
        let calm = after(&[0, 10]);
        assert!(!calm.is_calm(at(2)) && !calm.is_calm(at(5)));
        assert!(calm.is_calm(at(6)));
    },
    room_goes_on_being_lost_while_many_workers_are_unusable => {
        assert!(!after(&[0, 30, 30, 30, 30, 30, 30, 30]).is_calm(at(8)));
        assert!(after(&[0, 30, 30, 30, 30, 0, 0, 0, 0]).is_calm(at(9)));
    },
    it_is_calm_again_while_a_hall_stays_closed_for_long => {
        assert!(after(&[30; 40]).is_calm(at(40)));
    },
    each_further_loss_counts_anew => {
        let mut unusable = vec![10; 30];
        unusable.extend([20; 10]);
        assert!(!after(&unusable).is_calm(at(40)));
    },
    few_workers_are_no_loss_of_room => assert!(after(&[0, 2]).is_calm(at(2))),
    workers_that_return_are_no_loss => assert!(after(&[30, 30, 0, 0, 0, 0]).is_calm(at(6))),
}
