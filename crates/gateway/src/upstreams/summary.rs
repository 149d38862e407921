//! What the state dump says of upstreams.

use stallhoist_core::MonoTime;
use stallhoist_policy::balance::PrefillTime;
use stallhoist_policy::balance::UpstreamKey;

use super::Upstreams;
use crate::members::Member;

impl Upstreams {
    /// One line for each model whose speed is known, for the state dump.
    pub(crate) fn speeds_summary(&self) -> Vec<String> {
        let known = self.known.lock();
        let line = |(service, model, time): (_, _, PrefillTime)| {
            let PrefillTime { base_ms, ms_per_token } = time;
            format!("{service} {model} {base_ms:.1} ms and {ms_per_token:.5} ms a prompt token")
        };
        let mut lines: Vec<_> = known.speeds.iter().map(line).collect();
        lines.sort_unstable();
        lines
    }

    /// One line for each upstream, for the state dump.
    pub(crate) fn summary(&self, now: MonoTime) -> Vec<String> {
        let known = self.known.lock();
        let line = |(member, presence): (&Member, _)| {
            let start = &member.start;
            let others = known.peer_work.on(UpstreamKey::of(start));
            format!(
                "{start} {} {} {} {} {presence:?} in_progress={} told_by_others={} \
                 failure_rate={:.2} fitness={:?} cold={:?} limit={} place={:?}",
                member.service,
                member.version,
                member.addr,
                member.zone,
                known.load.in_progress(now, start, 0),
                others.requests,
                known.health.failure_rate(now, start),
                known.health.fitness(now, start),
                known.cold_place(now, member),
                known.limits.limit(start).map_or("none".to_owned(), |limit| limit.to_string()),
                known.place(now, member),
            )
        };
        known.directory.iter().map(line).collect()
    }
}
