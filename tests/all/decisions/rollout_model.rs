//! A rollout of a service on one gateway, in virtual time. Also played by the benchmark of rollouts.

use std::time::Duration;

use rand::RngExt;
use rand::SeedableRng;
use rand::rngs::StdRng;
use stallhoist_core::MonoTime;
use stallhoist_core::ServiceName;
use stallhoist_core::StoreVersion;
use stallhoist_core::VersionName;
use stallhoist_gateway::control_store::RolloutOrder;
use stallhoist_gateway::control_store::StoredRollout;
use stallhoist_gateway::rollouts::Rollouts;
use stallhoist_policy::rollout::LatencyKind;
use stallhoist_policy::rollout::Observation;
use stallhoist_policy::rollout::RequestKind;
use stallhoist_policy::rollout::RolloutConfig;
use stallhoist_policy::rollout::RolloutPhase;

/// Time with traffic before the order, and between two looks for due steps.
const BEFORE_MS: u64 = 10_000;
const CHECK_INTERVAL_MS: u64 = 100;

/// A bad version may get this share of the requests, and this many more.
const MAX_EXPOSURE: f64 = 0.15;
const EXPOSURE_SLACK: f64 = 30.0;

/// How the new version differs from the old one.
#[derive(Debug, Clone, Copy)]
pub(super) struct NewVersion {
    /// Fraction of the good responses that fail instead.
    pub(super) failures: f64,
    /// Factor on the time of a response.
    pub(super) slowdown: f64,
    /// From when on after the order it is so.
    pub(super) since_ms: u64,
    /// Whether only the second route is concerned.
    pub(super) is_on_one_route: bool,
}

impl NewVersion {
    pub(super) const GOOD: Self =
        Self { failures: 0.0, slowdown: 1.0, since_ms: 0, is_on_one_route: false };
}

/// A service with two routes, and the order to move it to a new version.
#[derive(Debug, Clone, Copy)]
pub(super) struct Service {
    pub(super) requests_per_s: f64,
    /// The first route's share of the requests.
    pub(super) first_route_share: f64,
    /// The old version's failure rates on both routes.
    pub(super) failure_rates: [f64; 2],
    pub(super) ordered_ms: u64,
}

/// The end of a rollout.
#[derive(Debug)]
pub(super) struct End {
    phase: RolloutPhase,
    /// Requests in the ordered time, and those of them that the new version got.
    pub(super) requests: u32,
    pub(super) exposed: u32,
}

impl End {
    pub(super) fn is_completed(&self) -> bool {
        self.phase == RolloutPhase::Completed
    }

    /// The requests that the new version got beyond what a bad one may get.
    pub(super) fn excess(&self) -> f64 {
        f64::from(self.exposed) - MAX_EXPOSURE * f64::from(self.requests) - EXPOSURE_SLACK
    }
}

struct World {
    service: Service,
    new: NewVersion,
    rng: StdRng,
    name: ServiceName,
    versions: [VersionName; 2],
    rollouts: Rollouts,
    row_version: u64,
    end: End,
}

impl World {
    fn new(service: Service, new: NewVersion, seed: u64) -> Self {
        let config = RolloutConfig::within(MAX_EXPOSURE).with_slack(EXPOSURE_SLACK);
        let mut rollouts = Rollouts::new(config);
        rollouts.set_store_clock(MonoTime::default(), 0);
        Self {
            service,
            new,
            rng: StdRng::seed_from_u64(seed),
            name: "s".parse().expect("a name"),
            versions: ["v1", "v2"].map(|version| version.parse().expect("a name")),
            rollouts,
            row_version: 0,
            end: End { phase: RolloutPhase::Canary, requests: 0, exposed: 0 },
        }
    }

    fn next_row_version(&mut self) -> StoreVersion {
        self.row_version += 1;
        StoreVersion::of(self.row_version)
    }

    fn order(&mut self) {
        let order = RolloutOrder {
            service: self.name.clone(),
            target: self.versions[1].clone(),
            duration: Duration::from_millis(self.service.ordered_ms),
            row_version: self.next_row_version(),
        };
        self.rollouts.apply_order(order);
    }

    /// Stores the steps that are due.
    fn take_steps(&mut self, now: MonoTime) {
        for change in self.rollouts.due(now) {
            self.end.phase = change.record.phase;
            let row_version = self.next_row_version();
            let (service, record) = (change.service, change.record);
            self.rollouts.stored(StoredRollout { service, record, row_version });
        }
    }

    /// One request; `since_order_ms` is none before the order.
    fn request(&mut self, now: MonoTime, since_order_ms: Option<u64>) {
        let unit = self.rng.random_range(0.0..1.0);
        let rule = self.rollouts.rule(now, &self.name, unit, None);
        let is_new = since_order_ms.is_some() && rule.wanted.allows(&self.versions[1]);
        self.end.requests += u32::from(since_order_ms.is_some());
        self.end.exposed += u32::from(is_new);
        let route = usize::from(!self.rng.random_bool(self.service.first_route_share));
        let is_different = is_new
            && since_order_ms >= Some(self.new.since_ms)
            && (route == 1 || !self.new.is_on_one_route);
        let NewVersion { failures, slowdown, .. } =
            if is_different { self.new } else { NewVersion::GOOD };
        let good_rate = (1.0 - self.service.failure_rates[route]) * (1.0 - failures);
        let observation = if self.rng.random_bool(good_rate) {
            let time_ms = self.rng.random_range(20.0..45.0) * slowdown;
            Observation::Answered(Duration::from_secs_f64(time_ms / 1e3))
        } else {
            Observation::Failed
        };
        let kind = RequestKind {
            route: Some(["r-0", "r-1"][route].parse().expect("a name")),
            model: None,
            part: LatencyKind::First,
        };
        let version = &self.versions[usize::from(is_new)];
        self.rollouts.observe(&self.name, version, &kind, 0, observation);
    }
}

/// Plays a rollout until the ordered time is over.
pub(super) fn play(service: Service, new: NewVersion, seed: u64) -> End {
    let mut world = World::new(service, new, seed);
    for ms in 0..BEFORE_MS + service.ordered_ms {
        let now = MonoTime::default().after(Duration::from_millis(ms));
        if ms == BEFORE_MS {
            world.order();
        }
        if ms % CHECK_INTERVAL_MS == 0 {
            world.take_steps(now);
        }
        if world.rng.random_bool(service.requests_per_s / 1e3) {
            world.request(now, ms.checked_sub(BEFORE_MS));
        }
    }
    world.end
}
