//! Which upstreams hold which shared parts of prompts in their prefix caches.

use std::collections::HashMap;
use std::time::Duration;

use stallhoist_core::ModelName;
use stallhoist_core::MonoTime;
use stallhoist_core::PromptPart;
use stallhoist_core::UpstreamIncarnation;

/// How long a part is believed to stay in an engine's prefix cache after its last use.
const KEPT_FOR: Duration = Duration::from_secs(30);

/// The most parts that are remembered; those used longest ago are forgotten first.
const MAX_PARTS: usize = 8_192;

#[derive(Debug, Clone, PartialEq, Eq, Hash)]
struct PartKey {
    part_id: u64,
    model: ModelName,
}

#[derive(Debug)]
struct Holder {
    start: UpstreamIncarnation,
    last_used: MonoTime,
}

/// Which upstreams hold which shared parts in their prefix caches, as far as this entry sent
/// them there.
#[derive(Debug, Default)]
pub struct PrefixCaches {
    holders: HashMap<PartKey, Vec<Holder>>,
}

impl PrefixCaches {
    /// An upstream has read these parts with a model.
    pub fn record_prefill(
        &mut self,
        now: MonoTime,
        start: &UpstreamIncarnation,
        model: &ModelName,
        parts: &[PromptPart],
    ) {
        for part in parts {
            let key = PartKey { part_id: part.id, model: model.clone() };
            let holders = self.holders.entry(key).or_default();
            match holders.iter_mut().find(|holder| holder.start == *start) {
                Some(holder) => holder.last_used = now,
                None => holders.push(Holder { start: start.clone(), last_used: now }),
            }
        }
        if self.holders.len() > MAX_PARTS {
            self.forget_oldest(now);
        }
    }

    /// How many leading tokens of these parts an upstream is believed to have read.
    pub fn cached_tokens(
        &self,
        now: MonoTime,
        start: &UpstreamIncarnation,
        model: &ModelName,
        parts: &[PromptPart],
    ) -> u64 {
        let is_read = |part: &&PromptPart| {
            let key = PartKey { part_id: part.id, model: model.clone() };
            let holders = self.holders.get(&key).map_or(&[][..], Vec::as_slice);
            let is_kept = |p: &Holder| now.since(p.last_used) < KEPT_FOR;
            holders.iter().any(|holder| holder.start == *start && is_kept(holder))
        };
        parts.iter().take_while(is_read).fold(0, |sum, part| sum.saturating_add(part.tokens))
    }

    /// Forgets upstreams that are gone.
    pub fn retain(&mut self, mut is_known: impl FnMut(&UpstreamIncarnation) -> bool) {
        self.holders.retain(|_, holders| {
            holders.retain(|holder| is_known(&holder.start));
            !holders.is_empty()
        });
    }

    /// Drops what has not been used lately; if that is not enough, the older half.
    fn forget_oldest(&mut self, now: MonoTime) {
        let newest = |holders: &[Holder]| holders.iter().map(|holder| holder.last_used).max();
        self.holders.retain(|_, p| newest(p).is_some_and(|at| now.since(at) < KEPT_FOR));
        if self.holders.len() <= MAX_PARTS {
            return;
        }
        let mut times: Vec<_> = self.holders.values().filter_map(|p| newest(p)).collect();
        times.sort_unstable();
        let median = times[times.len() / 2];
        self.holders.retain(|_, holders| newest(holders).is_some_and(|at| at > median));
    }
}
