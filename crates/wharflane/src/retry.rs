//! A retry budget: retries may add only a fixed share to the load of first attempts.

/// The cost of one retry, in thousandths of a retry.
const MILLI_PER_RETRY: u64 = 1_000;

/// A token bucket: each first attempt deposits a fraction of a retry, each retry withdraws one.
#[derive(Clone, Debug)]
pub struct Budget {
    /// The deposit of a first attempt, in thousandths of a retry.
    share_milli: u64,
    /// The capacity of the bucket, in thousandths of a retry.
    cap_milli: u64,
    /// The current balance, in thousandths of a retry.
    balance_milli: u64,
}

impl Budget {
    /// Creates a full bucket that deposits `share_milli` per first attempt and holds at most
    /// `burst` retries.
    #[must_use]
    pub fn new(share_milli: u64, burst: u64) -> Self {
        let cap_milli = burst.saturating_mul(MILLI_PER_RETRY);
        Self { share_milli, cap_milli, balance_milli: cap_milli }
    }

    /// Deposits the share of a first attempt.
    pub fn record_first_attempt(&mut self) {
        self.balance_milli = (self.balance_milli + self.share_milli).min(self.cap_milli);
    }

    /// Withdraws one retry; returns whether the balance allowed it.
    pub fn try_withdraw(&mut self) -> bool {
        let allowed = self.balance_milli >= MILLI_PER_RETRY;
        if allowed {
            self.balance_milli -= MILLI_PER_RETRY;
        }
        allowed
    }

    /// Returns how many whole retries are available.
    #[must_use]
    pub fn left(&self) -> u64 {
        self.balance_milli / MILLI_PER_RETRY
    }
}
