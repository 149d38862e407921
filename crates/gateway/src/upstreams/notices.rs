//! What upstreams say of themselves in answers.

use stallhoist_core::MonoTime;
use stallhoist_core::UpstreamIncarnation;
use stallhoist_policy::cold::ReportedCold;

use super::Upstreams;
use crate::upstream_report::UpstreamReport;

impl Upstreams {
    /// An upstream has said something of itself, in an answer to a request that was sent then. Says whether
    /// it names another limit than before.
    pub(crate) fn record_report(
        &self,
        now: MonoTime,
        start: &UpstreamIncarnation,
        sent: MonoTime,
        upstream_report: &UpstreamReport,
    ) -> bool {
        let mut known = self.known.lock();
        if let Some(load) = upstream_report.load {
            known.load.reported(now, start, load);
        }
        if let Some(cold) = upstream_report.cold {
            known.cold.record_report(now, start, ReportedCold::For(cold));
        }
        if upstream_report.is_leaving {
            known.directory.record_draining(now, start);
        }
        if let Some(rest) = upstream_report.rest {
            known.rests.record(now, start, rest);
        }
        let is_other_limit = known.limits.record_report(now, start, sent, upstream_report.limit);
        drop(known);
        if is_other_limit {
            self.changed.notify_waiters();
        }
        is_other_limit
    }
}
