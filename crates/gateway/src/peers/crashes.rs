//! Exchanges with peers which upstreams crashed while they ran which request, or requests with which prompt part.
//!
//! A caller's retry, or another request with the same part, arrives at another gateway, so what one gateway knows must
//! reach all others within seconds. A gateway that starts receives all of it.

use std::time::Duration;

use stallhoist_core::CrashSubject;
use stallhoist_core::MonoTime;
use stallhoist_core::PartFingerprint;
use stallhoist_policy::balance::UpstreamKey;
use stallhoist_policy::fatal::CrashUpdate;
use stallhoist_policy::fatal::ResponsePhase;

use super::messages::CrashMessage;
use super::messages::PartCrashMessage;
use crate::state::GatewayState;

/// Maximum number of pairs of a request and an upstream sent or applied at once, of 30 bytes each, and of pairs of a
/// part and an upstream, of as many.
const MAX_ITEMS: usize = 500;

/// Crashes as they are sent.
#[derive(Debug, Default)]
pub(super) struct CrashMessages {
    pub(super) of_requests: Vec<CrashMessage>,
    pub(super) of_parts: Vec<PartCrashMessage>,
}

/// The crashes learnt recently.
pub(super) fn local_crashes(state: &GatewayState) -> CrashMessages {
    CrashMessages::of(state.now(), state.fatal.peer_updates(state.now()))
}

/// All known crashes.
pub(super) fn all_crashes(state: &GatewayState) -> CrashMessages {
    CrashMessages::of(state.now(), state.fatal.startup_peer_updates())
}

impl CrashMessages {
    fn of(now: MonoTime, updates: Vec<CrashUpdate>) -> Self {
        let mut messages = Self::default();
        for CrashUpdate { subject, upstream, at, phase, is_cleared } in updates {
            let upstream = upstream.0;
            match subject {
                CrashSubject::Request(request) => {
                    let request = request.0.to_vec();
                    messages.of_requests.push(CrashMessage { request, upstream, is_cleared });
                }
                CrashSubject::Part(PartFingerprint { service, part }) => {
                    let age_ms = u32::try_from(now.since(at).as_millis()).unwrap_or(u32::MAX);
                    let phase = phase_number(phase);
                    let message =
                        PartCrashMessage { service, part, upstream, is_cleared, phase, age_ms };
                    messages.of_parts.push(message);
                }
            }
        }
        messages.of_requests.truncate(MAX_ITEMS);
        messages.of_parts.truncate(MAX_ITEMS);
        messages
    }
}

/// The number of a phase in messages.
fn phase_number(phase: ResponsePhase) -> u32 {
    match phase {
        ResponsePhase::Awaited => 0,
        ResponsePhase::Begun => 1,
        ResponsePhase::Started => 2,
        ResponsePhase::Written => 3,
    }
}

/// The phase of a number; of an unknown one from a later release, that which proves least.
fn phase_of(number: u32) -> ResponsePhase {
    let phases = [ResponsePhase::Begun, ResponsePhase::Started, ResponsePhase::Written];
    let known = phases.into_iter().find(|phase| phase_number(*phase) == number);
    known.unwrap_or(ResponsePhase::Awaited)
}

/// Merges crashes received from a peer.
pub(super) fn apply_crashes(
    state: &GatewayState,
    of_requests: &[CrashMessage],
    of_parts: &[PartCrashMessage],
) {
    if of_requests.is_empty() && of_parts.is_empty() {
        return;
    }
    let now = state.now();
    let requests = of_requests.iter().take(MAX_ITEMS).filter_map(|message| message.update(now));
    let parts = of_parts.iter().take(MAX_ITEMS).map(|message| message.update(now));
    let updates: Vec<_> = parts.chain(requests).collect();
    state.fatal.left_out(now, of_requests.len() + of_parts.len() - updates.len());
    state.fatal.apply_peer_update(now, updates.into_iter());
}

impl CrashMessage {
    /// None if the request's fingerprint is unreadable.
    fn update(&self, now: MonoTime) -> Option<CrashUpdate> {
        Some(CrashUpdate {
            subject: CrashSubject::Request(self.request.as_slice().try_into().ok()?),
            upstream: UpstreamKey(self.upstream),
            at: now,
            phase: ResponsePhase::Awaited,
            is_cleared: self.is_cleared,
        })
    }
}

impl PartCrashMessage {
    fn update(&self, now: MonoTime) -> CrashUpdate {
        let Self { service, part, upstream, is_cleared, phase, age_ms } = *self;
        CrashUpdate {
            subject: PartFingerprint { service, part }.into(),
            upstream: UpstreamKey(upstream),
            at: now.before(Duration::from_millis(age_ms.into())),
            phase: phase_of(phase),
            is_cleared,
        }
    }
}
