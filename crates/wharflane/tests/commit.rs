//! Group commit against a store that loses answers, delays writes and shows old rows.

use proptest::prelude::*;
use wharflane::{commit, lease, platform};

/// What happens next.
#[derive(Clone, Debug)]
enum Turn {
    /// The oldest write under way lands, and its answer arrives or is lost.
    Land(bool),
    /// The writer is told that no answer came, while the write is still under way.
    Lose,
    /// The head row is read, as it was so many writes ago.
    Read(usize),
    /// Another host takes the hall.
    Takeover,
}

/// Returns any turn.
fn turn() -> impl Strategy<Value = Turn> {
    prop_oneof![
        any::<bool>().prop_map(Turn::Land),
        Just(Turn::Lose),
        (0..3_usize).prop_map(Turn::Read),
        Just(Turn::Takeover),
    ]
}

/// The head row with all its versions.
#[derive(Default)]
struct Row {
    /// Each value written, the first as version one.
    versions: Vec<lease::Head>,
}

impl Row {
    /// Makes a transaction.
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

    /// What is called committed stands exactly once, and no transaction stands twice.
    #[test]
    fn committed_means_that_it_stands_once(turns in prop::collection::vec(turn(), 1..40)) {
        let mut row = Row::default();
        let mut writer = commit::Committer::new("head", 0, lease::Head::default());
        let mut under_way = vec![writer.begin(head("ours"), Vec::new()).expect("encoded")];
        for turn in turns {
            let step = match turn {
                Turn::Land(answered) => {
                    if under_way.is_empty() {
                        continue;
                    }
                    let answer = row.transact(&under_way.remove(0));
                    writer.answered(answered.then_some(&answer))
                }
                Turn::Lose => writer.answered(None),
                Turn::Read(back) => {
                    let seen = row.versions.len().saturating_sub(back);
                    let value = seen.checked_sub(1).map(|at| &row.versions[at]);
                    writer.read_back(seen as u64, value)
                }
                Turn::Takeover => {
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
                commit::Step::Send(txn) => under_way.push(txn),
                commit::Step::ReadBack | commit::Step::Idle => {}
            }
        }
    }
}
