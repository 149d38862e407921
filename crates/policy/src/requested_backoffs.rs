//! Back-offs that upstreams request: with a rejection, an upstream may state for how long it wants no further
//! request from this gateway.

use std::collections::HashMap;
use std::time::Duration;

use stallhoist_core::InstanceId;
use stallhoist_core::MonoTime;

use crate::fleet_bound::SendQuota;

/// Upper bound on a back-off, whatever the upstream requests. After it one request is sent, so that an
/// absurd value cannot take an upstream out of use for good.
const MAX_BACKOFF: Duration = Duration::from_secs(60);

/// The upstreams that have requested a back-off from this gateway.
///
/// The back-off after rejections (`balance::health`) is this gateway's own estimate and is ignored when no
/// other upstream is healthy. A requested back-off always applies.
#[derive(Debug, Default)]
pub struct RequestedBackoffs {
    /// The end of each back-off. Mostly empty or small: every choice of an upstream looks up each candidate.
    ///
    /// By instance, not by incarnation: a rejection may come from a later incarnation than the one that is known.
    until_by_instance: HashMap<InstanceId, MonoTime>,
}

impl RequestedBackoffs {
    /// Records a requested back-off, up to an upper bound. It never shortens an earlier one, and a
    /// successful response does not end it: that request may have been accepted before the back-off was
    /// requested.
    pub fn record(&mut self, now: MonoTime, instance: &InstanceId, backoff: Duration) {
        let until = now.after(backoff.min(MAX_BACKOFF));
        let known = self.until_by_instance.entry(instance.clone()).or_insert(until);
        *known = until.max(*known);
    }

    /// Whether a request may be sent to an upstream now.
    pub fn place(&self, now: MonoTime, instance: &InstanceId) -> SendQuota {
        if self.until_by_instance.is_empty() {
            return SendQuota::Unbounded;
        }
        match self.until_by_instance.get(instance) {
            Some(until) if now < *until => SendQuota::FreeAt(*until),
            _ => SendQuota::Unbounded,
        }
    }

    /// Number of upstreams whose back-off has not ended.
    pub fn count(&self, now: MonoTime) -> usize {
        self.until_by_instance.values().filter(|until| now < **until).count()
    }

    /// Drops back-offs that have ended.
    pub fn expire(&mut self, now: MonoTime) {
        self.until_by_instance.retain(|_, until| now < *until);
    }
}
