//! Trials of quarantined requests, and the rows of the store that count them.

use std::collections::BTreeSet;

use stallhoist_core::CrashSubject;
use stallhoist_core::MonoTime;
use stallhoist_core::StoreVersion;

use super::Disposition;
use super::FatalChange;
use super::FatalRecord;
use super::FatalSubjects;
use super::record::Record;
use super::record::Row;
use super::subject_state::HeldBack;
use super::subject_state::SubjectState;

impl FatalSubjects {
    /// Begins a trial at this gateway. Returns the write that the store must accept; none if no trial
    /// may begin now.
    pub fn begin_trial(&mut self, now: MonoTime, subject: CrashSubject) -> Option<FatalChange> {
        if self.disposition(now, subject) != Disposition::MayTry {
            return None;
        }
        let record = self.records.get_mut(&subject)?;
        let trying = record.state.quarantined()?.begin_trial(now, &self.config);
        record.state = SubjectState::Trying(trying);
        let stored = FatalRecord { tries: trying.held().tries(), ends: record.crash_count_u32() };
        let expected = record.row.map(|row| row.version);
        Some(FatalChange { expected, record: Some(stored) })
    }

    /// Ends a trial, also if the store rejected it. A trial with a result has recorded that before.
    pub fn end_trial(&mut self, now: MonoTime, subject: CrashSubject) {
        if let Some(record) = self.records.get_mut(&subject)
            && let SubjectState::Trying(trying) = record.state
        {
            record.state = SubjectState::HeldBack(trying.end(now));
        }
    }

    /// Applies a stored record: the subject is quarantined. A subject that was cleared here stays
    /// cleared, as its row is about to be removed.
    pub fn stored(
        &mut self,
        now: MonoTime,
        subject: CrashSubject,
        version: StoreVersion,
        stored: FatalRecord,
    ) {
        let record = self.records.entry(subject).or_insert_with(|| Record::new(now));
        record.row = Some(Row { version, tries: stored.tries });
        match record.state {
            SubjectState::Cleared(_) => {}
            SubjectState::Trying(trying) if trying.held().tries() >= stored.tries => {}
            state => {
                // The result of a local trial may be ahead of the row.
                let known = state.quarantined().map_or(0, HeldBack::tries);
                let tries = known.max(stored.tries);
                record.state = SubjectState::HeldBack(HeldBack::stored(now, tries));
            }
        }
        self.reassess(now);
    }

    /// Applies the removal of a row: the subject had a complete response, or an operator removed the
    /// row.
    pub fn unstored(&mut self, now: MonoTime, subject: CrashSubject) {
        if let Some(record) = self.records.get_mut(&subject)
            && record.row.take().is_some()
        {
            self.answered(now, subject);
        }
    }

    /// Applies a complete read of the store at a version: it has rows of these requests only. If the
    /// store was restored from a copy in between, the other requests stay quarantined and are to be
    /// stored again.
    pub fn retain_stored(
        &mut self,
        now: MonoTime,
        version: StoreVersion,
        stored: &BTreeSet<CrashSubject>,
    ) {
        let mut unstored = Vec::new();
        for (subject, record) in &mut self.records {
            let Some(row) = record.row.filter(|_| !stored.contains(subject)) else {
                continue;
            };
            if row.version.era < version.era {
                record.row = None;
            } else {
                unstored.push(*subject);
            }
        }
        for subject in unstored {
            self.unstored(now, subject);
        }
    }
}
