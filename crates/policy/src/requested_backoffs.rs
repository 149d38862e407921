//! Upstreams that have asked one entry for rest: with a refusal they say for how long they want nothing
//! from it.

use std::collections::HashMap;
use std::time::Duration;

use stallhoist_core::MonoTime;
use stallhoist_core::UpstreamIncarnation;

use crate::fleet_bound::SendQuota;

/// The longest rest that is believed, whatever is asked for: then one request finds out, so that no
/// upstream is put out by nonsense.
const LONGEST: Duration = Duration::from_secs(60);

/// The upstreams that have asked this entry for rest.
///
/// Unlike the pause after refusals (`balance::health`), which is this entry's own guess and is passed over
/// when no other upstream is well, a rest that was asked for always holds.
#[derive(Debug, Default)]
pub struct RequestedBackoffs {
    /// Until when, few mostly: each choice looks for each upstream here.
    by_start: HashMap<UpstreamIncarnation, MonoTime>,
}

impl RequestedBackoffs {
    /// An upstream asks for so much rest. A longer one that it has asked for before still holds, and no
    /// answer ends it: other requests may have been taken before it was asked for.
    pub fn asked(&mut self, now: MonoTime, start: &UpstreamIncarnation, rest: Duration) {
        let until = now.after(rest.min(LONGEST));
        let known = self.by_start.entry(start.clone()).or_insert(until);
        *known = until.max(*known);
    }

    /// Whether a request may be sent to an upstream now.
    pub fn place(&self, now: MonoTime, start: &UpstreamIncarnation) -> SendQuota {
        if self.by_start.is_empty() {
            return SendQuota::Unbounded;
        }
        match self.by_start.get(start) {
            Some(until) if now < *until => SendQuota::FreeAt(*until),
            _ => SendQuota::Unbounded,
        }
    }

    /// How many have asked for rest that is not over.
    pub fn count(&self, now: MonoTime) -> usize {
        self.by_start.values().filter(|until| now < **until).count()
    }

    /// Forgets rests that are over.
    pub fn expire(&mut self, now: MonoTime) {
        self.by_start.retain(|_, until| now < *until);
    }
}
