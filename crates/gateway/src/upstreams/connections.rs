//! Connections that this gateway may have to an upstream.

use stallhoist_core::MonoTime;
use stallhoist_policy::balance::UpstreamKey;
use stallhoist_policy::connections::ConnectionBound;
use stallhoist_policy::connections::KnownConnections;

use super::UpstreamsState;
use crate::members::Member;

impl UpstreamsState {
    /// Whether this gateway may have one more connection to an upstream that accepts `max_connections` from all
    /// gateways together. Each request in progress uses one.
    pub(super) fn has_connection(
        &self,
        now: MonoTime,
        member: &Member,
        max_connections: u32,
    ) -> bool {
        let upstream = UpstreamKey::of(&member.start);
        let others = self.peer_work.is_known().then(|| self.peer_work.on(upstream).requests);
        let known = KnownConnections { own: self.load.told_requests(&member.start), others };
        let limit = ConnectionBound::new(max_connections).limit(now, upstream, &self.fleet, known);
        self.load.own_requests(&member.start) < limit
    }
}
