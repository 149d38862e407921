//! A budget that keeps retries a small part of all traffic.

/// Each request pays a part of a retry into the budget; each retry takes a whole one
/// out. With every upstream failing, calls stay below `1 + percent / 100` of requests,
/// plus the burst.
#[derive(Debug, Clone)]
pub struct RetryBudget {
    /// In hundredths of a retry.
    balance: u64,
    percent: u64,
    max_balance: u64,
}

const WHOLE_RETRY: u64 = 100;

impl RetryBudget {
    /// A budget of `percent` retries for each hundred requests, and `burst` to begin with.
    pub fn new(percent: u32, burst: u32) -> Self {
        let max_balance = u64::from(burst) * WHOLE_RETRY;
        Self { balance: max_balance, percent: u64::from(percent), max_balance }
    }

    /// From now on at most `burst` retries are made at once.
    pub fn set_burst(&mut self, burst: u32) {
        self.max_balance = u64::from(burst) * WHOLE_RETRY;
        self.balance = self.balance.min(self.max_balance);
    }

    /// A request came.
    pub fn request(&mut self) {
        self.balance = (self.balance + self.percent).min(self.max_balance);
    }

    /// Whether a retry may be made; if so, it is paid for.
    pub fn take(&mut self) -> bool {
        if self.balance < WHOLE_RETRY {
            return false;
        }
        self.balance -= WHOLE_RETRY;
        true
    }
}
