//! What pages of the store say comes into force.

use stallhoist_policy::cold::ReportedCold;

use super::Follower;
use super::change_log::log_change;
use crate::control_store::Change;
use crate::control_store::ControlStore;
use crate::control_store::Feed;
use crate::control_store::FeedPage;
use crate::members::Member;

impl<S: ControlStore> Follower<S> {
    pub(super) fn take_whole(&mut self, page: FeedPage) {
        match self.feed {
            Feed::Members => self.take_members(page),
            Feed::Operators => self.take_operators(page),
            Feed::Entries => self.take_changes(page),
            Feed::FatalRequests => self.take_fatal_requests(page),
            Feed::Rollouts => self.take_rollouts(page),
        }
    }

    /// All records of roll-outs: those of others are gone.
    fn take_rollouts(&mut self, page: FeedPage) {
        self.note_clock(&page);
        let changes = self.decode(&page);
        let recorded = changes.iter().filter_map(|change| match change {
            Change::Rollout(stored) => Some(stored.service.clone()),
            _ => None,
        });
        self.state.rollouts.lock().retain_recorded(page.version, &recorded.collect());
        changes.into_iter().for_each(|change| self.take(change));
        self.state.set_has_rollouts();
    }

    fn take_members(&mut self, page: FeedPage) {
        let mut members: Vec<Member> = Vec::new();
        for change in self.decode(&page) {
            match change {
                Change::MemberListed(member) => members.push(member),
                other => self.take(other),
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

    /// All that operators have written. The zones come first: the configuration lets the entry
    /// serve. A copy that is older than what was known takes no zone back.
    fn take_operators(&mut self, page: FeedPage) {
        let is_newest = self.eras.is_newest(page.version);
        self.note_clock(&page);
        let changes = self.decode(&page);
        if is_newest {
            let emptied = changes.iter().filter_map(|change| match change {
                Change::ZoneEmptied(zone) => Some(zone.clone()),
                _ => None,
            });
            let now = self.state.now();
            self.state.upstreams.set_emptied_zones(now, &emptied.collect());
        }
        changes.into_iter().for_each(|change| self.take(change));
    }

    /// All requests that are held back: no other one is any more.
    fn take_fatal_requests(&mut self, page: FeedPage) {
        let changes = self.decode(&page);
        let listed = changes.iter().filter_map(|change| match change {
            Change::FatalRequest(stored) => Some(stored.request),
            _ => None,
        });
        let (state, listed) = (&self.state, listed.collect());
        let version = page.version;
        state.fatal.change(|requests| requests.retain_stored(state.now(), version, &listed));
        changes.into_iter().for_each(|change| self.take(change));
        self.state.set_has_fatal_requests();
    }

    pub(super) fn take_changes(&mut self, page: FeedPage) {
        self.note_clock(&page);
        for change in self.decode(&page) {
            self.take(change);
        }
    }

    /// What the store's clock says.
    fn note_clock(&self, page: &FeedPage) {
        let now = self.state.now();
        self.state.rollouts.lock().set_store_clock(now, page.store_now_ms);
    }

    /// What the rows of a page say. For one that cannot be read, what was known stays in
    /// force.
    pub(super) fn decode(&mut self, page: &FeedPage) -> Vec<Change> {
        let mut changes = Vec::new();
        for row in &page.rows {
            match self.store.decode(self.feed, row) {
                Ok(change) => changes.extend(change),
                Err(error) => {
                    let outcome = "what was known stays in force";
                    self.unreadable(&error.key, &error.problem, outcome);
                }
            }
        }
        changes
    }

    /// A row cannot be read. Rows of other writers may come as often as they like, so the log
    /// has one line in a while.
    fn unreadable(&mut self, key: &str, problem: &str, outcome: &str) {
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

    pub(super) fn take(&mut self, change: Change) {
        if let Change::MemberUnreadable(member) = &change {
            let outcome = "it names no upstream";
            self.unreadable(member.instance.as_str(), &member.problem, outcome);
        }
        if let Change::MemberListed(member) = &change
            && member.cold == ReportedCold::Unreadable
        {
            let outcome = "it is taken to be cold after its start";
            let problem = "how much longer it is cold is no time";
            self.unreadable(member.start.instance.as_str(), problem, outcome);
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
            Change::FatalRequestGone(request) => {
                state.fatal.change(|requests| requests.unstored(state.now(), request));
            }
        }
    }
}
