//! What an upstream was given with one request.

use std::sync::Arc;

use stallhoist_core::CrashSubject;
use stallhoist_core::MonoTime;
use stallhoist_core::PartFingerprint;
use stallhoist_core::RequestFingerprint;

use super::ResponsePhase;

/// The most parts of a prompt that are considered.
const MAX_PARTS: usize = 32;

/// What an upstream was given with a request whose response broke.
#[derive(Debug, Clone)]
pub struct Exposure {
    /// The request.
    pub request: RequestFingerprint,
    /// The shared parts of its prompt.
    pub parts: Arc<[PartFingerprint]>,
    /// When the response broke.
    pub broke_at: MonoTime,
    /// How far the response had come.
    pub phase: ResponsePhase,
    /// Whether the request was sent as a trial of a quarantined subject.
    pub is_trial: bool,
}

impl Exposure {
    /// The subjects that may have crashed the upstream.
    ///
    /// The parts of a response that was written are not among them: they crash an upstream as it begins to write. A
    /// request may crash it at any time.
    pub(super) fn suspects(&self) -> impl Iterator<Item = CrashSubject> {
        let is_written = self.phase == ResponsePhase::Written;
        let parts = self.parts.iter().take(if is_written { 0 } else { MAX_PARTS });
        parts.copied().map(CrashSubject::from).chain([self.request.into()])
    }
}
