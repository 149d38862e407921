//! Answers that broke off, until it shows whether their upstream has ended.

use std::collections::HashMap;
use std::time::Duration;

use stallhoist_core::MonoTime;
use stallhoist_core::RequestFingerprint;

use crate::balance::UpstreamKey;

/// How long after an answer broke off the end of its upstream is laid at its request's door: the list
/// tells of the next start within seconds, longer while the store is away.
const OPEN_FOR: Duration = Duration::from_secs(6);

/// The most breaks that are remembered. In a cut every answer breaks off.
const MAX_OPEN: usize = 2_000;

/// A request whose answer broke off.
#[derive(Debug)]
struct Break {
    request: RequestFingerprint,
    at: MonoTime,
}

/// Answers that broke off lately, by the upstream's start.
///
/// A connection that breaks proves nothing by itself: it may have been cut. Where the host refuses a
/// new one the end is proved at once. But a supervisor may hold the socket, the next start may listen
/// within milliseconds, and the host may have gone with its process.
#[derive(Debug, Default)]
pub(super) struct Breaks {
    by_upstream: HashMap<UpstreamKey, Vec<Break>>,
    count: usize,
}

impl Breaks {
    pub(super) fn is_empty(&self) -> bool {
        self.count == 0
    }

    pub(super) fn record_broken_stream(
        &mut self,
        now: MonoTime,
        request: RequestFingerprint,
        upstream: UpstreamKey,
    ) {
        if self.count < MAX_OPEN {
            self.by_upstream.entry(upstream).or_default().push(Break { request, at: now });
            self.count += 1;
        }
    }

    /// An upstream has ended. Gives the requests whose answers broke off there lately, once.
    pub(super) fn ended(
        &mut self,
        now: MonoTime,
        upstream: UpstreamKey,
    ) -> impl Iterator<Item = RequestFingerprint> + use<> {
        let breaks = self.by_upstream.remove(&upstream).unwrap_or_default();
        self.count -= breaks.len();
        let recent = breaks.into_iter().filter(move |open| is_open(now, open));
        recent.map(|open| open.request)
    }

    pub(super) fn expire(&mut self, now: MonoTime) {
        self.by_upstream.retain(|_, breaks| {
            breaks.retain(|open| is_open(now, open));
            !breaks.is_empty()
        });
        self.count = self.by_upstream.values().map(Vec::len).sum();
    }
}

fn is_open(now: MonoTime, open: &Break) -> bool {
    now.since(open.at) < OPEN_FOR
}
