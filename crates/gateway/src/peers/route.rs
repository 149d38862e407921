//! Which entries are asked for the news of a feed, and which are passed over.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::Duration;

use stallhoist_core::MonoTime;

use super::connection::Connection;

/// How long an entry that did not answer is not asked again.
const SKIP_FOR: Duration = Duration::from_secs(8);

/// What the follower of one feed knows of the other entries.
#[derive(Debug, Default)]
pub(super) struct Route {
    /// The connection to the entry that was asked last.
    pub(super) connection: Option<(SocketAddr, Connection)>,
    /// Until then the store is asked directly.
    pub(super) direct_until: MonoTime,
    pub(super) skipped_until: HashMap<SocketAddr, MonoTime>,
}

impl Route {
    /// Whether an entry is not asked at present.
    pub(super) fn is_skipped(&self, now: MonoTime, addr: SocketAddr) -> bool {
        self.skipped_until.get(&addr).is_some_and(|until| now < *until)
    }

    /// An entry gave no fresh answer: it is not asked again for a while.
    pub(super) fn skip(&mut self, now: MonoTime, addr: SocketAddr) {
        self.connection = None;
        self.skipped_until.insert(addr, now.after(SKIP_FOR));
    }
}
