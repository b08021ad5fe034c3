//! A budget: what it grants, whom it revokes, and that nothing is lost of it.

use std::time;

use futures::FutureExt as _;
use rand::{RngExt as _, SeedableRng as _};
use wharflane_http::budget;
use wharflane_stand_in::cases;
use wharflane_stand_in::runtime;

cases! {
    a_holder_gets_what_is_free => runtime::on_one_thread(free_units()),
    a_newer_holder_takes_the_place_of_the_oldest => runtime::on_one_thread(oldest_revoked()),
    a_holder_waits_until_a_revoked_one_has_returned_its_units =>
        runtime::on_one_thread(waits_for_return()),
    an_old_holder_does_not_revoke_newer_ones => runtime::on_one_thread(old_refused()),
    nobody_is_revoked_for_a_request_that_can_not_be_met => runtime::on_one_thread(none_in_vain()),
    kept_units_are_not_revoked => runtime::on_one_thread(kept()),
    a_holder_that_offers_its_units_again_is_the_newest => runtime::on_one_thread(offered()),
    a_request_given_up_takes_nothing => runtime::on_one_thread(given_up()),
    nothing_is_lost_over_many_holders => runtime::on_one_thread(many_holders()),
}

/// Returns a holder with units.
async fn holder(budget: &budget::Budget, units: usize) -> Result<budget::Hold, budget::Refusal> {
    let mut hold = budget.hold();
    hold.grow(units).await.map(|()| hold)
}

/// Returns whether a holder has been revoked.
fn is_revoked(hold: &mut budget::Hold) -> bool {
    hold.grow(0).now_or_never() == Some(Err(budget::Refusal::Revoked))
}

/// Units are granted while there are some, and are back once the holder is dropped.
async fn free_units() {
    let budget = budget::Budget::new(10);
    let first = holder(&budget, 6).await.expect("free");
    assert_eq!(budget.held(), 6);
    assert_eq!(holder(&budget, 11).await.err(), Some(budget::Refusal::Spent));
    drop(first);
    assert_eq!(budget.held(), 0);
}

/// The oldest holder gives way, the second oldest stays.
async fn oldest_revoked() {
    let budget = budget::Budget::new(10);
    let mut oldest = holder(&budget, 5).await.expect("free");
    let mut second = holder(&budget, 5).await.expect("free");
    let mut newest = budget.hold();
    assert_eq!(newest.grow(3).now_or_never(), None);
    assert!(is_revoked(&mut oldest));
    assert!(!is_revoked(&mut second));
}

/// The units of a revoked holder are granted once it is dropped, not before.
async fn waits_for_return() {
    let budget = budget::Budget::new(10);
    let oldest = holder(&budget, 10).await.expect("free");
    let mut newest = budget.hold();
    let mut grown = Box::pin(newest.grow(4));
    assert_eq!(grown.as_mut().now_or_never(), None);
    assert_eq!(budget.held(), 10);
    drop(oldest);
    assert_eq!(grown.now_or_never(), Some(Ok(())));
    assert_eq!(budget.held(), 4);
}

/// The oldest holder is refused instead of revoking those that came after it.
async fn old_refused() {
    let budget = budget::Budget::new(10);
    let mut old = holder(&budget, 2).await.expect("free");
    let mut newer = holder(&budget, 8).await.expect("free");
    assert_eq!(old.grow(1).await, Err(budget::Refusal::Spent));
    assert!(!is_revoked(&mut newer));
}

/// Where the older holders don't have enough, none of them is revoked.
async fn none_in_vain() {
    let budget = budget::Budget::new(10);
    let mut old = holder(&budget, 4).await.expect("free");
    let mut kept = holder(&budget, 6).await.expect("free");
    kept.keep().expect("not revoked");
    assert_eq!(holder(&budget, 5).await.err(), Some(budget::Refusal::Spent));
    assert!(!is_revoked(&mut old));
}

/// A holder that keeps its units isn't revoked.
async fn kept() {
    let budget = budget::Budget::new(10);
    let mut hold = holder(&budget, 10).await.expect("free");
    hold.keep().expect("not revoked");
    assert_eq!(holder(&budget, 1).await.err(), Some(budget::Refusal::Spent));
    hold.offer();
    let mut newest = budget.hold();
    assert_eq!(newest.grow(1).now_or_never(), None);
    assert_eq!(hold.keep(), Err(budget::Refusal::Revoked));
}

/// A connection that has just been used is the last to be closed.
async fn offered() {
    let budget = budget::Budget::new(2);
    let mut used = holder(&budget, 1).await.expect("free");
    let mut idle = holder(&budget, 1).await.expect("free");
    used.keep().expect("not revoked");
    used.offer();
    let mut newest = budget.hold();
    assert_eq!(newest.grow(1).now_or_never(), None);
    assert!(is_revoked(&mut idle));
    assert!(!is_revoked(&mut used));
}

/// A request that is dropped while it waits, or after it was granted, takes no units.
async fn given_up() {
    let budget = budget::Budget::new(10);
    for granted in [false, true] {
        let oldest = holder(&budget, 10).await.expect("free");
        let mut newest = budget.hold();
        let mut grown = Box::pin(newest.grow(4));
        assert_eq!(grown.as_mut().now_or_never(), None);
        if granted {
            drop(oldest);
            drop(grown);
        } else {
            drop(grown);
            drop(oldest);
        }
        assert_eq!(budget.held(), 0);
        drop(newest);
        assert_eq!(holder(&budget, 10).await.map(|_| ()), Ok(()));
    }
}

/// Many holders come, grow, keep, wait and go in an order of chance; the budget is whole afterwards.
async fn many_holders() {
    /// Size of the budget.
    const TOTAL: usize = 1_000;
    for seed in 0..50 {
        let budget = budget::Budget::new(TOTAL);
        let mut holders = tokio::task::JoinSet::new();
        for number in 0..200 {
            let budget = budget.clone();
            let mut random = rand::rngs::StdRng::seed_from_u64(seed * 1_000 + number);
            holders.spawn(async move {
                let mut hold = budget.hold();
                for _ in 0..random.random_range(1..6) {
                    let limit = time::Duration::from_micros(random.random_range(0..300));
                    let units = random.random_range(0..300);
                    match tokio::time::timeout(limit, hold.grow(units)).await {
                        Ok(Err(_)) => return,
                        Ok(Ok(())) if random.random_bool(0.3) => {
                            if hold.keep().is_err() {
                                return;
                            }
                        }
                        _ => hold.offer(),
                    }
                    assert!(budget.held() <= TOTAL);
                    tokio::task::yield_now().await;
                }
            });
        }
        while let Some(ended) = holders.join_next().await {
            ended.expect("a holder panicked");
        }
        assert_eq!(budget.held(), 0, "seed {seed}");
        assert_eq!(holder(&budget, TOTAL).await.map(|_| ()), Ok(()), "seed {seed}");
    }
}
