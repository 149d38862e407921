//! A request that asks for its turn.

use std::time::Duration;

use stallhoist_core::MonoTime;

use super::ShareStatus;

/// A request counts as late if its first chunk would come after its due time when it takes this many times as long as
/// expected: 95 of 100 requests take less, if their durations are spread exponentially. By the mean alone, one in
/// three of those that are sent just in time would be late.
const LATE_FACTOR: u32 = 3;

/// Identifies a waiting request of one queue.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct WaiterId(pub(super) u64);

/// A request that asks for its turn.
#[derive(Debug, Clone)]
pub struct Waiter {
    /// Identifies the same request when its caller tries it again.
    pub key: u64,
    /// When the first chunk of its response is due.
    pub due: MonoTime,
    /// Its time limit.
    pub deadline: MonoTime,
    /// Expected time from its start to the first chunk of its response.
    pub first_chunk: Duration,
    /// Among requests due at the same time the one with the lesser number goes first.
    pub priority: u8,
    /// Whether its workspace is within its share of engine time.
    pub share: ShareStatus,
    /// Requests with the same value may use the same upstreams.
    pub pool: u64,
    /// Memory that it holds while it waits, in bytes.
    pub size_bytes: usize,
}

/// The order in which requests get their turn: least first.
pub(super) type Rank = (bool, bool, MonoTime, u8, WaiterId);

impl Waiter {
    /// Whether its first chunk could be late if it were sent now.
    pub(super) fn is_late(&self, now: MonoTime) -> bool {
        now.after(self.first_chunk.saturating_mul(LATE_FACTOR)) > self.due
    }

    /// Those within their share go first; among them those that can still be in time, by due time, then the
    /// late ones by time limit. Were late ones to go first, then with a lasting overload all would be late.
    pub(super) fn rank(&self, now: MonoTime, id: WaiterId) -> Rank {
        let is_late = self.is_late(now);
        let due = if is_late { self.deadline } else { self.due };
        (!self.share.is_within(), is_late, due, self.priority, id)
    }
}
