//! Which upstreams have read which shared parts of prompts.

use std::collections::HashMap;
use std::time::Duration;

use stallhoist_core::InstanceId;
use stallhoist_core::ModelName;
use stallhoist_core::MonoTime;
use stallhoist_core::PromptPart;

/// How long a part is believed to stay in an engine's memory after its last use.
const KEPT_FOR: Duration = Duration::from_secs(30);

/// The most parts that are remembered; those used longest ago are forgotten first.
const MAX_PARTS: usize = 8_192;

#[derive(Debug, Clone, PartialEq, Eq, Hash)]
struct PartKey {
    part_id: u64,
    model: ModelName,
}

#[derive(Debug)]
struct Place {
    instance: InstanceId,
    last_used: MonoTime,
}

/// Which upstreams have read which shared parts, as far as this entry sent them there.
#[derive(Debug, Default)]
pub struct PrefixPlaces {
    places: HashMap<PartKey, Vec<Place>>,
}

impl PrefixPlaces {
    /// An upstream has read these parts with a model.
    pub fn read(
        &mut self,
        now: MonoTime,
        instance: &InstanceId,
        model: &ModelName,
        parts: &[PromptPart],
    ) {
        for part in parts {
            let key = PartKey { part_id: part.id, model: model.clone() };
            let places = self.places.entry(key).or_default();
            match places.iter_mut().find(|place| place.instance == *instance) {
                Some(place) => place.last_used = now,
                None => places.push(Place { instance: instance.clone(), last_used: now }),
            }
        }
        if self.places.len() > MAX_PARTS {
            self.forget_oldest(now);
        }
    }

    /// How many leading tokens of these parts an upstream is believed to have read.
    pub fn read_tokens(
        &self,
        now: MonoTime,
        instance: &InstanceId,
        model: &ModelName,
        parts: &[PromptPart],
    ) -> u64 {
        let is_read = |part: &&PromptPart| {
            let key = PartKey { part_id: part.id, model: model.clone() };
            let places = self.places.get(&key).map_or(&[][..], Vec::as_slice);
            let is_kept = |p: &Place| now.since(p.last_used) < KEPT_FOR;
            places.iter().any(|place| place.instance == *instance && is_kept(place))
        };
        parts.iter().take_while(is_read).map(|part| part.tokens).sum()
    }

    /// Forgets upstreams that are gone.
    pub fn retain(&mut self, mut is_known: impl FnMut(&InstanceId) -> bool) {
        self.places.retain(|_, places| {
            places.retain(|place| is_known(&place.instance));
            !places.is_empty()
        });
    }

    /// Drops what has not been used lately; if that is not enough, the older half.
    fn forget_oldest(&mut self, now: MonoTime) {
        let newest = |places: &[Place]| places.iter().map(|place| place.last_used).max();
        self.places.retain(|_, p| newest(p).is_some_and(|at| now.since(at) < KEPT_FOR));
        if self.places.len() <= MAX_PARTS {
            return;
        }
        let mut times: Vec<_> = self.places.values().filter_map(|p| newest(p)).collect();
        times.sort_unstable();
        let median = times[times.len() / 2];
        self.places.retain(|_, places| newest(places).is_some_and(|at| at > median));
    }
}
