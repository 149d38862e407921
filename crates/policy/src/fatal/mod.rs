//! Tracks what crashes the upstreams that run it ("queries of death"): whole requests, and parts of prompts.
//!
//! All requests on an upstream break when it crashes, and one of them may be the cause, or a part of its prompt that
//! crashes upstreams whatever else the request holds. Both are subjects of crashes. What is known of a subject and what
//! it proves:
//!
//! | observation | proves | state of the subject | how long |
//! | --- | --- | --- | --- |
//! | its stream broke, the upstream is still there | nothing: connections are cut | unchanged | |
//! | the same, and within 6 s this incarnation turns out to have terminated without announcing it | same as a crash seen at once | suspect | as below |
//! | an upstream crashed while it ran a request with the subject | one of the subjects on it is the cause | suspect | until a response went well; a day |
//! | the same, and the response had been written for 0.5 s | its parts are not the cause; the request may be | parts unchanged | |
//! | another subject on it is quarantined and outranks this one | the other subject is the cause | this crash does not count against it | while the other is quarantined |
//! | three crashes, not explained by another subject | it is the cause, or ran with the cause each time | quarantined | until its trial |
//! | a crash of the upstream that ran its trial | it is the cause | quarantined | permanently (stored row) |
//! | a complete response to any attempt of a request, at any gateway | the request is not the cause | cleared | until the next crash |
//! | a response written for 0.5 s, or complete, to any request with a part | the part is not the cause | cleared | until the next crash, 2 s later at the earliest |
//!
//! Suspects are still sent, as subjects that merely ran together with a fatal one are harmless. A suspected request
//! goes to the upstream chosen by a hash of it. So requests that broke together are separated, and the next crash tells
//! the fatal one from the others; and gateways that send the same request at the same moment lose one upstream in
//! total, not one each. Parts need no separation: they are in other requests at the same time, whose responses clear
//! those that are sound.
//!
//! Gateways exchange crashes and clearances as pairs of a subject and an upstream. Merging is idempotent and
//! independent of order. The number of trials must be agreed on, so it is counted in the store, by writes that require
//! that the row has not changed.
//!
//! Read `subject_state` first, then `record`, `recording`, `merging`, `weight`, `assessment`, `survivals`,
//! `broken_streams`, `trials` and `stored`.

mod assessment;
mod broken_streams;
mod config;
mod exposure;
mod merging;
mod record;
mod recording;
mod response_progress;
mod stored;
mod subject_state;
mod survivals;
mod trials;
mod weight;

use std::collections::HashMap;

use stallhoist_core::CrashSubject;
use stallhoist_core::MonoTime;

use broken_streams::BrokenStreams;
pub use config::FatalConfig;
pub use exposure::Exposure;
pub use merging::CrashUpdate;
use record::Record;
pub use response_progress::ResponsePhase;
pub use response_progress::ResponseProgress;
pub use subject_state::Disposition;
pub use subject_state::FatalChange;
pub use subject_state::FatalRecord;
use subject_state::SubjectState;
use survivals::Survivals;
pub use weight::Weight;

use crate::balance::UpstreamKey;

/// Tracks requests and parts of prompts under which upstreams crashed.
#[derive(Debug, Default)]
pub struct FatalSubjects {
    config: FatalConfig,
    records: HashMap<CrashSubject, Record>,
    /// How many subjects were on each crashed upstream, as far as their crashes count.
    crash_sizes: HashMap<UpstreamKey, usize>,
    /// Local broken streams whose cause is not known yet.
    broken_streams: BrokenStreams,
    /// Local responses that went well.
    survivals: Survivals,
    /// Subjects that were quarantined since they were last taken.
    quarantined: Vec<CrashSubject>,
}

impl FatalSubjects {
    /// Creates an empty tracker.
    pub fn new(config: FatalConfig) -> Self {
        Self { config, ..Self::default() }
    }

    /// Whether no subject is tracked.
    pub fn is_empty(&self) -> bool {
        self.records.is_empty()
    }

    /// Whether there are broken streams whose cause is not known yet.
    pub fn has_unexplained_broken_streams(&self) -> bool {
        !self.broken_streams.is_empty()
    }

    /// How requests with a subject may be handled now.
    pub fn disposition(&self, now: MonoTime, subject: CrashSubject) -> Disposition {
        let Some(record) = self.records.get(&subject) else {
            return Disposition::Free;
        };
        let held = match record.state {
            SubjectState::Cleared(_) => return Disposition::Free,
            SubjectState::Suspect(_) => return Disposition::Suspect,
            SubjectState::Trying(trying) if now < trying.until() => {
                return Disposition::HeldBack { due: Some(trying.until()) };
            }
            SubjectState::Trying(trying) => trying.end(trying.until()),
            SubjectState::HeldBack(held) => held,
        };
        match held.next_trial_at(&self.config) {
            Some(due) if now >= due && record.row.is_some() => Disposition::MayTry,
            due => Disposition::HeldBack { due },
        }
    }

    /// Takes the subjects that were quarantined since the last call.
    pub fn take_quarantined(&mut self) -> Vec<CrashSubject> {
        std::mem::take(&mut self.quarantined)
    }

    /// Drops what has expired.
    pub fn expire(&mut self, now: MonoTime) {
        self.broken_streams.expire(now);
        self.survivals.expire(now, self.config.survival_memory);
        let is_expired = |record: &Record| record.is_expired(now, &self.config);
        let expired = self.records.iter().filter(|(_, record)| is_expired(record));
        let expired: Vec<_> = expired.map(|(subject, _)| *subject).collect();
        for subject in expired {
            self.remove(subject);
        }
    }

    fn remove(&mut self, subject: CrashSubject) {
        let Some(record) = self.records.remove(&subject) else {
            return;
        };
        record.crashed_upstreams().for_each(|upstream| self.shrink_crash(upstream));
    }

    /// One line for each tracked subject, for the state dump.
    pub fn summary(&self) -> Vec<String> {
        let line = |(subject, record): (&CrashSubject, &Record)| {
            let Record { state, row, .. } = record;
            let ends = record.crash_count();
            format!("{subject} ends={ends} stored={} {state:?}", row.is_some())
        };
        let mut lines: Vec<_> = self.records.iter().map(line).collect();
        lines.sort_unstable();
        lines
    }
}
