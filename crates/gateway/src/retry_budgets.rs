//! Retry budgets by service.

use std::collections::HashMap;

use stallhoist_core::ServiceName;
use stallhoist_policy::retry::RetryBudget;

/// Retry budgets by service.
#[derive(Debug)]
pub(crate) struct RetryBudgets {
    template: RetryBudget,
    by_service: HashMap<ServiceName, RetryBudget>,
}

impl RetryBudgets {
    /// Creates budgets that start as copies of `template`.
    pub(crate) fn new(template: RetryBudget) -> Self {
        Self { template, by_service: HashMap::new() }
    }

    /// Records a request for a service.
    pub(crate) fn record_request(&mut self, service: &ServiceName) {
        self.budget(service).request();
    }

    /// Whether a retry may be made; if so, it is deducted.
    pub(crate) fn try_acquire(&mut self, service: &ServiceName) -> bool {
        self.budget(service).take()
    }

    /// Limits the retries made at once for each service to `burst`.
    pub(crate) fn set_burst(&mut self, burst: u32) {
        self.template.set_burst(burst);
        self.by_service.values_mut().for_each(|budget| budget.set_burst(burst));
    }

    fn budget(&mut self, service: &ServiceName) -> &mut RetryBudget {
        self.by_service.entry(service.clone()).or_insert_with(|| self.template.clone())
    }
}
