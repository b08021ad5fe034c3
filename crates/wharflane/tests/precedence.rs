//! The order of waiting tasks under more load than room. Nothing here needs a network: drawn needs
//! of rounds, and one backlog that the engine works off.

mod sim;

use proptest::prelude::*;
use wharflane::job;
use wharflane_stand_in::cases;

/// Returns the need of a round of 1 s of work in a queue that allows it 3 s.
fn need(waited_ms: u32, begun: bool) -> job::Need {
    job::Need {
        waited_ms: f64::from(waited_ms),
        allowed_ms: Some(3_000.0),
        left_ms: 1_000.0,
        left_core_ms: 2_000.0,
        begun,
    }
}

/// Returns the picture of one queue's rounds, numbered in the order of their acceptance.
fn picture(needs: &[job::Need]) -> job::Picture {
    let mut picture = job::Picture::default();
    for (number, need) in (1..).zip(needs) {
        picture.add("first", (job::JobId(number), 0), *need);
    }
    picture
}

/// Returns the numbers of a queue's rounds in their order of precedence.
fn ordered(needs: &[job::Need]) -> Vec<u64> {
    let load = picture(needs).queue("first");
    let mut order: Vec<u64> = (1..).zip(needs).map(|(number, _)| number).collect();
    let at = |number: u64| &needs[usize::try_from(number - 1).expect("an index")];
    order.sort_by_key(|number| job::batch_precedence(Some(at(*number)), &load, *number));
    order
}

/// Returns how many of 60 jobs of 1 s on a worker with room for one at a time end within the 3 s
/// that they are allowed, where two are accepted each second.
fn ended_in_time(seconds: u64) -> usize {
    let mut sim = sim::Sim::new(1, Vec::new());
    let mut accepted = Vec::new();
    let mut in_time = 0;
    let mut running: Option<(u64, u64)> = None;
    for tick in 0..seconds * 10 {
        if tick % 5 == 0 {
            let number = u64::try_from(accepted.len()).expect("a number") + 1;
            let step = job::Step { estimate_ms: 1_000, ..sim::step("plain", 9_000) };
            sim.submit(number, "first", step);
            accepted.push(tick);
        }
        sim.advance(100, false);
        let started = sim::started_jobs(&sim);
        if let Some((number, since)) = running
            && tick - since >= 10
        {
            let task = job::TaskId { job: job::JobId(number), round: 0, step: 0, index: 0 };
            sim.end_task(task, job::EndKind::Done);
            let at = usize::try_from(number - 1).expect("an index");
            in_time += usize::from(tick - accepted[at] <= 30);
            running = None;
        }
        if running.is_none() {
            let ended = |number: &&u64| sim.phase(**number) != job::Phase::Completed;
            running = started.iter().rev().find(ended).map(|number| (*number, tick));
        }
    }
    in_time
}

cases! {
    rounds_go_in_order_of_acceptance_while_all_can_end_in_time => {
        assert_eq!(ordered(&[need(900, false), need(500, false), need(100, false)]), [1, 2, 3]);
    },
    a_round_that_has_begun_goes_before_those_that_wait => {
        assert_eq!(ordered(&[need(900, false), need(500, true), need(100, false)]), [2, 1, 3]);
    },
    the_newest_goes_first_once_rounds_were_overtaken => {
        let late = need(2_500, false);
        let needs = [late, late, late, need(900, false), need(100, false), need(50, true)];
        assert_eq!(ordered(&needs), [6, 5, 4, 1, 2, 3]);
    },
    rounds_that_are_missed_make_no_overload => {
        let missed = need(15_000, false);
        let needs = [missed, missed, missed, need(900, false), need(100, false)];
        assert_eq!(ordered(&needs), [4, 5, 1, 2, 3]);
    },
    late_rounds_go_in_order_of_acceptance => {
        let needs = [need(2_500, false), need(2_400, false), need(2_300, true)];
        assert_eq!(ordered(&needs), [3, 1, 2]);
    },
    a_round_that_began_in_time_and_became_late_overtakes_nobody => {
        let load = picture(&[need(2_500, true); 9]).queue("first");
        assert!(!load.is_overloaded());
    },
    returning_tasks_go_first_and_new_long_running_ones_last => {
        let in_time = job::batch_precedence(Some(&need(0, true)), &job::QueueLoad::default(), 1);
        let missed = job::batch_precedence(Some(&need(15_000, true)), &job::QueueLoad::default(), 1);
        assert!(job::lasting_precedence(true) < in_time);
        assert!(job::lasting_precedence(false) > missed);
    },
    twice_the_load_of_the_room_leaves_most_of_the_room_to_jobs_in_time => {
        // In order of acceptance every job begins when its time is used up.
        let in_time = ended_in_time(30);
        assert!(in_time >= 18, "{in_time} jobs in time with room for some 25");
    },
}

proptest! {
    #[test]
    fn what_can_be_in_time_goes_before_what_cannot(
        rounds in proptest::collection::vec((0u32..15_000, any::<bool>()), 1..40),
    ) {
        let needs: Vec<_> = rounds.iter().map(|(waited, begun)| need(*waited, *begun)).collect();
        let outlooks: Vec<_> = ordered(&needs)
            .into_iter()
            .map(|number| needs[usize::try_from(number - 1).expect("an index")].outlook())
            .collect();
        prop_assert!(outlooks.is_sorted());
    }

    #[test]
    fn only_begun_rounds_that_can_be_in_time_go_before_a_new_one(
        rounds in proptest::collection::vec((0u32..15_000, any::<bool>()), 1..40),
    ) {
        let needs: Vec<_> = rounds.iter().map(|(waited, begun)| need(*waited, *begun)).collect();
        let load = picture(&needs).queue("first");
        let is_ahead =
            |need: &&job::Need| need.begun && need.outlook() == job::Outlook::InTime;
        let ahead = needs.iter().filter(is_ahead).count();
        prop_assert_eq!(load.ahead_core_ms, ahead as f64 * 2_000.0);
        prop_assert_eq!(load.waiting, needs.len());
    }
}
