//! Shares of a service's engine time among workspaces.
//!
//! Each gateway counts the engine time that its callers asked for and the engine time of what was sent to
//! upstreams, by workspace; gateways exchange both for their busiest workspaces. While there is no room, what the
//! upstreams bear is divided max-min fairly among the workspaces by what they ask for: one that asks for less
//! than its share gets all of it, and its rest is lent to the others.
//!
//! Invariant: the state is bounded by `MAX_WORKSPACES` for this gateway and for each peer.

use std::collections::HashMap;
use std::time::Duration;

use stallhoist_core::EngineTime;
use stallhoist_core::HostId;
use stallhoist_core::MonoTime;
use stallhoist_core::WorkspaceName;
use xxhash_rust::xxh3::xxh3_64;

use super::ShareStatus;
use super::max_min::fair_share;
use super::recent_use::RecentUse;
use crate::peer_sums::PeerSums;
use crate::peer_sums::Summable;

/// The busiest workspaces that a gateway counts and sends to peers.
const MAX_WORKSPACES: usize = 64;

/// The most engine time that a peer may claim for one workspace: minutes of a thousand upstreams, far below
/// where sums overflow.
const MAX_USE_MS: u32 = 60_000_000;

/// How long a computed share is used. Peers' updates do not arrive more often.
const SHARE_TTL: Duration = Duration::from_millis(200);

/// A workspace that exceeds its share by less is within it: counts are rounded.
const TOLERANCE: f64 = 1.01;

/// Identifies a workspace between gateways: a hash of its name.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct WorkspaceKey(pub u64);

impl WorkspaceKey {
    /// Hashes a workspace's name.
    pub fn of(workspace: &WorkspaceName) -> Self {
        Self(xxh3_64(workspace.as_str().as_bytes()))
    }
}

/// Recent engine time of one workspace.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct WorkspaceUse {
    /// What its callers asked for, in milliseconds.
    pub asked_ms: u32,
    /// What was sent to upstreams, in milliseconds.
    pub sent_ms: u32,
}

impl Summable for WorkspaceUse {
    const MAX_ENTRIES: usize = MAX_WORKSPACES;

    fn plus(self, other: Self) -> Self {
        Self {
            asked_ms: self.asked_ms.saturating_add(other.asked_ms),
            sent_ms: self.sent_ms.saturating_add(other.sent_ms),
        }
    }

    fn minus(self, other: Self) -> Self {
        Self {
            asked_ms: self.asked_ms.saturating_sub(other.asked_ms),
            sent_ms: self.sent_ms.saturating_sub(other.sent_ms),
        }
    }

    fn bounded(self) -> Self {
        Self { asked_ms: self.asked_ms.min(MAX_USE_MS), sent_ms: self.sent_ms.min(MAX_USE_MS) }
    }
}

/// Shares of a service's engine time among workspaces, as one gateway knows them.
#[derive(Debug, Default)]
pub struct FairShares {
    local: HashMap<WorkspaceKey, RecentUse>,
    peers: PeerSums<WorkspaceKey, WorkspaceUse>,
    /// The share as computed last, and when.
    share: Option<(MonoTime, Option<EngineTime>)>,
}

impl FairShares {
    /// Records engine time that a caller asked for.
    pub fn record_asked(&mut self, now: MonoTime, workspace: WorkspaceKey, time: EngineTime) {
        self.of(now, workspace).record_asked(now, time);
    }

    /// Records engine time of an attempt that is sent to an upstream.
    pub fn record_sent(&mut self, now: MonoTime, workspace: WorkspaceKey, time: EngineTime) {
        self.of(now, workspace).record_sent(now, time);
    }

    /// Whether a workspace is within its share. `has_room` says that upstreams have room for all.
    pub fn status(
        &mut self,
        now: MonoTime,
        workspace: WorkspaceKey,
        has_room: bool,
    ) -> ShareStatus {
        if has_room {
            return ShareStatus::Within;
        }
        let Some(share) = self.share(now) else {
            return ShareStatus::Within;
        };
        let sent_ms = f64::from(self.total(now, workspace).sent_ms);
        let relative_use = sent_ms / share.as_millis().max(1.0);
        if relative_use > TOLERANCE {
            ShareStatus::Over { relative_use }
        } else {
            ShareStatus::Within
        }
    }

    /// This gateway's own counts, to send to peers.
    pub fn local_use(&self, now: MonoTime) -> impl Iterator<Item = (WorkspaceKey, WorkspaceUse)> {
        self.local.iter().map(move |(workspace, recent)| (*workspace, recent.at(now)))
    }

    /// This gateway's counts and those of the peers for which `included` holds.
    pub fn use_of_group(
        &self,
        now: MonoTime,
        included: impl Fn(&HostId) -> bool,
    ) -> HashMap<WorkspaceKey, WorkspaceUse> {
        let mut sum = self.local_use(now).collect();
        self.peers.sum_into(&mut sum, included);
        sum
    }

    /// Replaces the counts of a peer by what it has sent now.
    pub fn apply_peer_update(
        &mut self,
        now: MonoTime,
        host: HostId,
        counts: impl IntoIterator<Item = (WorkspaceKey, WorkspaceUse)>,
    ) {
        self.peers.apply_peer_update(now, host, counts);
    }

    /// Drops counts of peers that are past their time to live.
    pub fn expire(&mut self, now: MonoTime) {
        self.peers.expire(now);
    }

    fn of(&mut self, now: MonoTime, workspace: WorkspaceKey) -> &mut RecentUse {
        if self.local.len() >= MAX_WORKSPACES && !self.local.contains_key(&workspace) {
            self.evict_least(now);
        }
        self.local.entry(workspace).or_default()
    }

    fn evict_least(&mut self, now: MonoTime) {
        let least = self.local.iter().min_by_key(|(_, recent)| recent.at(now).asked_ms);
        if let Some(workspace) = least.map(|(workspace, _)| *workspace) {
            self.local.remove(&workspace);
        }
    }

    fn total(&self, now: MonoTime, workspace: WorkspaceKey) -> WorkspaceUse {
        let local = self.local.get(&workspace).map(|recent| recent.at(now)).unwrap_or_default();
        local.plus(self.peers.on(workspace))
    }

    /// The share of a workspace; none if all get what they ask for.
    fn share(&mut self, now: MonoTime) -> Option<EngineTime> {
        if let Some((at, share)) = self.share
            && now.since(at) < SHARE_TTL
        {
            return share;
        }
        let counts = self.use_of_group(now, |_| true);
        let time = |millis: u32| EngineTime::from_millis(f64::from(millis));
        let capacity = counts.values().map(|count| time(count.sent_ms)).sum();
        let share = fair_share(capacity, counts.values().map(|count| time(count.asked_ms)));
        self.share = Some((now, share));
        share
    }
}
