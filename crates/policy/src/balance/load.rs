//! Work that this gateway has in progress on each upstream.

use std::collections::HashMap;
use std::time::Duration;

use stallhoist_core::MonoTime;
use stallhoist_core::UpstreamIncarnation;

use super::PacePercent;
use super::UpstreamKey;
use super::WorkInProgress;
use crate::connections::RecentMinimum;

/// Time to live of the load that an upstream reported.
const REPORT_TTL: Duration = Duration::from_millis(500);

/// Work that one request adds to an upstream.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct PrefillWork {
    /// Expected prefill time of the request's prompt, in milliseconds.
    pub remaining_prefill_ms: f64,
}

/// Load that an upstream reported in a response.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct ReportedLoad {
    /// Requests in progress.
    pub running: u32,
    /// Requests in its queue.
    pub waiting: u32,
    /// Requests that it processes concurrently.
    pub slots: Option<u32>,
    /// How long work takes there at present.
    pub pace: Option<PacePercent>,
    /// Number of its figures that were sent, but are implausible.
    pub rejected_figures: u32,
}

impl ReportedLoad {
    /// Requests that are running or waiting.
    pub fn in_progress(self) -> u32 {
        self.running.saturating_add(self.waiting)
    }
}

#[derive(Debug, Default)]
struct IncarnationLoad {
    in_progress: u32,
    remaining_prefill_ms: f64,
    remaining_generation_ms: f64,
    reported: Option<(MonoTime, ReportedLoad)>,
    told: RecentMinimum,
    rejected_at: Option<MonoTime>,
}

/// Work that this gateway has in progress on each upstream, and the load that upstreams
/// reported.
#[derive(Debug, Default)]
pub struct UpstreamLoad {
    by_incarnation: HashMap<UpstreamIncarnation, IncarnationLoad>,
}

impl UpstreamLoad {
    /// Adds the work of a request that is sent to an upstream.
    pub fn request_started(&mut self, incarnation: &UpstreamIncarnation, work: PrefillWork) {
        let load = self.by_incarnation.entry(incarnation.clone()).or_default();
        load.in_progress += 1;
        load.remaining_prefill_ms += work.remaining_prefill_ms;
    }

    /// Removes the prefill work of a request whose first chunk has arrived.
    pub fn prefill_finished(&mut self, incarnation: &UpstreamIncarnation, work: PrefillWork) {
        if let Some(load) = self.by_incarnation.get_mut(incarnation) {
            load.remaining_prefill_ms =
                (load.remaining_prefill_ms - work.remaining_prefill_ms).max(0.0);
        }
    }

    /// Removes a request that has ended, whatever its result. `work` is the prefill work that
    /// was still outstanding.
    pub fn request_ended(&mut self, incarnation: &UpstreamIncarnation, work: PrefillWork) {
        self.prefill_finished(incarnation, work);
        if let Some(load) = self.by_incarnation.get_mut(incarnation) {
            load.in_progress = load.in_progress.saturating_sub(1);
        }
    }

    /// Adds the engine time that a response is expected to take after its first chunk.
    pub fn generation_expected(&mut self, incarnation: &UpstreamIncarnation, generation_ms: f64) {
        let load = self.by_incarnation.entry(incarnation.clone()).or_default();
        load.remaining_generation_ms += generation_ms.max(0.0);
    }

    /// Removes engine time of a response that was used, or that is not needed any more.
    pub fn generation_done(&mut self, incarnation: &UpstreamIncarnation, generation_ms: f64) {
        if let Some(load) = self.by_incarnation.get_mut(incarnation) {
            load.remaining_generation_ms =
                (load.remaining_generation_ms - generation_ms.max(0.0)).max(0.0);
        }
    }

    /// Stores the load that an upstream reported.
    pub fn record_report(
        &mut self,
        now: MonoTime,
        incarnation: &UpstreamIncarnation,
        load: ReportedLoad,
    ) {
        self.by_incarnation.entry(incarnation.clone()).or_default().reported = Some((now, load));
    }

    /// Notes that an upstream has rejected a request.
    pub fn record_rejection(&mut self, now: MonoTime, incarnation: &UpstreamIncarnation) {
        self.by_incarnation.entry(incarnation.clone()).or_default().rejected_at = Some(now);
    }

    /// Whether an upstream has rejected a request less than `within` ago.
    pub fn has_rejected(
        &self,
        now: MonoTime,
        incarnation: &UpstreamIncarnation,
        within: Duration,
    ) -> bool {
        let load = self.by_incarnation.get(incarnation);
        let rejected_at = load.and_then(|load| load.rejected_at);
        rejected_at.is_some_and(|at| now.since(at) < within)
    }

    /// Requests in progress on an upstream: this gateway's and its peers' (`others`), or what the
    /// upstream reported if that is more.
    pub fn in_progress(
        &self,
        now: MonoTime,
        incarnation: &UpstreamIncarnation,
        others: u32,
    ) -> u32 {
        let Some(load) = self.by_incarnation.get(incarnation) else {
            return others;
        };
        let known = load.in_progress.saturating_add(others);
        let reported = load.reported.filter(|(at, _)| now.since(*at) < REPORT_TTL);
        reported.map_or(known, |(_, r)| known.max(r.in_progress()))
    }

    /// Requests of this gateway in progress on an upstream.
    pub fn own_requests(&self, incarnation: &UpstreamIncarnation) -> u32 {
        self.by_incarnation.get(incarnation).map_or(0, |load| load.in_progress)
    }

    /// Requests of this gateway on an upstream that peers may know of.
    pub fn told_requests(&self, incarnation: &UpstreamIncarnation) -> u32 {
        self.by_incarnation.get(incarnation).map_or(0, |load| load.told.get())
    }

    /// Notes that this gateway's work is being told to peers.
    pub fn record_told(&mut self) {
        for load in self.by_incarnation.values_mut() {
            load.told.told(load.in_progress);
        }
    }

    /// Outstanding prefill time of this gateway's requests on an upstream, in milliseconds.
    pub fn remaining_prefill_ms(&self, incarnation: &UpstreamIncarnation) -> f64 {
        self.by_incarnation.get(incarnation).map_or(0.0, |load| load.remaining_prefill_ms)
    }

    /// Slots of an upstream as it reported them last.
    pub fn reported_slots(&self, incarnation: &UpstreamIncarnation) -> Option<u32> {
        let (_, reported) = self.by_incarnation.get(incarnation)?.reported?;
        reported.slots
    }

    /// This gateway's work on each upstream that has any.
    pub fn local_work(&self) -> impl Iterator<Item = (UpstreamKey, WorkInProgress)> {
        let busy = self.by_incarnation.iter().filter(|(_, load)| load.in_progress > 0);
        busy.map(|(incarnation, load)| {
            let engine_ms = load.remaining_prefill_ms + load.remaining_generation_ms;
            let work = WorkInProgress {
                requests: load.in_progress,
                prefill_ms: load.remaining_prefill_ms.round() as u32,
                engine_ms: engine_ms.round() as u32,
            };
            (UpstreamKey::of(incarnation), work)
        })
    }

    /// Drops upstreams that are no longer known and have no work in progress.
    pub fn retain(&mut self, mut is_known: impl FnMut(&UpstreamIncarnation) -> bool) {
        self.by_incarnation
            .retain(|incarnation, load| load.in_progress > 0 || is_known(incarnation));
    }
}
