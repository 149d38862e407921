//! Which shared prompt parts each upstream has in its prefix cache.

use std::collections::HashMap;
use std::time::Duration;

use stallhoist_core::ModelName;
use stallhoist_core::MonoTime;
use stallhoist_core::PromptPart;
use stallhoist_core::UpstreamIncarnation;

/// How long after its last use a part is assumed to remain in an engine's prefix cache.
const CACHE_TTL: Duration = Duration::from_secs(30);

/// Capacity of the table of parts; the least recently used are evicted first.
const MAX_PARTS: usize = 8_192;

#[derive(Debug, Clone, PartialEq, Eq, Hash)]
struct PartKey {
    part_id: u64,
    model: ModelName,
}

#[derive(Debug)]
struct Holder {
    incarnation: UpstreamIncarnation,
    last_used: MonoTime,
}

/// Which shared prompt parts each upstream has in its prefix cache, as far as this gateway sent
/// them.
#[derive(Debug, Default)]
pub struct PrefixCaches {
    by_part: HashMap<PartKey, Vec<Holder>>,
}

impl PrefixCaches {
    /// Records that an upstream has prefilled `parts` with a model.
    pub fn record_prefill(
        &mut self,
        now: MonoTime,
        incarnation: &UpstreamIncarnation,
        model: &ModelName,
        parts: &[PromptPart],
    ) {
        for part in parts {
            let key = PartKey { part_id: part.id, model: model.clone() };
            let holders = self.by_part.entry(key).or_default();
            match holders.iter_mut().find(|holder| holder.incarnation == *incarnation) {
                Some(holder) => holder.last_used = now,
                None => holders.push(Holder { incarnation: incarnation.clone(), last_used: now }),
            }
        }
        if self.by_part.len() > MAX_PARTS {
            self.evict_oldest(now);
        }
    }

    /// Number of leading tokens of `parts` that are expected in an upstream's prefix cache.
    pub fn cached_tokens(
        &self,
        now: MonoTime,
        incarnation: &UpstreamIncarnation,
        model: &ModelName,
        parts: &[PromptPart],
    ) -> u64 {
        let is_cached = |part: &&PromptPart| {
            let key = PartKey { part_id: part.id, model: model.clone() };
            let holders = self.by_part.get(&key).map_or(&[][..], Vec::as_slice);
            let is_fresh = |holder: &Holder| now.since(holder.last_used) < CACHE_TTL;
            holders.iter().any(|holder| holder.incarnation == *incarnation && is_fresh(holder))
        };
        parts.iter().take_while(is_cached).fold(0, |sum, part| sum.saturating_add(part.tokens))
    }

    /// Drops upstreams that are no longer known.
    pub fn retain(&mut self, mut is_known: impl FnMut(&UpstreamIncarnation) -> bool) {
        self.by_part.retain(|_, holders| {
            holders.retain(|holder| is_known(&holder.incarnation));
            !holders.is_empty()
        });
    }

    /// Evicts expired parts; if that is not enough, the less recently used half as well.
    fn evict_oldest(&mut self, now: MonoTime) {
        let newest = |holders: &[Holder]| holders.iter().map(|holder| holder.last_used).max();
        self.by_part.retain(|_, c| newest(c).is_some_and(|at| now.since(at) < CACHE_TTL));
        if self.by_part.len() <= MAX_PARTS {
            return;
        }
        let mut times: Vec<_> = self.by_part.values().filter_map(|c| newest(c)).collect();
        times.sort_unstable();
        let median = times[times.len() / 2];
        self.by_part.retain(|_, holders| newest(holders).is_some_and(|at| at > median));
    }
}
