//! Retry budgets by service.

use std::collections::HashMap;
use std::time::Duration;

use prometheus_client::encoding::EncodeLabelValue;
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use stallhoist_core::MonoTime;
use stallhoist_core::ServiceName;
use stallhoist_policy::retry::RetryBudget;

use crate::metrics::RetryLabels;

/// Minimum time between two log lines on the budget of a service.
const LOG_INTERVAL: Duration = Duration::from_secs(1);

/// Retries of the first request at a new host: three attempts. No more are given, as a process that ends before it is
/// listed counts as the first one again.
const FIRST_REQUEST_RETRIES: u32 = 2;

/// What a retry is made for.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, EncodeLabelValue)]
pub(crate) enum RetryUse {
    /// An attempt failed, or was rejected.
    Repeat,
    /// The response of a smaller model is poor.
    StepUp,
    /// A stream broke off after a part of it was sent to the caller.
    Resume,
    /// Another process at the upstream's address rejected the request.
    Misdirected,
}

impl RetryUse {
    const ALL: [Self; 4] = [Self::Repeat, Self::StepUp, Self::Resume, Self::Misdirected];
}

/// The budget of a service.
#[derive(Debug)]
struct ServiceBudget {
    budget: RetryBudget,
    /// Requests since the start of the process.
    requests: u64,
    next_log: MonoTime,
}

/// Retry budgets by service.
#[derive(Debug)]
pub(crate) struct RetryBudgets {
    template: RetryBudget,
    by_service: HashMap<ServiceName, ServiceBudget>,
    /// Retries since the start of the process.
    counts: Family<RetryLabels, Counter>,
}

impl RetryBudgets {
    /// Creates budgets that start as copies of `template`, and count retries in `counts`.
    pub(crate) fn new(template: RetryBudget, counts: Family<RetryLabels, Counter>) -> Self {
        Self { template, by_service: HashMap::new(), counts }
    }

    /// Records a request for a service.
    pub(crate) fn record_request(&mut self, service: &ServiceName) {
        let service = self.service(service);
        service.requests += 1;
        service.budget.request();
    }

    /// Whether a retry may be made, without deducting it.
    pub(crate) fn has_retry(&self, service: &ServiceName) -> bool {
        self.by_service.get(service).map_or(&self.template, |known| &known.budget).has_retry()
    }

    /// Whether a retry may be made; if so, it is deducted.
    pub(crate) fn try_acquire(
        &mut self,
        now: MonoTime,
        service: &ServiceName,
        retry_use: RetryUse,
    ) -> bool {
        let budget = self.service(service);
        let is_granted = budget.budget.take();
        let is_log_due = now >= budget.next_log;
        if is_log_due {
            budget.next_log = now.after(LOG_INTERVAL);
        }
        self.count(service, retry_use, is_granted).inc();
        if is_log_due {
            let budget = self.describe(service, &self.by_service[service]);
            log::info!(service:%, budget; "retry budget used");
        }
        is_granted
    }

    /// Lets the first request use all of its attempts, as no earlier process at this host has made retries.
    pub(crate) fn set_new_host(&mut self) {
        let services = self.by_service.values_mut().map(|service| &mut service.budget);
        let budgets = services.chain([&mut self.template]);
        budgets.for_each(|budget| budget.reserve(FIRST_REQUEST_RETRIES));
    }

    /// Limits the retries made at once for each service to `burst`.
    pub(crate) fn set_burst(&mut self, burst: f64) {
        self.template.set_burst(burst);
        self.by_service.values_mut().for_each(|service| service.budget.set_burst(burst));
    }

    /// The budgets and their use, for the state dump.
    pub(crate) fn summary(&self) -> Vec<String> {
        let line = |(service, budget)| format!("{service}: {}", self.describe(service, budget));
        let mut lines: Vec<_> = self.by_service.iter().map(line).collect();
        lines.sort_unstable();
        lines
    }

    fn service(&mut self, service: &ServiceName) -> &mut ServiceBudget {
        self.by_service.entry(service.clone()).or_insert_with(|| ServiceBudget {
            budget: self.template.clone(),
            requests: 0,
            next_log: MonoTime::default(),
        })
    }

    fn describe(&self, service: &ServiceName, budget: &ServiceBudget) -> String {
        let ServiceBudget { budget, requests, .. } = budget;
        let counts = |granted: bool| {
            let count = |used_for: &RetryUse| {
                format!("{used_for:?} {}", self.count(service, *used_for, granted).get())
            };
            RetryUse::ALL.iter().map(count).collect::<Vec<_>>().join(", ")
        };
        let (granted, refused) = (counts(true), counts(false));
        format!("{budget} left, {requests} requests, granted: {granted}; refused: {refused}")
    }

    fn count(&self, service: &ServiceName, used_for: RetryUse, granted: bool) -> Counter {
        let labels = RetryLabels { service: service.to_string(), used_for, granted };
        self.counts.get_or_create(&labels).clone()
    }
}
