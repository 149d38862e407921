//! The work that this entry has in progress on each upstream.

use std::collections::HashMap;
use std::time::Duration;

use stallhoist_core::MonoTime;
use stallhoist_core::UpstreamIncarnation;

use super::UpstreamKey;
use super::WorkInProgress;

/// How long the load that an upstream reported is believed.
const REPORT_LIFETIME: Duration = Duration::from_millis(500);

/// What one request adds to an upstream's work.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct PrefillWork {
    /// How long the engine is expected to read the request's prompt, in milliseconds.
    pub remaining_prefill_ms: f64,
}

/// The load that an upstream put into one of its answers.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct ReportedLoad {
    /// Requests in progress there.
    pub running: u32,
    /// Requests waiting there.
    pub waiting: u32,
}

impl ReportedLoad {
    /// Requests that it has to do.
    pub fn in_progress(self) -> u32 {
        self.running.saturating_add(self.waiting)
    }
}

#[derive(Debug, Default)]
struct StartLoad {
    in_progress: u32,
    remaining_prefill_ms: f64,
    reported: Option<(MonoTime, ReportedLoad)>,
}

/// The work that this entry has in progress on each upstream, and what the upstreams
/// reported of themselves.
#[derive(Debug, Default)]
pub struct UpstreamLoad {
    by_start: HashMap<UpstreamIncarnation, StartLoad>,
}

impl UpstreamLoad {
    /// Work was sent.
    pub fn request_started(&mut self, start: &UpstreamIncarnation, work: PrefillWork) {
        let load = self.by_start.entry(start.clone()).or_default();
        load.in_progress += 1;
        load.remaining_prefill_ms += work.remaining_prefill_ms;
    }

    /// The first part of the answer came: its prompt has been read.
    pub fn prefill_finished(&mut self, start: &UpstreamIncarnation, work: PrefillWork) {
        if let Some(load) = self.by_start.get_mut(start) {
            load.remaining_prefill_ms =
                (load.remaining_prefill_ms - work.remaining_prefill_ms).max(0.0);
        }
    }

    /// The work has ended, however; `work` is what had not been read by then.
    pub fn request_ended(&mut self, start: &UpstreamIncarnation, work: PrefillWork) {
        self.prefill_finished(start, work);
        if let Some(load) = self.by_start.get_mut(start) {
            load.in_progress = load.in_progress.saturating_sub(1);
        }
    }

    /// An upstream told its load.
    pub fn record_report(
        &mut self,
        now: MonoTime,
        start: &UpstreamIncarnation,
        load: ReportedLoad,
    ) {
        self.by_start.entry(start.clone()).or_default().reported = Some((now, load));
    }

    /// Requests in progress: this entry's own and `others`, or what the upstream told if that
    /// is more.
    pub fn in_progress(&self, now: MonoTime, start: &UpstreamIncarnation, others: u32) -> u32 {
        let Some(load) = self.by_start.get(start) else {
            return others;
        };
        let known = load.in_progress.saturating_add(others);
        let reported = load.reported.filter(|(at, _)| now.since(*at) < REPORT_LIFETIME);
        reported.map_or(known, |(_, r)| known.max(r.in_progress()))
    }

    /// How long an upstream is expected to read prompts of this entry's requests.
    pub fn remaining_prefill_ms(&self, start: &UpstreamIncarnation) -> f64 {
        self.by_start.get(start).map_or(0.0, |load| load.remaining_prefill_ms)
    }

    /// This entry's work on each upstream that has any.
    pub fn local_work(&self) -> impl Iterator<Item = (UpstreamKey, WorkInProgress)> {
        let busy = self.by_start.iter().filter(|(_, load)| load.in_progress > 0);
        busy.map(|(start, load)| {
            let prefill_ms = load.remaining_prefill_ms.round() as u32;
            let work = WorkInProgress { requests: load.in_progress, prefill_ms };
            (UpstreamKey::of(start), work)
        })
    }

    /// Forgets upstreams that are gone and have no work left.
    pub fn retain(&mut self, mut is_known: impl FnMut(&UpstreamIncarnation) -> bool) {
        self.by_start.retain(|start, load| load.in_progress > 0 || is_known(start));
    }
}
