//! The upstreams of one gateway: their state, their load, and the choice of one for each request.
//!
//! All state sits behind one lock, in [`UpstreamsState`]. It changes by the list of upstreams (`mod`), by
//! responses (`reports`), by updates from peers (`peer_updates`) and by operators (`emptied_zones`);
//! `choice` reads it to pick an upstream, and `acquisition` counts the request there.

mod acquisition;
mod choice;
mod cold;
mod connections;
mod counts;
mod emptied_zones;
mod peer_updates;
mod placement;
mod reports;
mod room;
mod speeds;
mod summary;
mod work;

use std::collections::BTreeMap;
use std::collections::HashMap;
use std::time::Duration;

use parking_lot::Mutex;
use stallhoist_core::HostId;
use stallhoist_core::ModelName;
use stallhoist_core::MonoTime;
use stallhoist_core::Prompt;
use stallhoist_core::ServiceName;
use stallhoist_core::UpstreamIncarnation;
use stallhoist_core::ZoneName;
use stallhoist_policy::balance::BalanceConfig;
use stallhoist_policy::balance::CandidateFacts;
use stallhoist_policy::balance::Evidence;
use stallhoist_policy::balance::Fitness;
use stallhoist_policy::balance::GenerationTimes;
use stallhoist_policy::balance::HealthConfig;
use stallhoist_policy::balance::PeerWork;
use stallhoist_policy::balance::PrefillSpeeds;
use stallhoist_policy::balance::PrefixCaches;
use stallhoist_policy::balance::ReportedPaces;
use stallhoist_policy::balance::ResponseLengths;
use stallhoist_policy::balance::UpstreamHealth;
use stallhoist_policy::balance::UpstreamKey;
use stallhoist_policy::balance::UpstreamLoad;
use stallhoist_policy::balance::UpstreamSpeeds;
use stallhoist_policy::balance::other_ms;
use stallhoist_policy::cold::ColdBound;
use stallhoist_policy::cold::ColdService;
use stallhoist_policy::cold::ColdUpstreams;
use stallhoist_policy::fleet_bound::Fleet;
use stallhoist_policy::fleet_bound::SendQuota;
use stallhoist_policy::named_limits::NamedLimits;
use stallhoist_policy::requested_backoffs::RequestedBackoffs;
use stallhoist_settings::DecisionSettings;
use stallhoist_settings::GatewaySettings;
use tokio::sync::Notify;
use tokio::sync::futures::Notified;

pub(crate) use acquisition::AcquireError;
pub(crate) use acquisition::RoomRequirement;
pub(crate) use counts::UpstreamCounts;
pub(crate) use placement::Chosen;
pub(crate) use placement::GenerationWork;
pub(crate) use placement::Placement;
pub(crate) use placement::UnavailableReason;
pub(crate) use speeds::ArrivedFirstChunk;
pub(crate) use work::WorkGuard;

use self::placement::duration_of_ms;
use crate::control_store::Change;
use crate::members::Directory;
use crate::members::Member;
use crate::members::Superseded;
use crate::routing::RegionsOfZones;
use crate::upstreams::choice::Choice;
use crate::upstreams::emptied_zones::EmptiedZones;

/// The most gateways that share the rate of one upstream that is warming up. Unlimited, as each gateway then
/// uses its share for requests that it has anyway.
const MAX_OWNERS: u32 = u32::MAX;

#[derive(Debug)]
struct UpstreamsState {
    directory: Directory,
    load: UpstreamLoad,
    peer_work: PeerWork,
    health: UpstreamHealth,
    prefix_caches: PrefixCaches,
    speeds: PrefillSpeeds,
    generation_times: GenerationTimes,
    response_lengths: ResponseLengths,
    upstream_speeds: UpstreamSpeeds,
    paces: ReportedPaces,
    emptied_zones: EmptiedZones,
    /// The gateways that share the bounds on upstreams.
    fleet: Fleet,
    cold: ColdUpstreams,
    limits: NamedLimits,
    backoffs: RequestedBackoffs,
    /// Capacity of each service's upstreams while they warm up.
    cold_services: HashMap<ServiceName, ColdService>,
    /// Upstreams of each service that were warming up at the last check.
    cold_counts: BTreeMap<ServiceName, usize>,
}

/// The load of an upstream, from local counts, updates from peers and the upstream's own reports.
#[derive(Debug, Clone, Copy)]
struct KnownWork {
    in_progress: u32,
    remaining_prefill_ms: f64,
}

impl UpstreamsState {
    fn new(local: &HostId, bound: Option<ColdBound>) -> Self {
        Self {
            directory: Directory::default(),
            load: UpstreamLoad::default(),
            peer_work: PeerWork::default(),
            health: UpstreamHealth::new(HealthConfig::default()),
            prefix_caches: PrefixCaches::default(),
            speeds: PrefillSpeeds::default(),
            generation_times: GenerationTimes::default(),
            response_lengths: ResponseLengths::default(),
            upstream_speeds: UpstreamSpeeds::default(),
            paces: ReportedPaces::default(),
            emptied_zones: EmptiedZones::default(),
            fleet: Fleet::new(local),
            cold: ColdUpstreams::new(bound),
            limits: NamedLimits::default(),
            backoffs: RequestedBackoffs::default(),
            cold_services: HashMap::new(),
            cold_counts: BTreeMap::new(),
        }
    }

    /// Marks superseded incarnations as terminated. Returns those that had not announced their end, as their
    /// termination counts as unplanned.
    fn record_superseded(
        &mut self,
        now: MonoTime,
        superseded: Vec<Superseded>,
    ) -> Vec<UpstreamIncarnation> {
        for Superseded { start, is_planned } in &superseded {
            log::info!(start:% = start, is_planned; "a later start is listed in place of this one");
            self.health.observe(now, start, Evidence::AddressTaken);
        }
        let unplanned = superseded.into_iter().filter(|superseded| !superseded.is_planned);
        unplanned.map(|superseded| superseded.start).collect()
    }

    /// Whether a request may be sent to an upstream now, given its warm-up, its reported limit and any
    /// back-off it requested.
    fn place(&self, now: MonoTime, member: &Member) -> SendQuota {
        let limit = self.limits.place(now, &member.start, &self.fleet);
        let backoff = self.backoffs.place(now, &member.start.instance);
        self.cold_place(now, member).and(limit).and(backoff)
    }

    fn work_on(&self, now: MonoTime, incarnation: &UpstreamIncarnation) -> KnownWork {
        let others = self.peer_work.on(UpstreamKey::of(incarnation));
        KnownWork {
            in_progress: self.load.in_progress(now, incarnation, others.requests),
            remaining_prefill_ms: self.load.remaining_prefill_ms(incarnation)
                + f64::from(others.prefill_ms),
        }
    }
}

/// The upstreams of one gateway.
#[derive(Debug)]
pub(crate) struct Upstreams {
    local_zone: ZoneName,
    regions: RegionsOfZones,
    config: BalanceConfig,
    decisions: DecisionSettings,
    state: Mutex<UpstreamsState>,
    changed: Notify,
    termination_found: Notify,
}

impl Upstreams {
    pub(crate) fn new(settings: &GatewaySettings) -> Self {
        let decisions = settings.decisions.clone();
        let held_up_by_reading = decisions.held_up_by_reading;
        let config = BalanceConfig { held_up_by_reading, ..BalanceConfig::default() };
        let bound = settings.cold_upstreams.as_ref().map(|cold| ColdBound {
            overage: cold.overage,
            slack: cold.slack_per_s,
            max_owners: MAX_OWNERS,
        });
        Self {
            local_zone: settings.host.zone.clone(),
            regions: settings.regions.clone(),
            config,
            decisions,
            state: Mutex::new(UpstreamsState::new(&settings.host.id, bound)),
            changed: Notify::new(),
            termination_found: Notify::new(),
        }
    }

    /// Applies the complete list of upstreams. Returns the incarnations that are superseded by it without
    /// having announced their end.
    pub(crate) fn replace(&self, now: MonoTime, members: Vec<Member>) -> Vec<UpstreamIncarnation> {
        let mut state = self.state.lock();
        for member in &members {
            state.cold.record_row(now, &member.start, member.cold);
        }
        let superseded = state.directory.replace(now, members);
        let unplanned = state.record_superseded(now, superseded);
        drop(state);
        self.changed.notify_waiters();
        unplanned
    }

    /// Applies a change of one row of the list; ignores changes that do not concern upstreams. Returns the
    /// incarnations that are superseded by it without having announced their end.
    pub(crate) fn apply(&self, now: MonoTime, change: Change) -> Vec<UpstreamIncarnation> {
        let mut unplanned = Vec::new();
        let mut state = self.state.lock();
        match change {
            Change::MemberListed(member) => {
                state.cold.record_report(now, &member.start, member.cold);
                let superseded = state.directory.listed(now, member);
                unplanned = state.record_superseded(now, superseded);
            }
            Change::MemberGone(instance) => state.directory.gone(now, &instance),
            Change::MemberUnreadable(row) => state.directory.unreadable(now, &row.instance),
            _ => return unplanned,
        }
        drop(state);
        self.changed.notify_waiters();
        unplanned
    }

    /// Drops upstreams that have left, and limits and back-offs that have expired.
    pub(crate) fn expire(&self, now: MonoTime) {
        let mut state = self.state.lock();
        let UpstreamsState {
            directory,
            load,
            health,
            prefix_caches,
            upstream_speeds,
            paces,
            cold,
            limits,
            backoffs,
            ..
        } = &mut *state;
        limits.expire(now);
        backoffs.expire(now);
        if directory.expire(now) {
            load.retain(|incarnation| directory.is_known(incarnation));
            health.retain(|incarnation| directory.is_known(incarnation));
            prefix_caches.retain(|incarnation| directory.is_known(incarnation));
            upstream_speeds.retain(|incarnation| directory.is_known(incarnation));
            paces.retain(|incarnation| directory.is_known(incarnation));
            cold.retain(|incarnation| directory.is_known(incarnation));
        }
    }

    /// Waits for the next change of the list after this call. Call it before reading the list.
    pub(crate) fn changed(&self) -> Notified<'_> {
        self.changed.notified()
    }

    /// The best upstream for a request; none when none is usable.
    pub(crate) fn choose(&self, now: MonoTime, placement: &Placement<'_>) -> Option<Chosen> {
        self.choice(&self.state.lock(), now, placement).best()
    }

    /// The reason for which there is no upstream for a request.
    pub(crate) fn unavailable_reason(
        &self,
        now: MonoTime,
        placement: &Placement<'_>,
    ) -> UnavailableReason {
        self.choice(&self.state.lock(), now, placement).unavailable_reason()
    }

    fn choice<'a>(
        &'a self,
        state: &'a UpstreamsState,
        now: MonoTime,
        placement: &'a Placement<'a>,
    ) -> Choice<'a> {
        let (local_zone, config) = (&self.local_zone, &self.config);
        let (regions, decisions) = (&self.regions, &self.decisions);
        Choice { state, local_zone, regions, config, decisions, now, placement }
    }

    /// Mean outstanding prefill time of a service's upstreams.
    pub(crate) fn mean_prefill(&self, now: MonoTime, service: &ServiceName) -> Duration {
        let state = self.state.lock();
        let members = state.directory.of_service(now, service, false);
        let prefill_ms =
            members.map(|member| state.work_on(now, &member.start).remaining_prefill_ms);
        let (sum_ms, count) = prefill_ms.fold((0.0, 0.0), |(sum, n), ms| (sum + ms, n + 1.0));
        duration_of_ms(sum_ms / f64::max(count, 1.0))
    }

    /// Updates the health of an incarnation by a signal. Returns whether that shows its termination for
    /// the first time.
    pub(crate) fn observe(
        &self,
        now: MonoTime,
        incarnation: &UpstreamIncarnation,
        evidence: Evidence,
    ) -> bool {
        let mut state = self.state.lock();
        let before = state.health.fitness(now, incarnation);
        state.health.observe(now, incarnation, evidence);
        let after = state.health.fitness(now, incarnation);
        drop(state);
        let is_newly_terminated = before < Fitness::Over && after == Fitness::Over;
        if is_newly_terminated {
            log::info!(start:% = incarnation, evidence:? = evidence; "this start of an upstream is over");
            self.termination_found.notify_one();
        }
        is_newly_terminated
    }

    /// Whether an incarnation has announced its end.
    pub(crate) fn has_announced(&self, incarnation: &UpstreamIncarnation) -> bool {
        self.state.lock().directory.has_announced(incarnation)
    }

    /// Whether an incarnation is known to have terminated.
    pub(crate) fn is_terminated(&self, now: MonoTime, incarnation: &UpstreamIncarnation) -> bool {
        self.state.lock().health.fitness(now, incarnation) == Fitness::Over
    }

    /// Waits until the termination of an incarnation is detected.
    pub(crate) fn termination_found(&self) -> Notified<'_> {
        self.termination_found.notified()
    }

    /// Number of requests in progress at an upstream, as far as this gateway knows.
    pub(crate) fn in_progress(&self, now: MonoTime, incarnation: &UpstreamIncarnation) -> u32 {
        self.state.lock().work_on(now, incarnation).in_progress
    }

    /// The expected time to the first chunk of a response already requested, given the other work that the
    /// chosen upstream has now.
    pub(crate) fn expected_wait(&self, now: MonoTime, chosen: &Chosen) -> Duration {
        let work = self.state.lock().work_on(now, &chosen.start);
        let facts = CandidateFacts {
            in_progress: work.in_progress.saturating_sub(1),
            slots: u32::MAX,
            remaining_prefill_ms: (work.remaining_prefill_ms - chosen.work.remaining_prefill_ms)
                .max(0.0),
            slowdown: chosen.slowdown,
            ..CandidateFacts::default()
        };
        chosen.wait_after(other_ms(&self.config, &facts))
    }

    /// Notes that an upstream has finished the prefill of a prompt, which is in its prefix cache now.
    pub(crate) fn prefill_finished(
        &self,
        now: MonoTime,
        incarnation: &UpstreamIncarnation,
        model: &ModelName,
        prompt: &Prompt,
    ) {
        self.state.lock().prefix_caches.record_prefill(
            now,
            incarnation,
            model,
            prompt.shared_parts(),
        );
    }
}
