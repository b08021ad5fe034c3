//! The retry budget: retries may add only a set share to the load.

/// How many thousandths of a retry one retry costs.
const WHOLE: u64 = 1_000;

/// A bucket that each first try fills a little and each retry empties by one.
#[derive(Clone, Debug)]
pub struct Budget {
    /// What a first try adds, in thousandths of a retry.
    share_milli: u64,
    /// The most that the bucket holds, in thousandths of a retry.
    cap_milli: u64,
    /// What it holds, in thousandths of a retry.
    held_milli: u64,
}

impl Budget {
    /// Makes a full bucket: retries as thousandths of first tries, and a burst in retries.
    #[must_use]
    pub fn new(share_milli: u64, burst: u64) -> Self {
        let cap_milli = burst.saturating_mul(WHOLE);
        Self { share_milli, cap_milli, held_milli: cap_milli }
    }

    /// Notes a first try.
    pub fn record_first_attempt(&mut self) {
        self.held_milli = (self.held_milli + self.share_milli).min(self.cap_milli);
    }

    /// Takes one retry out of the bucket if it holds one.
    pub fn try_withdraw(&mut self) -> bool {
        let has = self.held_milli >= WHOLE;
        if has {
            self.held_milli -= WHOLE;
        }
        has
    }

    /// Returns how many whole retries are left.
    #[must_use]
    pub fn left(&self) -> u64 {
        self.held_milli / WHOLE
    }
}
