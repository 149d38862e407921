//! The upstreams: who they are, what they have to do, and which one takes a request.

use std::net::SocketAddr;
use std::sync::Arc;

use parking_lot::Mutex;
use stallhoist_core::InstanceId;
use stallhoist_core::ModelName;
use stallhoist_core::MonoTime;
use stallhoist_core::Prompt;
use stallhoist_core::ServiceName;
use stallhoist_core::VersionName;
use stallhoist_core::ZoneName;
use stallhoist_policy::balance::BalanceConfig;
use stallhoist_policy::balance::CandidateFacts;
use stallhoist_policy::balance::HealthConfig;
use stallhoist_policy::balance::PrefixPlaces;
use stallhoist_policy::balance::ReportedLoad;
use stallhoist_policy::balance::RequestFacts;
use stallhoist_policy::balance::UpstreamHealth;
use stallhoist_policy::balance::UpstreamLoad;
use stallhoist_policy::balance::WorkItem;
use stallhoist_policy::balance::expected_cost_ms;
use stallhoist_policy::balance::expected_wait_ms;
use tokio::sync::Notify;
use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::control_store::Change;
use crate::members::Directory;
use crate::members::Member;
use crate::rollouts::VersionFilter;
use crate::rollouts::VersionRule;

/// The most that the place a prompt is steered to by its id alone can weigh, in
/// milliseconds: it only breaks ties between places that have not read it.
const STEERING_MS: f64 = 6.0;

/// What an upstream is chosen for.
#[derive(Debug)]
pub(crate) struct Placement<'a> {
    pub(crate) service: &'a ServiceName,
    pub(crate) rule: &'a VersionRule,
    pub(crate) model: Option<&'a ModelName>,
    pub(crate) model_pace: f64,
    pub(crate) prompt: Option<&'a Prompt>,
    pub(crate) body_bytes: usize,
    /// Upstreams that this request was sent to before.
    pub(crate) tried: &'a [InstanceId],
    /// The most connections that this entry keeps to one upstream.
    pub(crate) max_connections: u32,
}

/// The upstream that was chosen.
#[derive(Debug, Clone)]
pub(crate) struct Chosen {
    pub(crate) instance: InstanceId,
    pub(crate) addr: SocketAddr,
    pub(crate) version: VersionName,
    pub(crate) work: WorkItem,
    pub(crate) expected_wait_ms: f64,
}

#[derive(Debug, Default)]
struct Known {
    directory: Directory,
    load: UpstreamLoad,
    health: UpstreamHealth,
    places: PrefixPlaces,
}

/// The upstreams: who they are, what they have to do, and which one takes a request.
#[derive(Debug)]
pub(crate) struct Upstreams {
    own_zone: ZoneName,
    config: BalanceConfig,
    known: Mutex<Known>,
    changed: Notify,
}

impl Upstreams {
    pub(crate) fn new(own_zone: ZoneName, config: BalanceConfig) -> Self {
        let health = UpstreamHealth::new(HealthConfig::default());
        let known = Known { health, ..Known::default() };
        Self { own_zone, config, known: Mutex::new(known), changed: Notify::new() }
    }

    /// The whole list was read.
    pub(crate) fn replace(&self, now: MonoTime, members: Vec<Member>) {
        self.known.lock().directory.replace(now, members);
        self.changed.notify_waiters();
    }

    /// One entry of the list has changed. Other changes do not concern upstreams.
    pub(crate) fn apply(&self, now: MonoTime, change: Change) {
        match change {
            Change::MemberListed(member) => self.known.lock().directory.listed(now, member),
            Change::MemberGone(instance) => self.known.lock().directory.gone(now, &instance),
            _ => return,
        }
        self.changed.notify_waiters();
    }

    /// Forgets upstreams that have left. Gives how many are known.
    pub(crate) fn expire(&self, now: MonoTime) -> usize {
        let mut known = self.known.lock();
        let Known { directory, load, health, places } = &mut *known;
        if directory.expire(now) {
            load.retain(|instance| directory.is_known(instance));
            health.retain(|instance| directory.is_known(instance));
            places.retain(|instance| directory.is_known(instance));
        }
        directory.iter().count()
    }

    /// Waits until the list changes.
    pub(crate) async fn changed(&self) {
        self.changed.notified().await;
    }

    /// The upstream that a request is best sent to; none when there is none to use.
    pub(crate) fn choose(&self, now: MonoTime, placement: &Placement<'_>) -> Option<Chosen> {
        let known = self.known.lock();
        let filters = [Some(&placement.rule.wanted), placement.rule.otherwise.as_ref()];
        for filter in filters.into_iter().flatten() {
            // First those that are well, then any that is listed, then those leaving.
            for (with_paused, with_leaving) in [(false, false), (true, false), (true, true)] {
                let members = known.directory.of_service(now, placement.service, with_leaving);
                let usable = members.filter(|member| {
                    is_usable(&known, now, placement, filter, member)
                        && (with_paused || !known.health.is_paused(now, &member.instance))
                });
                if let Some(chosen) = self.cheapest(&known, now, placement, usable) {
                    return Some(chosen);
                }
            }
        }
        None
    }

    fn cheapest<'a>(
        &self,
        known: &Known,
        now: MonoTime,
        placement: &Placement<'_>,
        members: impl Iterator<Item = &'a Member>,
    ) -> Option<Chosen> {
        let request = RequestFacts {
            prompt_tokens: placement.prompt.map_or(0, |prompt| prompt.input_tokens),
            model_pace: placement.model_pace,
            body_bytes: placement.body_bytes,
        };
        let costs = members.map(|member| {
            let facts = self.facts(known, now, placement, member);
            let steering = steering_ms(placement.prompt, &member.instance);
            (expected_cost_ms(&self.config, &request, &facts) + steering, facts, member)
        });
        let (_, facts, member) = costs.min_by(|a, b| a.0.total_cmp(&b.0))?;
        let unread = request.prompt_tokens.saturating_sub(facts.read_tokens) as f64;
        Some(Chosen {
            instance: member.instance.clone(),
            addr: member.addr,
            version: member.version.clone(),
            work: WorkItem { unread_tokens: unread * request.model_pace },
            expected_wait_ms: expected_wait_ms(&self.config, &request, &facts),
        })
    }

    fn facts(
        &self,
        known: &Known,
        now: MonoTime,
        placement: &Placement<'_>,
        member: &Member,
    ) -> CandidateFacts {
        let instance = &member.instance;
        let read_tokens = match (placement.model, placement.prompt) {
            (Some(model), Some(prompt)) => {
                known.places.read_tokens(now, instance, model, prompt.shared_parts())
            }
            _ => 0,
        };
        CandidateFacts {
            in_progress: known.load.in_progress(now, instance),
            slots: member.slots,
            unread_tokens: known.load.unread_tokens(instance),
            read_tokens,
            is_same_zone: member.zone == self.own_zone,
            failure_rate: known.health.failure_rate(now, instance),
        }
    }

    /// Work is sent to an upstream. It counts until the guard is dropped.
    pub(crate) fn start(self: &Arc<Self>, chosen: &Chosen) -> WorkGuard {
        self.known.lock().load.started(&chosen.instance, chosen.work);
        let instance = chosen.instance.clone();
        WorkGuard { upstreams: Arc::clone(self), instance, unread: chosen.work }
    }

    pub(crate) fn succeeded(&self, now: MonoTime, instance: &InstanceId) {
        self.known.lock().health.succeeded(now, instance);
    }

    pub(crate) fn failed(&self, now: MonoTime, instance: &InstanceId) {
        self.known.lock().health.failed(now, instance);
    }

    pub(crate) fn unreachable(&self, now: MonoTime, instance: &InstanceId) {
        self.known.lock().health.unreachable(now, instance);
    }

    pub(crate) fn reported(&self, now: MonoTime, instance: &InstanceId, load: ReportedLoad) {
        self.known.lock().load.reported(now, instance, load);
    }

    /// An upstream has read a prompt with a model.
    pub(crate) fn prompt_read(
        &self,
        now: MonoTime,
        instance: &InstanceId,
        model: &ModelName,
        prompt: &Prompt,
    ) {
        self.known.lock().places.read(now, instance, model, prompt.shared_parts());
    }

    /// One line for each upstream, for the state dump.
    pub(crate) fn summary(&self, now: MonoTime) -> Vec<String> {
        let known = self.known.lock();
        let line = |(member, presence): (&Member, _)| {
            let instance = &member.instance;
            format!(
                "{instance} {} {} {} {presence:?} in_progress={} failure_rate={:.2} paused={}",
                member.service,
                member.version,
                member.addr,
                known.load.in_progress(now, instance),
                known.health.failure_rate(now, instance),
                known.health.is_paused(now, instance),
            )
        };
        known.directory.iter().map(line).collect()
    }
}

fn is_usable(
    known: &Known,
    now: MonoTime,
    placement: &Placement<'_>,
    filter: &VersionFilter,
    member: &Member,
) -> bool {
    filter.allows(&member.version)
        && !placement.tried.contains(&member.instance)
        && known.load.in_progress(now, &member.instance) < placement.max_connections
}

/// Entries steer prompts that begin alike to the same upstreams without talking to each
/// other, by a hash of the last shared part and the upstream.
fn steering_ms(prompt: Option<&Prompt>, instance: &InstanceId) -> f64 {
    let Some(part) = prompt.and_then(|prompt| prompt.shared_parts().last()) else {
        return 0.0;
    };
    let hash = xxh3_64_with_seed(instance.as_str().as_bytes(), part.id);
    STEERING_MS * (hash as f64 / u64::MAX as f64)
}

/// Work in progress on an upstream; it ends when this is dropped.
#[derive(Debug)]
pub(crate) struct WorkGuard {
    upstreams: Arc<Upstreams>,
    instance: InstanceId,
    unread: WorkItem,
}

impl WorkGuard {
    /// The first part of the answer came: the prompt has been read.
    pub(crate) fn prompt_read(&mut self) {
        let work = std::mem::take(&mut self.unread);
        self.upstreams.known.lock().load.prompt_read(&self.instance, work);
    }
}

impl Drop for WorkGuard {
    fn drop(&mut self) {
        self.upstreams.known.lock().load.ended(&self.instance, self.unread);
    }
}
