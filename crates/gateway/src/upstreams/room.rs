//! The room at the upstreams that a request may use.

use std::time::Duration;

use stallhoist_core::MonoTime;
use stallhoist_core::UpstreamIncarnation;
use stallhoist_policy::balance::UpstreamKey;
use stallhoist_policy::overload::NewsValidity;
use stallhoist_policy::overload::ServiceRoom;
use stallhoist_policy::overload::UpstreamOccupancy;

use super::Placement;
use super::Upstreams;
use super::choice::Choice;
use super::placement::duration_of_ms;
use crate::members::Member;

impl Upstreams {
    /// The room at the upstreams that a request may use now, and the time to the first chunk of its response there
    /// without other requests. The room is summed up only if there is none.
    pub(crate) fn room(
        &self,
        now: MonoTime,
        placement: &Placement<'_>,
        validity: NewsValidity,
    ) -> (ServiceRoom, Duration) {
        let state = self.state.lock();
        let choice = self.choice(&state, now, placement);
        (choice.room(validity), choice.first_chunk_alone())
    }

    /// Notes that an upstream has rejected a request.
    pub(crate) fn record_rejection(&self, now: MonoTime, incarnation: &UpstreamIncarnation) {
        self.state.lock().load.record_rejection(now, incarnation);
    }
}

impl Choice<'_> {
    pub(super) fn room(&self, validity: NewsValidity) -> ServiceRoom {
        let mut room = ServiceRoom::default();
        for member in self.candidates() {
            let occupancy = self.occupancy(member, validity);
            if occupancy.has_room() {
                return ServiceRoom::FREE;
            }
            room.add(&occupancy);
        }
        room
    }

    fn occupancy(&self, member: &Member, validity: NewsValidity) -> UpstreamOccupancy {
        let Self { state, now, .. } = *self;
        let incarnation = &member.start;
        let own = state.load.own_requests(incarnation);
        let is_rejecting = state.load.has_rejected(now, incarnation, validity.rejection_time());
        let own_only = UpstreamOccupancy {
            slots: member.slots,
            counted_requests: own,
            requests: own,
            prefill_ms: state.load.remaining_prefill_ms(incarnation),
            is_rejecting,
        };
        if !validity.believes_others() {
            return own_only;
        }
        let others = state.peer_work.on(UpstreamKey::of(incarnation)).requests;
        let work = state.work_on(now, incarnation);
        UpstreamOccupancy {
            counted_requests: own.saturating_add(others),
            requests: work.in_progress,
            prefill_ms: work.remaining_prefill_ms,
            ..own_only
        }
    }

    fn first_chunk_alone(&self) -> Duration {
        let Some(prompt) = self.placement.prompt else {
            return Duration::ZERO;
        };
        let time = self.reading_time();
        duration_of_ms(time.base_ms + time.of_tokens_ms(prompt.input_tokens))
    }
}
