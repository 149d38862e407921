//! Protocol buffer of a gateway's evidence on a rollout.

use std::cmp::Reverse;

use stallhoist_core::NameError;
use stallhoist_core::RouteName;
use stallhoist_core::ServiceName;
use stallhoist_core::StoreVersion;
use stallhoist_policy::rollout::AnswerCounts;
use stallhoist_policy::rollout::EvidenceTotals;
use stallhoist_policy::rollout::RouteCounts;
use stallhoist_policy::rollout::TimedCounts;
use stallhoist_policy::rollout::VersionCounts;

use crate::rollouts::EvidenceReport;
use crate::rollouts::ProcessRun;
use crate::rollouts::ReportPath;

/// Maximum number of routes in one message, of about 25 bytes each.
const MAX_ROUTES: usize = 32;

/// A gateway's evidence on a rollout, cumulative.
#[derive(Clone, PartialEq, prost::Message)]
pub(super) struct Evidence {
    #[prost(string, tag = "1")]
    pub(super) service: String,
    /// Version of the order's row: counts for another order are ignored.
    #[prost(uint64, tag = "2")]
    pub(super) order_version: u64,
    /// Responses of the old version.
    #[prost(uint64, tag = "3")]
    pub(super) old_answers: u64,
    /// Those that failed.
    #[prost(uint64, tag = "4")]
    pub(super) old_failures: u64,
    /// Responses of the old version whose time to first chunk was compared.
    #[prost(uint64, tag = "5")]
    pub(super) old_first_parts: u64,
    /// Those that were slow.
    #[prost(uint64, tag = "6")]
    pub(super) old_slow_first_parts: u64,
    /// Responses of the new version.
    #[prost(uint64, tag = "7")]
    pub(super) new_answers: u64,
    /// Those that failed.
    #[prost(uint64, tag = "8")]
    pub(super) new_failures: u64,
    /// Responses of the new version whose time to first chunk was compared.
    #[prost(uint64, tag = "9")]
    pub(super) new_first_parts: u64,
    /// Those that were slow.
    #[prost(uint64, tag = "10")]
    pub(super) new_slow_first_parts: u64,
    /// Streams of the old version whose token interval was compared.
    #[prost(uint64, tag = "11")]
    pub(super) old_paces: u64,
    /// Those that were slow.
    #[prost(uint64, tag = "12")]
    pub(super) old_slow_paces: u64,
    /// Streams of the new version whose token interval was compared.
    #[prost(uint64, tag = "13")]
    pub(super) new_paces: u64,
    /// Those that were slow.
    #[prost(uint64, tag = "14")]
    pub(super) new_slow_paces: u64,
    /// The host that counted, if it is not the sender.
    #[prost(string, optional, tag = "15")]
    pub(super) host: Option<String>,
    /// The run of its process; absent from older releases.
    #[prost(fixed64, tag = "16")]
    pub(super) run: u64,
    /// Routes on which the new version has responded.
    #[prost(message, repeated, tag = "17")]
    pub(super) routes: Vec<RouteMessage>,
}

/// Counts of one route.
#[derive(Clone, PartialEq, prost::Message)]
pub(super) struct RouteMessage {
    #[prost(string, tag = "1")]
    pub(super) route: String,
    /// Responses of the old version.
    #[prost(uint64, tag = "2")]
    pub(super) old_answers: u64,
    /// Those that failed.
    #[prost(uint64, tag = "3")]
    pub(super) old_failures: u64,
    /// Responses of the new version.
    #[prost(uint64, tag = "4")]
    pub(super) new_answers: u64,
    /// Those that failed.
    #[prost(uint64, tag = "5")]
    pub(super) new_failures: u64,
}

impl RouteMessage {
    fn of((route, counts): (&RouteName, &RouteCounts)) -> Self {
        Self {
            route: route.to_string(),
            old_answers: counts.old.answers,
            old_failures: counts.old.failures,
            new_answers: counts.new.answers,
            new_failures: counts.new.failures,
        }
    }

    fn counts(&self) -> Result<(RouteName, RouteCounts), NameError> {
        let old = AnswerCounts { answers: self.old_answers, failures: self.old_failures };
        let new = AnswerCounts { answers: self.new_answers, failures: self.new_failures };
        Ok((self.route.parse()?, RouteCounts { old, new }))
    }
}

/// The routes with the most responses of the new version. Which routes are sent must not depend on the
/// failures: the rest would make a good version look bad.
fn routes_to_send(totals: &EvidenceTotals) -> Vec<RouteMessage> {
    let observed = totals.routes.iter().filter(|(_, counts)| counts.new.answers > 0);
    let mut observed: Vec<_> = observed.collect();
    observed.sort_by_key(|(_, counts)| Reverse(counts.new.answers));
    observed.into_iter().take(MAX_ROUTES).map(RouteMessage::of).collect()
}

impl Evidence {
    /// The sender's own counts.
    pub(super) fn own(
        run: ProcessRun,
        service: &ServiceName,
        order: StoreVersion,
        totals: &EvidenceTotals,
    ) -> Self {
        Self {
            service: service.to_string(),
            order_version: order.number,
            host: None,
            run: run.0,
            routes: routes_to_send(totals),
            old_answers: totals.old.answers,
            old_failures: totals.old.failures,
            old_first_parts: totals.old.first_parts.timed,
            old_slow_first_parts: totals.old.first_parts.slow,
            old_paces: totals.old.paces.timed,
            old_slow_paces: totals.old.paces.slow,
            new_answers: totals.new.answers,
            new_failures: totals.new.failures,
            new_first_parts: totals.new.first_parts.timed,
            new_slow_first_parts: totals.new.first_parts.slow,
            new_paces: totals.new.paces.timed,
            new_slow_paces: totals.new.paces.slow,
        }
    }

    /// The counts of another gateway.
    pub(super) fn passed_on(report: &EvidenceReport) -> Self {
        let own = Self::own(report.run, &report.service, report.order_version, &report.totals);
        Self { host: Some(report.host.to_string()), ..own }
    }

    /// The report, and how it came, in a message of this sender.
    ///
    /// # Errors
    /// Fails if the name of the host, the service or a route is invalid.
    pub(super) fn report(&self, sender: &str) -> Result<(EvidenceReport, ReportPath), NameError> {
        let path = if self.host.is_some() { ReportPath::PassedOn } else { ReportPath::Direct };
        let report = EvidenceReport {
            host: self.host.as_deref().unwrap_or(sender).parse()?,
            run: ProcessRun(self.run),
            service: self.service.parse()?,
            order_version: StoreVersion::of(self.order_version),
            totals: self.totals()?,
        };
        Ok((report, path))
    }

    fn totals(&self) -> Result<EvidenceTotals, NameError> {
        let old = VersionCounts {
            answers: self.old_answers,
            failures: self.old_failures,
            first_parts: TimedCounts {
                timed: self.old_first_parts,
                slow: self.old_slow_first_parts,
            },
            paces: TimedCounts { timed: self.old_paces, slow: self.old_slow_paces },
        };
        let new = VersionCounts {
            answers: self.new_answers,
            failures: self.new_failures,
            first_parts: TimedCounts {
                timed: self.new_first_parts,
                slow: self.new_slow_first_parts,
            },
            paces: TimedCounts { timed: self.new_paces, slow: self.new_slow_paces },
        };
        let routes = self.routes.iter().map(RouteMessage::counts).collect::<Result<_, _>>()?;
        Ok(EvidenceTotals { old, new, routes })
    }
}
