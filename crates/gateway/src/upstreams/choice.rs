//! Choosing the upstream of a request: the one with the lowest expected cost in time.

use stallhoist_core::MonoTime;
use stallhoist_core::PromptPart;
use stallhoist_core::UpstreamIncarnation;
use stallhoist_core::ZoneName;
use stallhoist_policy::balance::BalanceConfig;
use stallhoist_policy::balance::CandidateFacts;
use stallhoist_policy::balance::ExpectedGeneration;
use stallhoist_policy::balance::Fitness;
use stallhoist_policy::balance::PrefillTime;
use stallhoist_policy::balance::PrefillWork;
use stallhoist_policy::balance::RequestFacts;
use stallhoist_policy::balance::cross_zone_cost_ms;
use stallhoist_policy::balance::expected_cost_ms;
use stallhoist_policy::balance::other_ms;
use stallhoist_policy::balance::uncached_prefill_ms;
use stallhoist_policy::fleet_bound::SendQuota;
use stallhoist_settings::DecisionSettings;
use xxhash_rust::xxh3::xxh3_64_with_seed;

use super::Chosen;
use super::GenerationWork;
use super::Placement;
use super::UnavailableReason;
use super::UpstreamsState;
use crate::members::Member;
use crate::rollouts::VersionFilter;
use crate::routing::RegionsOfZones;

/// The fraction of a shared prompt prefix that its affinity upstream is assumed to have cached. Less than
/// all, so that an upstream known to have the prefix is preferred.
const LIKELY_CACHED_PERCENT: u64 = 70;

/// With fewer upstreams of the old version none of them becomes the control: keeping it at low load would
/// cost more than a third of the capacity, during the very bursts in which that matters.
const MIN_OLD_WITH_CONTROL: usize = 3;

/// The control gets no request while it has this many in progress. The upstreams of the new version, with
/// which it is compared, have one or two.
const MAX_CONTROL_IN_PROGRESS: u32 = 2;

/// Divides an upstream's connections into the part that each gateway uses where they are not divided by what is in
/// use.
const UNDIVIDED_DIVISOR: u32 = 2;

/// An upstream with this many requests in progress for each slot may accept fewer connections than it states.
const CROWDED_REQUESTS_PER_SLOT: u32 = 3;

/// Step in which speeds count for the affinity upstream, as a difference of logarithms: a factor of two. Smaller
/// differences do not move prefixes, as gateways know slightly different speeds.
const HOME_SPEED_STEP: f64 = 0.7;

/// Power of the speed by which prefixes are divided. With 1, a slow upstream would be the affinity upstream of
/// prefixes that its cost sends elsewhere, to another upstream at each gateway.
const HOME_SPEED_POWER: f64 = 4.0;

/// An arbitrary seed that makes the choice of the control independent of the choice of affinity upstreams.
const CONTROL_SEED: u64 = 0x00C0_4704;

/// The worst fitness allowed in each pass, and whether draining upstreams are included. The first pass that
/// finds an upstream ends the search: healthy ones, then those backing off, then those that are draining.
/// Terminated ones come last, rather than none, in case their state is wrong.
const PASSES: [(Fitness, bool); 4] = [
    (Fitness::Well, false),
    (Fitness::Resting, false),
    (Fitness::Resting, true),
    (Fitness::Over, true),
];

/// The inputs of one choice.
#[derive(Debug)]
pub(super) struct Choice<'a> {
    pub(super) state: &'a UpstreamsState,
    pub(super) local_zone: &'a ZoneName,
    pub(super) regions: &'a RegionsOfZones,
    pub(super) config: &'a BalanceConfig,
    pub(super) decisions: &'a DecisionSettings,
    pub(super) now: MonoTime,
    pub(super) placement: &'a Placement<'a>,
}

impl Choice<'_> {
    /// The best upstream for a request; none when none is usable.
    pub(super) fn best(&self) -> Option<Chosen> {
        self.cheapest(self.candidates())
    }

    /// The upstreams among which the best is chosen.
    pub(super) fn candidates(&self) -> Vec<&Member> {
        let rule = self.placement.rule;
        let filters = [Some(&rule.wanted), rule.fallback.as_ref()];
        let control = Control::of(self);
        for filter in filters.into_iter().flatten() {
            for (worst, with_leaving) in PASSES {
                let usable = self.allowed(with_leaving).filter(|member| {
                    let is_allowed = worst > Fitness::Well || control.allows(member);
                    is_allowed
                        && self.state.health.fitness(self.now, &member.start) <= worst
                        && self.is_usable(filter, member)
                });
                let usable: Vec<_> = usable.collect();
                if !usable.is_empty() {
                    return usable;
                }
            }
        }
        Vec::new()
    }

    /// The reason for which there is no upstream. Where every candidate lacks quota, the reason of the
    /// one that has quota again soonest.
    pub(super) fn unavailable_reason(&self) -> UnavailableReason {
        let (directory, service) = (&self.state.directory, self.placement.service);
        let is_any_listed = directory.of_service(self.now, service, true).next().is_some();
        let is_any_allowed = self.allowed(true).next().is_some();
        if is_any_listed && !is_any_allowed {
            return UnavailableReason::NoneAllowed;
        }
        let rule = self.placement.rule;
        let filters = [Some(&rule.wanted), rule.fallback.as_ref()];
        let is_of_version =
            |member: &&Member| filters.into_iter().flatten().any(|f| f.allows(&member.version));
        let members: Vec<_> = self.allowed(true).filter(is_of_version).collect();
        let place = |member: &Member| self.state.place(self.now, member);
        if members.iter().any(|member| place(member).is_usable() && !self.has_connection(member)) {
            return UnavailableReason::NoConnection;
        }
        let reasons: Option<Vec<_>> =
            members.into_iter().map(|member| quota_reason(place(member))).collect();
        let soonest = reasons.into_iter().flatten().min_by_key(|(at, _)| *at);
        soonest.map_or(UnavailableReason::NoneUsable, |(_, reason)| reason)
    }

    /// The upstreams of the service that operators and the allowed regions permit.
    fn allowed(&self, with_leaving: bool) -> impl Iterator<Item = &Member> {
        let (directory, service) = (&self.state.directory, self.placement.service);
        let members = directory.of_service(self.now, service, with_leaving);
        members.filter(|member| {
            self.state.emptied_zones.allow(&member.zone) && self.is_region_allowed(&member.zone)
        })
    }

    /// Whether the request's data may go to a zone. Applies even when no upstream is left.
    fn is_region_allowed(&self, zone: &ZoneName) -> bool {
        let mut allowed_regions = self.placement.allowed_regions.iter().flatten();
        allowed_regions.all(|allowed_regions| allowed_regions.allow(self.regions.get(zone)))
    }

    fn is_usable(&self, filter: &VersionFilter, member: &Member) -> bool {
        filter.allows(&member.version)
            && self.state.place(self.now, member).is_usable()
            && !self.placement.tried.contains(&member.start)
            && self.has_connection(member)
    }

    /// Whether this gateway may have one more connection to an upstream.
    fn has_connection(&self, member: &Member) -> bool {
        let Self { state, now, placement, .. } = *self;
        let max_connections = placement.max_connections;
        if self.decisions.divides_connections {
            return state.has_connection(now, member, max_connections);
        }
        let in_progress = state.load.in_progress(now, &member.start, 0);
        in_progress < (max_connections / UNDIVIDED_DIVISOR).max(1)
    }

    fn cheapest(&self, members: Vec<&Member>) -> Option<Chosen> {
        let prompt = self.placement.prompt;
        let request = RequestFacts {
            prompt_tokens: prompt.map_or(0, |prompt| prompt.input_tokens),
            prefill_time: self.reading_time(),
            body_bytes: self.placement.body_bytes,
            generation: self.expected_generation(),
        };
        let affinity = self.affinity_upstream(&members, &request);
        let costs = members.into_iter().map(|member| {
            let facts = self.facts(member, affinity == Some(&member.start));
            let cost_ms = expected_cost_ms(self.config, &request, &facts);
            (cost_ms, hash_of(member, self.placement.tie_seed), facts, member)
        });
        let chosen = match self.placement.isolation_seed {
            Some(seed) => costs.min_by_key(|(.., member)| hash_of(member, seed)),
            None => costs.min_by(|a, b| a.0.total_cmp(&b.0).then(a.1.cmp(&b.1))),
        };
        let (.., facts, member) = chosen?;
        let generation = request.generation.map(|generation| GenerationWork {
            duration_ms: facts.slowdown * generation.duration_ms(facts.in_progress),
            engine_ms: generation.engine_ms(facts.in_progress),
            engine_ms_per_event: generation.time.engine_ms(f64::from(facts.in_progress)),
        });
        Some(Chosen {
            start: member.start.clone(),
            addr: member.addr,
            version: member.version.clone(),
            work: PrefillWork { remaining_prefill_ms: uncached_prefill_ms(&request, &facts) },
            unread_tokens: request.prompt_tokens.saturating_sub(facts.cached_tokens),
            is_crowded: self.decisions.divides_connections
                && facts.in_progress >= facts.slots.saturating_mul(CROWDED_REQUESTS_PER_SLOT),
            base_ms: request.prefill_time.base_ms,
            other_ms: other_ms(self.config, &facts),
            slowdown: facts.slowdown,
            is_cache_known: facts.cached_tokens == self.known_cached_tokens(&member.start),
            generation: generation.unwrap_or_default(),
        })
    }

    /// The upstream to which all gateways send prompts with this prefix, chosen by a hash without
    /// coordination.
    ///
    /// Where prefilling the prefix again costs more than a request to another availability zone, it is one
    /// for all zones: with one in each, a prompt that is requested in every zone is prefilled three times.
    /// Over five days with faults in three zones this raised the mean value of responses from 0.607 to
    /// 0.660 (eight seeds each).
    fn affinity_upstream<'m>(
        &self,
        members: &[&'m Member],
        request: &RequestFacts,
    ) -> Option<&'m UpstreamIncarnation> {
        let shared = self.placement.prompt?.shared_parts();
        let part = shared.last()?;
        let saved_ms = request.prefill_time.of_tokens_ms(likely_cached_tokens(shared));
        let is_worth_other_zone = self.decisions.has_fleet_homes
            && saved_ms > cross_zone_cost_ms(self.config, request.body_bytes);
        let eligible =
            members.iter().filter(|member| is_worth_other_zone || member.zone == *self.local_zone);
        if !self.decisions.places_by_speed {
            let home = eligible.min_by_key(|member| hash_of(member, part.id));
            return home.map(|member| &member.start);
        }
        let distance = |member: &&&Member| {
            let slowdown = self.state.upstream_speeds.slowdown(self.now, &member.start);
            rendezvous_distance(hash_of(member, part.id), slowdown)
        };
        let distances = eligible.map(|member| (distance(&member), member));
        let home = distances.min_by(|a, b| a.0.total_cmp(&b.0));
        home.map(|(_, member)| &member.start)
    }

    /// The prefill time of the chosen model; the default for a request without a model.
    pub(super) fn reading_time(&self) -> PrefillTime {
        let Placement { service, model, relative_prefill_time, .. } = *self.placement;
        let time = |model| self.state.speeds.time(service, model, relative_prefill_time);
        model.map_or_else(PrefillTime::default, time)
    }

    fn facts(&self, member: &Member, has_affinity: bool) -> CandidateFacts {
        let Self { state, now, placement, .. } = *self;
        let incarnation = &member.start;
        let cached = self.known_cached_tokens(incarnation);
        let cached_tokens = match placement.prompt {
            Some(prompt) if has_affinity && placement.model.is_some() => {
                cached.max(likely_cached_tokens(prompt.shared_parts()))
            }
            _ => cached,
        };
        let work = state.work_on(now, incarnation);
        CandidateFacts {
            in_progress: work.in_progress,
            slots: state.load.reported_slots(incarnation).unwrap_or(member.slots),
            remaining_prefill_ms: work.remaining_prefill_ms,
            cached_tokens,
            is_same_zone: member.zone == *self.local_zone,
            failure_rate: state.health.failure_rate(now, incarnation),
            slowdown: self.slowdown(incarnation),
        }
    }

    /// The tokens of the prompt that this gateway has sent to an upstream lately.
    fn known_cached_tokens(&self, incarnation: &UpstreamIncarnation) -> u64 {
        let Placement { model, prompt, .. } = *self.placement;
        let (Some(model), Some(prompt)) = (model, prompt) else {
            return 0;
        };
        let prefix_caches = &self.state.prefix_caches;
        prefix_caches.cached_tokens(self.now, incarnation, model, prompt.shared_parts())
    }

    /// Duration of work at an upstream relative to its service's usual one: as learned, and as it reports it.
    fn slowdown(&self, incarnation: &UpstreamIncarnation) -> f64 {
        if !self.decisions.places_by_speed {
            return 1.0;
        }
        let learned = self.state.upstream_speeds.slowdown(self.now, incarnation);
        let service = self.placement.service;
        learned * self.state.paces.slowdown(self.now, service, incarnation)
    }

    /// The stream after its first event, as far as the model's streams have shown it.
    fn expected_generation(&self) -> Option<ExpectedGeneration> {
        let Placement { service, model, route, prompt, is_stream, .. } = *self.placement;
        if !is_stream {
            return None;
        }
        let time = self.state.generation_times.time(service, model?)?;
        let max_output_tokens = prompt.map_or(u64::MAX, |prompt| prompt.max_output_tokens);
        let events = self.state.response_lengths.events(route, max_output_tokens)?;
        let is_counted = self.decisions.places_by_completion;
        let weight = if is_counted { self.placement.completion_weight } else { 0.0 };
        Some(ExpectedGeneration { time, events, weight })
    }
}

/// Whether a request goes to the control: an upstream of the old version that is kept at low load during a
/// rollout, so that it can be compared with upstreams of the new version.
#[derive(Debug)]
enum Control<'a> {
    /// There is no control.
    None,
    /// The request goes to the control.
    Only(&'a UpstreamIncarnation),
    /// The request goes to any upstream but the control.
    Except(&'a UpstreamIncarnation),
}

impl<'a> Control<'a> {
    /// All gateways choose the same control, by a hash.
    fn of(choice: &'a Choice<'_>) -> Self {
        let Some(rule) = &choice.placement.rule.control else {
            return Self::None;
        };
        let (new, old): (Vec<_>, Vec<_>) =
            choice.allowed(false).partition(|member| member.version == rule.target);
        if old.len() < MIN_OLD_WITH_CONTROL {
            return Self::None;
        }
        let is_for_control = rule.is_for_control(new.len(), old.len());
        let control = old.into_iter().min_by_key(|member| hash_of(member, CONTROL_SEED));
        let Some(control) = control.map(|member| &member.start) else {
            return Self::None;
        };
        let is_idle =
            choice.state.work_on(choice.now, control).in_progress < MAX_CONTROL_IN_PROGRESS;
        if is_for_control && is_idle { Self::Only(control) } else { Self::Except(control) }
    }

    fn allows(&self, member: &Member) -> bool {
        match self {
            Self::None => true,
            Self::Only(control) => member.start == **control,
            Self::Except(control) => member.start != **control,
        }
    }
}

/// The reason for which an upstream without quota is unavailable, and when that ends.
fn quota_reason(quota: SendQuota) -> Option<(MonoTime, UnavailableReason)> {
    match quota {
        SendQuota::Unbounded | SendQuota::Free => None,
        SendQuota::FreeAt(at) => Some((at, UnavailableReason::NoQuotaUntil(at))),
        SendQuota::OthersUntil(at) => Some((at, UnavailableReason::PeersHoldQuotaUntil(at))),
    }
}

/// Distance of an upstream in rendezvous hashing: each upstream is the nearest one of a share of the prefixes
/// that grows with its speed. The speed is rounded, so that gateways which know slightly different speeds agree
/// on almost all prefixes.
fn rendezvous_distance(hash: u64, slowdown: f64) -> f64 {
    let rounded_log = (slowdown.ln() / HOME_SPEED_STEP).round() * HOME_SPEED_STEP;
    let unit = (hash as f64 + 1.0) / (u64::MAX as f64 + 2.0);
    -unit.ln() * (HOME_SPEED_POWER * rounded_log).exp()
}

fn hash_of(member: &Member, seed: u64) -> u64 {
    xxh3_64_with_seed(member.start.instance.as_str().as_bytes(), seed)
}

/// The tokens of a shared prefix that its affinity upstream has probably cached from requests of other
/// gateways.
fn likely_cached_tokens(shared: &[PromptPart]) -> u64 {
    let add = |sum: u64, part: &PromptPart| sum.saturating_add(part.tokens);
    shared.iter().fold(0, add) / 100 * LIKELY_CACHED_PERCENT
}
