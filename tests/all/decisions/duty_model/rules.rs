//! The rules of a single holder, checked against the reports that the platform has accepted.

use std::collections::BTreeMap;

use stallhoist_core::FencingToken;
use stallhoist_core::HostId;

use super::world::Accepted;
use super::world::LEASE;
use super::world::TICK;
use super::world::World;

impl World {
    /// The rules of a single holder, as the platform sees them.
    pub(super) fn check(&self) -> Result<(), String> {
        self.check_reports()?;
        self.check_epochs()?;
        self.check_turns()
    }

    /// For one window, all accepted reports are the same.
    fn check_reports(&self) -> Result<(), String> {
        let mut reports = BTreeMap::new();
        for accepted in &self.accepted {
            let report = &accepted.call.report;
            let first = reports.entry(report.window).or_insert(report);
            if *first != report {
                return Err(format!("two reports of window {}", report.window));
            }
        }
        Ok(())
    }

    /// An epoch belongs to one host, and epochs do not go back.
    fn check_epochs(&self) -> Result<(), String> {
        let mut hosts: BTreeMap<FencingToken, &HostId> = BTreeMap::new();
        let mut highest = FencingToken(0);
        for Accepted { tick, call, is_after_thaw } in &self.accepted {
            if *hosts.entry(call.epoch).or_insert(&call.host) != &call.host {
                return Err(format!("two holders of epoch {}", call.epoch));
            }
            if !is_after_thaw && call.epoch < highest {
                return Err(format!("epoch {} after {highest} at tick {tick}", call.epoch));
            }
            highest = highest.max(call.epoch);
        }
        Ok(())
    }

    /// No host acts again within the lease's duration after another one has acted in between.
    fn check_turns(&self) -> Result<(), String> {
        let counted: Vec<_> = self.accepted.iter().filter(|a| !a.is_after_thaw).collect();
        for (n, first) in counted.iter().enumerate() {
            let mut is_other_seen = false;
            for later in &counted[n + 1..] {
                let is_same = later.call.host == first.call.host;
                let since = TICK * (later.tick - first.tick) as u32;
                if is_same && is_other_seen && since < LEASE {
                    return Err(format!("{} acts out of turn", later.call.host));
                }
                is_other_seen |= !is_same;
            }
        }
        Ok(())
    }
}
