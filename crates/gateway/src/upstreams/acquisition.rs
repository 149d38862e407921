//! Selecting the upstream of an attempt and counting the attempt there, in one step.
//!
//! Both happen under one lock: requests that arrive together would otherwise all be sent on the same free slot,
//! connection or quota.

use std::sync::Arc;

use stallhoist_core::MonoTime;
use stallhoist_policy::overload::NewsValidity;

use super::Chosen;
use super::Placement;
use super::Upstreams;
use super::UpstreamsState;
use super::WorkGuard;
use crate::admission::RunningRequest;

/// Whether an attempt is sent without room at the upstreams.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum RoomRequirement {
    /// It is sent to any usable upstream.
    None,
    /// It is sent only while one of the upstreams has room, by this news of them.
    Free(NewsValidity),
}

/// Why an attempt got no upstream.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum AcquireError {
    /// Another request has taken the room.
    NoRoom,
    /// None is usable now.
    NoneUsable,
}

impl Upstreams {
    /// Selects the upstream of an attempt and counts the attempt as work there until the guard is dropped.
    ///
    /// `running` is called only if there is an upstream, as dropping its result wakes waiting requests.
    ///
    /// # Errors
    /// Fails when no upstream is usable now, or when the requirement is not met any more. Nothing is counted then.
    pub(crate) fn acquire(
        self: &Arc<Self>,
        now: MonoTime,
        placement: &Placement<'_>,
        requirement: RoomRequirement,
        running: impl FnOnce() -> RunningRequest,
    ) -> Result<(Chosen, WorkGuard), AcquireError> {
        let chosen = {
            let mut state = self.state.lock();
            if !self.meets(&state, now, placement, requirement) {
                return Err(AcquireError::NoRoom);
            }
            let chosen = self.choice(&state, now, placement).best();
            let chosen = chosen.ok_or(AcquireError::NoneUsable)?;
            state.record_sent(now, &chosen);
            chosen
        };
        let work = WorkGuard {
            upstreams: Arc::clone(self),
            start: chosen.start.clone(),
            prefill: chosen.work,
            generation_left_ms: chosen.generation.engine_ms,
            generation_ms_per_event: chosen.generation.engine_ms_per_event,
            running: running(),
        };
        Ok((chosen, work))
    }

    fn meets(
        &self,
        state: &UpstreamsState,
        now: MonoTime,
        placement: &Placement<'_>,
        requirement: RoomRequirement,
    ) -> bool {
        let RoomRequirement::Free(validity) = requirement else {
            return true;
        };
        // Like the decision to send, this includes the room at upstreams that were tried.
        let placement = Placement { tried: &[], ..*placement };
        self.choice(state, now, &placement).room(validity).has_room()
    }
}

impl UpstreamsState {
    /// Counts an attempt as work at its upstream and against its quotas.
    fn record_sent(&mut self, now: MonoTime, chosen: &Chosen) {
        self.cold.record_sent(now, &chosen.start);
        self.limits.record_sent(now, &chosen.start);
        self.load.request_started(&chosen.start, chosen.work);
        self.load.generation_expected(&chosen.start, chosen.generation.engine_ms);
    }
}
