//! The counts of all gateways.

use std::collections::BTreeMap;
use std::collections::HashMap;
use std::time::Duration;

use stallhoist_core::HostId;
use stallhoist_core::MonoTime;
use stallhoist_core::WorkspaceName;

use super::UsageWindow;

/// Maximum number of counts kept of one window. A bound on what peers may send: beyond it, counts are dropped.
const MAX_COUNTS_PER_WINDOW: usize = 200_000;

/// How long a peer's mark counts. A peer that has sent none for as long is gone, or reports to another gateway.
const MARK_LIFETIME: Duration = Duration::from_secs(3);

/// The time up to which the counts of a peer, and of those that report to it, are complete here.
#[derive(Debug, Clone, Copy)]
struct Mark {
    complete_through: Duration,
    received_at: MonoTime,
}

/// A run of a gateway's process, which counts.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct UsageSource(pub u64);

/// What one process has counted of a workspace in a window, so far.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct UsageUpdate {
    /// The window.
    pub window: UsageWindow,
    /// The process that counted.
    pub source: UsageSource,
    /// The workspace.
    pub workspace: WorkspaceName,
    /// Its requests that upstreams began to run.
    pub requests: u32,
}

#[derive(Debug, Clone)]
struct Count {
    requests: u32,
    /// The revision of the whole at its last change.
    revision: u64,
}

#[derive(Debug, Clone, Default)]
struct SourceCounts {
    /// The peer that sent them; none for those of this process.
    sender: Option<HostId>,
    by_workspace: HashMap<WorkspaceName, Count>,
}

/// The counts of one window.
#[derive(Debug, Clone, Default)]
struct WindowCounts {
    sources: HashMap<UsageSource, SourceCounts>,
    /// Number of counts of all sources.
    len: usize,
}

impl WindowCounts {
    /// Sets a count to the value that `update` makes of the present one, which is 0 at first.
    fn update(
        &mut self,
        source: UsageSource,
        workspace: &WorkspaceName,
        revision: u64,
        update: impl FnOnce(u32) -> u32,
    ) {
        let counts = &mut self.sources.entry(source).or_default().by_workspace;
        match counts.get_mut(workspace) {
            Some(count) => {
                let requests = update(count.requests);
                if requests != count.requests {
                    *count = Count { requests, revision };
                }
            }
            None if self.len < MAX_COUNTS_PER_WINDOW => {
                let count = Count { requests: update(0), revision };
                counts.insert(workspace.clone(), count);
                self.len += 1;
            }
            None => {}
        }
    }
}

/// The counts of all gateways, by window, process and workspace.
///
/// Counts only grow, so an update that arrives twice, late or by two paths has no further effect.
#[derive(Debug, Clone)]
pub struct UsageCounts {
    local: UsageSource,
    revision: u64,
    windows: BTreeMap<UsageWindow, WindowCounts>,
    /// Windows before this one are no longer counted.
    first: UsageWindow,
    started_at: MonoTime,
    /// The time of day when this process started.
    started_unix: Duration,
    marks: HashMap<HostId, Mark>,
    /// When a peer was heard last.
    heard_at: Option<MonoTime>,
}

impl UsageCounts {
    /// Creates the counts of a process that starts at `now`; `unix` is the time of day.
    pub fn new(local: UsageSource, now: MonoTime, unix: Duration) -> Self {
        Self {
            local,
            revision: 0,
            windows: BTreeMap::new(),
            first: UsageWindow::default(),
            started_at: now,
            started_unix: unix,
            marks: HashMap::new(),
            heard_at: None,
        }
    }

    /// Records that all that a peer, and those that report to it, have counted before `complete_through` is merged.
    pub fn record_mark(&mut self, now: MonoTime, host: HostId, complete_through: Duration) {
        self.marks.retain(|_, mark| now.since(mark.received_at) < MARK_LIFETIME);
        self.marks.insert(host, Mark { complete_through, received_at: now });
        self.record_contact(now);
    }

    /// Records that a peer was heard.
    pub fn record_contact(&mut self, now: MonoTime) {
        self.heard_at = Some(now);
    }

    /// The time up to which the counts of this process, and of those that report to it, are complete, regardless of
    /// the hosts `excluded`: what is told to a peer must not depend on what that peer has told. Peers need a while to
    /// find a process that has just started.
    pub fn complete_through(&self, now: MonoTime, unix: Duration, excluded: &[HostId]) -> Duration {
        let counts = |(host, mark): &(&HostId, &Mark)| {
            now.since(mark.received_at) < MARK_LIFETIME && !excluded.contains(host)
        };
        let marks = self.marks.iter().filter(counts).map(|(_, mark)| mark.complete_through);
        let is_new = now.since(self.started_at) < MARK_LIFETIME;
        let own = if is_new { unix.min(self.started_unix) } else { unix };
        marks.fold(own, Duration::min)
    }

    /// Whether it is known of any peer how far its counts are complete here.
    pub fn has_marks(&self, now: MonoTime) -> bool {
        self.marks.values().any(|mark| now.since(mark.received_at) < MARK_LIFETIME)
    }

    /// Whether a peer has been heard lately.
    pub fn is_connected(&self, now: MonoTime) -> bool {
        self.heard_at.is_some_and(|at| now.since(at) < MARK_LIFETIME)
    }

    /// Counts a request that an upstream began to run.
    pub fn record(&mut self, window: UsageWindow, workspace: &WorkspaceName) {
        self.revision += 1;
        let counts = self.windows.entry(window).or_default();
        counts.update(self.local, workspace, self.revision, |known| known.saturating_add(1));
    }

    /// Merges what a peer sent.
    pub fn merge(&mut self, sender: &HostId, update: UsageUpdate) {
        let UsageUpdate { window, source, workspace, requests } = update;
        if window < self.first || source == self.local {
            return;
        }
        self.revision += 1;
        let counts = self.windows.entry(window).or_default();
        counts.update(source, &workspace, self.revision, |known| known.max(requests));
        if let Some(counts) = counts.sources.get_mut(&source) {
            counts.sender = Some(sender.clone());
        }
    }

    /// The counts that have changed after a revision and were not received from one of the hosts `excluded`, and
    /// the present revision.
    pub fn changes(&self, after: u64, excluded: &[HostId]) -> (Vec<UsageUpdate>, u64) {
        let mut updates = Vec::new();
        for (window, counts) in &self.windows {
            for (source, counts) in &counts.sources {
                if counts.sender.as_ref().is_some_and(|sender| excluded.contains(sender)) {
                    continue;
                }
                let changed = counts.by_workspace.iter().filter(|(_, c)| c.revision > after);
                updates.extend(changed.map(|(workspace, count)| UsageUpdate {
                    window: *window,
                    source: *source,
                    workspace: workspace.clone(),
                    requests: count.requests,
                }));
            }
        }
        (updates, self.revision)
    }

    /// The usage of a window at all gateways, as far as it is known.
    pub fn total(&self, window: UsageWindow) -> BTreeMap<WorkspaceName, u64> {
        let mut total = BTreeMap::new();
        let sources = self.windows.get(&window).into_iter().flat_map(|c| c.sources.values());
        for (workspace, count) in sources.flat_map(|counts| &counts.by_workspace) {
            *total.entry(workspace.clone()).or_default() += u64::from(count.requests);
        }
        total
    }

    /// Whether anything is known of a window.
    pub fn has(&self, window: UsageWindow) -> bool {
        self.windows.contains_key(&window)
    }

    /// Drops the windows before `first`.
    pub fn expire(&mut self, first: UsageWindow) {
        self.first = self.first.max(first);
        self.windows = self.windows.split_off(&self.first);
    }
}
