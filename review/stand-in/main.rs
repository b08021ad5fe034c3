//! Plays a case of the review against the programs of the project, and judges it.
//!
//! `wharflane-review CASE ROOT RECORD`; `TROUBLE=0` in the environment leaves the disruption out.
//! Exits with 1 if the rule was broken, 0 if it held, and 2 if the case couldn't run.

mod cases;
mod fleet;
mod http;
mod json;
mod judge;
mod record;
mod store;
mod worker;

use std::env;
use std::panic;
use std::path::PathBuf;
use std::process;
use std::sync::Arc;
use std::time::Duration;

/// How long a case may take.
const LIMIT: Duration = Duration::from_secs(110);

fn main() {
    let words: Vec<String> = env::args().collect();
    let [_, case, root, record] = words.as_slice() else {
        eprintln!("usage: wharflane-review CASE ROOT RECORD");
        process::exit(2);
    };
    let trouble = env::var("TROUBLE").map_or(true, |value| value != "0");
    let root = PathBuf::from(root);
    let record = match record::Record::new(record) {
        Ok(record) => Arc::new(record),
        Err(err) => {
            eprintln!("can't write the record: {err}");
            process::exit(2);
        }
    };
    if !fleet::program(&root).exists() {
        eprintln!("target/release/wharflaned is not built");
        process::exit(2);
    }
    fleet::watch(LIMIT);
    let played =
        panic::catch_unwind(panic::AssertUnwindSafe(|| cases::play(case, &root, trouble, &record)));
    let code = match played {
        Ok(Ok(breaks)) if breaks.is_empty() => {
            record.say("the rule held");
            0
        }
        Ok(Ok(breaks)) => {
            breaks.iter().take(5).for_each(|broken| record.say(broken));
            breaks.iter().skip(5).for_each(|broken| record.line(broken));
            record.say(&format!("the rule was broken {} times", breaks.len()));
            1
        }
        Ok(Err(why)) => {
            record.say(&format!("the case couldn't run: {why}"));
            2
        }
        Err(_) => 2,
    };
    process::exit(code);
}
