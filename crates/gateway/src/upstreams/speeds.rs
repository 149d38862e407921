//! Learning how fast models and upstreams are, and how long responses get.

use std::collections::HashMap;
use std::time::Duration;

use stallhoist_core::HostId;
use stallhoist_core::ModelName;
use stallhoist_core::MonoTime;
use stallhoist_core::RouteName;
use stallhoist_core::ServiceName;
use stallhoist_core::UpstreamIncarnation;
use stallhoist_policy::balance::EventIntervals;
use stallhoist_policy::balance::FirstChunk;
use stallhoist_policy::balance::PacePercent;
use stallhoist_policy::balance::SpeedEvidence;
use stallhoist_policy::balance::UpstreamKey;

use super::Chosen;
use super::Upstreams;
use super::UpstreamsState;

/// Most upstreams whose speed one message tells. Speeds change slowly: over some messages all get a turn.
const MAX_SPEEDS_SENT: usize = 16;

/// The first chunk of a response.
#[derive(Debug, Clone, Copy)]
pub(crate) struct ArrivedFirstChunk<'a> {
    pub(crate) service: &'a ServiceName,
    pub(crate) model: &'a ModelName,
    pub(crate) relative_prefill_time: f64,
    pub(crate) chosen: &'a Chosen,
    pub(crate) took: Duration,
    /// The pace that the upstream reported with it.
    pub(crate) pace: Option<PacePercent>,
}

impl Upstreams {
    /// Learns the prefill speed of a model, and the speed of the upstream relative to others, from the time to
    /// the first chunk of a response.
    pub(crate) fn first_chunk_arrived(&self, now: MonoTime, first_chunk: ArrivedFirstChunk<'_>) {
        if !self.decisions.learns_speeds {
            return;
        }
        let ArrivedFirstChunk { service, model, relative_prefill_time, chosen, took, pace } =
            first_chunk;
        let observed = FirstChunk {
            unread_tokens: chosen.unread_tokens,
            other_ms: chosen.other_ms,
            took_ms: took.as_secs_f64() * 1e3,
        };
        let UpstreamsState { speeds, upstream_speeds, .. } = &mut *self.state.lock();
        let expected = speeds.time(service, model, relative_prefill_time);
        speeds.observe(service, model, relative_prefill_time, observed);
        let slowdown = observed.slowdown(expected).filter(|_| chosen.is_cache_known);
        if let Some(slowdown) = slowdown {
            upstream_speeds.observe_at_pace(now, &chosen.start, slowdown, pace);
        }
    }

    /// Learns the generation time of a model, and the speed of the upstream relative to others, from the events
    /// of a stream.
    pub(crate) fn events_arrived(
        &self,
        now: MonoTime,
        service: &ServiceName,
        model: &ModelName,
        incarnation: &UpstreamIncarnation,
        intervals: EventIntervals,
    ) {
        if !self.decisions.learns_speeds {
            return;
        }
        let UpstreamsState { generation_times, upstream_speeds, .. } = &mut *self.state.lock();
        let expected = generation_times.time(service, model);
        generation_times.observe(service, model, intervals);
        // The first streams of a model show how fast the model is, not the upstream.
        let slowdown = expected.and_then(|expected| intervals.slowdown(expected));
        if let Some(slowdown) = slowdown {
            upstream_speeds.observe(now, incarnation, slowdown);
        }
    }

    /// The least, the median and the greatest slowdown of each service's upstreams, for metrics.
    pub(crate) fn slowdowns(&self, now: MonoTime) -> Vec<(ServiceName, [f64; 3])> {
        let state = self.state.lock();
        let mut by_service = HashMap::<_, Vec<f64>>::new();
        for (member, _) in state.directory.iter() {
            let slowdown = state.upstream_speeds.slowdown(now, &member.start);
            by_service.entry(member.service.clone()).or_default().push(slowdown);
        }
        let range = |(service, mut slowdowns): (_, Vec<f64>)| {
            slowdowns.sort_unstable_by(f64::total_cmp);
            let last = slowdowns.len() - 1;
            (service, [slowdowns[0], slowdowns[last / 2], slowdowns[last]])
        };
        by_service.into_iter().map(range).collect()
    }

    /// Learns the length of a route's streams from one that ended as planned.
    pub(crate) fn stream_completed(&self, route: &RouteName, events: u64) {
        self.state.lock().response_lengths.observe(route, events);
    }

    /// Drops what was learned of routes that are no longer configured.
    pub(crate) fn retain_routes(&self, is_configured: impl FnMut(&RouteName) -> bool) {
        self.state.lock().response_lengths.retain(is_configured);
    }

    /// Evidence of the speed of upstreams to send to peers: that of this gateway, and that received from the
    /// gateways that `included` accepts.
    pub(crate) fn speed_sums(
        &self,
        now: MonoTime,
        included: impl Fn(&HostId) -> bool,
    ) -> HashMap<UpstreamKey, SpeedEvidence> {
        if !self.decisions.places_by_speed {
            return HashMap::new();
        }
        let turn = rand::random();
        self.state.lock().upstream_speeds.sums(now, turn, MAX_SPEEDS_SENT, included)
    }

    /// Merges evidence of the speed of upstreams received from a peer.
    pub(crate) fn apply_speed_sums(
        &self,
        now: MonoTime,
        host: &HostId,
        sums: impl IntoIterator<Item = (UpstreamKey, SpeedEvidence)>,
    ) {
        self.state.lock().upstream_speeds.apply_peer_update(now, host, sums);
    }
}
