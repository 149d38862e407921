//! The lines on upstreams in the state dump.

use stallhoist_core::MonoTime;
use stallhoist_policy::balance::GenerationTime;
use stallhoist_policy::balance::PrefillTime;
use stallhoist_policy::balance::UpstreamKey;

use super::Upstreams;
use crate::members::Member;

impl Upstreams {
    /// A line for each model whose prefill speed is known, and one for each whose generation time is.
    pub(crate) fn speeds_summary(&self) -> Vec<String> {
        let state = self.state.lock();
        let line = |(service, model, time): (_, _, PrefillTime)| {
            let PrefillTime { base_ms, ms_per_token } = time;
            format!("{service} {model} {base_ms:.1} ms and {ms_per_token:.5} ms a prompt token")
        };
        let mut lines: Vec<_> = state.speeds.iter().map(line).collect();
        let line = |(service, model, time): (_, _, GenerationTime)| {
            let GenerationTime { base_ms, per_request_ms } = time;
            format!(
                "{service} {model} {base_ms:.1} ms an event and {per_request_ms:.3} ms more for each other request"
            )
        };
        lines.extend(state.generation_times.iter().map(line));
        lines.sort_unstable();
        lines
    }

    /// A line for each upstream.
    pub(crate) fn summary(&self, now: MonoTime) -> Vec<String> {
        let state = self.state.lock();
        let line = |(member, listing): (&Member, _)| {
            let start = &member.start;
            let others = state.peer_work.on(UpstreamKey::of(start));
            format!(
                "{start} {} {} {} {} {listing:?} slots={} in_progress={} told_by_others={} \
                 slowdown={:.2} evidence={} failure_rate={:.2} fitness={:?} cold={:?} limit={} place={:?}",
                member.service,
                member.version,
                member.addr,
                member.zone,
                member.slots,
                state.load.in_progress(now, start, 0),
                others.requests,
                state.upstream_speeds.slowdown(now, start),
                state.upstream_speeds.evidence(now, start).weight,
                state.health.failure_rate(now, start),
                state.health.fitness(now, start),
                state.cold_place(now, member),
                state.limits.limit(start).map_or("none".to_owned(), |limit| limit.to_string()),
                state.place(now, member),
            )
        };
        state.directory.iter().map(line).collect()
    }
}
