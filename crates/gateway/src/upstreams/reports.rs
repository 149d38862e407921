//! Reports that upstreams send about themselves in response headers.

use stallhoist_core::MonoTime;
use stallhoist_core::ServiceName;
use stallhoist_core::UpstreamIncarnation;
use stallhoist_policy::cold::ReportedCold;

use super::Upstreams;
use crate::upstream_report::UpstreamReport;

impl Upstreams {
    /// Applies the report in a response to a request sent at `sent`. Returns whether the known rate limit of
    /// the upstream has changed.
    pub(crate) fn record_report(
        &self,
        now: MonoTime,
        service: &ServiceName,
        incarnation: &UpstreamIncarnation,
        sent: MonoTime,
        upstream_report: &UpstreamReport,
    ) -> bool {
        let mut state = self.state.lock();
        if let Some(load) = upstream_report.load {
            state.load.record_report(now, incarnation, load);
            if let Some(pace) = load.pace {
                state.paces.record(now, service, incarnation, pace);
            }
        }
        if let Some(cold) = upstream_report.cold {
            state.cold.record_report(now, incarnation, ReportedCold::For(cold));
        }
        if upstream_report.is_leaving {
            state.directory.record_draining(now, incarnation);
        }
        if let Some(rest) = upstream_report.rest {
            state.backoffs.record(now, &incarnation.instance, rest);
        }
        let has_limit_changed =
            state.limits.record_report(now, incarnation, sent, upstream_report.limit);
        drop(state);
        if has_limit_changed {
            self.changed.notify_waiters();
        }
        has_limit_changed
    }
}
