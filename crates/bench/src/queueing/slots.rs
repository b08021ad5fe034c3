//! The assignment of endpoint slots to hosts.

use std::time;

use crate::queueing::{Setup, Sharing, Sim, hosts};

/// The interval between two assignments of slots.
pub(super) const ASSIGN_INTERVAL: time::Duration = time::Duration::from_secs(1);
/// The size of the message that reports a host's demand to another host, in bytes.
const DEMAND_BYTES: f64 = 160.0;

impl Sim {
    /// Assigns the slots of every endpoint to hosts according to the sharing policy.
    pub(super) fn assign_slots(&mut self) {
        let hosts = self.setup.hosts;
        let even = vec![1.0 / hosts as f64; hosts];
        let shares = match self.setup.sharing {
            Sharing::Demand => {
                let other_hosts = (hosts - 1) as f64;
                self.outcome.control_bytes_per_s =
                    other_hosts * DEMAND_BYTES / ASSIGN_INTERVAL.as_secs_f64();
                demand_shares(&mut self.hosts).unwrap_or(even)
            }
            _ => even,
        };
        let Setup { endpoints, slots, connections, .. } = self.setup;
        for endpoint in 0..endpoints {
            let assigned = divide_slots(endpoint, slots, &shares);
            for (at, host) in self.hosts.iter_mut().enumerate() {
                host.caps[endpoint] = match self.setup.sharing {
                    Sharing::Fixed | Sharing::Demand => assigned[at],
                    Sharing::Optimistic | Sharing::Window => {
                        slots.min((connections / hosts as u32).max(1))
                    }
                    Sharing::Owner => u32::from(endpoint % hosts == at) * slots,
                };
            }
        }
    }
}

/// Returns each host's share of the demand since the last call and resets the demand; `None`
/// without any demand.
fn demand_shares(hosts: &mut [hosts::Host]) -> Option<Vec<f64>> {
    let total: u64 = hosts.iter().map(|host| host.demand).sum();
    if total == 0 {
        return None;
    }
    let shares = hosts.iter().map(|host| (host.demand + 1) as f64 / (total + 1) as f64).collect();
    hosts.iter_mut().for_each(|host| host.demand = 0);
    Some(shares)
}

/// Divides the slots of one endpoint among hosts by their shares.
fn divide_slots(endpoint: usize, slots: u32, shares: &[f64]) -> Vec<u32> {
    let total: f64 = shares.iter().sum();
    let mut assigned = vec![0; shares.len()];
    // Systematic sampling with a different start for each endpoint: each endpoint assigns whole
    // slots, and over all endpoints every host receives its share.
    let start = (endpoint as f64 * 0.618_033_988_75).fract();
    let step = total / f64::from(slots);
    for slot in 0..slots {
        let mut point = (f64::from(slot) + start) * step % total;
        for (host, share) in shares.iter().enumerate() {
            if point < *share || host + 1 == shares.len() {
                assigned[host] += 1;
                break;
            }
            point -= share;
        }
    }
    assigned
}
