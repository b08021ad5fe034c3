//! How the slots of endpoints are dealt out to hosts.

use std::time;

use crate::queueing::{Setup, Sharing, Sim, hosts};

/// How often slots are dealt out by demand.
pub(super) const DEAL: time::Duration = time::Duration::from_secs(1);
/// The bytes of a message that tells one host's demand to another.
const DEMAND_BYTES: f64 = 160.0;

impl Sim {
    /// Deals out the slots of every endpoint.
    pub(super) fn deal(&mut self) {
        let hosts = self.setup.hosts;
        let even = vec![1.0 / hosts as f64; hosts];
        let shares = match self.setup.sharing {
            Sharing::Demand => {
                let others = (hosts - 1) as f64;
                self.outcome.control_bytes = others * DEMAND_BYTES / DEAL.as_secs_f64();
                demand_shares(&mut self.hosts).unwrap_or(even)
            }
            _ => even,
        };
        let Setup { endpoints, slots, connections, .. } = self.setup;
        for endpoint in 0..endpoints {
            let dealt = dealt(endpoint, slots, &shares);
            for (at, host) in self.hosts.iter_mut().enumerate() {
                host.caps[endpoint] = match self.setup.sharing {
                    Sharing::Fixed | Sharing::Demand => dealt[at],
                    Sharing::Optimistic | Sharing::Window => {
                        slots.min((connections / hosts as u32).max(1))
                    }
                    Sharing::Owner => u32::from(endpoint % hosts == at) * slots,
                };
            }
        }
    }
}

/// Returns each host's share of the demand in the last second.
fn demand_shares(hosts: &mut [hosts::Host]) -> Option<Vec<f64>> {
    let total: u64 = hosts.iter().map(|host| host.demand).sum();
    if total == 0 {
        return None;
    }
    let shares = hosts.iter().map(|host| (host.demand + 1) as f64 / (total + 1) as f64).collect();
    hosts.iter_mut().for_each(|host| host.demand = 0);
    Some(shares)
}

/// Deals the slots of one endpoint to hosts by their shares, each endpoint from another start.
fn dealt(endpoint: usize, slots: u32, shares: &[f64]) -> Vec<u32> {
    let total: f64 = shares.iter().sum();
    let mut dealt = vec![0; shares.len()];
    // Systematic sampling: over all endpoints every host gets its share, whole slots at each.
    let start = (endpoint as f64 * 0.618_033_988_75).fract();
    let step = total / f64::from(slots);
    for slot in 0..slots {
        let mut point = (f64::from(slot) + start) * step % total;
        for (host, share) in shares.iter().enumerate() {
            if point < *share || host + 1 == shares.len() {
                dealt[host] += 1;
                break;
            }
            point -= share;
        }
    }
    dealt
}
