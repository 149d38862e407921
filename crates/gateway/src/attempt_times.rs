//! What attempts have shown lately: first chunks later than expected, signs of life of upstreams, and the engine time
//! of second attempts.

use std::collections::HashMap;
use std::time::Duration;

use parking_lot::Mutex;
use stallhoist_core::EngineTime;
use stallhoist_core::MonoTime;
use stallhoist_core::ServiceName;
use stallhoist_core::UpstreamIncarnation;
use stallhoist_policy::overload::EnginePrice;
use stallhoist_policy::retry::EngineTimeBudget;
use stallhoist_policy::retry::FirstChunkDelay;
use stallhoist_policy::retry::SecondAttempt;

/// Signs of life that are older than this say nothing, as hardly a request waits for longer. Old ones are looked for
/// once in this time, so that the cost of each sign does not grow with the number of upstreams.
const SIGN_TTL: Duration = Duration::from_secs(60);

#[derive(Debug)]
struct ServiceTimes {
    delay: FirstChunkDelay,
    budget: EngineTimeBudget,
}

#[derive(Debug, Default)]
struct Times {
    by_service: HashMap<ServiceName, ServiceTimes>,
    last_signs: HashMap<UpstreamIncarnation, MonoTime>,
    signs_expired_at: MonoTime,
}

impl Times {
    fn expire_signs(&mut self, now: MonoTime) {
        if now.since(self.signs_expired_at) >= SIGN_TTL {
            self.signs_expired_at = now;
            self.last_signs.retain(|_, at| now.since(*at) < SIGN_TTL);
        }
    }
}

/// What attempts have shown lately. Its lock is held by no task that holds another.
#[derive(Debug)]
pub(crate) struct AttemptTimes {
    budget_percent: u32,
    times: Mutex<Times>,
}

impl AttemptTimes {
    /// Creates a record whose second attempts may take `budget_percent` of the engine time of first ones.
    pub(crate) fn new(budget_percent: u32) -> Self {
        Self { budget_percent, times: Mutex::default() }
    }

    /// Records that an upstream has sent something.
    pub(crate) fn record_sign(&self, now: MonoTime, incarnation: &UpstreamIncarnation) {
        let mut times = self.times.lock();
        times.expire_signs(now);
        match times.last_signs.get_mut(incarnation) {
            Some(last) => *last = now,
            None => {
                times.last_signs.insert(incarnation.clone(), now);
            }
        }
    }

    /// Whether an upstream has sent anything since `sent`.
    pub(crate) fn is_alive_since(&self, sent: MonoTime, incarnation: &UpstreamIncarnation) -> bool {
        self.times.lock().last_signs.get(incarnation).is_some_and(|at| *at > sent)
    }

    /// Records the first chunk of a response.
    pub(crate) fn record_first_chunk(
        &self,
        now: MonoTime,
        service: &ServiceName,
        expected: Duration,
        took: Duration,
    ) {
        self.with(service, |times| times.delay.observe(now, expected, took));
    }

    /// Records an attempt that an upstream rejected.
    pub(crate) fn record_rejection(&self, now: MonoTime, service: &ServiceName) {
        self.with(service, |times| times.delay.rejected(now));
    }

    /// The expected time to a first chunk, corrected by how late those of the service are.
    pub(crate) fn corrected(
        &self,
        now: MonoTime,
        service: &ServiceName,
        expected: Duration,
    ) -> Duration {
        self.with(service, |times| times.delay.corrected(now, expected))
    }

    /// The price of engine time, for a first chunk that is expected after `expected` and due after `target`. Free if
    /// there is no target, or if first chunks are in time and upstreams accept most attempts.
    pub(crate) fn price(
        &self,
        now: MonoTime,
        service: &ServiceName,
        expected: Duration,
        target: Duration,
    ) -> EnginePrice {
        let (expected, are_most_rejected) = self.with(service, |times| {
            (times.delay.corrected(now, expected), times.delay.are_most_rejected(now))
        });
        let is_late = !target.is_zero() && expected > target;
        if !is_late && !are_most_rejected {
            return EnginePrice::FREE;
        }
        EnginePrice::new((expected.as_secs_f64() / target.as_secs_f64().max(1e-3)).max(1.0))
    }

    /// Records the engine time of an attempt; `kind` is none for the first one of a request.
    pub(crate) fn record_attempt(
        &self,
        now: MonoTime,
        service: &ServiceName,
        kind: Option<SecondAttempt>,
        time: EngineTime,
    ) {
        self.with(service, |times| match kind {
            None => times.budget.record_first(now, time),
            Some(kind) => times.budget.record_second(now, kind, time),
        });
    }

    /// Whether there is engine time for a second attempt.
    pub(crate) fn allows(
        &self,
        now: MonoTime,
        service: &ServiceName,
        price: EnginePrice,
        kind: SecondAttempt,
        time: EngineTime,
    ) -> bool {
        self.with(service, |times| times.budget.allows(now, price, kind, time))
    }

    fn with<T>(&self, service: &ServiceName, act: impl FnOnce(&mut ServiceTimes) -> T) -> T {
        let mut times = self.times.lock();
        if let Some(known) = times.by_service.get_mut(service) {
            return act(known);
        }
        let new = ServiceTimes {
            delay: FirstChunkDelay::default(),
            budget: EngineTimeBudget::new(self.budget_percent),
        };
        act(times.by_service.entry(service.clone()).or_insert(new))
    }
}
