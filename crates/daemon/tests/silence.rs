//! Guards against connections that go silent without a reset while new ones work: each kind of peer
//! must cost a bounded time and hold no resources for good.

mod silence {
    //! Test cases by kind of peer.
    pub mod callers;
    pub mod endpoints;
    pub mod peers;
}

use std::time;

use wharflane_stand_in::cases;

/// Time limit of a case; many times the limits under test.
const TEST_TIMEOUT: time::Duration = time::Duration::from_secs(60);

cases! {
    one_request_of_an_endpoint_is_lost_and_its_idle_connections_go => run(silence::endpoints::idle_connections()),
    a_connection_idle_for_too_long_is_not_used_again => run(silence::endpoints::idle_too_long()),
    an_answer_without_progress_is_cut_off_and_its_permit_is_released => run(silence::endpoints::in_an_answer()),
    a_stream_of_a_quiet_endpoint_is_kept => run(silence::endpoints::quiet_stream()),
    a_caller_that_sends_nothing_releases_its_slot => run(silence::callers::before_a_head()),
    a_caller_that_sends_half_a_preface_releases_its_slot => run(silence::callers::in_a_preface()),
    a_caller_between_requests_releases_its_slot => run(silence::callers::between_requests()),
    a_caller_silent_in_its_body_releases_its_slot => run(silence::callers::in_a_body()),
    a_caller_silent_in_its_answer_releases_its_slot => run(silence::callers::in_an_answer()),
    a_caller_that_reads_slowly_gets_its_whole_answer => run(silence::callers::slow_reader()),
    a_silent_caller_of_http_2_releases_its_slot => run(silence::callers::http_2()),
    a_quiet_caller_of_http_2_that_answers_pings_is_kept => run(silence::callers::quiet_http_2()),
    gossip_goes_on_over_a_new_connection => run(silence::peers::gossip_goes_on()),
    a_newcomer_is_answered_over_a_new_connection => run(silence::peers::handover()),
    the_connection_of_a_peer_without_calls_is_closed => run(silence::peers::served_side()),
    a_connection_given_up_in_a_message_is_closed => run(silence::peers::given_up_in_a_message()),
}

/// Runs a case on a runtime of its own within the time limit.
fn run(case: impl Future<Output = ()>) {
    let runtime = tokio::runtime::Runtime::new().expect("a runtime");
    runtime.block_on(async {
        tokio::time::timeout(TEST_TIMEOUT, case).await.expect("the case did not end in time")
    });
    runtime.shutdown_background();
}
