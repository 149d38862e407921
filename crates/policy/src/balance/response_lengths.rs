//! Number of events of a whole stream by route, learned from complete streams.

use std::collections::HashMap;

use stallhoist_core::RouteName;

/// Weight of the latest stream in the average. The first ones have more, so that the average of few streams
/// is their mean.
const LEARNING_RATE: f64 = 0.02;

/// Bound on the length of one stream, whatever is observed.
const MAX_EVENTS: u64 = 100_000;

#[derive(Debug, Clone, Copy, Default)]
struct Average {
    streams: u32,
    events: f64,
}

/// Expected number of events of a whole stream, by route.
#[derive(Debug, Default)]
pub struct ResponseLengths {
    by_route: HashMap<RouteName, Average>,
}

impl ResponseLengths {
    /// Expected number of events of a stream of this route; none until one has ended. An event holds at least
    /// one token, so there are no more than `max_output_tokens`.
    pub fn events(&self, route: &RouteName, max_output_tokens: u64) -> Option<f64> {
        let average = self.by_route.get(route)?;
        Some(average.events.min(max_output_tokens as f64))
    }

    /// Learns from a stream that ended as planned, after `events` events.
    pub fn observe(&mut self, route: &RouteName, events: u64) {
        let average = match self.by_route.get_mut(route) {
            Some(average) => average,
            None => self.by_route.entry(route.clone()).or_default(),
        };
        average.streams = average.streams.saturating_add(1);
        let rate = LEARNING_RATE.max(1.0 / f64::from(average.streams));
        average.events += rate * (events.min(MAX_EVENTS) as f64 - average.events);
    }

    /// Drops routes that are no longer configured.
    pub fn retain(&mut self, mut is_known: impl FnMut(&RouteName) -> bool) {
        self.by_route.retain(|route, _| is_known(route));
    }
}
