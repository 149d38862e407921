//! Retry budgets by service.

use std::collections::HashMap;
use std::fmt;
use std::time::Duration;

use prometheus_client::encoding::EncodeLabelValue;
use stallhoist_core::MonoTime;
use stallhoist_core::ServiceName;
use stallhoist_policy::retry::RetryBudget;

/// Minimum time between two log lines on the budget of a service.
const LOG_INTERVAL: Duration = Duration::from_secs(1);

/// Retries that the first request at a new host may make, so that it has the usual three attempts.
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

/// Number of retries of each use.
#[derive(Debug, Clone, Default)]
struct UseCounts {
    repeats: u64,
    step_ups: u64,
    resumes: u64,
    misdirected: u64,
}

impl UseCounts {
    fn add(&mut self, retry_use: RetryUse) {
        let count = match retry_use {
            RetryUse::Repeat => &mut self.repeats,
            RetryUse::StepUp => &mut self.step_ups,
            RetryUse::Resume => &mut self.resumes,
            RetryUse::Misdirected => &mut self.misdirected,
        };
        *count += 1;
    }
}

impl fmt::Display for UseCounts {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Self { repeats, step_ups, resumes, misdirected } = self;
        write!(
            f,
            "repeats {repeats}, step-ups {step_ups}, resumes {resumes}, misdirected {misdirected}"
        )
    }
}

/// The budget of a service and its use since the start of the process.
#[derive(Debug)]
struct ServiceBudget {
    budget: RetryBudget,
    requests: u64,
    granted: UseCounts,
    refused: UseCounts,
    next_log: MonoTime,
}

impl fmt::Display for ServiceBudget {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Self { budget, requests, granted, refused, .. } = self;
        write!(f, "{budget} left, {requests} requests, granted: {granted}, refused: {refused}")
    }
}

/// Retry budgets by service.
#[derive(Debug)]
pub(crate) struct RetryBudgets {
    template: RetryBudget,
    by_service: HashMap<ServiceName, ServiceBudget>,
}

impl RetryBudgets {
    /// Creates budgets that start as copies of `template`.
    pub(crate) fn new(template: RetryBudget) -> Self {
        Self { template, by_service: HashMap::new() }
    }

    /// Records a request for a service.
    pub(crate) fn record_request(&mut self, service: &ServiceName) {
        let service = self.service(service);
        service.requests += 1;
        service.budget.request();
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
        let counts = if is_granted { &mut budget.granted } else { &mut budget.refused };
        counts.add(retry_use);
        if now >= budget.next_log {
            budget.next_log = now.after(LOG_INTERVAL);
            log::info!(service:%, budget:%; "retry budget used");
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
        let lines = self.by_service.iter().map(|(service, budget)| format!("{service}: {budget}"));
        let mut lines: Vec<_> = lines.collect();
        lines.sort_unstable();
        lines
    }

    fn service(&mut self, service: &ServiceName) -> &mut ServiceBudget {
        self.by_service.entry(service.clone()).or_insert_with(|| ServiceBudget {
            budget: self.template.clone(),
            requests: 0,
            granted: UseCounts::default(),
            refused: UseCounts::default(),
            next_log: MonoTime::default(),
        })
    }
}
