//! Tests that a configuration is applied as a whole, takes effect on every host, and never reverts.

use std::time;

use wharflane_operator as operator;
use wharflane_stand_in::{caller, cases, store};

use crate::fleet;

cases! {
    of_two_operators_one_wins => fleet::run(concurrent_applies()),
    a_repeated_submission_gets_the_first_answer => fleet::run(lost_answers()),
    a_fault_refuses_the_whole_file => fleet::run(faults()),
    a_revision_never_reverts_on_stale_reads => fleet::run(stale_reads()),
    a_host_started_in_an_outage_serves => fleet::run(outage()),
}

/// Returns a desired state with one service, whose count distinguishes revisions.
fn service(count: usize) -> String {
    format!(
        "class = [{{ name = \"paid\", priority = 10 }}]\nteam = [{{ name = \"ours\" }}]\n\
         hall = [{{ name = \"vake\" }}]\n[[service]]\nname = \"lending\"\nteam = \"ours\"\n\
         class = \"paid\"\nhalls = [\"vake\"]\ncount = {count}\ncpu_milli = 1000\nmem_mb = 100\n\
         latency_target_ms = 100\n"
    )
}

/// Returns a submission of the service with the given count.
fn submission(name: &str, base_revision: u64, count: usize) -> operator::Apply {
    operator::Apply { apply_id: name.to_owned(), base_revision, text: service(count) }
}

/// Waits until every host has at least the given revision in force.
async fn wait_for_revision(fleet: &fleet::Fleet, revision: u64) {
    for host in fleet.hosts.values() {
        let operator_client = host.operator_client();
        fleet::wait_until("the revision to be in force", async || {
            operator_client.status().await.is_ok_and(|status| status.revision >= revision)
        })
        .await;
    }
}

/// Two operators submit different files with the same base revision, for eleven revisions. Each
/// time one is accepted, and the other is refused with the new revision.
async fn concurrent_applies() {
    let fleet = fleet::Fleet::start(2, 1, &["vake"]).await;
    fleet.apply("entry-0", &service(1)).await;
    wait_for_revision(&fleet, 1).await;
    let operators =
        [fleet.host("entry-0").operator_client(), fleet.host("entry-1").operator_client()];
    for base in 1..12 {
        let left = submission(&format!("left-{base}"), base, 1);
        let right = submission(&format!("right-{base}"), base, 2);
        let (left, right) = tokio::join!(operators[0].apply(&left), operators[1].apply(&right));
        let answers = [left.expect("no answer"), right.expect("no answer")];
        let won = operator::Applied::Accepted { revision: base + 1 };
        let lost = operator::Applied::Conflict { revision: base + 1 };
        assert!(answers.contains(&won) && answers.contains(&lost), "{answers:?}");
    }
    wait_for_revision(&fleet, 12).await;
}

/// Every second transaction takes effect but its answer is lost. A submission repeated at another
/// host under its id gets the first answer and makes no second revision.
async fn lost_answers() {
    let fleet = fleet::Fleet::start(2, 1, &["vake"]).await;
    fleet.apply("entry-0", &service(1)).await;
    wait_for_revision(&fleet, 1).await;
    let faults = store::Faults { lose_every: 2, ..store::Faults::default() };
    assert!(fleet.set_switch(fleet.platform, "faults", &faults).await);
    for base in 1..8 {
        let apply = submission(&format!("once-{base}"), base, 1);
        for host in ["entry-0", "entry-1"] {
            let operator_client = fleet.host(host).operator_client();
            let expected = operator::Applied::Accepted { revision: base + 1 };
            assert_eq!(operator_client.apply(&apply).await.expect("no answer"), expected);
        }
    }
}

/// A file with faults does not change the configuration, and the reply names the line of each
/// fault.
async fn faults() {
    let fleet = fleet::Fleet::start(1, 1, &["vake"]).await;
    fleet.apply("entry-0", &service(1)).await;
    wait_for_revision(&fleet, 1).await;
    let mut apply = submission("bad", 1, 1);
    apply.text.push_str("colour = 3\n[[job]]\nname = \"x\"\nteam = \"theirs\"\n");
    let answer = fleet.host("entry-0").operator_client().apply(&apply).await.expect("no answer");
    let operator::Applied::Refused { faults } = answer else {
        panic!("the file was not refused: {answer:?}");
    };
    let lines: Vec<usize> = faults.iter().map(|fault| fault.line).collect();
    assert!(lines.contains(&13) && lines.contains(&16), "{faults:?}");
    let status = fleet.host("entry-0").operator_client().status().await.expect("no status");
    assert_eq!(status.revision, 1);
}

/// Reads of the store return the state before the last write: no host reverts to an older revision.
async fn stale_reads() {
    let fleet = fleet::Fleet::start(3, 1, &["vake"]).await;
    for base in 0..3 {
        fleet.apply("entry-0", &service(1 + base)).await;
        wait_for_revision(&fleet, base as u64 + 1).await;
    }
    let faults = store::Faults { stale_reads: true, ..store::Faults::default() };
    assert!(fleet.set_switch(fleet.platform, "faults", &faults).await);
    for _ in 0..20 {
        tokio::time::sleep(time::Duration::from_millis(50)).await;
        for host in fleet.hosts.values() {
            let status = host.operator_client().status().await.expect("no status");
            assert_eq!(status.revision, 3);
        }
    }
}

/// A host started during a store outage gets the configuration from its peers and serves requests.
async fn outage() {
    let mut fleet = fleet::Fleet::start(2, 3, &["vake"]).await;
    fleet.apply("entry-0", &service(3)).await;
    fleet.wait_for_endpoints("lending", 3).await;
    let down = store::Faults { down: true, ..store::Faults::default() };
    assert!(fleet.set_switch(fleet.platform, "faults", &down).await);
    fleet.add_host("newcomer", "vake");
    fleet.wait_for_endpoints("lending", 3).await;
    let report = caller::run(fleet.load("outage", "lending", 100.0, 4)).await;
    assert_eq!(
        report.count(caller::End::Answered),
        report.requests.len(),
        "not all requests were answered"
    );
}
