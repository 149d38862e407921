//! The duty of usage reports under faults: the holder is killed, frozen, stopped and cut off, and the platform does
//! not answer. The reports that the platform receives show one holder.

use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use serde_json::Value;
use serde_json::json;
use stallhoist_standins::FaultProxy;
use stallhoist_standins::users_platform::AcceptedReport;
use stallhoist_standins::users_platform::DutyFault;
use stallhoist_standins::users_platform::differing_reports;
use stallhoist_standins::users_platform::order_violations;

use super::faults::fail_link;
use super::fleet::Fleet;
use super::period::Period;
use super::plan::DutyFaultKind;
use super::plan::LinkFault;
use super::supervisor::Signal;
use super::violations::Violations;
use crate::harness::wait_until;

const LEASE: Duration = Duration::from_millis(1_000);
const WINDOW_S: u64 = 1;
const DUE_AFTER_S: u64 = 5;

/// A report may arrive this long after its sender was resumed or its link has healed: the call was under way.
const LATE_CALL: Duration = Duration::from_millis(1_000);

/// The settings of a gateway's duties.
pub(super) fn duty_settings(platform: &FaultProxy) -> Value {
    json!({
        "addr": platform.addr().to_string(),
        "lease": format!("{} ms", LEASE.as_millis()),
        "usage_window": format!("{WINDOW_S} s"),
        "usage_due_after": format!("{DUE_AFTER_S} s"),
    })
}

impl Fleet {
    /// Begins a fault of the present holder or of the platform.
    pub(super) fn fail_duty(&mut self, kind: DutyFaultKind, duration: Duration) {
        let holder = holder(&self.duty_platform.accepted());
        match (kind, holder) {
            (DutyFaultKind::Platform(fault), _) => self.fail_duty_platform(fault, duration),
            (DutyFaultKind::HolderLink(kind), Some(holder)) => {
                self.fail_duty_link(holder, kind, duration);
            }
            (DutyFaultKind::HolderStoreLink(kind), Some(holder)) => {
                self.fail_store_link(holder, kind, duration);
            }
            (DutyFaultKind::KillHolder, Some(holder)) => self.signal(holder, Signal::Kill),
            (DutyFaultKind::StopHolder, Some(holder)) => self.signal(holder, Signal::Terminate),
            (DutyFaultKind::FreezeHolder, Some(holder)) => {
                self.signal(holder, Signal::Freeze(duration));
            }
            (_, None) => {}
        }
    }

    fn fail_duty_platform(&mut self, fault: DutyFault, duration: Duration) {
        self.duty_platform.set_fault(Some(fault));
        let platform = Arc::clone(&self.duty_platform);
        self.recover_after(duration, async move { platform.set_fault(None) });
    }

    fn fail_duty_link(&mut self, gateway: usize, kind: LinkFault, duration: Duration) {
        self.duty_link_faults.push((gateway, Period::from_now(duration + LATE_CALL)));
        let links = Arc::clone(&self.duty_links);
        fail_link(&links[gateway], kind);
        self.recover_after(duration, async move { links[gateway].heal() });
    }

    /// Waits until the reports go on after all faults have ended.
    pub(super) async fn wait_for_report(&self) {
        let settled = Instant::now();
        wait_until("usage is reported after all faults have ended", async || {
            self.duty_platform.accepted().last().is_some_and(|report| report.arrived > settled)
        })
        .await;
    }
}

/// The gateway that has reported last.
fn holder(accepted: &[AcceptedReport]) -> Option<usize> {
    accepted.last()?.holder.strip_prefix("entry-")?.parse().ok()
}

/// Checks the rules of a single holder.
pub(super) fn check(fleet: &Fleet, violations: &Violations) {
    let accepted = fleet.duty_platform.accepted();
    let (on_time, late): (Vec<_>, Vec<_>) =
        accepted.iter().cloned().partition(|report| !may_be_late(fleet, report));
    let violated =
        differing_reports(&accepted).into_iter().chain(order_violations(&on_time, LEASE));
    for what in violated {
        violations.add(format!("{what}; {} late ones: {accepted:#?}", late.len()));
    }
}

/// Whether a report's sender was frozen, or its link was faulty, right before the report arrived.
fn may_be_late(fleet: &Fleet, report: &AcceptedReport) -> bool {
    let Some(number) = holder(std::slice::from_ref(report)) else {
        return false;
    };
    let (from, to) = (report.arrived - LATE_CALL, report.arrived);
    let mut links = fleet.duty_link_faults.iter().filter(|(gateway, _)| *gateway == number);
    fleet.gateways[number].was_faulty(from, to)
        || links.any(|(_, period)| period.overlaps(from, to))
}
