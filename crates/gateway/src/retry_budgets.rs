//! The budget of further attempts of each service.

use std::collections::HashMap;

use stallhoist_core::ServiceName;
use stallhoist_policy::retry::RetryBudget;

/// The budget of further attempts of each service.
#[derive(Debug)]
pub(crate) struct RetryBudgets {
    fresh: RetryBudget,
    by_service: HashMap<ServiceName, RetryBudget>,
}

impl RetryBudgets {
    /// Budgets that begin as `fresh`.
    pub(crate) fn new(fresh: RetryBudget) -> Self {
        Self { fresh, by_service: HashMap::new() }
    }

    /// A request for a service came.
    pub(crate) fn request(&mut self, service: &ServiceName) {
        self.budget(service).request();
    }

    /// Whether a further attempt may be made; if so, it is paid for.
    pub(crate) fn take(&mut self, service: &ServiceName) -> bool {
        self.budget(service).take()
    }

    /// From now on at most `burst` further attempts are made at once for each service.
    pub(crate) fn set_burst(&mut self, burst: u32) {
        self.fresh.set_burst(burst);
        self.by_service.values_mut().for_each(|budget| budget.set_burst(burst));
    }

    fn budget(&mut self, service: &ServiceName) -> &mut RetryBudget {
        self.by_service.entry(service.clone()).or_insert_with(|| self.fresh.clone())
    }
}
