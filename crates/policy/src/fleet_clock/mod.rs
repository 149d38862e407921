//! The time of day that all gateways agree on.
//!
//! The time of day of a host may be wrong, and may jump. Its monotonic clock does neither, so the time of day is
//! kept as an offset to that clock. Each gateway tells a relay its time of day; the relay answers with the median,
//! by which its group goes. A clock that is off has no effect as long as most of the others are right.

use std::collections::HashMap;
use std::time::Duration;

use stallhoist_core::HostId;
use stallhoist_core::MonoTime;

/// A reading of a host's time of day, relative to the monotonic clock of this process, in milliseconds.
type OffsetMs = i64;

/// How long a peer's reading counts. Peers send one more often than that.
const READING_LIFETIME: Duration = Duration::from_secs(30);

/// Maximum number of peers whose readings are kept.
const MAX_READINGS: usize = 2_000;

#[derive(Debug, Clone, Copy)]
struct Reading {
    offset_ms: OffsetMs,
    read_at: MonoTime,
}

/// The time of day that all gateways agree on, as known to one of them.
#[derive(Debug, Clone, Default)]
pub struct FleetClock {
    /// The readings of the peers that report to this gateway.
    peers: HashMap<HostId, Reading>,
    /// The median that a relay has answered with.
    adopted: Option<Reading>,
    /// The offset that was agreed on last.
    agreed_ms: OffsetMs,
}

impl FleetClock {
    /// Records the time of day of a peer, as a duration since the Unix epoch.
    pub fn record_peer(&mut self, now: MonoTime, host: HostId, unix: Duration) {
        self.peers.retain(|_, reading| now.since(reading.read_at) < READING_LIFETIME);
        if self.peers.len() < MAX_READINGS || self.peers.contains_key(&host) {
            let reading = Reading { offset_ms: offset_ms(now, unix), read_at: now };
            self.peers.insert(host, reading);
        }
    }

    /// Goes by the time of day that a relay has answered with.
    pub fn adopt(&mut self, now: MonoTime, unix: Duration) {
        self.adopted = Some(Reading { offset_ms: offset_ms(now, unix), read_at: now });
    }

    /// The agreed time of day, as a duration since the Unix epoch; `local` is that of this host.
    ///
    /// What a relay has answered counts for as long as no peer reports to this gateway.
    pub fn unix(&mut self, now: MonoTime, local: Duration) -> Duration {
        let is_recent = |reading: &&Reading| now.since(reading.read_at) < READING_LIFETIME;
        let peers: Vec<OffsetMs> =
            self.peers.values().filter(is_recent).map(|reading| reading.offset_ms).collect();
        self.agreed_ms = match self.adopted {
            Some(adopted) if peers.is_empty() => adopted.offset_ms,
            _ => median(peers, offset_ms(now, local)),
        };
        self.unix_at(now)
    }

    /// The time of day at a point of this process's clock, which may be past, as agreed on by the last call of
    /// [`unix`](Self::unix).
    pub fn unix_at(&self, at: MonoTime) -> Duration {
        let unix_ms = mono_ms(at).saturating_add(self.agreed_ms);
        Duration::from_millis(u64::try_from(unix_ms).unwrap_or(0))
    }
}

/// The median of the readings of the peers and of this host; the lower one of two.
fn median(mut offsets_ms: Vec<OffsetMs>, local_ms: OffsetMs) -> OffsetMs {
    offsets_ms.push(local_ms);
    offsets_ms.sort_unstable();
    offsets_ms[(offsets_ms.len() - 1) / 2]
}

fn offset_ms(now: MonoTime, unix: Duration) -> OffsetMs {
    let unix_ms = i64::try_from(unix.as_millis()).unwrap_or(i64::MAX);
    unix_ms.saturating_sub(mono_ms(now))
}

fn mono_ms(now: MonoTime) -> i64 {
    i64::try_from(now.since(MonoTime::default()).as_millis()).unwrap_or(i64::MAX)
}
