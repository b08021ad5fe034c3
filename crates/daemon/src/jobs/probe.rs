//! Probes the process of a lease holder, and asks it for its lease.
//!
//! A probe opens one connection: a busy process accepts few, and many hosts may probe it at once.

use std::io;
use std::net;
use std::time;

use wharflane::job;
use wharflane_http::{client, connection};
use wharflane_operator as operator;

/// Time within which a probed process must answer; between halls a connection takes 2 ms.
const PROBE_TIMEOUT: time::Duration = time::Duration::from_millis(200);

/// Asks the process that listens on an address whether it still acts under a lease, whose row stands
/// still at `version`; `delay` is how much longer than others this host waits for a lease.
pub async fn probe(addr: net::SocketAddr, version: u64, delay: time::Duration) -> job::ProbeResult {
    let holder = operator::Operator::new(addr, PROBE_TIMEOUT);
    match holder.claim_lease(version, delay).await {
        Ok(operator::LeaseClaim::Vacated) => job::ProbeResult::Vacated,
        Ok(operator::LeaseClaim::Claimed { at_least_ms }) => {
            let claimed_for = time::Duration::from_millis(at_least_ms);
            job::ProbeResult::Listens { claimed_for: Some(claimed_for) }
        }
        Err(client::CallError::ConnectTimedOut) => job::ProbeResult::Silent,
        Err(err) if is_refused(&err) => job::ProbeResult::Refused,
        // A process that accepts the connection and is late with its answer, or is of another
        // version, may act nevertheless. Other errors are local, such as too few file descriptors,
        // and say nothing about the holder.
        Err(err) => {
            tracing::info!(%addr, version, %err, "the holder does not tell whether it still acts");
            job::ProbeResult::Listens { claimed_for: None }
        }
    }
}

/// Returns whether a call failed since no process listens.
fn is_refused(err: &client::CallError) -> bool {
    matches!(
        err,
        client::CallError::Connect(connection::OpenError::Connect(err))
            if err.kind() == io::ErrorKind::ConnectionRefused
    )
}
