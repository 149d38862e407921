//! The upstreams: who they are, what they have to do, and which one takes a request.

mod choice;
mod cold;
mod counts;
mod emptied_zones;
mod news;
mod notices;
mod placement;
mod summary;
mod work;

use std::collections::BTreeMap;
use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use parking_lot::Mutex;
use stallhoist_core::HostId;
use stallhoist_core::ModelName;
use stallhoist_core::MonoTime;
use stallhoist_core::Prompt;
use stallhoist_core::ServiceName;
use stallhoist_core::UpstreamIncarnation;
use stallhoist_core::ZoneName;
use stallhoist_policy::asked_rests::AskedRests;
use stallhoist_policy::balance::BalanceConfig;
use stallhoist_policy::balance::CandidateFacts;
use stallhoist_policy::balance::Evidence;
use stallhoist_policy::balance::FirstChunk;
use stallhoist_policy::balance::Fitness;
use stallhoist_policy::balance::HealthConfig;
use stallhoist_policy::balance::PeerWork;
use stallhoist_policy::balance::PrefillSpeeds;
use stallhoist_policy::balance::PrefixCaches;
use stallhoist_policy::balance::UpstreamHealth;
use stallhoist_policy::balance::UpstreamKey;
use stallhoist_policy::balance::UpstreamLoad;
use stallhoist_policy::balance::other_ms;
use stallhoist_policy::cold::ColdBound;
use stallhoist_policy::cold::ColdService;
use stallhoist_policy::cold::ColdUpstreams;
use stallhoist_policy::fleet_bound::Fleet;
use stallhoist_policy::fleet_bound::SlotAvailability;
use stallhoist_policy::named_limits::NamedLimits;
use stallhoist_settings::DecisionSettings;
use stallhoist_settings::GatewaySettings;
use tokio::sync::Notify;
use tokio::sync::futures::Notified;

pub(crate) use counts::UpstreamCounts;
pub(crate) use placement::Chosen;
pub(crate) use placement::Lack;
pub(crate) use placement::Placement;
pub(crate) use work::WorkGuard;

use crate::control_store::Change;
use crate::members::Directory;
use crate::members::Member;
use crate::members::Superseded;
use crate::routing::RegionsOfZones;
use crate::upstreams::choice::Choice;
use crate::upstreams::emptied_zones::EmptiedZones;

/// The most entries that send requests to one cold upstream: as many as there may be, as each
/// then uses its part with the requests that it has anyway.
const MAX_OWNERS: u32 = u32::MAX;

#[derive(Debug)]
struct Known {
    directory: Directory,
    load: UpstreamLoad,
    peer_work: PeerWork,
    health: UpstreamHealth,
    prefix_caches: PrefixCaches,
    speeds: PrefillSpeeds,
    emptied_zones: EmptiedZones,
    /// The entries among which what upstreams take is divided.
    fleet: Fleet,
    cold: ColdUpstreams,
    limits: NamedLimits,
    rests: AskedRests,
    /// What upstreams of each service bear while they are cold.
    cold_services: HashMap<ServiceName, ColdService>,
    /// How many of each service were cold when it was looked at last.
    cold_counts: BTreeMap<ServiceName, usize>,
}

/// What an upstream has to do, by this entry's books, the others' and its own word.
#[derive(Debug, Clone, Copy)]
struct KnownWork {
    in_progress: u32,
    remaining_prefill_ms: f64,
}

impl Known {
    /// Nothing is known yet.
    fn new(own: &HostId, bound: Option<ColdBound>) -> Self {
        Self {
            directory: Directory::default(),
            load: UpstreamLoad::default(),
            peer_work: PeerWork::default(),
            health: UpstreamHealth::new(HealthConfig::default()),
            prefix_caches: PrefixCaches::default(),
            speeds: PrefillSpeeds::default(),
            emptied_zones: EmptiedZones::default(),
            fleet: Fleet::new(own),
            cold: ColdUpstreams::new(bound),
            limits: NamedLimits::default(),
            rests: AskedRests::default(),
            cold_services: HashMap::new(),
            cold_counts: BTreeMap::new(),
        }
    }

    /// These starts have ended: later ones are listed in their places. Gives those that had not said
    /// that they leave.
    fn are_over(&mut self, now: MonoTime, superseded: Vec<Superseded>) -> Vec<UpstreamIncarnation> {
        for Superseded { start, is_planned } in &superseded {
            log::info!(start:% = start, is_planned; "a later start is listed in place of this one");
            self.health.observe(now, start, Evidence::AddressTaken);
        }
        let unplanned = superseded.into_iter().filter(|superseded| !superseded.is_planned);
        unplanned.map(|superseded| superseded.start).collect()
    }

    /// Whether a request may be sent to an upstream now: it may be cold, have named a limit or have asked
    /// for rest.
    fn place(&self, now: MonoTime, member: &Member) -> SlotAvailability {
        let limited = self.limits.place(now, &member.start, &self.fleet);
        let rested = self.rests.place(now, &member.start);
        self.cold_place(now, member).and(limited).and(rested)
    }

    fn work_on(&self, now: MonoTime, start: &UpstreamIncarnation) -> KnownWork {
        let others = self.peer_work.on(UpstreamKey::of(start));
        KnownWork {
            in_progress: self.load.in_progress(now, start, others.requests),
            remaining_prefill_ms: self.load.remaining_prefill_ms(start)
                + f64::from(others.prefill_ms),
        }
    }
}

/// The upstreams: who they are, what they have to do, and which one takes a request.
#[derive(Debug)]
pub(crate) struct Upstreams {
    own_zone: ZoneName,
    regions: RegionsOfZones,
    config: BalanceConfig,
    decisions: DecisionSettings,
    known: Mutex<Known>,
    changed: Notify,
    found_over: Notify,
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
            own_zone: settings.host.zone.clone(),
            regions: settings.regions.clone(),
            config,
            decisions,
            known: Mutex::new(Known::new(&settings.host.id, bound)),
            changed: Notify::new(),
            found_over: Notify::new(),
        }
    }

    /// The whole list was read. Gives the starts that have ended by that without saying that they leave.
    pub(crate) fn replace(&self, now: MonoTime, members: Vec<Member>) -> Vec<UpstreamIncarnation> {
        let mut known = self.known.lock();
        for member in &members {
            known.cold.read(now, &member.start, member.cold);
        }
        let superseded = known.directory.replace(now, members);
        let ended = known.are_over(now, superseded);
        drop(known);
        self.changed.notify_waiters();
        ended
    }

    /// One entry of the list has changed. Other changes do not concern upstreams. Gives the starts that
    /// have ended by that without saying that they leave.
    pub(crate) fn apply(&self, now: MonoTime, change: Change) -> Vec<UpstreamIncarnation> {
        let mut ended = Vec::new();
        let mut known = self.known.lock();
        match change {
            Change::MemberListed(member) => {
                known.cold.record_report(now, &member.start, member.cold);
                let superseded = known.directory.listed(now, member);
                ended = known.are_over(now, superseded);
            }
            Change::MemberGone(instance) => known.directory.gone(now, &instance),
            Change::MemberUnreadable(row) => known.directory.unreadable(now, &row.instance),
            _ => return ended,
        }
        drop(known);
        self.changed.notify_waiters();
        ended
    }

    /// Forgets upstreams that have left, and what is over.
    pub(crate) fn expire(&self, now: MonoTime) {
        let mut known = self.known.lock();
        let Known { directory, load, health, prefix_caches, cold, limits, rests, .. } = &mut *known;
        limits.expire(now);
        rests.expire(now);
        if directory.expire(now) {
            load.retain(|start| directory.is_known(start));
            health.retain(|start| directory.is_known(start));
            prefix_caches.retain(|start| directory.is_known(start));
            cold.retain(|start| directory.is_known(start));
        }
    }

    /// Waits until the list changes after this call: to be called before the list is read.
    pub(crate) fn changed(&self) -> Notified<'_> {
        self.changed.notified()
    }

    /// The upstream that a request is best sent to; none when there is none to use.
    pub(crate) fn choose(&self, now: MonoTime, placement: &Placement<'_>) -> Option<Chosen> {
        self.choice(&self.known.lock(), now, placement).best()
    }

    /// The same, to send the request there.
    pub(crate) fn take(&self, now: MonoTime, placement: &Placement<'_>) -> Option<Chosen> {
        let mut known = self.known.lock();
        let chosen = self.choice(&known, now, placement).best()?;
        known.cold.sent(now, &chosen.start);
        known.limits.sent(now, &chosen.start);
        Some(chosen)
    }

    /// Why there is no upstream for a request.
    pub(crate) fn lack(&self, now: MonoTime, placement: &Placement<'_>) -> Lack {
        self.choice(&self.known.lock(), now, placement).lack()
    }

    fn choice<'a>(
        &'a self,
        known: &'a Known,
        now: MonoTime,
        placement: &'a Placement<'a>,
    ) -> Choice<'a> {
        let has_fleet_homes = self.decisions.has_fleet_homes;
        let (own_zone, config) = (&self.own_zone, &self.config);
        let regions = &self.regions;
        Choice { known, own_zone, regions, config, has_fleet_homes, now, placement }
    }

    /// Work is sent to an upstream. It counts until the guard is dropped.
    pub(crate) fn start(self: &Arc<Self>, chosen: &Chosen) -> WorkGuard {
        self.known.lock().load.request_started(&chosen.start, chosen.work);
        let start = chosen.start.clone();
        WorkGuard { upstreams: Arc::clone(self), start, unread: chosen.work }
    }

    /// Something has shown how a start of an upstream is. Says whether it is known to be over since.
    pub(crate) fn observe(
        &self,
        now: MonoTime,
        start: &UpstreamIncarnation,
        evidence: Evidence,
    ) -> bool {
        let mut known = self.known.lock();
        let before = known.health.fitness(now, start);
        known.health.observe(now, start, evidence);
        let after = known.health.fitness(now, start);
        drop(known);
        let is_found_over = before < Fitness::Over && after == Fitness::Over;
        if is_found_over {
            log::info!(start:% = start, evidence:? = evidence; "this start of an upstream is over");
            self.found_over.notify_one();
        }
        is_found_over
    }

    /// Whether a start has said that it leaves.
    pub(crate) fn has_announced(&self, start: &UpstreamIncarnation) -> bool {
        self.known.lock().directory.has_announced(start)
    }

    /// Whether a start is known to be over.
    pub(crate) fn is_over(&self, now: MonoTime, start: &UpstreamIncarnation) -> bool {
        self.known.lock().health.fitness(now, start) == Fitness::Over
    }

    /// Waits until a start is found to be over.
    pub(crate) fn found_over(&self) -> Notified<'_> {
        self.found_over.notified()
    }

    /// Requests in progress at an upstream, as far as it is known.
    pub(crate) fn in_progress(&self, now: MonoTime, start: &UpstreamIncarnation) -> u32 {
        self.known.lock().work_on(now, start).in_progress
    }

    /// How long the first part of an answer that was asked for is expected to take, by what the
    /// chosen upstream has to do now besides.
    pub(crate) fn expected_wait(&self, now: MonoTime, chosen: &Chosen) -> Duration {
        let work = self.known.lock().work_on(now, &chosen.start);
        let facts = CandidateFacts {
            in_progress: work.in_progress.saturating_sub(1),
            slots: u32::MAX,
            remaining_prefill_ms: (work.remaining_prefill_ms - chosen.work.remaining_prefill_ms)
                .max(0.0),
            ..CandidateFacts::default()
        };
        chosen.wait_after(other_ms(&self.config, &facts))
    }

    /// An upstream has read a prompt with a model.
    pub(crate) fn prefill_finished(
        &self,
        now: MonoTime,
        start: &UpstreamIncarnation,
        model: &ModelName,
        prompt: &Prompt,
    ) {
        self.known.lock().prefix_caches.record_prefill(now, start, model, prompt.shared_parts());
    }

    /// The first part of an answer came from the chosen upstream.
    pub(crate) fn first_part(
        &self,
        service: &ServiceName,
        model: &ModelName,
        relative_prefill_time: f64,
        chosen: &Chosen,
        took: Duration,
    ) {
        if !self.decisions.learns_speeds {
            return;
        }
        let first_part = FirstChunk {
            unread_tokens: chosen.unread_tokens,
            other_ms: chosen.other_ms,
            took_ms: took.as_secs_f64() * 1e3,
        };
        self.known.lock().speeds.observe(service, model, relative_prefill_time, first_part);
    }
}
