//! Puts the pages read from the store into effect.

use stallhoist_policy::cold::ReportedCold;

use super::Follower;
use super::change_log::log_change;
use crate::control_store::Change;
use crate::control_store::ControlStore;
use crate::control_store::Feed;
use crate::control_store::FeedPage;
use crate::members::Member;

impl<S: ControlStore> Follower<S> {
    pub(super) fn apply_whole(&mut self, page: FeedPage) {
        match self.feed {
            Feed::Members => self.apply_members(page),
            Feed::Operators => self.apply_operators(page),
            Feed::Entries => {
                let era = page.version.era;
                self.apply_changes(page);
                self.state.set_has_gateways(era);
            }
            Feed::FatalRequests => self.apply_fatal_requests(page),
            Feed::Rollouts => self.apply_rollouts(page),
        }
    }

    /// Applies all rollout records; those of other services are gone.
    fn apply_rollouts(&mut self, page: FeedPage) {
        self.observe_store_clock(&page);
        let changes = self.decode(&page);
        let recorded = changes.iter().filter_map(|change| match change {
            Change::Rollout(stored) => Some(stored.service.clone()),
            _ => None,
        });
        self.state.rollouts.lock().retain_recorded(page.version, &recorded.collect());
        changes.into_iter().for_each(|change| self.apply(change));
        self.state.set_has_rollouts();
    }

    fn apply_members(&mut self, page: FeedPage) {
        let mut members: Vec<Member> = Vec::new();
        for change in self.decode(&page) {
            match change {
                Change::MemberListed(member) => members.push(member),
                other => self.apply(other),
            }
        }
        log::info!(
            upstreams = members.len(),
            store_version:% = page.version;
            "list of upstreams read"
        );
        for start in self.state.upstreams.replace(self.state.now(), members) {
            self.state.confirm_termination(&start);
        }
        self.state.set_has_members();
    }

    /// Applies all that operators have written. Zones come first, as the configuration makes the
    /// gateway ready to serve. A copy that is older than local state takes no emptied zone back.
    fn apply_operators(&mut self, page: FeedPage) {
        let is_newest = self.eras.is_newest(page.version);
        self.observe_store_clock(&page);
        let changes = self.decode(&page);
        if is_newest {
            let emptied = changes.iter().filter_map(|change| match change {
                Change::ZoneEmptied(zone) => Some(zone.clone()),
                _ => None,
            });
            let now = self.state.now();
            self.state.upstreams.set_emptied_zones(now, &emptied.collect());
        }
        changes.into_iter().for_each(|change| self.apply(change));
    }

    /// Applies all quarantined subjects; no other one is quarantined any more.
    fn apply_fatal_requests(&mut self, page: FeedPage) {
        let changes = self.decode(&page);
        let listed = changes.iter().filter_map(|change| match change {
            Change::FatalRequest(stored) => Some(stored.subject),
            _ => None,
        });
        let (state, listed) = (&self.state, listed.collect());
        let version = page.version;
        state.fatal.change(|subjects| subjects.retain_stored(state.now(), version, &listed));
        changes.into_iter().for_each(|change| self.apply(change));
        self.state.set_has_fatal_requests();
    }

    pub(super) fn apply_changes(&mut self, page: FeedPage) {
        self.observe_store_clock(&page);
        for change in self.decode(&page) {
            self.apply(change);
        }
    }

    /// Records the store's clock.
    fn observe_store_clock(&self, page: &FeedPage) {
        let now = self.state.now();
        self.state.rollouts.lock().set_store_clock(now, page.store_now_ms);
    }

    /// Decodes the rows of a page. A row that cannot be read leaves the previous state active.
    pub(super) fn decode(&mut self, page: &FeedPage) -> Vec<Change> {
        let mut changes = Vec::new();
        for row in &page.rows {
            match self.store.decode(self.feed, row) {
                Ok(change) => changes.extend(change),
                Err(error) => {
                    let outcome = "the previous state stays active";
                    self.record_unreadable(&error.key, &error.problem, outcome);
                }
            }
        }
        changes
    }

    /// Reports a row that cannot be read. The log line is rate-limited, as other writers may cause
    /// such rows at any rate.
    fn record_unreadable(&mut self, key: &str, problem: &str, outcome: &str) {
        self.state.metrics.unreadable_rows.inc();
        let Some(left_out) = self.unreadable_rows.pass(self.state.now()) else {
            return;
        };
        log::error!(
            feed:? = self.feed,
            key = key,
            problem = problem,
            outcome = outcome,
            left_out = left_out;
            "a row cannot be read"
        );
    }

    pub(super) fn apply(&mut self, change: Change) {
        if let Change::MemberUnreadable(member) = &change {
            let outcome = "the row is ignored";
            self.record_unreadable(member.instance.as_str(), &member.problem, outcome);
        }
        if let Change::MemberListed(member) = &change
            && member.cold == ReportedCold::Unreadable
        {
            let outcome = "the upstream counts as cold after its start";
            let problem = "how much longer it is cold is no time";
            self.record_unreadable(member.start.instance.as_str(), problem, outcome);
        }
        log_change(&change);
        let state = &self.state;
        match change {
            Change::Config(config) => state.install_config(config),
            Change::RolloutOrdered(order) => state.rollouts.lock().apply_order(order),
            Change::Rollout(stored) => state.rollouts.lock().stored(stored),
            Change::MemberListed(_) | Change::MemberGone(_) | Change::MemberUnreadable(_) => {
                for start in state.upstreams.apply(state.now(), change) {
                    state.confirm_termination(&start);
                }
            }
            Change::ZoneEmptied(zone) => state.upstreams.mark_zone_emptied(zone),
            Change::ZoneTakenBack(zone) => {
                state.upstreams.restore_zone(state.now(), &zone);
            }
            Change::EntryListed(entry) => state.gateway_listed(entry),
            Change::FatalRequest(stored) => state.fatal.stored(state.now(), &stored),
            Change::FatalRequestGone(subject) => {
                state.fatal.change(|subjects| subjects.unstored(state.now(), subject));
            }
        }
    }
}
