//! What a host does with a submitted job whose store is slow, busy, silent or loses answers.
//!
//! Guards against callers that learn nothing although the store would have told in time, and
//! against refusals of jobs that may run after all.

use std::time;

use wharflane::job::{retry_after, submission};
use wharflane_stand_in::cases;

/// Time of a call to the store that is neither slow nor silent.
const QUICK: time::Duration = millis(10);
/// Timeout of a call to the store.
const CALL_TIMEOUT: time::Duration = millis(800);

/// Returns a duration in milliseconds.
const fn millis(millis: u64) -> time::Duration {
    time::Duration::from_millis(millis)
}

/// What a fake store does with one write.
#[derive(Clone, Copy, Debug)]
struct Write {
    /// How the write ends for the host; `None` if no answer ever arrives.
    end: Option<submission::WriteEnd>,
    /// Time until then.
    after: time::Duration,
    /// Time until the row is there; `None` if the write has no effect.
    stored_after: Option<time::Duration>,
}

/// A store that is played in virtual time against one submission.
#[derive(Clone, Debug)]
struct Store {
    /// What it does with each write in turn; the last entry holds for all further ones.
    writes: Vec<Write>,
    /// Time of a read; `None` if reads get no answer.
    read_time: Option<time::Duration>,
    /// Whether the store answers other calls of the host.
    answers: bool,
    /// How slow the host knows the store to be.
    answer_time: time::Duration,
    /// How long the store had been silent when the submission arrived.
    silence: time::Duration,
    /// When the host closes its connections.
    closes_at: Option<time::Duration>,
}

/// What was seen of one submission.
#[derive(Debug)]
struct Seen {
    /// What the caller was told.
    end: submission::End,
    /// When the caller was told.
    at: time::Duration,
    /// How many writes were sent.
    writes: usize,
    /// How many reads were sent.
    reads: usize,
}

impl Store {
    /// Returns a store that does the same with each write and answers all other calls.
    fn with(write: Write) -> Self {
        Self {
            writes: vec![write],
            read_time: Some(QUICK),
            answers: true,
            answer_time: QUICK,
            silence: time::Duration::ZERO,
            closes_at: None,
        }
    }

    /// Returns a store that answers nothing.
    fn silent() -> Self {
        let lost = Write { end: None, after: time::Duration::ZERO, stored_after: None };
        Self { read_time: None, answers: false, ..Self::with(lost) }
    }

    /// Plays a submission whose caller waits for `left`, and checks that its answer is true and in
    /// time.
    fn submit(&self, left: time::Duration) -> Seen {
        let mut submission = submission::Submission::new(time::Duration::ZERO, left, CALL_TIMEOUT);
        let mut now = time::Duration::ZERO;
        let mut write: Option<(time::Duration, submission::WriteEnd)> = None;
        let mut read_sent_at: Option<time::Duration> = None;
        let mut heard_at: Option<time::Duration> = None;
        let (mut writes, mut reads) = (0, 0);
        let mut stored_at: Option<time::Duration> = None;
        loop {
            match submission.next(&self.view(heard_at, now), now) {
                submission::Step::Write => {
                    let sent = self.writes[writes.min(self.writes.len() - 1)];
                    writes += 1;
                    submission.write_sent(now);
                    write = sent.end.map(|end| (now + sent.after, end));
                    let stored = sent.stored_after.map(|after| now + after);
                    stored_at = stored_at.into_iter().chain(stored).min();
                }
                submission::Step::Read => {
                    reads += 1;
                    submission.read_sent();
                    read_sent_at = self.read_time.map(|_| now);
                }
                submission::Step::Wait { until } => {
                    assert!(until > now, "a wait that ends at once: {submission:?}");
                    let write_at = write.map_or(until, |(at, _)| at);
                    let read_time = self.read_time.unwrap_or_default();
                    let read_at = read_sent_at.map_or(until, |sent_at| sent_at + read_time);
                    now = until.min(write_at).min(read_at);
                    if let Some((_, end)) = write.take_if(|(at, _)| *at <= now) {
                        submission.write_ended(end, now);
                    }
                    if let Some(sent_at) = read_sent_at.take_if(|at| *at + read_time <= now) {
                        heard_at = Some(sent_at);
                        let seen_at = sent_at + read_time / 2;
                        let found = stored_at.is_some_and(|stored_at| stored_at <= seen_at);
                        submission.read_ended(found, now);
                    }
                }
                submission::Step::End(end) => {
                    let stored = stored_at.is_some();
                    let seen = Seen { end, at: now, writes, reads };
                    let latest = self.closes_at.map_or(left, |closes_at| left.min(closes_at));
                    assert!(now <= latest, "too late: {seen:?}");
                    let refused = matches!(end, submission::End::NotTaken(_));
                    assert!(!(refused && stored), "refused, and stored after all: {seen:?}");
                    assert!(end != submission::End::Stored || stored, "not stored: {seen:?}");
                    return seen;
                }
            }
        }
    }

    /// Returns what the host knows, where `heard_at` is when the latest answered read was sent.
    fn view(&self, heard_at: Option<time::Duration>, now: time::Duration) -> submission::View {
        submission::View {
            silence: self.silence + if self.answers { time::Duration::ZERO } else { now },
            answer_time: self.answer_time,
            latest_answered_sent_at: if self.answers { Some(now) } else { heard_at },
            failure: retry_after::Cause::StoreSilent,
            closes_at: self.closes_at,
        }
    }
}

/// Returns a write that is answered and takes effect after `after`.
fn stores(after: time::Duration) -> Write {
    Write { end: Some(submission::WriteEnd::Stored), after, stored_after: Some(after) }
}

/// Returns a write that ends without effect after `after`.
fn fails(end: submission::WriteEnd, after: time::Duration) -> Write {
    Write { end: Some(end), after, stored_after: None }
}

cases! {
    a_quick_store_costs_one_write => {
        let seen = Store::with(stores(QUICK)).submit(millis(2_950));
        assert_eq!((seen.end, seen.writes, seen.reads), (submission::End::Stored, 1, 0));
    },
    // The turn of a write in a store 60 times slower than usual: up to a second of waiting, and 0.3 s.
    a_slow_write_is_waited_for_and_not_sent_twice => {
        for took in [900, 1_400, 1_900] {
            let store = Store { answer_time: millis(300), ..Store::with(stores(millis(took))) };
            let seen = store.submit(millis(2_950));
            assert_eq!((seen.end, seen.writes), (submission::End::Stored, 1), "{took} ms");
        }
    },
    a_turn_that_no_read_foretells_ends_in_the_callers_time => {
        let seen = Store::with(stores(millis(1_200))).submit(millis(2_950));
        assert_eq!(seen.end, submission::End::Stored);
    },
    a_write_that_the_caller_can_not_wait_for_is_not_sent => {
        for left in [0, 50, 300] {
            let store = Store { answer_time: millis(300), ..Store::with(stores(millis(300))) };
            let seen = store.submit(millis(left));
            let slow = submission::End::NotTaken(retry_after::Cause::StoreSlow);
            assert_eq!((seen.end, seen.writes, seen.at), (slow, 0, millis(0)), "{left} ms");
        }
    },
    a_slow_rejection_that_arrives_in_time_is_passed_on => {
        let rejects = fails(submission::WriteEnd::TurnedAway, millis(350));
        let store = Store {
            answer_time: millis(300),
            read_time: Some(millis(300)),
            ..Store::with(rejects)
        };
        for left in [400, 700, 1_300, 2_950] {
            let seen = store.submit(millis(left));
            let busy = submission::End::NotTaken(retry_after::Cause::StoreBusy);
            assert_eq!(seen.end, busy, "{left} ms");
        }
    },
    a_caller_that_may_return_in_time_is_sent_off_at_the_first_rejection => {
        let store = Store::with(fails(submission::WriteEnd::TurnedAway, QUICK));
        let seen = store.submit(millis(2_950));
        assert_eq!((seen.writes, seen.reads, seen.at), (1, 0, QUICK));
    },
    a_caller_that_can_not_return_in_time_is_tried_for_here => {
        let rejects = fails(submission::WriteEnd::TurnedAway, QUICK);
        let store = Store { writes: vec![rejects, rejects, stores(QUICK)], ..Store::with(rejects) };
        let seen = store.submit(millis(900));
        assert_eq!((seen.end, seen.writes), (submission::End::Stored, 3));
    },
    a_lost_answer_is_found_by_reading_the_row => {
        let lost = Write { end: None, after: QUICK, stored_after: Some(QUICK) };
        let seen = Store::with(lost).submit(millis(2_950));
        assert_eq!((seen.end, seen.writes, seen.reads), (submission::End::Stored, 1, 1));
        assert!(seen.at < CALL_TIMEOUT, "{seen:?}");
    },
    a_broken_connection_is_followed_by_a_read_at_once => {
        let broken = Write { stored_after: Some(QUICK), ..fails(submission::WriteEnd::NoAnswer, QUICK) };
        let seen = Store::with(broken).submit(millis(2_950));
        assert_eq!((seen.end, seen.writes, seen.at), (submission::End::Stored, 1, 2 * QUICK));
    },
    a_write_that_was_lost_on_its_way_is_sent_again => {
        let lost = Write { end: None, after: QUICK, stored_after: None };
        let store = Store { writes: vec![lost, stores(QUICK)], ..Store::with(lost) };
        let seen = store.submit(millis(2_950));
        assert_eq!((seen.end, seen.writes), (submission::End::Stored, 2));
    },
    a_rejection_after_a_lost_write_proves_nothing => {
        let broken = fails(submission::WriteEnd::NoAnswer, QUICK);
        let rejects = fails(submission::WriteEnd::TurnedAway, QUICK);
        let store = Store { writes: vec![broken, rejects], ..Store::with(broken) };
        let seen = store.submit(millis(2_950));
        assert_eq!((seen.end, seen.at), (submission::End::Unknown, millis(2_950)));
    },
    a_rejection_after_a_replaced_write_proves_nothing => {
        let lost = Write { end: None, after: QUICK, stored_after: Some(millis(2_900)) };
        let rejects = fails(submission::WriteEnd::TurnedAway, QUICK);
        let store = Store { writes: vec![lost, rejects], ..Store::with(lost) };
        let seen = store.submit(millis(2_700));
        assert_eq!((seen.end, seen.at), (submission::End::Unknown, millis(2_700)));
        assert!(seen.writes > 1, "{seen:?}");
    },
    // As long as the store answers this host, another one can do no better.
    a_host_that_hears_its_store_waits_as_long_as_the_caller => {
        let late = Write { end: None, after: QUICK, stored_after: Some(millis(2_500)) };
        let store = Store { answer_time: millis(600), ..Store::with(late) };
        let seen = store.submit(millis(2_950));
        assert_eq!((seen.end, seen.writes), (submission::End::Stored, 1));
    },
    a_host_whose_store_falls_silent_leaves_time_for_another_host => {
        let seen = Store::silent().submit(millis(3_000));
        assert_eq!((seen.end, seen.at), (submission::End::Unknown, millis(1_350)));
    },
    a_slow_store_has_time_to_answer_a_read_before_it_counts_as_silent => {
        let late = stores(millis(900));
        let store = Store {
            answer_time: millis(400),
            read_time: Some(millis(400)),
            answers: false,
            ..Store::with(late)
        };
        // The read beside the write is answered after 45 % of the caller's time.
        assert_eq!(store.submit(millis(1_000)).end, submission::End::Stored);
    },
    a_host_whose_store_is_silent_sends_nothing => {
        let store = Store { silence: submission::LOST_AFTER, ..Store::silent() };
        let seen = store.submit(millis(2_950));
        let silent = submission::End::NotTaken(retry_after::Cause::StoreSilent);
        assert_eq!((seen.end, seen.writes, seen.at), (silent, 0, millis(0)));
    },
    a_write_that_never_left_the_host_raises_no_doubt => {
        let store = Store {
            writes: vec![fails(submission::WriteEnd::NotSent, QUICK)],
            ..Store::silent()
        };
        let seen = store.submit(millis(2_950));
        let silent = submission::End::NotTaken(retry_after::Cause::StoreSilent);
        assert_eq!(seen.end, silent);
        assert!(seen.writes > 1, "{seen:?}");
    },
    a_permanent_rejection_is_passed_on => {
        let seen = Store::with(fails(submission::WriteEnd::Refused, QUICK)).submit(millis(2_950));
        assert_eq!((seen.end, seen.writes), (submission::End::Refused, 1));
    },
    a_permanent_rejection_after_a_lost_write_proves_nothing => {
        let lost =
            Write { stored_after: Some(millis(2_900)), ..fails(submission::WriteEnd::NoAnswer, QUICK) };
        let refuses = fails(submission::WriteEnd::Refused, QUICK);
        let store = Store { writes: vec![lost, refuses], ..Store::with(lost) };
        let seen = store.submit(millis(2_700));
        assert_eq!((seen.end, seen.at), (submission::End::Unknown, millis(2_700)));
    },
    a_stopping_host_sends_nothing_that_it_can_not_wait_for => {
        let store = Store {
            answer_time: millis(300),
            closes_at: Some(millis(200)),
            ..Store::with(stores(millis(300)))
        };
        let seen = store.submit(millis(2_950));
        let stopping = submission::End::NotTaken(retry_after::Cause::Stopping);
        assert_eq!((seen.end, seen.writes, seen.at), (stopping, 0, millis(0)));
    },
    a_stopping_host_answers_before_it_closes_its_connections => {
        let store = Store { closes_at: Some(millis(1_500)), ..Store::with(stores(millis(1_400))) };
        assert_eq!(store.submit(millis(2_950)).end, submission::End::Stored);
        let lost = Write { end: None, after: QUICK, stored_after: None };
        let store = Store { closes_at: Some(millis(1_500)), ..Store::with(lost) };
        let seen = store.submit(millis(2_950));
        assert_eq!((seen.end, seen.at), (submission::End::Unknown, millis(1_500)));
    },
}
