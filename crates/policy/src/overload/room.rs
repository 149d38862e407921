//! Whether the upstreams of a service have room.

use std::time::Duration;

/// An upstream with more prefill work than this counts as full. It keeps an engine busy until the next news
/// of its work, which is up to a second old, even if the work was estimated at twice its time.
const MAX_PREFILL_BACKLOG: Duration = Duration::from_millis(2_000);

/// How old the counts of other gateways and the reports of upstreams can be.
const MAX_NEWS_AGE: Duration = Duration::from_millis(1_000);

/// How long an upstream counts as full after a rejection, at most. With shorter requests a slot is free sooner.
const MAX_REJECTION_TIME: Duration = Duration::from_millis(200);

/// Which news of upstreams still holds when it is used, given how long the requests of a service take.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct NewsValidity {
    request_time: Duration,
}

impl NewsValidity {
    /// For a service whose requests take this long on average; zero if unknown.
    pub fn of(request_time: Duration) -> Self {
        Self { request_time }
    }

    /// Whether the counts of other gateways and the reports of upstreams hold. Where requests are shorter than
    /// these are old, they tell of requests that have ended: requests would wait with slots free.
    pub fn believes_others(&self) -> bool {
        self.request_time >= MAX_NEWS_AGE
    }

    /// How long an upstream counts as full after a rejection.
    pub fn rejection_time(&self) -> Duration {
        self.request_time.min(MAX_REJECTION_TIME)
    }
}

/// What is known of the work at one upstream.
#[derive(Debug, Clone, Copy, Default)]
pub struct UpstreamOccupancy {
    /// Number of requests that it processes concurrently; zero if unknown.
    pub slots: u32,
    /// Requests in progress there, by the gateways' own counts.
    pub counted_requests: u32,
    /// Requests in progress there, by the counts or as the upstream reports if that is more.
    pub requests: u32,
    /// Outstanding prefill time, in milliseconds.
    pub prefill_ms: f64,
    /// Whether it has rejected a request a moment ago.
    pub is_rejecting: bool,
}

impl UpstreamOccupancy {
    /// Whether the upstream takes another request at once. An upstream's own report counts only while
    /// the gateways know of work for half of its slots: one that reports too much still gets requests.
    pub fn has_room(&self) -> bool {
        if self.slots == 0 {
            return true;
        }
        let is_half_taken = u64::from(self.counted_requests) * 2 >= u64::from(self.slots);
        let is_taken = is_half_taken && self.requests >= self.slots;
        let is_backlogged = self.prefill_ms >= MAX_PREFILL_BACKLOG.as_secs_f64() * 1e3;
        !is_taken && !is_backlogged && !self.is_rejecting
    }
}

/// The room at all upstreams that a request may use.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct ServiceRoom {
    has_room: bool,
    upstreams: u32,
    slots: u64,
    requests: u64,
}

impl ServiceRoom {
    /// Room at an unknown number of upstreams.
    pub const FREE: Self = Self { has_room: true, upstreams: 0, slots: 0, requests: 0 };

    /// Adds an upstream.
    pub fn add(&mut self, occupancy: &UpstreamOccupancy) {
        self.has_room |= occupancy.has_room();
        self.upstreams += 1;
        self.slots += u64::from(occupancy.slots);
        self.requests += u64::from(occupancy.counted_requests.min(occupancy.slots));
    }

    /// Whether a request can be sent now: an upstream has room, or none is known, so that nothing frees up.
    pub fn has_room(&self) -> bool {
        self.has_room || self.upstreams == 0
    }

    /// Whether at least half of the slots are taken. Below that no request is rejected.
    pub fn is_half_taken(&self) -> bool {
        self.requests * 2 >= self.slots
    }

    /// Number of upstreams.
    pub fn upstreams(&self) -> u32 {
        self.upstreams
    }
}
