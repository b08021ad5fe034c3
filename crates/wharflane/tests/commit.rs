//! Group commit against a store that loses answers, delays writes and returns old rows.

use proptest::prelude::*;
use wharflane::{commit, lease, platform};

/// An event of the random sequence.
#[derive(Clone, Debug)]
enum Event {
    /// The oldest write in flight lands, and its answer arrives (`true`) or is lost.
    Land(bool),
    /// The writer's wait for an answer times out while the write is still in flight.
    LoseAnswer,
    /// The head row is read as it was this many writes ago.
    ReadBack(usize),
    /// Another host takes over the hall.
    TakeOver,
}

/// Generates any event.
fn event() -> impl Strategy<Value = Event> {
    prop_oneof![
        any::<bool>().prop_map(Event::Land),
        Just(Event::LoseAnswer),
        (0..3_usize).prop_map(Event::ReadBack),
        Just(Event::TakeOver),
    ]
}

/// The head row with all its versions.
#[derive(Default)]
struct Row {
    /// Every value written; the first has version 1.
    versions: Vec<lease::Head>,
}

impl Row {
    /// Commits a transaction, or reports a conflict if its check names an older version.
    fn transact(&mut self, txn: &platform::Txn) -> platform::TxnAnswer {
        let key = txn.checks[0].key.clone();
        if txn.checks[0].version != self.versions.len() as u64 {
            return platform::TxnAnswer::Conflict { key };
        }
        let value = txn.writes.last().and_then(|write| write.value.as_deref());
        let head = serde_json::from_str(value.expect("a head"));
        self.versions.push(head.expect("a head"));
        platform::TxnAnswer::Committed
    }
}

/// Returns a head row with a token.
fn head(token: &str) -> lease::Head {
    lease::Head { token: token.to_owned(), ..lease::Head::default() }
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(2_000))]

    /// A commit that is reported as committed is in the store exactly once, and no transaction is
    /// in it twice.
    #[test]
    fn a_committed_transaction_stands_exactly_once(events in prop::collection::vec(event(), 1..40)) {
        let mut row = Row::default();
        let mut writer = commit::Committer::new("head", 0, lease::Head::default());
        let mut in_flight = vec![writer.begin(head("ours"), Vec::new()).expect("encoded")];
        for event in events {
            let step = match event {
                Event::Land(answered) => {
                    if in_flight.is_empty() {
                        continue;
                    }
                    let answer = row.transact(&in_flight.remove(0));
                    writer.answered(answered.then_some(&answer))
                }
                Event::LoseAnswer => writer.answered(None),
                Event::ReadBack(versions_ago) => {
                    let seen = row.versions.len().saturating_sub(versions_ago);
                    let value = seen.checked_sub(1).map(|at| &row.versions[at]);
                    writer.read_back(seen as u64, value)
                }
                Event::TakeOver => {
                    row.versions.push(head("theirs"));
                    continue;
                }
            };
            let stands = row.versions.iter().filter(|head| head.token == "ours").count();
            prop_assert!(stands <= 1);
            match step {
                commit::Step::Committed => {
                    prop_assert_eq!(stands, 1);
                    return Ok(());
                }
                commit::Step::Lost => return Ok(()),
                commit::Step::Send(txn) => in_flight.push(txn),
                commit::Step::ReadBack | commit::Step::Idle => {}
            }
        }
    }
}
