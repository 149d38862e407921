//! The connections of callers: which one is closed where there is no room for another.

use std::collections::BTreeSet;
use std::collections::HashMap;

use stallhoist_core::MonoTime;

/// Identifies a connection of a caller.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ConnectionId(u64);

/// A connection that was accepted.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Accepted {
    /// The connection.
    pub id: ConnectionId,
    /// The one that is closed for it.
    pub closed: Option<ConnectionId>,
}

/// The connections of callers. Where there is no room for another, the one that has been without a whole request for the
/// longest is closed. One with a request that was read in full is owed its response and stays.
#[derive(Debug)]
pub struct CallerConnections {
    max: usize,
    /// Those without a whole request, since when.
    waiting: BTreeSet<(MonoTime, ConnectionId)>,
    /// All, with the time since which they have been without a whole request.
    open: HashMap<ConnectionId, Option<MonoTime>>,
    next: u64,
}

impl CallerConnections {
    /// Creates an empty table of `max` connections.
    pub fn new(max: usize) -> Self {
        Self { max, waiting: BTreeSet::new(), open: HashMap::new(), next: 0 }
    }

    /// Adds a connection; none if all others stay.
    pub fn accept(&mut self, now: MonoTime) -> Option<Accepted> {
        let mut closed = None;
        if self.open.len() >= self.max {
            let (_, id) = self.waiting.pop_first()?;
            self.open.remove(&id);
            closed = Some(id);
        }
        let id = ConnectionId(self.next);
        self.next += 1;
        self.waiting.insert((now, id));
        self.open.insert(id, Some(now));
        Some(Accepted { id, closed })
    }

    /// Records that a request was read in full. Returns whether the connection is still open.
    pub fn request_read(&mut self, id: ConnectionId) -> bool {
        let Some(since) = self.open.get_mut(&id) else {
            return false;
        };
        if let Some(since) = since.take() {
            self.waiting.remove(&(since, id));
        }
        true
    }

    /// Records that a response was made.
    pub fn response_made(&mut self, now: MonoTime, id: ConnectionId) {
        if let Some(since @ None) = self.open.get_mut(&id) {
            *since = Some(now);
            self.waiting.insert((now, id));
        }
    }

    /// Removes a connection.
    pub fn close(&mut self, id: ConnectionId) {
        if let Some(Some(since)) = self.open.remove(&id) {
            self.waiting.remove(&(since, id));
        }
    }
}
