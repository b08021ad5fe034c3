//! Parses the text of scenarios.

use std::fmt::Write as _;
use std::str;

use crate::scenario;
use crate::store;

/// The memory of every task; no scenario depends on it.
const MEM_MB: u64 = 10;

/// Parses a scenario.
pub(crate) fn parse(text: &str) -> Result<scenario::Scenario, scenario::ScenarioError> {
    let mut scenario = scenario::Scenario::default();
    for (at, line) in text.lines().enumerate() {
        let line = line.split('#').next().unwrap_or("").trim();
        if line.is_empty() {
            continue;
        }
        let syntax = || scenario::ScenarioError::Syntax { line: at + 1, text: line.to_owned() };
        parse_line(&mut scenario, line).ok_or_else(syntax)?;
    }
    Ok(scenario)
}

/// Parses one line; returns `None` if it is not part of the language.
fn parse_line(scenario: &mut scenario::Scenario, line: &str) -> Option<()> {
    let words: Vec<&str> = line.split_whitespace().collect();
    match words.as_slice() {
        ["hosts", count] => scenario.hosts = count.parse().ok()?,
        ["workers", count, "cpu", cpu] => {
            let count: usize = count.parse().ok()?;
            let cpu: u64 = cpu.parse().ok()?;
            scenario.workers.extend(std::iter::repeat_n(cpu, count));
        }
        ["authority", ms] => scenario.authority_ms = Some(ms.parse().ok()?),
        ["job" | "service", ..] => {
            let (name, text) = parse_owner(line)?;
            scenario.owners.insert(name, text);
        }
        ["at", at, action @ ..] => {
            scenario.actions.push((at.parse().ok()?, parse_action(action)?));
        }
        ["until", ms] => scenario.until_ms = ms.parse().ok()?,
        ["expect", what, exact] => {
            let count = exact.parse().ok()?;
            let what = (*what).to_owned();
            scenario.expectations.push(scenario::Expectation { what, least: count, most: count });
        }
        ["expect", what, least, "to", most] => {
            let (least, most) = (least.parse().ok()?, most.parse().ok()?);
            scenario.expectations.push(scenario::Expectation {
                what: (*what).to_owned(),
                least,
                most,
            });
        }
        ["walk"] => scenario.walk = true,
        ["seeds", count] => scenario.seeds = count.parse().ok()?,
        _ => return None,
    }
    Some(())
}

/// Parses an action.
fn parse_action(words: &[&str]) -> Option<scenario::Action> {
    let faults = store::Faults::default();
    Some(match words {
        ["freeze-holder"] => scenario::Action::FreezeHolder,
        ["thaw"] => scenario::Action::Thaw,
        ["kill-holder"] => scenario::Action::KillHolder,
        ["restart"] => scenario::Action::Restart,
        ["holder-leaves"] => scenario::Action::HolderLeaves,
        ["store", "well"] => scenario::Action::Store(faults),
        ["store", "down"] => scenario::Action::Store(store::Faults { down: true, ..faults }),
        ["store", "stale"] => {
            scenario::Action::Store(store::Faults { stale_reads: true, ..faults })
        }
        ["store", "stale-scans"] => {
            scenario::Action::Store(store::Faults { stale_scans: true, ..faults })
        }
        ["store", "slow", ms] => {
            scenario::Action::Store(store::Faults { slow_ms: ms.parse().ok()?, ..faults })
        }
        ["store", "loses", every] => {
            scenario::Action::Store(store::Faults { lose_every: every.parse().ok()?, ..faults })
        }
        ["isolate", worker] => scenario::Action::Isolate((*worker).to_owned()),
        ["reconnect"] => scenario::Action::Reconnect,
        ["config-lags"] => scenario::Action::ConfigLags,
        ["config-catches-up"] => scenario::Action::ConfigCatchesUp,
        ["cut", worker] => scenario::Action::Cut((*worker).to_owned()),
        ["heal", worker] => scenario::Action::Heal((*worker).to_owned()),
        ["reboot", worker] => scenario::Action::Reboot((*worker).to_owned()),
        ["leave", worker] => scenario::Action::Leave((*worker).to_owned()),
        ["uses", owner, milli] => scenario::Action::Uses((*owner).to_owned(), milli.parse().ok()?),
        ["fail-services", worker] => scenario::Action::FailServiceTasks((*worker).to_owned(), true),
        ["mend-services", worker] => {
            scenario::Action::FailServiceTasks((*worker).to_owned(), false)
        }
        ["fail-all", worker] => scenario::Action::FailBatchTasks((*worker).to_owned(), true),
        ["mend", worker] => scenario::Action::FailBatchTasks((*worker).to_owned(), false),
        ["slow-workers", ms] => scenario::Action::SlowWorkers(ms.parse().ok()?),
        ["lost", worker] => scenario::Action::Lost((*worker).to_owned()),
        ["cancel", owner] => scenario::Action::Cancel((*owner).to_owned()),
        ["old-start", worker] => scenario::Action::ReplayOldStart((*worker).to_owned()),
        ["job" | "service", ..] => scenario::Action::Add(words.join(" ")),
        _ => return None,
    })
}

/// Parses a job or service into its name and TOML.
pub(crate) fn parse_owner(line: &str) -> Option<(String, String)> {
    let mut words = line.split_whitespace();
    let kind = words.next()?;
    let name = words.next()?.to_owned();
    let mut text = format!(
        "[[{kind}]]\nname = \"{name}\"\nteam = \"ours\"\nhalls = [\"hall\"]\nmem_mb = {MEM_MB}\n"
    );
    let mut class = "p1";
    while let Some(key) = words.next() {
        match key {
            "tasks" | "count" => push_number(&mut text, key, number(words.next()?)?),
            "cpu" => push_number(&mut text, "cpu_milli", number(words.next()?)?),
            "run" => push_number(&mut text, "run_time_ms", number(words.next()?)?),
            "hold" => text.push_str("on_loss = \"hold\"\n"),
            "checkpoint" => text.push_str("checkpoint = true\n"),
            "priority" => class = words.next()?,
            _ => return None,
        }
    }
    let _ = writeln!(text, "class = \"p{}\"", class.trim_start_matches('p'));
    if kind == "service" {
        push_number(&mut text, "latency_target_ms", 50);
    }
    Some((name, text))
}

/// Appends a key with a number.
fn push_number(text: &mut String, key: &str, number: u64) {
    let _ = writeln!(text, "{key} = {number}");
}

/// Parses a number.
fn number<T: str::FromStr>(word: &str) -> Option<T> {
    word.parse().ok()
}
