//! Choosing the upstream of a request: the one that is expected to cost the least time.

use stallhoist_core::MonoTime;
use stallhoist_core::PromptPart;
use stallhoist_core::UpstreamIncarnation;
use stallhoist_core::ZoneName;
use stallhoist_policy::balance::BalanceConfig;
use stallhoist_policy::balance::CandidateFacts;
use stallhoist_policy::balance::Fitness;
use stallhoist_policy::balance::PrefillTime;
use stallhoist_policy::balance::PrefillWork;
use stallhoist_policy::balance::RequestFacts;
use stallhoist_policy::balance::cross_zone_cost_ms;
use stallhoist_policy::balance::expected_cost_ms;
use stallhoist_policy::balance::other_ms;
use stallhoist_policy::balance::uncached_prefill_ms;
use stallhoist_policy::fleet_bound::SendQuota;
use xxhash_rust::xxh3::xxh3_64_with_seed;

use super::Chosen;
use super::Known;
use super::Placement;
use super::UnavailableReason;
use crate::members::Member;
use crate::rollouts::VersionFilter;
use crate::routing::RegionsOfZones;

/// The part of a shared prompt that the upstream it is steered to is taken to have read. Not
/// all, so that one which has surely read it goes first. The first value tried.
const LIKELY_READ_PERCENT: u64 = 70;

/// With fewer upstreams of the old version none of them rests: it would cost more than a third
/// of what serves, in the very burst in which one has to rest.
const MIN_OLD_WITH_CONTROL: usize = 3;

/// The control gets no request while it has so many in progress: upstreams of a new version, with
/// which it is compared, have one or two.
const CONTROL_IN_PROGRESS: u32 = 2;

/// Any number: it keeps the choice of the control apart from that of the prefixes' homes.
const CONTROL_SEED: u64 = 0x00C0_4704;

/// The upstreams among which one is chosen, until there is one: those that are well, then those
/// that rest, then those that are leaving; and those whose start is over, in case that is an
/// error, rather than none.
const PASSES: [(Fitness, bool); 4] = [
    (Fitness::Well, false),
    (Fitness::Resting, false),
    (Fitness::Resting, true),
    (Fitness::Over, true),
];

/// What one choice rests on.
#[derive(Debug)]
pub(super) struct Choice<'a> {
    pub(super) known: &'a Known,
    pub(super) own_zone: &'a ZoneName,
    pub(super) regions: &'a RegionsOfZones,
    pub(super) config: &'a BalanceConfig,
    pub(super) has_fleet_homes: bool,
    pub(super) now: MonoTime,
    pub(super) placement: &'a Placement<'a>,
}

impl Choice<'_> {
    /// The upstream that a request is best sent to; none when there is none to use.
    pub(super) fn best(&self) -> Option<Chosen> {
        let rule = self.placement.rule;
        let filters = [Some(&rule.wanted), rule.fallback.as_ref()];
        let control = Control::of(self);
        for filter in filters.into_iter().flatten() {
            for (unfittest, with_leaving) in PASSES {
                let usable = self.allowed(with_leaving).filter(|member| {
                    let is_allowed = unfittest > Fitness::Well || control.allows(member);
                    is_allowed
                        && self.known.health.fitness(self.now, &member.start) <= unfittest
                        && self.is_usable(filter, member)
                });
                if let Some(chosen) = self.cheapest(usable) {
                    return Some(chosen);
                }
            }
        }
        None
    }

    /// Why there is none.
    pub(super) fn unavailable_reason(&self) -> UnavailableReason {
        let (directory, service) = (&self.known.directory, self.placement.service);
        let is_any_listed = directory.of_service(self.now, service, true).next().is_some();
        let is_any_allowed = self.allowed(true).next().is_some();
        if is_any_listed && !is_any_allowed {
            return UnavailableReason::NoneAllowed;
        }
        let rule = self.placement.rule;
        let filters = [Some(&rule.wanted), rule.fallback.as_ref()];
        let is_of_version =
            |member: &&Member| filters.into_iter().flatten().any(|f| f.allows(&member.version));
        let members = self.allowed(true).filter(is_of_version);
        let reasons: Option<Vec<_>> =
            members.map(|member| quota_reason(self.known.place(self.now, member))).collect();
        let soonest = reasons.into_iter().flatten().min_by_key(|(at, _)| *at);
        soonest.map_or(UnavailableReason::NoneUsable, |(_, unavailable_reason)| unavailable_reason)
    }

    /// The upstreams of the service to which operators let anything be sent.
    fn allowed(&self, with_leaving: bool) -> impl Iterator<Item = &Member> {
        let (directory, service) = (&self.known.directory, self.placement.service);
        let members = directory.of_service(self.now, service, with_leaving);
        members.filter(|member| {
            self.known.emptied_zones.allow(&member.zone) && self.is_home(&member.zone)
        })
    }

    /// Whether the request's data may go to a zone. This holds also when no upstream is left.
    fn is_home(&self, zone: &ZoneName) -> bool {
        let mut allowed_regions = self.placement.allowed_regions.iter().flatten();
        allowed_regions.all(|allowed_regions| allowed_regions.allow(self.regions.get(zone)))
    }

    fn is_usable(&self, filter: &VersionFilter, member: &Member) -> bool {
        let in_progress = self.known.load.in_progress(self.now, &member.start, 0);
        filter.allows(&member.version)
            && self.known.place(self.now, member).is_usable()
            && !self.placement.tried.contains(&member.start)
            && in_progress < self.placement.max_connections
    }

    fn cheapest<'m>(&self, members: impl Iterator<Item = &'m Member>) -> Option<Chosen> {
        let prompt = self.placement.prompt;
        let request = RequestFacts {
            prompt_tokens: prompt.map_or(0, |prompt| prompt.input_tokens),
            prefill_time: self.reading_time(),
            body_bytes: self.placement.body_bytes,
        };
        let members: Vec<_> = members.collect();
        let home = self.home(&members, &request);
        let costs = members.into_iter().map(|member| {
            let is_home = home == Some(&member.start);
            let facts = self.facts(member, is_home);
            let cost_ms = expected_cost_ms(self.config, &request, &facts);
            (cost_ms, hash_of(member, self.placement.tie_seed), facts, member)
        });
        let chosen = match self.placement.isolation_seed {
            Some(seed) => costs.min_by_key(|(.., member)| hash_of(member, seed)),
            None => costs.min_by(|a, b| a.0.total_cmp(&b.0).then(a.1.cmp(&b.1))),
        };
        let (.., facts, member) = chosen?;
        Some(Chosen {
            start: member.start.clone(),
            addr: member.addr,
            version: member.version.clone(),
            work: PrefillWork { remaining_prefill_ms: uncached_prefill_ms(&request, &facts) },
            unread_tokens: request.prompt_tokens.saturating_sub(facts.cached_tokens),
            base_ms: request.prefill_time.base_ms,
            other_ms: other_ms(self.config, &facts),
        })
    }

    /// The upstream that all entries steer prompts with this beginning to, by a hash, without
    /// talking to each other.
    ///
    /// It is one for all availability zones where reading the beginning again costs more than
    /// the way to another zone: with one in each zone, a prompt that is asked for by all of
    /// them is read three times. The mean worth of five days with faults in three zones rose from
    /// 0.607 to 0.660 (eight seeds each).
    fn home<'m>(
        &self,
        members: &[&'m Member],
        request: &RequestFacts,
    ) -> Option<&'m UpstreamIncarnation> {
        let shared = self.placement.prompt?.shared_parts();
        let part = shared.last()?;
        let saved_ms = request.prefill_time.of_tokens_ms(likely_read_tokens(shared));
        let is_worth_the_way =
            self.has_fleet_homes && saved_ms > cross_zone_cost_ms(self.config, request.body_bytes);
        let eligible =
            members.iter().filter(|member| is_worth_the_way || member.zone == *self.own_zone);
        eligible.min_by_key(|member| hash_of(member, part.id)).map(|member| &member.start)
    }

    /// How long the chosen model takes; a call without a model, no time that is known.
    fn reading_time(&self) -> PrefillTime {
        let Placement { service, model, relative_prefill_time, .. } = *self.placement;
        let time = |model| self.known.speeds.time(service, model, relative_prefill_time);
        model.map_or_else(PrefillTime::default, time)
    }

    fn facts(&self, member: &Member, is_home: bool) -> CandidateFacts {
        let Self { known, now, placement, .. } = *self;
        let start = &member.start;
        let cached_tokens = match (placement.model, placement.prompt) {
            (Some(model), Some(prompt)) => {
                let shared = prompt.shared_parts();
                let known = known.prefix_caches.cached_tokens(now, start, model, shared);
                if is_home { known.max(likely_read_tokens(shared)) } else { known }
            }
            _ => 0,
        };
        let work = known.work_on(now, start);
        CandidateFacts {
            in_progress: work.in_progress,
            slots: member.slots,
            remaining_prefill_ms: work.remaining_prefill_ms,
            cached_tokens,
            is_same_zone: member.zone == *self.own_zone,
            failure_rate: known.health.failure_rate(now, start),
        }
    }
}

/// Which requests go to the upstream of the old version that rests.
#[derive(Debug)]
enum Control<'a> {
    /// None rests.
    None,
    /// The request goes to the one that does.
    Only(&'a UpstreamIncarnation),
    /// It goes to another.
    Except(&'a UpstreamIncarnation),
}

impl<'a> Control<'a> {
    /// The same one for all entries, by a hash.
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
        let is_idle = choice.known.work_on(choice.now, control).in_progress < CONTROL_IN_PROGRESS;
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

/// What an upstream without a place makes of a request, and when that ends.
fn quota_reason(place: SendQuota) -> Option<(MonoTime, UnavailableReason)> {
    match place {
        SendQuota::Unbounded | SendQuota::Free => None,
        SendQuota::FreeAt(at) => Some((at, UnavailableReason::NoQuotaUntil(at))),
        SendQuota::OthersUntil(at) => Some((at, UnavailableReason::PeersHoldQuotaUntil(at))),
    }
}

fn hash_of(member: &Member, seed: u64) -> u64 {
    xxh3_64_with_seed(member.start.instance.as_str().as_bytes(), seed)
}

/// What the upstream that all entries steer a prompt to has probably read of it, sent there
/// by another entry.
fn likely_read_tokens(shared: &[PromptPart]) -> u64 {
    let add = |sum: u64, part: &PromptPart| sum.saturating_add(part.tokens);
    shared.iter().fold(0, add) / 100 * LIKELY_READ_PERCENT
}
