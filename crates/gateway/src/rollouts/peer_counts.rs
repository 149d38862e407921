//! The counts that peers have reported on one rollout.

use std::collections::HashMap;
use std::collections::HashSet;

use stallhoist_core::HostId;
use stallhoist_policy::rollout::EvidenceTotals;

use super::EvidenceReport;
use super::ProcessRun;
use super::ReportPath;

/// A position in the sequence of reports that this gateway has received.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct ReportPosition(pub u64);

impl ReportPosition {
    /// The position after this one.
    pub(super) fn next(self) -> Self {
        Self(self.0 + 1)
    }
}

/// The largest counts that one run of a peer has reported.
#[derive(Debug)]
struct PeerRecord {
    totals: EvidenceTotals,
    /// The last direct report with more responses of the new version; none if there was none.
    reported_at: Option<ReportPosition>,
}

/// The counts that peers have reported on one rollout.
#[derive(Debug, Default)]
pub(super) struct PeerCounts {
    records: HashMap<(HostId, ProcessRun), PeerRecord>,
}

impl PeerCounts {
    /// Number of peers that have reported, each restart counted as another.
    pub(super) fn len(&self) -> usize {
        self.records.len()
    }

    /// Number of hosts that have reported.
    pub(super) fn hosts(&self) -> usize {
        self.records.keys().map(|(host, _)| host).collect::<HashSet<_>>().len()
    }

    pub(super) fn clear(&mut self) {
        self.records.clear();
    }

    /// Merges a report and returns the counts that were not known before.
    pub(super) fn merge(
        &mut self,
        report: &EvidenceReport,
        path: ReportPath,
        position: ReportPosition,
    ) -> EvidenceTotals {
        let key = (report.host.clone(), report.run);
        let record = self
            .records
            .entry(key)
            .or_insert_with(|| PeerRecord { totals: EvidenceTotals::default(), reported_at: None });
        let more = report.totals.since(&record.totals);
        record.totals.add(&more);
        if path == ReportPath::Direct && more.new != Default::default() {
            record.reported_at = Some(position);
        }
        more
    }

    /// The direct reports after a position that have more responses of the new version, with their
    /// positions. The old version's counts come along: a part of them suffices to know its rate.
    pub(super) fn reported_after(
        &self,
        position: ReportPosition,
    ) -> impl Iterator<Item = (ReportPosition, &HostId, ProcessRun, EvidenceTotals)> {
        self.records.iter().filter_map(move |((host, run), record)| {
            let at = record.reported_at.filter(|at| *at > position)?;
            Some((at, host, *run, record.totals.clone()))
        })
    }
}
