//! Streams that broke recently, kept until it is known whether their upstream crashed.

use std::collections::HashMap;
use std::time::Duration;

use stallhoist_core::MonoTime;

use super::Exposure;
use crate::balance::UpstreamKey;

/// How long after a stream broke a crash of its upstream is attributed to its request. The host list
/// reports the next incarnation within seconds, or later while the store is unavailable.
const ATTRIBUTION_WINDOW: Duration = Duration::from_secs(6);

/// The most broken streams that are kept. A network partition breaks every stream.
const MAX_BROKEN_STREAMS: usize = 2_000;

/// A request whose response stream broke.
#[derive(Debug)]
struct BrokenStream {
    exposure: Exposure,
    at: MonoTime,
}

/// Recently broken streams, by upstream incarnation.
///
/// A broken connection is no proof of a crash: the network may have cut it. If the host refuses a new
/// connection, the crash is certain at once. But a supervisor may hold the socket, the next incarnation
/// may listen within milliseconds, and the host may have failed together with its process.
#[derive(Debug, Default)]
pub(super) struct BrokenStreams {
    by_upstream: HashMap<UpstreamKey, Vec<BrokenStream>>,
    count: usize,
}

impl BrokenStreams {
    pub(super) fn is_empty(&self) -> bool {
        self.count == 0
    }

    pub(super) fn record_broken_stream(
        &mut self,
        now: MonoTime,
        exposure: Exposure,
        upstream: UpstreamKey,
    ) {
        if self.count < MAX_BROKEN_STREAMS {
            self.by_upstream.entry(upstream).or_default().push(BrokenStream { exposure, at: now });
            self.count += 1;
        }
    }

    /// Takes what an upstream that has terminated was given with requests whose streams broke recently. Each is
    /// returned once.
    pub(super) fn take_recent(
        &mut self,
        now: MonoTime,
        upstream: UpstreamKey,
    ) -> impl Iterator<Item = Exposure> + use<> {
        let broken_streams = self.by_upstream.remove(&upstream).unwrap_or_default();
        self.count -= broken_streams.len();
        let recent = broken_streams.into_iter().filter(move |stream| is_recent(now, stream));
        recent.map(|stream| stream.exposure)
    }

    pub(super) fn expire(&mut self, now: MonoTime) {
        self.by_upstream.retain(|_, broken_streams| {
            broken_streams.retain(|stream| is_recent(now, stream));
            !broken_streams.is_empty()
        });
        self.count = self.by_upstream.values().map(Vec::len).sum();
    }
}

fn is_recent(now: MonoTime, stream: &BrokenStream) -> bool {
    now.since(stream.at) < ATTRIBUTION_WINDOW
}
