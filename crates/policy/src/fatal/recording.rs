//! Records what this gateway sees: crashes, broken streams, and responses that went well.

use stallhoist_core::CrashSubject;
use stallhoist_core::MonoTime;
use stallhoist_core::PartFingerprint;

use super::CrashUpdate;
use super::Exposure;
use super::FatalSubjects;
use super::ResponsePhase;
use super::subject_state::SubjectState;
use crate::balance::UpstreamKey;

impl FatalSubjects {
    /// Records the crash of an upstream while it ran a request of this gateway. Returns the subjects for which it is
    /// new.
    pub fn record_crash(
        &mut self,
        now: MonoTime,
        exposure: &Exposure,
        upstream: UpstreamKey,
    ) -> Vec<CrashSubject> {
        self.record_crashes(now, std::slice::from_ref(exposure), upstream)
    }

    /// Records the crash of an upstream for several requests and assesses them together, once. Returns the subjects
    /// for which it is new.
    fn record_crashes(
        &mut self,
        now: MonoTime,
        exposures: &[Exposure],
        upstream: UpstreamKey,
    ) -> Vec<CrashSubject> {
        let mut new = Vec::new();
        for exposure in exposures {
            let Exposure { broke_at: at, phase, .. } = *exposure;
            for subject in exposure.suspects() {
                self.record_trial_crash(subject, exposure);
                let update = CrashUpdate { subject, upstream, at, phase, is_cleared: false };
                if self.add_crash(now, update) {
                    new.push(subject);
                }
            }
        }
        self.reassess(now);
        new
    }

    /// A crash during its trial proves that a subject is fatal. Other requests with a part may be on their way
    /// meanwhile, and the trial itself may wait at an upstream that another request crashes.
    fn record_trial_crash(&mut self, subject: CrashSubject, exposure: &Exposure) {
        let is_proof =
            !subject.is_part() || exposure.is_trial && exposure.phase >= ResponsePhase::Begun;
        if let Some(record) = self.records.get_mut(&subject)
            && let SubjectState::Trying(trying) = record.state
            && is_proof
        {
            record.state = SubjectState::HeldBack(trying.held().proved_fatal(&self.config));
        }
    }

    /// Records that the response stream of a request broke; the upstream may have crashed.
    pub fn record_broken_stream(
        &mut self,
        now: MonoTime,
        exposure: Exposure,
        upstream: UpstreamKey,
    ) {
        self.broken_streams.record_broken_stream(now, exposure, upstream);
    }

    /// Records that an upstream has terminated, from whatever source: its recent broken streams are
    /// attributed to that. Returns the subjects for which the crash is new.
    pub fn record_termination(
        &mut self,
        now: MonoTime,
        upstream: UpstreamKey,
    ) -> Vec<CrashSubject> {
        let broken: Vec<_> = self.broken_streams.take_recent(now, upstream).collect();
        self.record_crashes(now, &broken, upstream)
    }

    /// Records a complete response to a request. Returns whether the request had crashes against it.
    pub fn answered(&mut self, now: MonoTime, subject: CrashSubject) -> bool {
        let is_cleared = self.clear(now, subject);
        if is_cleared {
            self.reassess(now);
        }
        is_cleared
    }

    /// Records that a response to a request with these parts is complete, or has been written for a while. Returns
    /// the parts that had crashes against them.
    pub fn survived(&mut self, now: MonoTime, parts: &[PartFingerprint]) -> Vec<CrashSubject> {
        parts.iter().for_each(|part| self.survivals.record(now, *part));
        let subjects = parts.iter().copied().map(CrashSubject::from);
        let cleared: Vec<_> = subjects.filter(|subject| self.clear(now, *subject)).collect();
        if !cleared.is_empty() {
            self.reassess(now);
        }
        cleared
    }

    /// Clears a subject of its crashes so far. Returns whether it had any.
    fn clear(&mut self, now: MonoTime, subject: CrashSubject) -> bool {
        let Some(record) = self.records.get_mut(&subject) else {
            return false;
        };
        if record.state.is_cleared() {
            return false;
        }
        let upstreams: Vec<_> = record.crashed_upstreams().collect();
        record.clear(now);
        upstreams.into_iter().for_each(|upstream| self.shrink_crash(upstream));
        true
    }
}
